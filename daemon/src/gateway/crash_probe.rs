//! Probes of servers at which requests broke.
//!
//! The entry of a crashed server remains in the list for some heartbeats, but its address refuses
//! connections at once.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::backend::Backend;
use mimosabay_core::quarantine::Crash;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::state::State;

/// Number of refused connections in a row that show that a server has ended. A single one may come
/// from a server that accepts no more connections for a moment.
const PROBES: u32 = 2;
/// Time before each probe, in milliseconds.
const PROBE_DELAY_MS: u64 = 150;
/// Time limit of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 350;

/// Probes a server in a separate task, unless another task does.
pub(crate) fn start(state: &Arc<State>, backend: &Backend) {
    let crash = Crash {
        server: backend.id.clone(),
        boot: backend.started_unix_ms,
    };
    if !state.suspects.start_probe(&crash) {
        return;
    }
    let state = state.clone();
    let address = backend.address;
    tokio::spawn(async move {
        let has_ended = refuses_connections(address).await;
        state.suspects.finish_probe(&crash, has_ended);
    });
}

async fn refuses_connections(address: SocketAddr) -> bool {
    for _ in 0..PROBES {
        sleep(Duration::from_millis(PROBE_DELAY_MS)).await;
        let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let is_refused = matches!(
            connected,
            Ok(Err(cause)) if cause.kind() == ErrorKind::ConnectionRefused
        );
        if !is_refused {
            return false;
        }
    }
    true
}
