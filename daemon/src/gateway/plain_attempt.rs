//! One attempt of a request at a plain server.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::{BoxFuture, ready};
use mimosabay_core::backend::{Backend, LoadSample};
use mimosabay_core::name::Name;
use mimosabay_core::plain::PlainOutcome;
use mimosabay_core::slow_start::AnswerSign;
use mimosabay_core::work::Work;

use super::crash_probe::{self, RunEnd};
use super::exchange::{self, CompleteResponse, Failure, Outgoing};
use super::request::{AttemptOptions, Job};
use super::state::State;

/// A request that was sent to a plain server. Dropping it closes the connection.
pub(super) struct PlainAttempt {
    pub(super) backend: Arc<Backend>,
    pub(super) response: BoxFuture<'static, Result<CompleteResponse, Failure>>,
    run: PlainRun,
}

impl PlainAttempt {
    /// Sends the request.
    pub(super) fn start(state: &Arc<State>, job: &Job, backend: Arc<Backend>) -> Self {
        let run = PlainRun {
            state: state.clone(),
            work: job.work(None),
            backend: backend.clone(),
            sent_ms: state.now_ms(),
            target_ms: job.route.target_latency_ms,
            result: None,
        };
        let options = AttemptOptions {
            server: backend.id.clone(),
            ..AttemptOptions::default()
        };
        let outgoing = job.outgoing(state, options);
        let response = exchange_complete(state.clone(), backend.clone(), outgoing, job.deadline_ms);
        Self {
            backend,
            response: response.boxed(),
            run,
        }
    }

    /// Puts the response back that was awaited.
    pub(super) fn with_response(mut self, response: CompleteResponse) -> Self {
        self.response = ready(Ok(response)).boxed();
        self
    }

    /// Records how the attempt ended; returns the server.
    pub(super) fn end(mut self, result: &Result<CompleteResponse, Failure>) -> Name {
        let sent_ms = self.run.sent_ms;
        let took_ms = self.run.state.now_ms() - sent_ms;
        let target_ms = self.run.target_ms;
        self.run.result = Some(RunResult::new(result, sent_ms, took_ms, target_ms));
        self.backend.id.clone()
    }
}

async fn exchange_complete(
    state: Arc<State>,
    backend: Arc<Backend>,
    outgoing: Outgoing,
    deadline_ms: u64,
) -> Result<CompleteResponse, Failure> {
    let left_ms = || deadline_ms.saturating_sub(state.now_ms());
    let head = exchange::send(&state, &backend, outgoing, left_ms()).await?;
    exchange::read_complete_response(&state, head, left_ms()).await
}

/// A request at one plain server. Dropping it records how it ended, also if its caller leaves.
struct PlainRun {
    state: Arc<State>,
    work: Work,
    backend: Arc<Backend>,
    sent_ms: u64,
    /// Target latency of the answer, in milliseconds.
    target_ms: u64,
    /// How it ended; `None` if it was abandoned.
    result: Option<RunResult>,
}

/// How a request ended at a plain server.
struct RunResult {
    outcome: PlainOutcome,
    /// How it ended if the server may have begun to run it.
    end: Option<RunEnd>,
    load: Option<LoadSample>,
    /// What it shows of a server that has just started.
    sign: Option<AnswerSign>,
}

impl RunResult {
    fn new(
        result: &Result<CompleteResponse, Failure>,
        sent_ms: u64,
        took_ms: u64,
        target_ms: u64,
    ) -> Self {
        let (outcome, end) = match result {
            Ok(response) if response.status.is_server_error() => (PlainOutcome::Failed, None),
            Ok(_) => (PlainOutcome::Answered, Some(RunEnd::Answered { sent_ms })),
            Err(Failure::Unreachable) => (PlainOutcome::Unreachable, None),
            Err(Failure::NotHeld | Failure::Rejected) => (PlainOutcome::Rejected, None),
            Err(Failure::Broken) => (PlainOutcome::Failed, Some(RunEnd::Broken)),
            Err(Failure::TimedOut) => (PlainOutcome::Failed, Some(RunEnd::TimedOut)),
            Err(Failure::Foreign) => (PlainOutcome::Failed, None),
        };
        let load = result.as_ref().ok().and_then(CompleteResponse::load);
        let sign = match outcome {
            PlainOutcome::Answered if took_ms <= target_ms => Some(AnswerSign::Timely),
            PlainOutcome::Answered | PlainOutcome::Failed => Some(AnswerSign::Late),
            PlainOutcome::Rejected => Some(AnswerSign::Rejected),
            PlainOutcome::Unreachable | PlainOutcome::Cancelled => None,
        };
        Self {
            outcome,
            end,
            load,
            sign,
        }
    }
}

impl Drop for PlainRun {
    fn drop(&mut self) {
        let now_ms = self.state.now_ms();
        let abandoned = || RunResult {
            outcome: PlainOutcome::Cancelled,
            end: Some(RunEnd::Abandoned {
                silent_ms: now_ms - self.sent_ms,
            }),
            load: None,
            sign: None,
        };
        let result = self.result.take().unwrap_or_else(abandoned);
        if let Some(sign) = result.sign {
            self.state.server_limits.record_answer(&self.backend, sign);
        }
        if let Some(end) = result.end {
            crash_probe::record_run_end(&self.state, &self.work, &self.backend, end);
        }
        let mut plain = self.state.plain.lock().expect("plain lock");
        plain.record_outcome(&self.backend.id, result.outcome, result.load, now_ms);
    }
}
