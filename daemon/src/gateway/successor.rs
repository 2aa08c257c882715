//! Replaces an engine that is silent, once another one has accepted the request.
//!
//! A silent engine may be sound and go on, so its connection is kept while a retry and a placement are
//! requested, and until the next engine has had time to reject the request.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::attempt::ExecutionStatus;
use mimosabay_core::cell::Refusal;
use mimosabay_core::name::Name;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::engine_attempt::EngineAttempt;
use super::engine_request::EngineRequest;
use super::placement::{self, GrantedPlacement, Placement};
use super::retry_permit::RetryPermit;
use super::state::State;

/// Range of the time between two placement requests for one request, in milliseconds.
const PLACEMENT_PAUSE_RANGE_MS: (u64, u64) = (200, 500);
/// Time after sending to the next server within which it rejects a request that it does not accept, in
/// milliseconds. The connection to the silent server is kept until then.
pub(super) const OVERLAP_MS: u64 = 250;

/// The engine that a request waits for.
pub(super) struct Current {
    pub(super) server: Name,
    /// Time without a result after which another engine is requested, in milliseconds.
    pub(super) stall_ms: u64,
    /// Number of the last event that the caller received.
    pub(super) resume_after: Option<u64>,
}

/// What came first.
pub(super) enum Awaited<T> {
    /// The current engine went on.
    Current(T),
    /// Another engine has taken the request. The connection to the current one is to be closed.
    Successor(EngineAttempt),
}

/// Waits for the current engine. If it is silent, another one is requested as well, if the request may
/// be sent again.
pub(super) async fn await_or_replace<T>(
    state: &Arc<State>,
    request: &mut EngineRequest,
    current: &Current,
    result: impl Future<Output = T>,
) -> Awaited<T> {
    tokio::pin!(result);
    if !request.attempts.may_be_replaced() {
        return Awaited::Current(result.await);
    }
    let stall = Duration::from_millis(current.stall_ms);
    if let Ok(result) = timeout(stall, &mut result).await {
        return Awaited::Current(result);
    }
    let server = &current.server;
    info!(event = "server_stalled", id = %request.job.id, %server, silent_ms = current.stall_ms);
    request.excluded.push(server.clone());
    // On the heap, because each wait of a stream would hold its state otherwise.
    let awaited = Box::pin(replace(state, request, current, result)).await;
    if matches!(awaited, Awaited::Current(_)) {
        request.excluded.retain(|excluded| excluded != server);
    }
    awaited
}

async fn replace<T>(
    state: &Arc<State>,
    request: &mut EngineRequest,
    current: &Current,
    mut result: Pin<&mut impl Future<Output = T>>,
) -> Awaited<T> {
    while request.attempts.may_be_replaced() {
        let granted = tokio::select! {
            biased;
            result = &mut result => return Awaited::Current(result),
            granted = next_placement(state, request) => granted,
        };
        // A request under quarantine is not sent again.
        let Ok(granted) = granted else {
            break;
        };
        let mut successor = EngineAttempt::start(state, request, granted, current.resume_after);
        let head = tokio::select! {
            biased;
            result = &mut result => {
                request.attempts.record_failure(ExecutionStatus::Unknown);
                return Awaited::Current(result);
            }
            head = &mut successor.head => head,
            () = sleep(Duration::from_millis(OVERLAP_MS)) => return Awaited::Successor(successor),
        };
        match head {
            Ok(head) if !head.status.is_server_error() => {
                return Awaited::Successor(successor.with_head(head));
            }
            Ok(_) => request.attempts.record_failure(ExecutionStatus::Ran),
            Err(failure) => successor.record_failure(state, request, failure),
        }
    }
    Awaited::Current(result.await)
}

/// Takes a retry and requests a placement until both are granted.
///
/// # Errors
///
/// The refusal, if the request has crashed several servers.
pub(super) async fn next_placement(
    state: &Arc<State>,
    request: &mut EngineRequest,
) -> Result<GrantedPlacement, Refusal> {
    let service = request.job.service.name.clone();
    loop {
        let permit = RetryPermit::take(state, &service).await;
        let pause_ms = match placement::place_request(state, request).await {
            Placement::Granted(granted) => {
                permit.spend();
                return Ok(granted);
            }
            Placement::Refused(refusal) if refusal.reason.quarantined().is_some() => {
                return Err(refusal);
            }
            Placement::Refused(refusal) => refusal.retry_after_ms,
            Placement::ServerLeft => 0,
        };
        drop(permit);
        let (min_ms, max_ms) = PLACEMENT_PAUSE_RANGE_MS;
        sleep(Duration::from_millis(pause_ms.clamp(min_ms, max_ms))).await;
    }
}
