//! The planned stop of an instance.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{info, warn};

use super::election;
use super::signals::StopSignals;
use super::state::{Phase, State};

/// Time after the signal from which kept connections are closed and streams are refused, in
/// milliseconds. The platform needs two failed readiness probes to send callers elsewhere.
const CLOSE_AFTER_MS: u64 = 2_700;
/// Time before the end from which every request is refused, in milliseconds.
const REFUSE_BEFORE_END_MS: u64 = 1_500;
/// Time before the platform kills the process at which the process ends by itself, in milliseconds.
const END_MARGIN_MS: u64 = 300;
/// Time between two checks whether all requests have ended, in milliseconds.
const CHECK_PERIOD_MS: u64 = 20;
/// Time without an open request after which the process may end, in milliseconds. A caller may just
/// have sent a request on a kept connection.
const IDLE_BEFORE_STOP_MS: u64 = 700;

/// Returns once the process was asked to stop and has answered the requests that it accepted, or
/// its grace period is over.
pub(crate) async fn run(state: Arc<State>, mut signals: StopSignals) {
    signals.recv().await;
    info!(event = "stopping", open = state.metrics.open_requests());
    let stop_requested_ms = state.now_ms();
    state.phase.send_replace(Phase::Leaving);
    let resigning = state.clone();
    let resign = tokio::spawn(async move { election::resign(&resigning).await });
    let end_ms = stop_requested_ms + state.settings().stop_grace_ms.saturating_sub(END_MARGIN_MS);
    state.set_stop_end(end_ms);
    let mut busy_ms = stop_requested_ms;
    loop {
        sleep(Duration::from_millis(CHECK_PERIOD_MS)).await;
        let now_ms = state.now_ms();
        let open = state.metrics.open_requests();
        if open > 0 {
            busy_ms = now_ms;
        }
        enter_phase(&state, phase_at(now_ms, stop_requested_ms, end_ms));
        let is_idle = now_ms - busy_ms >= IDLE_BEFORE_STOP_MS;
        if state.phase() >= Phase::Closing && is_idle && resign.is_finished() {
            info!(event = "stopped", took_ms = now_ms - stop_requested_ms);
            return;
        }
        if now_ms >= end_ms {
            warn!(event = "stopped_with_open_requests", open);
            return;
        }
    }
}

fn phase_at(now_ms: u64, stop_requested_ms: u64, end_ms: u64) -> Phase {
    if now_ms + REFUSE_BEFORE_END_MS >= end_ms {
        Phase::Refusing
    } else if now_ms >= stop_requested_ms + CLOSE_AFTER_MS {
        Phase::Closing
    } else {
        Phase::Leaving
    }
}

fn enter_phase(state: &State, phase: Phase) {
    if state.phase() != phase {
        info!(event = "stop_phase", ?phase);
        state.phase.send_replace(phase);
    }
}
