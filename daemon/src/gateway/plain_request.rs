//! Handles a request to a plain service: its attempts and their failures.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::attempt::{Attempts, ExecutionStatus};
use mimosabay_core::name::Name;
use mimosabay_core::quarantine;
use mimosabay_core::site::RetrySafety;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::answer::{Answer, OwnAnswer, forward_response};
use super::exchange::{CompleteResponse, Failure};
use super::metrics::Outcome;
use super::plain_attempt::PlainAttempt;
use super::plain_choice::{Candidates, NoServer};
use super::quarantine_check::{self, Admitted};
use super::request::Job;
use super::retry_permit::RetryPermit;
use super::state::State;
use super::successor::OVERLAP_MS;

/// Time beyond the target latency after which an idempotent request may be sent to another server, in
/// milliseconds.
const ATTEMPT_SLACK_MS: u64 = 100;
/// Retry delay for a caller whose request no server could accept, in milliseconds.
const RETRY_AFTER_MS: u64 = 150;
/// Time between two searches for a server that replaces a silent one, in milliseconds.
const SEARCH_PERIOD_MS: u64 = 100;

/// Sends a request to servers of its service until one answers.
pub(crate) async fn run(state: &Arc<State>, job: Job) -> Answer {
    let Ok(admitted) = quarantine_check::admit(state, &job.work(None), &job.id).await else {
        return quarantine_refusal(state, &job);
    };
    record_charge(state, &job);
    let mut request = PlainRequest {
        state,
        job: &job,
        attempts: Attempts::new(job.route.retry_safety, job.route.max_attempts),
        excluded: Vec::new(),
        failed_response: None,
        is_trial: admitted == Admitted::ForTrial,
    };
    loop {
        let backend = match request.candidates(None).choose().await {
            Ok(backend) => backend,
            Err(reason) => return request.no_server_answer(reason),
        };
        let attempt = PlainAttempt::start(state, &job, backend);
        match request.await_response(attempt).await {
            Ok((server, response)) => return deliver_response(state, &job, &server, response),
            Err(failure) if !request.try_take_retry() => return request.failure_answer(failure),
            Err(_) => {}
        }
    }
}

/// Whether a request is refused because it crashed several servers.
fn is_refused(state: &State, job: &Job) -> bool {
    state.suspects.refused_by(&job.work(None)).is_some()
}

/// Refuses a request that crashed several servers.
fn quarantine_refusal(state: &State, job: &Job) -> Answer {
    let own_answer = OwnAnswer::NotRun {
        retry_after_ms: Some(quarantine::RETRY_AFTER_MS),
    };
    state.metrics.count_outcome(own_answer.outcome());
    info!(
        event = "refused",
        id = %job.id,
        reason = "Quarantined",
        fingerprint = job.request_hash
    );
    own_answer.answer(Some(&job.id))
}

fn record_charge(state: &State, job: &Job) {
    if let Some(organisation) = &job.organisation {
        state
            .link
            .record_charge(&organisation.name, organisation.default_cost);
    }
}

/// A request to a plain service, with its attempts so far.
struct PlainRequest<'a> {
    state: &'a Arc<State>,
    job: &'a Job,
    attempts: Attempts,
    /// Servers that failed an attempt.
    excluded: Vec<Name>,
    /// The latest response with a server error.
    failed_response: Option<CompleteResponse>,
    /// Whether it is under quarantine and is run once nevertheless.
    is_trial: bool,
}

/// What came first.
enum Awaited {
    /// The current server answered, or its attempt failed.
    Current(Result<CompleteResponse, Failure>),
    /// Another server has taken the request. The connection to the current one is to be closed.
    Successor(PlainAttempt),
}

impl PlainRequest<'_> {
    /// Waits for the response to an attempt. If its server is silent, the attempt goes on at another one
    /// as soon as that has accepted the request.
    ///
    /// # Errors
    ///
    /// The failure of the last attempt, which is counted.
    async fn await_response(
        &mut self,
        mut attempt: PlainAttempt,
    ) -> Result<(Name, CompleteResponse), Failure> {
        loop {
            match self.await_or_replace(&mut attempt).await {
                Awaited::Current(result) => return self.end_attempt(attempt, result),
                Awaited::Successor(successor) => {
                    let silent = std::mem::replace(&mut attempt, successor);
                    // The failure of the silent server is counted, and the next one goes on.
                    let _ = self.end_attempt(silent, Err(Failure::TimedOut));
                }
            }
        }
    }

    async fn await_or_replace(&mut self, current: &mut PlainAttempt) -> Awaited {
        if !self.may_be_replaced() {
            return Awaited::Current((&mut current.response).await);
        }
        let stall_ms = self.job.route.target_latency_ms + ATTEMPT_SLACK_MS;
        let stall = Duration::from_millis(stall_ms);
        match timeout(stall, &mut current.response).await {
            Ok(result) => Awaited::Current(result),
            Err(_) => Box::pin(self.replace(current)).await,
        }
    }

    /// Sends the request to another server as well, until one of them answers.
    async fn replace(&mut self, current: &mut PlainAttempt) -> Awaited {
        while self.may_be_replaced() {
            let mut successor = tokio::select! {
                biased;
                result = &mut current.response => return Awaited::Current(result),
                successor = self.next_attempt(&current.backend.id) => successor,
            };
            let result = tokio::select! {
                biased;
                result = &mut current.response => {
                    self.attempts.record_failure(ExecutionStatus::Unknown);
                    return Awaited::Current(result);
                }
                result = &mut successor.response => result,
                () = sleep(Duration::from_millis(OVERLAP_MS)) => return Awaited::Successor(successor),
            };
            match result {
                Ok(response) if !response.status.is_server_error() => {
                    return Awaited::Successor(successor.with_response(response));
                }
                // The failure is counted, and the current server may still answer.
                result => _ = self.end_attempt(successor, result),
            }
        }
        Awaited::Current((&mut current.response).await)
    }

    /// Takes a retry for a server other than the current one, as soon as there are both.
    async fn next_attempt(&self, current: &Name) -> PlainAttempt {
        loop {
            let permit = RetryPermit::take(self.state, &self.job.service.name).await;
            if is_refused(self.state, self.job) {
                drop(permit);
                return std::future::pending().await;
            }
            if let Some(backend) = self.candidates(Some(current)).choose_now().await {
                permit.spend();
                return PlainAttempt::start(self.state, self.job, backend);
            }
            drop(permit);
            sleep(Duration::from_millis(SEARCH_PERIOD_MS)).await;
        }
    }

    fn may_be_replaced(&self) -> bool {
        self.job.route.retry_safety == RetrySafety::Idempotent && self.attempts.may_be_replaced()
    }

    /// Records how an attempt ended; returns the response if it is no server error.
    fn end_attempt(
        &mut self,
        attempt: PlainAttempt,
        result: Result<CompleteResponse, Failure>,
    ) -> Result<(Name, CompleteResponse), Failure> {
        let server = attempt.end(&result);
        let failure = match result {
            Ok(response) if !response.status.is_server_error() => return Ok((server, response)),
            Ok(response) => {
                self.failed_response = Some(response);
                self.attempts.record_failure(ExecutionStatus::Ran);
                Failure::Broken
            }
            Err(failure) => {
                self.attempts.record_failure(failure.execution_status());
                failure
            }
        };
        self.state.metrics.count_failure(failure);
        info!(
            event = "attempt_failed",
            id = %self.job.id,
            %server,
            ?failure,
            attempt = self.attempts.count(),
            left_ms = self.job.remaining_ms(self.state)
        );
        self.excluded.push(server);
        Err(failure)
    }

    /// Takes a retry for another attempt; returns whether the attempt may be made.
    fn try_take_retry(&self) -> bool {
        self.job.remaining_ms(self.state) > 0
            && self.attempts.may_retry()
            && !is_refused(self.state, self.job)
            && self.state.try_take_retry(&self.job.service.name)
    }

    fn candidates<'b>(&'b self, silent: Option<&'b Name>) -> Candidates<'b> {
        Candidates {
            state: self.state,
            job: self.job,
            is_trial: self.is_trial,
            excluded: &self.excluded,
            silent,
        }
    }

    /// The final answer if no server can be sent the request.
    fn no_server_answer(self, reason: NoServer) -> Answer {
        if self.attempts.count() > 0 {
            self.state.return_retry(&self.job.service.name);
        }
        match reason {
            NoServer::OverLimit { retry_after_ms } if self.attempts.is_not_run() => {
                self.not_run_answer(retry_after_ms)
            }
            NoServer::Quarantined if self.attempts.is_not_run() => {
                quarantine_refusal(self.state, self.job)
            }
            NoServer::Quarantined | NoServer::OverLimit { .. } | NoServer::Unavailable => {
                self.failure_answer(Failure::Unreachable)
            }
        }
    }

    fn not_run_answer(&self, retry_after_ms: u64) -> Answer {
        let own_answer = OwnAnswer::NotRun {
            retry_after_ms: Some(retry_after_ms),
        };
        self.state.metrics.count_outcome(own_answer.outcome());
        info!(event = "refused", id = %self.job.id, reason = "OverLimit", retry_after_ms);
        own_answer.answer(Some(&self.job.id))
    }

    /// The final answer after the last attempt.
    fn failure_answer(self, failure: Failure) -> Answer {
        let Self { state, job, .. } = self;
        if let Some(response) = self.failed_response {
            state.metrics.count_outcome(Outcome::ServerFailed);
            info!(event = "failed", id = %job.id, reason = "server_error");
            return forward_response(response);
        }
        let own_answer = if self.attempts.is_not_run() {
            OwnAnswer::NotRun {
                retry_after_ms: Some(RETRY_AFTER_MS),
            }
        } else if failure == Failure::TimedOut {
            OwnAnswer::TimedOut
        } else {
            OwnAnswer::Broken
        };
        state.metrics.count_outcome(own_answer.outcome());
        info!(event = "failed", id = %job.id, reason = ?failure, status = own_answer.status().as_u16());
        own_answer.answer(Some(&job.id))
    }
}

fn deliver_response(state: &State, job: &Job, server: &Name, response: CompleteResponse) -> Answer {
    let took_ms = state.now_ms() - job.arrived_ms;
    state.metrics.count_outcome(Outcome::Answered);
    state.metrics.observe_answer_time(took_ms);
    info!(event = "answered", id = %job.id, %server, status = response.status.as_u16(), took_ms);
    forward_response(response)
}
