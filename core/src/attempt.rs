//! Attempts of a request at backend servers, and whether the request may be retried.

use crate::site::RetrySafety;

/// Whether the server ran the request in an attempt without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExecutionStatus {
    /// The server did not run the request and never will.
    NotRun,
    /// The server may have run the request.
    Unknown,
    /// The server ran the request and failed.
    Ran,
}

/// Failed attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    retry_safety: RetrySafety,
    /// Maximum number of attempts that may have run.
    max_runs: u32,
    /// Number of attempts that may have run. Invariant: at most `max_runs`.
    runs: u32,
    /// Number of attempts that did not run.
    not_run: u32,
}

/// Number of attempts that did not run after which a request is refused.
const MAX_NOT_RUN: u32 = 3;

impl Attempts {
    /// Creates the state before the first attempt. At most `max_runs` servers may run the request.
    pub fn new(retry_safety: RetrySafety, max_runs: u32) -> Self {
        Self {
            retry_safety,
            max_runs,
            runs: 0,
            not_run: 0,
        }
    }

    /// Counts an attempt that has ended without a complete answer.
    pub fn record_failure(&mut self, status: ExecutionStatus) {
        match status {
            ExecutionStatus::NotRun => self.not_run += 1,
            ExecutionStatus::Unknown | ExecutionStatus::Ran => self.runs += 1,
        }
    }

    /// Returns whether the request may be sent to another server after the attempts so far. A request
    /// that may have run cannot be refused any more, so that rejections do not end it.
    pub fn may_retry(&self) -> bool {
        if self.runs == 0 {
            return self.not_run < MAX_NOT_RUN;
        }
        let may_run_again = match self.retry_safety {
            RetrySafety::Idempotent | RetrySafety::ResumableStream => true,
            RetrySafety::Once | RetrySafety::StreamOnce => false,
        };
        may_run_again && self.runs < self.max_runs
    }

    /// Returns whether the request may be sent to another server if the current attempt is given up.
    pub fn may_be_replaced(&self) -> bool {
        let mut next = self.clone();
        next.record_failure(ExecutionStatus::Unknown);
        next.may_retry()
    }

    /// Returns whether no attempt can have run, so that the caller may safely retry.
    pub fn is_not_run(&self) -> bool {
        self.runs == 0
    }

    /// Returns the number of attempts so far.
    pub fn count(&self) -> u32 {
        self.runs + self.not_run
    }
}
