//! Handles a request to a plain service: its attempts and their failures.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::attempt::{Attempts, ExecutionStatus};
use mimosabay_core::backend::{Backend, LoadSample};
use mimosabay_core::name::Name;
use mimosabay_core::plain::PlainOutcome;
use mimosabay_core::quarantine::{self, Fingerprint};
use mimosabay_core::site::RetrySafety;
use tokio::time::sleep;
use tracing::info;

use super::answer::{Answer, OwnAnswer, forward_response};
use super::crash_probe::{self, RunEnd};
use super::exchange::{self, CompleteResponse, Failure};
use super::metrics::Outcome;
use super::request::{AttemptOptions, Job};
use super::retry_permit::RetryPermit;
use super::state::State;

/// Time beyond the target latency after which an idempotent request may be sent to another server, in
/// milliseconds.
const ATTEMPT_SLACK_MS: u64 = 100;
/// Retry delay for a caller whose request no server could accept, in milliseconds.
const RETRY_AFTER_MS: u64 = 150;

/// Sends a request to servers of its service until one answers.
pub(crate) async fn run(state: &Arc<State>, job: Job) -> Answer {
    if state.suspects.is_refused(job.fingerprint) {
        return quarantine_refusal(state, &job);
    }
    record_charge(state, &job);
    let mut attempts = Attempts::new(job.route.retry_safety, job.route.max_attempts);
    let mut excluded = Vec::new();
    let mut failed_response = None;
    loop {
        let Some(backend) = choose_server(state, &job, &excluded) else {
            return failure_answer(
                state,
                &job,
                &attempts,
                Failure::Unreachable,
                failed_response,
            );
        };
        let server = backend.id.clone();
        let end = attempt(state, &job, backend, &attempts).await;
        let has_retry = matches!(end, AttemptEnd::Replaced);
        let failure = match end {
            AttemptEnd::Ended(Ok(response)) if !response.status.is_server_error() => {
                return deliver_response(state, &job, &server, response);
            }
            AttemptEnd::Ended(Ok(response)) => {
                failed_response = Some(response);
                attempts.record_failure(ExecutionStatus::Ran);
                Failure::Broken
            }
            AttemptEnd::Ended(Err(failure)) => {
                attempts.record_failure(failure.execution_status());
                failure
            }
            AttemptEnd::Replaced => {
                attempts.record_failure(ExecutionStatus::Unknown);
                Failure::TimedOut
            }
        };
        state.metrics.count_failure(failure);
        info!(
            event = "attempt_failed",
            id = %job.id,
            %server,
            ?failure,
            attempt = attempts.count(),
            left_ms = job.remaining_ms(state)
        );
        excluded.push(server);
        if !has_retry && !try_take_retry(state, &job, &attempts) {
            return failure_answer(state, &job, &attempts, failure, failed_response);
        }
    }
}

/// Takes a retry for another attempt; returns whether the attempt may be made.
fn try_take_retry(state: &State, job: &Job, attempts: &Attempts) -> bool {
    job.remaining_ms(state) > 0
        && attempts.may_retry()
        && !state.suspects.is_refused(job.fingerprint)
        && state.try_take_retry(&job.service.name)
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
        fingerprint = job.fingerprint
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

fn choose_server(state: &State, job: &Job, excluded: &[Name]) -> Option<Arc<Backend>> {
    let snapshot = state.backends.snapshot();
    let servers = snapshot.values().map(|backend| &**backend);
    let servers = servers.filter(|backend| backend.service == job.service.name);
    let mut plain = state.plain.lock().expect("plain lock");
    let zone = &state.settings().zone;
    let server = plain.start_request(servers, zone, excluded, state.now_ms())?;
    snapshot.get(&server).cloned()
}

/// A request at one plain server. Dropping it records how it ended, also if its caller leaves.
struct PlainRun<'a> {
    state: &'a Arc<State>,
    fingerprint: Fingerprint,
    backend: Arc<Backend>,
    sent_ms: u64,
    /// How it ended; `None` if it was abandoned.
    result: Option<RunResult>,
}

/// How a request ended at a plain server.
struct RunResult {
    outcome: PlainOutcome,
    /// How it ended if the server may have begun to run it.
    end: Option<RunEnd>,
    load: Option<LoadSample>,
}

impl RunResult {
    fn new(result: &Result<CompleteResponse, Failure>) -> Self {
        let (outcome, end) = match result {
            Ok(response) if response.status.is_server_error() => (PlainOutcome::Failed, None),
            Ok(_) => (PlainOutcome::Answered, Some(RunEnd::Answered)),
            Err(Failure::Unreachable) => (PlainOutcome::Unreachable, None),
            Err(Failure::NotHeld | Failure::Rejected) => (PlainOutcome::Rejected, None),
            Err(Failure::Broken) => (PlainOutcome::Failed, Some(RunEnd::Broken)),
            Err(Failure::TimedOut) => (PlainOutcome::Failed, Some(RunEnd::TimedOut)),
            Err(Failure::Foreign) => (PlainOutcome::Failed, None),
        };
        let load = result.as_ref().ok().and_then(CompleteResponse::load);
        Self { outcome, end, load }
    }
}

impl Drop for PlainRun<'_> {
    fn drop(&mut self) {
        let now_ms = self.state.now_ms();
        let abandoned = || RunResult {
            outcome: PlainOutcome::Cancelled,
            end: Some(RunEnd::Abandoned {
                silent_ms: now_ms - self.sent_ms,
            }),
            load: None,
        };
        let result = self.result.take().unwrap_or_else(abandoned);
        if let Some(end) = result.end {
            crash_probe::record_run_end(self.state, self.fingerprint, &self.backend, end);
        }
        let mut plain = self.state.plain.lock().expect("plain lock");
        plain.record_outcome(&self.backend.id, result.outcome, result.load, now_ms);
    }
}

/// How an attempt ended.
enum AttemptEnd {
    Ended(Result<CompleteResponse, Failure>),
    /// The server was silent, and a retry was taken for another one.
    Replaced,
}

async fn attempt(
    state: &Arc<State>,
    job: &Job,
    backend: Arc<Backend>,
    attempts: &Attempts,
) -> AttemptEnd {
    let mut run = PlainRun {
        state,
        fingerprint: job.fingerprint,
        backend,
        sent_ms: state.now_ms(),
        result: None,
    };
    let result = tokio::select! {
        biased;
        result = exchange_complete(state, job, &run.backend) => result,
        () = take_retry_after_stall(state, job, attempts) => {
            run.result = Some(RunResult::new(&Err(Failure::TimedOut)));
            return AttemptEnd::Replaced;
        }
    };
    run.result = Some(RunResult::new(&result));
    AttemptEnd::Ended(result)
}

/// Takes a retry for an idempotent request whose server is silent for longer than the target latency.
/// Until a retry is available, the server may still answer.
async fn take_retry_after_stall(state: &Arc<State>, job: &Job, attempts: &Attempts) {
    let may_retry = job.route.retry_safety == RetrySafety::Idempotent
        && job.route.max_attempts > attempts.count() + 1;
    if !may_retry {
        return std::future::pending().await;
    }
    let stall_ms = job.route.target_latency_ms + ATTEMPT_SLACK_MS;
    sleep(Duration::from_millis(stall_ms)).await;
    let permit = RetryPermit::take(state, &job.service.name).await;
    if state.suspects.is_refused(job.fingerprint) {
        drop(permit);
        return std::future::pending().await;
    }
    permit.spend();
}

async fn exchange_complete(
    state: &State,
    job: &Job,
    backend: &Arc<Backend>,
) -> Result<CompleteResponse, Failure> {
    let options = AttemptOptions {
        server: backend.id.clone(),
        ..AttemptOptions::default()
    };
    let outgoing = job.outgoing(state, options);
    let head = exchange::send(state, backend, outgoing, job.remaining_ms(state)).await?;
    exchange::read_complete_response(state, head, job.remaining_ms(state)).await
}

fn deliver_response(state: &State, job: &Job, server: &Name, response: CompleteResponse) -> Answer {
    let took_ms = state.now_ms() - job.arrived_ms;
    state.metrics.count_outcome(Outcome::Answered);
    state.metrics.observe_answer_time(took_ms);
    info!(event = "answered", id = %job.id, %server, status = response.status.as_u16(), took_ms);
    forward_response(response)
}

/// The final answer after the last attempt.
fn failure_answer(
    state: &State,
    job: &Job,
    attempts: &Attempts,
    failure: Failure,
    failed_response: Option<CompleteResponse>,
) -> Answer {
    if let Some(response) = failed_response {
        state.metrics.count_outcome(Outcome::ServerFailed);
        info!(event = "failed", id = %job.id, reason = "server_error");
        return forward_response(response);
    }
    let own_answer = if attempts.is_not_run() {
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
