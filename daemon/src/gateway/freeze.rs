//! Detects that the process was suspended.

use std::sync::Arc;
use std::time::Duration;

use nix::time::ClockId;
use tokio::time::sleep;
use tracing::warn;

use super::state::State;
use crate::clock::clock_ms;

/// Time between two checks, in milliseconds.
const CHECK_PERIOD_MS: u64 = 100;
/// Pause that counts as a freeze, in milliseconds.
const FREEZE_MS: u64 = 500;
/// Time for which no orders are sent after a freeze, in milliseconds. Another placer may have taken
/// over, which this process learns from the store within this time.
const HOLD_ORDERS_MS: u64 = 800;

/// Detects freezes until the process ends.
pub(crate) async fn run(state: Arc<State>) {
    let mut before = read_clocks();
    loop {
        sleep(Duration::from_millis(CHECK_PERIOD_MS)).await;
        let now = read_clocks();
        state.order_permission.advance();
        // The monotonic clock may stop during a freeze; the boot-time clock does not.
        let frozen_ms = now.0.saturating_sub(before.0);
        if frozen_ms > CHECK_PERIOD_MS + FREEZE_MS {
            warn!(
                event = "frozen",
                frozen_ms,
                steady_ms = now.1.saturating_sub(before.1)
            );
            if let Some(placer) = state.link.local_placer() {
                placer.hold_orders(state.now_ms() + HOLD_ORDERS_MS);
            }
            state.link.mark_record_stale();
        }
        before = read_clocks();
    }
}

/// Boot time and monotonic time, in milliseconds.
fn read_clocks() -> (u64, u64) {
    (
        clock_ms(ClockId::CLOCK_BOOTTIME),
        clock_ms(ClockId::CLOCK_MONOTONIC),
    )
}
