//! Polls conditions until they are met, and runs asynchronous tests.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Timeout of [`wait_for`].
const TIMEOUT_MS: u64 = 30_000;
/// Interval between two evaluations of a condition.
const POLL_INTERVAL_MS: u64 = 20;

/// Waits until `condition` returns a value.
///
/// # Panics
///
/// After 30 s, with `what` in the message.
pub async fn wait_for<T>(what: &str, condition: impl AsyncFnMut() -> Option<T>) -> T {
    match wait_up_to(TIMEOUT_MS, condition).await {
        Some(value) => value,
        None => panic!("{what}: not within {TIMEOUT_MS} ms"),
    }
}

/// Waits until `condition` returns a value; returns `None` after `timeout_ms`.
pub async fn wait_up_to<T>(
    timeout_ms: u64,
    mut condition: impl AsyncFnMut() -> Option<T>,
) -> Option<T> {
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    loop {
        if let Some(value) = condition().await {
            return Some(value);
        }
        if Instant::now() >= deadline {
            return None;
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Runs an asynchronous test on a new runtime with two worker threads.
///
/// # Panics
///
/// If the runtime cannot be started, or the test panics.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(test);
}
