//! The planned stop, which lets all admitted requests finish within the drain time-out.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::budgets;
use crate::heartbeat;
use crate::instance::Instance;
use crate::journal;
use crate::roster;
use crate::service_level;

/// Waits for `SIGTERM` or `SIGINT`.
///
/// # Panics
///
/// If the process cannot listen for signals.
pub async fn wait_for_stop_signal() {
    let mut term = signal(SignalKind::terminate()).expect("signals can be listened for");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be listened for");
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Reports not ready, stops accepting calls, and returns once all accepted calls are answered or the
/// drain time-out has passed.
pub async fn drain(instance: &Arc<Instance>, close: impl FnOnce()) {
    info!("planned stop begins");
    instance.stopping.store(true, Ordering::SeqCst);
    // Calls that the balancer sends until it notices the stop are still served.
    sleep(Duration::from_millis(
        instance.settings.stop.balancer_lag_ms,
    ))
    .await;
    close();
    let limit = Duration::from_millis(instance.settings.stop.drain_timeout_ms);
    let mut open = instance.open_requests.subscribe();
    let drained = timeout(limit, open.wait_for(|open| *open == 0))
        .await
        .is_ok();
    if drained {
        info!("all requests are answered");
    } else {
        warn!(
            open = *instance.open_requests.borrow(),
            "requests are still open"
        );
    }
    let recorded = timeout(limit, journal::wait_until_settled(instance))
        .await
        .is_ok();
    if !recorded {
        warn!("outcomes of keyed requests are not recorded");
    }
    budgets::leave(instance).await;
    roster::leave(instance).await;
    service_level::flush(instance).await;
    heartbeat::send_leave_notices(instance).await;
}
