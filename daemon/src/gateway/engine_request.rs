//! A request to an engine.

use std::sync::Arc;

use mimosabay_core::attempt::{Attempts, ExecutionStatus};
use mimosabay_core::cell::{EndedRun, Refusal, RefusalReason, RunOutcome};
use mimosabay_core::name::Name;
use mimosabay_core::prompt::Prompt;
use mimosabay_platform::ingress;
use tracing::info;

use super::answer::{Answer, OwnAnswer, pass_on};
use super::engine_run::Run;
use super::exchange::{self, Failure, Head, Outgoing, WholeAnswer};
use super::grant::{self, Place};
use super::metrics::Outcome;
use super::relay;
use super::request::{Job, ServerTerms};
use super::state::State;

/// Time after which a caller comes back if nobody could place its request, in milliseconds.
pub(super) const NO_PLACER_RETRY_MS: u64 = 500;
/// Time beyond the forecast after which a server counts as stuck, in milliseconds.
const FIRST_EVENT_SLACK_MS: u64 = 1_500;

/// A request at an engine, with its attempts so far.
pub(crate) struct EngineJob {
    pub(crate) job: Job,
    pub(crate) prompt: Prompt,
    pub(crate) attempts: Attempts,
    pub(super) excluded: Vec<Name>,
    /// Servers that did not take it.
    pub(super) refused_by: Vec<Name>,
    /// Whether its organisation has been charged.
    pub(super) is_charged: bool,
    /// How the attempt before ended.
    pub(super) previous: Option<EndedRun>,
    failed_answer: Option<WholeAnswer>,
}

impl EngineJob {
    /// Whether a server failed an attempt, or did not take one.
    pub(super) fn has_tried(&self, server: &Name) -> bool {
        self.excluded.contains(server) || self.refused_by.contains(server)
    }

    /// Name of the caller's organisation, for logs.
    pub(super) fn organisation(&self) -> &str {
        let organisation = self.job.organisation.as_ref();
        organisation.map_or("", |organisation| &*organisation.name)
    }
}

/// Sends a request to engines until one answers.
pub(crate) async fn run(state: &Arc<State>, job: Job) -> Answer {
    let Some(prompt) = ingress::prompt(&job.headers) else {
        return OwnAnswer::Malformed.answer(Some(&job.id));
    };
    let mut work = EngineJob {
        attempts: Attempts::new(job.route.retry_safety, job.route.max_attempts),
        job,
        prompt,
        excluded: Vec::new(),
        refused_by: Vec::new(),
        is_charged: false,
        previous: None,
        failed_answer: None,
    };
    match first_head(state, &mut work).await {
        Ok((head, run)) if work.job.route.is_stream() && head.status.is_success() => {
            relay::start(state.clone(), work, head, run)
        }
        Ok((head, mut run)) => {
            let left_ms = work.job.left_ms(state);
            match exchange::read_whole(state, head, left_ms).await {
                Ok(whole) => {
                    run.ended(RunOutcome::Answered);
                    state.metrics.ended(Outcome::Answered);
                    pass_on(whole)
                }
                Err(failure) => {
                    run.ended(end_of(failure));
                    work.attempts.record_failure(failure.proof());
                    give_up(state, &mut work, failure)
                }
            }
        }
        Err(answer) => answer,
    }
}

/// Tries servers until one begins to answer.
async fn first_head(state: &Arc<State>, work: &mut EngineJob) -> Result<(Head, Run), Answer> {
    loop {
        let failure = match next_head(state, work, None).await {
            Ok((head, run)) if !head.status.is_server_error() => return Ok((head, run)),
            Ok((head, mut run)) => {
                let left_ms = work.job.left_ms(state);
                let whole = exchange::read_whole(state, head, left_ms).await;
                work.excluded.push(run.server.clone());
                run.ended(RunOutcome::Answered);
                work.attempts.record_failure(ExecutionStatus::Ran);
                work.failed_answer = whole.ok();
                Failure::Broken
            }
            Err(Attempt::Failed(failure)) => failure,
            Err(Attempt::Refused(refusal)) => return Err(refused(state, work, &refusal)),
        };
        if !may_continue(state, work) {
            return Err(give_up(state, work, failure));
        }
    }
}

/// Why an attempt brought nothing.
pub(crate) enum Attempt {
    /// A server failed; the attempt is counted.
    Failed(Failure),
    /// No place was granted.
    Refused(Refusal),
}

/// Whether another attempt may be made now.
pub(crate) fn may_continue(state: &State, work: &EngineJob) -> bool {
    work.job.left_ms(state) > 0
        && work.attempts.may_retry()
        && state.take_retry(&work.job.service.name)
}

/// Makes one attempt at a server that the placer names.
pub(crate) async fn next_head(
    state: &Arc<State>,
    work: &mut EngineJob,
    resume_after: Option<u64>,
) -> Result<(Head, Run), Attempt> {
    let (mut run, backend, version, first_event_ms) = match grant::place(state, work).await {
        Place::Granted {
            run,
            backend,
            version,
            first_event_ms,
        } => (run, backend, version, first_event_ms),
        Place::Refused(refusal) => return Err(Attempt::Refused(refusal)),
        Place::Gone => {
            work.attempts.record_failure(ExecutionStatus::NotRun);
            return Err(Attempt::Failed(Failure::NotHeld));
        }
    };
    let terms = ServerTerms {
        server: backend.id.clone(),
        urgency: Some(work.job.urgency()),
        version,
        resume_after,
    };
    let outgoing = Outgoing {
        method: &work.job.method,
        uri: &work.job.uri,
        headers: work.job.server_headers(state, terms),
        body: &work.job.body,
        request_id: &work.job.id,
    };
    run.sent();
    let limit_ms = head_limit_ms(state, work, first_event_ms);
    let sent = exchange::send(state, &backend, outgoing, limit_ms).await;
    sent.map_err(|failure| {
        state.metrics.attempt_failed(failure);
        info!(
            event = "attempt_failed",
            id = %work.job.id,
            server = %run.server,
            ?failure,
            version,
            left_ms = work.job.left_ms(state)
        );
        work.attempts.record_failure(failure.proof());
        run.ended(end_of(failure));
        // The placer knows by itself whether a server that did not take the request may soon.
        let was_refused = matches!(failure, Failure::NotHeld | Failure::Rejected);
        let servers = if was_refused {
            &mut work.refused_by
        } else {
            &mut work.excluded
        };
        servers.push(run.server.clone());
        work.previous = Some(run.as_ended());
        Attempt::Failed(failure)
    })
    .map(|head| (head, run))
}

/// A request that may continue elsewhere does not wait to the end for a server that is stuck.
fn head_limit_ms(state: &State, work: &EngineJob, first_event_ms: u64) -> u64 {
    let left_ms = work.job.left_ms(state);
    let mut next = work.attempts.clone();
    next.record_failure(ExecutionStatus::Unknown);
    if next.may_retry() {
        left_ms.min(first_event_ms * 2 + FIRST_EVENT_SLACK_MS)
    } else {
        left_ms
    }
}

fn end_of(failure: Failure) -> RunOutcome {
    match failure {
        Failure::Unreachable => RunOutcome::Unreachable,
        Failure::NotHeld => RunOutcome::NotHeld,
        Failure::Rejected => RunOutcome::Rejected,
        Failure::Broken | Failure::Foreign | Failure::TimedOut => RunOutcome::Broken,
    }
}

fn refused(state: &State, work: &mut EngineJob, refusal: &Refusal) -> Answer {
    if !work.attempts.is_not_run() {
        return give_up(state, work, Failure::Broken);
    }
    let own = match refusal.reason {
        RefusalReason::OverRate => OwnAnswer::OverRate {
            retry_after_ms: refusal.retry_after_ms,
        },
        RefusalReason::Overloaded | RefusalReason::NoServer | RefusalReason::Quarantined => {
            OwnAnswer::NotRun {
                retry_after_ms: Some(refusal.retry_after_ms),
            }
        }
    };
    state.metrics.ended(own.outcome());
    own.answer(Some(&work.job.id))
}

/// The final answer after the last attempt.
fn give_up(state: &State, work: &mut EngineJob, failure: Failure) -> Answer {
    if let Some(whole) = work.failed_answer.take() {
        state.metrics.ended(Outcome::ServerFailed);
        info!(event = "failed", id = %work.job.id, reason = "server_error");
        return pass_on(whole);
    }
    let own = if work.attempts.is_not_run() {
        OwnAnswer::NotRun {
            retry_after_ms: Some(NO_PLACER_RETRY_MS),
        }
    } else if failure == Failure::TimedOut {
        OwnAnswer::TimedOut
    } else {
        OwnAnswer::Broken
    };
    state.metrics.ended(own.outcome());
    info!(event = "failed", id = %work.job.id, reason = ?failure, status = own.status().as_u16());
    own.answer(Some(&work.job.id))
}
