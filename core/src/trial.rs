//! Trial runs of requests under quarantine, as a half-open circuit breaker makes them.
//!
//! A request that does not crash servers can be under quarantine, because it ran beside one that does. Only
//! an answer ends the quarantine, and a request that is refused has no answer. One instance therefore
//! lets a single run of it pass from time to time, until one is answered.

use std::collections::HashMap;

/// Time from the first refusal of a request to its first trial, in milliseconds. The run that follows an
/// unfinished trial waits as long.
const FIRST_DELAY_MS: u64 = 3_000;
/// Factor by which the time to the next trial grows with each that failed.
const DELAY_FACTOR: u64 = 12;
/// Number of failed trials after which there are no more.
const MAX_FAILED: u32 = 3;
/// Largest number of requests with trials.
const MAX_REQUESTS: usize = 2_000;

/// The trials of one instance.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    by_request: HashMap<u64, Trial>,
}

#[derive(Debug)]
struct Trial {
    /// Number of trials that failed. Invariant: at most [`MAX_FAILED`].
    failed: u32,
    /// Earliest time of the next trial, in milliseconds.
    due_ms: u64,
    /// Whether a trial is running.
    is_running: bool,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialOutcome {
    /// The request was answered, so that it is no longer under quarantine.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request ran and was not answered.
    Failed,
}

impl Trials {
    /// Starts a trial of a refused request if one is due; returns whether it was started.
    pub(crate) fn try_start(&mut self, request_hash: u64, now_ms: u64) -> bool {
        if self.by_request.len() >= MAX_REQUESTS && !self.by_request.contains_key(&request_hash) {
            return false;
        }
        let trial = self.by_request.entry(request_hash).or_insert(Trial {
            failed: 0,
            due_ms: now_ms + FIRST_DELAY_MS,
            is_running: false,
        });
        let may_start = !trial.is_running && trial.failed < MAX_FAILED && now_ms >= trial.due_ms;
        trial.is_running |= may_start;
        may_start
    }

    /// Records how a trial ended.
    pub(crate) fn finish(&mut self, request_hash: u64, outcome: TrialOutcome, now_ms: u64) {
        let Some(trial) = self.by_request.get_mut(&request_hash) else {
            return;
        };
        trial.is_running = false;
        match outcome {
            TrialOutcome::Answered => {
                self.by_request.remove(&request_hash);
                return;
            }
            TrialOutcome::NotRun => {}
            TrialOutcome::Failed => trial.failed += 1,
        }
        trial.due_ms = now_ms + FIRST_DELAY_MS * DELAY_FACTOR.pow(trial.failed);
    }

    /// Removes the requests that are no longer under quarantine.
    pub(crate) fn retain(&mut self, is_quarantined: impl Fn(u64) -> bool) {
        self.by_request
            .retain(|hash, trial| trial.is_running || is_quarantined(*hash));
    }
}
