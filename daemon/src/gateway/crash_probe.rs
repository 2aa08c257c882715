//! Finds out whether a server has crashed at which a request ended without an answer.
//!
//! The entry of a crashed server remains in the list for some heartbeats, but its address mostly
//! refuses connections at once. A server that falls silent is recognised by its missing entry.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::backend::Backend;
use mimosabay_core::quarantine::Crash;
use mimosabay_core::work::Work;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::server_connection;
use super::state::State;

/// Number of refused connections in a row that show that a server has ended. A single one may come
/// from a server that accepts no more connections for a moment.
const PROBES: u32 = 2;
/// Time before each probe, in milliseconds.
const PROBE_DELAY_MS: u64 = 150;
/// Time limit of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 350;

/// Time without data from its server after which an abandoned request counts as broken, in
/// milliseconds.
const SILENT_MS: u64 = 1_000;

/// How a request ended at a server that may have begun to run it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RunEnd {
    /// The server answered it.
    Answered {
        /// When it was sent, in milliseconds.
        sent_ms: u64,
    },
    /// The connection broke.
    Broken,
    /// No answer arrived within the time of the attempt.
    TimedOut,
    /// The caller left, or the deadline passed, after a time without data from the server.
    Abandoned {
        /// That time, in milliseconds.
        silent_ms: u64,
    },
}

/// Records how a request ended at a server, and probes the server if the connection broke.
pub(crate) fn record_run_end(state: &Arc<State>, work: &Work, backend: &Backend, end: RunEnd) {
    match end {
        RunEnd::Answered { sent_ms } => state.suspects.record_answer(work, sent_ms),
        RunEnd::Broken => {
            state.suspects.record_broken(work.clone(), backend);
            start_probe(state, backend);
        }
        RunEnd::Abandoned { silent_ms } if silent_ms < SILENT_MS => {}
        RunEnd::TimedOut | RunEnd::Abandoned { .. } => {
            state.suspects.record_broken(work.clone(), backend);
        }
    }
}

/// Probes a server in a separate task, unless another task does.
fn start_probe(state: &Arc<State>, backend: &Backend) {
    let crash = Crash::new(&backend.id, backend.started_unix_ms);
    if !state.suspects.start_probe(&crash) {
        return;
    }
    let state = state.clone();
    let backend = backend.clone();
    tokio::spawn(async move {
        let is_refused = refuses_connections(backend.address).await;
        let has_ended =
            is_refused && !server_connection::is_reached_by_others(&state, &backend).await;
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
