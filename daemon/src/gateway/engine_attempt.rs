//! One attempt of a request at an engine.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::{BoxFuture, ready};
use mimosabay_core::cell::RunOutcome;
use tracing::info;

use super::engine_request::EngineRequest;
use super::engine_run::Run;
use super::exchange::{self, Failure, ResponseHead};
use super::placement::GrantedPlacement;
use super::request::AttemptOptions;
use super::state::State;

/// Time beyond twice the forecast after which a server counts as silent, in milliseconds.
const FIRST_EVENT_SLACK_MS: u64 = 1_500;

/// A request that was sent to the assigned engine. Dropping it closes the connection.
pub(crate) struct EngineAttempt {
    pub(super) run: Run,
    version: Option<u64>,
    /// Time without a response head after which another engine is requested, in milliseconds.
    pub(super) stall_ms: u64,
    /// The head of the response.
    pub(super) head: BoxFuture<'static, Result<ResponseHead, Failure>>,
}

impl EngineAttempt {
    /// Sends the request; `resume_after` is the number of the last event that the caller received.
    pub(super) fn start(
        state: &Arc<State>,
        request: &EngineRequest,
        granted: GrantedPlacement,
        resume_after: Option<u64>,
    ) -> Self {
        let GrantedPlacement {
            mut run,
            backend,
            version,
            first_event_ms,
        } = granted;
        let options = AttemptOptions {
            server: backend.id.clone(),
            urgency: Some(request.job.urgency()),
            version,
            resume_after,
        };
        run.mark_sent(&backend);
        let left_ms = request.job.remaining_ms(state);
        let outgoing = request.job.outgoing(state, options);
        let state = state.clone();
        let head = async move { exchange::send(&state, &backend, outgoing, left_ms).await };
        Self {
            run,
            version,
            stall_ms: first_event_ms * 2 + FIRST_EVENT_SLACK_MS,
            head: head.boxed(),
        }
    }

    /// Puts the head back that was awaited.
    pub(super) fn with_head(mut self, head: ResponseHead) -> Self {
        self.head = ready(Ok(head)).boxed();
        self
    }

    /// Records that the attempt has failed, or was given up.
    pub(super) fn record_failure(
        &mut self,
        state: &State,
        request: &mut EngineRequest,
        failure: Failure,
    ) {
        state.metrics.count_failure(failure);
        info!(
            event = "attempt_failed",
            id = %request.job.id,
            server = %self.run.server,
            ?failure,
            version = self.version,
            left_ms = request.job.remaining_ms(state)
        );
        request.attempts.record_failure(failure.execution_status());
        request.exclude(self.run.server.clone(), failure);
        self.run.set_outcome(run_outcome(failure));
        request.previous = Some(self.run.as_ended());
    }
}

/// How a run ended for the placer.
pub(super) fn run_outcome(failure: Failure) -> RunOutcome {
    match failure {
        Failure::Unreachable => RunOutcome::Unreachable,
        Failure::NotHeld => RunOutcome::NotHeld,
        Failure::Rejected => RunOutcome::Rejected,
        Failure::Broken | Failure::Foreign | Failure::TimedOut => RunOutcome::Broken,
    }
}
