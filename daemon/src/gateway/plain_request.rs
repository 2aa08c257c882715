//! A request to a plain service.

use std::sync::Arc;

use mimosabay_core::attempt::{Attempts, ExecutionStatus};
use mimosabay_core::backend::LoadSample;
use mimosabay_core::name::Name;
use mimosabay_core::plain::PlainOutcome;
use mimosabay_core::quarantine;
use mimosabay_core::site::RetrySafety;
use tracing::info;

use super::answer::{Answer, OwnAnswer, pass_on};
use super::exchange::{self, Failure, Outgoing, WholeAnswer};
use super::metrics::Outcome;
use super::request::{Job, ServerTerms};
use super::state::State;

/// Time beyond its target latency after which an idempotent request is sent to another server.
const PATIENCE_MS: u64 = 100;
/// Time after which a caller comes back if no server could take its request, in milliseconds.
const RETRY_AFTER_MS: u64 = 150;

/// Sends a request to servers of its service until one answers.
pub(crate) async fn run(state: &Arc<State>, job: Job) -> Answer {
    let fingerprint = job.fingerprint();
    if state.suspects.is_refused(fingerprint) {
        return quarantined(state, &job);
    }
    charge(state, &job);
    let mut attempts = Attempts::new(job.route.retry_safety, job.route.max_attempts);
    let mut excluded = Vec::new();
    let mut failed_answer = None;
    loop {
        let Some(server) = choose(state, &job, &excluded) else {
            return give_up(state, &job, &attempts, Failure::Unreachable, failed_answer);
        };
        let limit_ms = attempt_limit_ms(state, &job, &attempts);
        let result = attempt(state, &job, &server, limit_ms).await;
        let failure = match result {
            Ok(whole) if !whole.status.is_server_error() => {
                state.suspects.answered(fingerprint);
                return answered(state, &job, &server, whole);
            }
            Ok(whole) => {
                failed_answer = Some(whole);
                attempts.record_failure(ExecutionStatus::Ran);
                Failure::Broken
            }
            Err(failure) => {
                if failure == Failure::Broken
                    && let Some(backend) = state.backend(&server)
                {
                    state.suspects.broke(fingerprint, &backend, state.now_ms());
                }
                attempts.record_failure(failure.proof());
                failure
            }
        };
        state.metrics.attempt_failed(failure);
        info!(
            event = "attempt_failed",
            id = %job.id,
            %server,
            ?failure,
            attempt = attempts.count(),
            left_ms = job.left_ms(state)
        );
        excluded.push(server);
        let is_over = job.left_ms(state) == 0;
        if is_over || !attempts.may_retry() || !state.take_retry(&job.service.name) {
            return give_up(state, &job, &attempts, failure, failed_answer);
        }
    }
}

/// Refuses a request that crashed several servers.
fn quarantined(state: &State, job: &Job) -> Answer {
    let own = OwnAnswer::NotRun {
        retry_after_ms: Some(quarantine::RETRY_AFTER_MS),
    };
    state.metrics.ended(own.outcome());
    info!(event = "refused", id = %job.id, reason = "Quarantined");
    own.answer(Some(&job.id))
}

fn charge(state: &State, job: &Job) {
    if let Some(organisation) = &job.organisation {
        state
            .link
            .charge(&organisation.name, organisation.default_cost);
    }
}

fn choose(state: &State, job: &Job, excluded: &[Name]) -> Option<Name> {
    let snapshot = state.backends.snapshot();
    let servers = snapshot.values().map(|backend| &**backend);
    let servers = servers.filter(|backend| backend.service == job.service.name);
    let mut plain = state.plain.lock().expect("plain lock");
    plain.start_request(servers, &state.settings().zone, excluded, state.now_ms())
}

/// An idempotent request leaves time for another server.
fn attempt_limit_ms(state: &State, job: &Job, attempts: &Attempts) -> u64 {
    let left_ms = job.left_ms(state);
    let may_repeat = job.route.retry_safety == RetrySafety::Idempotent
        && job.route.max_attempts > attempts.count() + 1;
    if may_repeat {
        left_ms.min(job.route.target_latency_ms + PATIENCE_MS)
    } else {
        left_ms
    }
}

/// Tells how a request at a plain server ended, also if its caller leaves.
struct PlainRun<'a> {
    state: &'a State,
    server: &'a Name,
    end: PlainOutcome,
    load: Option<LoadSample>,
}

impl Drop for PlainRun<'_> {
    fn drop(&mut self) {
        let now_ms = self.state.now_ms();
        let mut plain = self.state.plain.lock().expect("plain lock");
        plain.record_outcome(self.server, self.end, self.load, now_ms);
    }
}

async fn attempt(
    state: &State,
    job: &Job,
    server: &Name,
    limit_ms: u64,
) -> Result<WholeAnswer, Failure> {
    let mut run = PlainRun {
        state,
        server,
        end: PlainOutcome::Cancelled,
        load: None,
    };
    let result = exchange_whole(state, job, server, limit_ms).await;
    run.end = match &result {
        Ok(whole) if whole.status.is_server_error() => PlainOutcome::Failed,
        Ok(_) => PlainOutcome::Answered,
        Err(Failure::Unreachable) => PlainOutcome::Unreachable,
        Err(Failure::NotHeld | Failure::Rejected) => PlainOutcome::Rejected,
        Err(Failure::Broken | Failure::Foreign | Failure::TimedOut) => PlainOutcome::Failed,
    };
    run.load = result.as_ref().ok().and_then(WholeAnswer::load);
    result
}

async fn exchange_whole(
    state: &State,
    job: &Job,
    server: &Name,
    limit_ms: u64,
) -> Result<WholeAnswer, Failure> {
    let backend = state.backend(server).ok_or(Failure::NotHeld)?;
    let terms = ServerTerms {
        server: server.clone(),
        ..ServerTerms::default()
    };
    let outgoing = Outgoing {
        method: &job.method,
        uri: &job.uri,
        headers: job.server_headers(state, terms),
        body: &job.body,
        request_id: &job.id,
    };
    let until_ms = state.now_ms() + limit_ms;
    let head = exchange::send(state, &backend, outgoing, limit_ms).await?;
    let left_ms = until_ms.saturating_sub(state.now_ms());
    exchange::read_whole(state, head, left_ms).await
}

fn answered(state: &State, job: &Job, server: &Name, whole: WholeAnswer) -> Answer {
    let took_ms = state.now_ms() - job.arrived_ms;
    state.metrics.ended(Outcome::Answered);
    state.metrics.answered_in(took_ms);
    info!(event = "answered", id = %job.id, %server, status = whole.status.as_u16(), took_ms);
    pass_on(whole)
}

/// The final answer after the last attempt.
fn give_up(
    state: &State,
    job: &Job,
    attempts: &Attempts,
    failure: Failure,
    failed_answer: Option<WholeAnswer>,
) -> Answer {
    if let Some(whole) = failed_answer {
        state.metrics.ended(Outcome::ServerFailed);
        info!(event = "failed", id = %job.id, reason = "server_error");
        return pass_on(whole);
    }
    let own = if attempts.is_not_run() {
        OwnAnswer::NotRun {
            retry_after_ms: Some(RETRY_AFTER_MS),
        }
    } else if failure == Failure::TimedOut {
        OwnAnswer::TimedOut
    } else {
        OwnAnswer::Broken
    };
    state.metrics.ended(own.outcome());
    info!(event = "failed", id = %job.id, reason = ?failure, status = own.status().as_u16());
    own.answer(Some(&job.id))
}
