//! Replaces a server that is silent, once another one has been assigned.
//!
//! A silent server may be sound and go on, so its connection is kept while a retry and a placement are
//! requested, and as long as there is none.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::attempt::ExecutionStatus;
use mimosabay_core::cell::{Refusal, RefusalReason};
use mimosabay_core::name::Name;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::engine_request::EngineRequest;
use super::placement::{self, GrantedPlacement, Placement};
use super::retry_permit::RetryPermit;
use super::state::State;

/// Range of the time between two placement requests for one request, in milliseconds.
const PLACEMENT_PAUSE_RANGE_MS: (u64, u64) = (200, 500);

/// What came first.
pub(super) enum Awaited<T> {
    /// The current server went on.
    Current(T),
    /// Another server was assigned. The connection to the current one is to be closed.
    Successor(GrantedPlacement),
}

/// Waits for the current server. After `stall_ms` without a result, another server is requested as
/// well, if the request may be sent again.
pub(super) async fn await_or_replace<T>(
    state: &Arc<State>,
    request: &mut EngineRequest,
    server: &Name,
    current: impl Future<Output = T>,
    stall_ms: u64,
) -> Awaited<T> {
    tokio::pin!(current);
    if !may_be_replaced(request) {
        return Awaited::Current(current.await);
    }
    if let Ok(result) = timeout(Duration::from_millis(stall_ms), &mut current).await {
        return Awaited::Current(result);
    }
    info!(event = "server_stalled", id = %request.job.id, %server, silent_ms = stall_ms);
    request.excluded.push(server.clone());
    let awaited = tokio::select! {
        biased;
        result = &mut current => Awaited::Current(result),
        Ok(successor) = next_placement(state, request) => Awaited::Successor(successor),
    };
    request.excluded.retain(|excluded| excluded != server);
    awaited
}

/// Whether the request may be sent to another server if the current one is given up.
fn may_be_replaced(request: &EngineRequest) -> bool {
    let mut next = request.attempts.clone();
    next.record_failure(ExecutionStatus::Unknown);
    next.may_retry()
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
            Placement::Refused(refusal) if refusal.reason == RefusalReason::Quarantined => {
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
