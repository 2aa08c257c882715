//! Follows the servers that start or recover, and ends their slow start.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::state::State;

/// Longest time between two checks whether slow starts have ended, in milliseconds.
const CHECK_PERIOD_MS: u64 = 500;

/// Follows the servers until the process ends.
pub(super) async fn run(state: Arc<State>) {
    let mut backends = state.backends.subscribe();
    let period = Duration::from_millis(CHECK_PERIOD_MS);
    loop {
        // The servers are checked after a change and after a time-out alike.
        let _ = timeout(period, backends.changed()).await;
        let snapshot = backends.borrow_and_update().clone();
        let servers = snapshot.values().map(|backend| &**backend);
        state.server_limits.observe_starts(servers);
        let starting = state.server_limits.starting_count();
        state.metrics.set_starting_servers(starting);
    }
}
