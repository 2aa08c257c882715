//! Handles a request to an engine: its placement, its attempts and their failures.

use std::sync::Arc;

use mimosabay_core::attempt::{Attempts, ExecutionStatus};
use mimosabay_core::cell::{EndedRun, Refusal, RefusalReason, RunOutcome};
use mimosabay_core::name::Name;
use mimosabay_core::prompt::Prompt;
use mimosabay_core::site::RetrySafety;
use mimosabay_core::stream_placement::StreamPlacement;
use mimosabay_core::stream_versions::StreamVersion;
use mimosabay_core::version_binding::VersionBinding;
use mimosabay_platform::ingress;
use tracing::info;

use super::answer::{Answer, OwnAnswer, forward_response};
use super::engine_attempt::{EngineAttempt, run_outcome};
use super::engine_run::Run;
use super::exchange::{self, CompleteResponse, Failure, ResponseHead};
use super::metrics::Outcome;
use super::placement::{self, GrantedPlacement, Placement};
use super::relay;
use super::request::Job;
use super::state::State;
use super::successor::{self, Awaited, Current};

/// Retry delay for a caller whose request could not be placed, in milliseconds.
pub(super) const NO_PLACER_RETRY_MS: u64 = 500;

/// A request at an engine, with its attempts so far.
pub(crate) struct EngineRequest {
    pub(crate) job: Job,
    pub(crate) prompt: Prompt,
    pub(crate) attempts: Attempts,
    pub(super) excluded: Vec<Name>,
    /// Servers that did not accept it.
    pub(super) refused_by: Vec<Name>,
    /// Whether its organisation has been charged.
    pub(super) is_charged: bool,
    /// Outcome of the previous attempt.
    pub(super) previous: Option<EndedRun>,
    failed_response: Option<CompleteResponse>,
    /// Whether it was assigned to a server.
    pub(super) was_placed: bool,
    /// Whether it is under quarantine and is run once nevertheless.
    pub(super) is_trial: bool,
    /// The stream that it begins or goes on with.
    pub(super) stream: StreamPlacement,
    /// The software version at which it begins, if it begins a stream.
    pub(super) binding: VersionBinding,
}

impl EngineRequest {
    /// Whether a server failed an attempt or did not accept one.
    pub(super) fn has_tried(&self, server: &Name) -> bool {
        self.excluded.contains(server) || self.refused_by.contains(server)
    }

    /// Excludes a server from the next placements. The placer knows by itself whether a server that did
    /// not accept the request will accept it soon.
    pub(super) fn exclude(&mut self, server: Name, failure: Failure) {
        let was_not_taken = matches!(failure, Failure::NotHeld | Failure::Rejected);
        let servers = if was_not_taken {
            &mut self.refused_by
        } else {
            &mut self.excluded
        };
        servers.push(server);
    }

    /// Records that a server of a software version was assigned, by a placer or by this instance.
    pub(super) fn record_assignment(&mut self, version: Option<&Name>, is_by_placer: bool) {
        if self.stream == StreamPlacement::New {
            self.binding.record_assignment(version, is_by_placer);
        }
    }

    /// Records that a placer may have assigned a server and has not answered.
    pub(super) fn record_unanswered(&mut self) {
        if self.stream == StreamPlacement::New {
            self.binding.record_unanswered();
            info!(event = "placement_unanswered", id = %self.job.id, binding = ?self.binding);
        }
    }

    /// Records that the first event of its stream has arrived from a server with this software version.
    pub(super) fn record_begun(&mut self, state: &State, version: Option<&Name>) {
        let Some(stream) = self.stream.name(&self.job.id).cloned() else {
            return;
        };
        state.streams.record_begun(&StreamVersion::new(
            stream.clone(),
            self.job.service.name.clone(),
            version.cloned(),
            true,
            self.job.remaining_ms(state),
        ));
        self.stream = match version.cloned() {
            Some(version) => StreamPlacement::Known { stream, version },
            None => StreamPlacement::TakenUp { stream },
        };
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
    let mut request = EngineRequest {
        attempts: Attempts::new(job.route.retry_safety, job.route.max_attempts),
        stream: requested_stream(state, &job),
        job,
        prompt,
        excluded: Vec::new(),
        refused_by: Vec::new(),
        is_charged: false,
        previous: None,
        failed_response: None,
        was_placed: false,
        is_trial: false,
        binding: VersionBinding::default(),
    };
    match first_response_head(state, &mut request).await {
        Ok((head, run)) if request.job.route.is_stream() && head.status.is_success() => {
            relay::start(state.clone(), request, head, run).await
        }
        Ok((head, mut run)) => {
            let left_ms = request.job.remaining_ms(state);
            match exchange::read_complete_response(state, head, left_ms).await {
                Ok(response) => {
                    run.set_outcome(RunOutcome::Answered);
                    state.metrics.count_outcome(Outcome::Answered);
                    forward_response(response)
                }
                Err(failure) => {
                    run.set_outcome(run_outcome(failure));
                    request.attempts.record_failure(failure.execution_status());
                    failure_answer(state, &mut request, failure)
                }
            }
        }
        Err(answer) => answer,
    }
}

/// Returns the stream that a request begins or takes up.
fn requested_stream(state: &State, job: &Job) -> StreamPlacement {
    if job.route.retry_safety != RetrySafety::ResumableStream {
        return StreamPlacement::None;
    }
    let began_as = ingress::resumed_attempt_id(&job.headers);
    let after = ingress::last_event_id(&job.headers);
    if began_as.is_none() && after.is_none() {
        return StreamPlacement::New;
    }
    let stream: Name = began_as.unwrap_or_default().into();
    let known = state.streams.get(&stream);
    // Until a stream has begun, the placer may have assigned it to a server of another version.
    let begun = known.filter(|known| known.has_begun);
    let version = begun.and_then(|begun| begun.version);
    info!(
        event = "stream_taken_up",
        id = %job.id,
        began_as,
        after,
        software_version = version.as_deref()
    );
    match version {
        Some(version) => StreamPlacement::Known { stream, version },
        None => StreamPlacement::TakenUp { stream },
    }
}

/// Tries servers until one sends a response head without a server error.
async fn first_response_head(
    state: &Arc<State>,
    request: &mut EngineRequest,
) -> Result<(ResponseHead, Run), Answer> {
    loop {
        let failure = match attempt_next_server(state, request).await {
            Ok((head, run)) if !head.status.is_server_error() => return Ok((head, run)),
            Ok((head, mut run)) => {
                let left_ms = request.job.remaining_ms(state);
                let response = exchange::read_complete_response(state, head, left_ms).await;
                request.excluded.push(run.server.clone());
                run.set_outcome(RunOutcome::Failed);
                request.attempts.record_failure(ExecutionStatus::Ran);
                request.failed_response = response.ok();
                Failure::Broken
            }
            Err(AttemptError::Failed(failure)) => failure,
            Err(AttemptError::Refused(refusal)) => {
                return Err(refusal_answer(state, request, &refusal));
            }
        };
        if !try_take_retry(state, request) {
            return Err(failure_answer(state, request, failure));
        }
    }
}

/// Why an attempt produced no response.
enum AttemptError {
    /// A server failed; the attempt is counted.
    Failed(Failure),
    /// No placement was granted.
    Refused(Refusal),
}

/// Takes a retry for another attempt; returns whether the attempt may be made.
fn try_take_retry(state: &State, request: &EngineRequest) -> bool {
    request.job.remaining_ms(state) > 0
        && request.attempts.may_retry()
        && state.try_take_retry(&request.job.service.name)
}

/// Makes an attempt at the server that the placer chooses.
async fn attempt_next_server(
    state: &Arc<State>,
    request: &mut EngineRequest,
) -> Result<(ResponseHead, Run), AttemptError> {
    let granted = place(state, request).await?;
    let attempt = EngineAttempt::start(state, request, granted, None);
    let head = await_head(state, request, attempt, None).await;
    head.map_err(AttemptError::Failed)
}

/// Waits for the head of the response. If the server is silent, the attempt goes on at another one as soon
/// as that has accepted the request.
///
/// # Errors
///
/// The failure of the last attempt, which is counted.
pub(crate) async fn await_head(
    state: &Arc<State>,
    request: &mut EngineRequest,
    mut attempt: EngineAttempt,
    resume_after: Option<u64>,
) -> Result<(ResponseHead, Run), Failure> {
    loop {
        let current = Current {
            server: attempt.run.server.clone(),
            stall_ms: attempt.stall_ms,
            resume_after,
        };
        let awaited = successor::await_or_replace(state, request, &current, &mut attempt.head);
        match awaited.await {
            Awaited::Current(Ok(head)) => return Ok((head, attempt.run)),
            Awaited::Current(Err(failure)) => {
                attempt.record_failure(state, request, failure);
                return Err(failure);
            }
            Awaited::Successor(successor) => {
                attempt.record_failure(state, request, Failure::TimedOut);
                attempt = successor;
            }
        }
    }
}

async fn place(
    state: &Arc<State>,
    request: &mut EngineRequest,
) -> Result<GrantedPlacement, AttemptError> {
    match placement::place_request(state, request).await {
        Placement::Granted(granted) => Ok(granted),
        Placement::Refused(refusal) => Err(AttemptError::Refused(refusal)),
        Placement::ServerLeft => {
            request.attempts.record_failure(ExecutionStatus::NotRun);
            Err(AttemptError::Failed(Failure::NotHeld))
        }
    }
}

fn refusal_answer(state: &State, request: &mut EngineRequest, refusal: &Refusal) -> Answer {
    if !request.attempts.is_not_run() {
        return failure_answer(state, request, Failure::Broken);
    }
    let own_answer = match refusal.reason {
        RefusalReason::OverRate => OwnAnswer::OverRate {
            retry_after_ms: refusal.retry_after_ms,
        },
        RefusalReason::Overloaded
        | RefusalReason::NoServer
        | RefusalReason::UnknownVersion
        | RefusalReason::Quarantined(_) => OwnAnswer::NotRun {
            retry_after_ms: Some(refusal.retry_after_ms),
        },
    };
    state.metrics.count_outcome(own_answer.outcome());
    own_answer.answer(Some(&request.job.id))
}

/// The final answer after the last attempt.
fn failure_answer(state: &State, request: &mut EngineRequest, failure: Failure) -> Answer {
    if let Some(response) = request.failed_response.take() {
        state.metrics.count_outcome(Outcome::ServerFailed);
        info!(event = "failed", id = %request.job.id, reason = "server_error");
        return forward_response(response);
    }
    let own_answer = if request.attempts.is_not_run() {
        OwnAnswer::NotRun {
            retry_after_ms: Some(NO_PLACER_RETRY_MS),
        }
    } else if failure == Failure::TimedOut {
        OwnAnswer::TimedOut
    } else {
        OwnAnswer::Broken
    };
    state.metrics.count_outcome(own_answer.outcome());
    info!(event = "failed", id = %request.job.id, reason = ?failure, status = own_answer.status().as_u16());
    own_answer.answer(Some(&request.job.id))
}
