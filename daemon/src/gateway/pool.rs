//! Kept connections to backend servers.

use std::collections::HashMap;
use std::sync::Mutex;

use mimosabay_core::backend::Backend;
use mimosabay_core::name::Name;

use super::connection::Connection;
use crate::clock::Clock;

/// Time for which a connection is kept if the server does not tell, in milliseconds.
const DEFAULT_KEPT_MS: u64 = 4_000;
/// Time before the server's own limit at which a connection is no longer used, in milliseconds.
const KEPT_MARGIN_MS: u64 = 600;

/// Idle connections by server.
pub(crate) struct Pool {
    clock: Clock,
    idle: Mutex<HashMap<ServerStart, Vec<Idle>>>,
}

/// One start of a server: another start has other connections.
type ServerStart = (Name, u64);

struct Idle {
    connection: Connection,
    usable_until_ms: u64,
}

impl Pool {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// The connection to a server that was used last, if one is well.
    pub(crate) fn take(&self, backend: &Backend) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.lock().expect("pool lock");
        let connections = idle.get_mut(&start_of(backend))?;
        while let Some(kept) = connections.pop() {
            if kept.usable_until_ms > now_ms && kept.connection.is_ready() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole. `server_keeps_ms` is the time for which the
    /// server keeps it.
    pub(crate) fn keep(
        &self,
        backend: &Backend,
        connection: Connection,
        server_keeps_ms: Option<u64>,
    ) {
        let kept_ms = server_keeps_ms.map_or(DEFAULT_KEPT_MS, |kept_ms| {
            kept_ms.saturating_sub(KEPT_MARGIN_MS)
        });
        let kept = Idle {
            connection,
            usable_until_ms: self.clock.now_ms() + kept_ms,
        };
        let mut idle = self.idle.lock().expect("pool lock");
        idle.entry(start_of(backend)).or_default().push(kept);
    }

    /// Closes connections that are no longer of use.
    pub(crate) fn sweep(&self, is_there: impl Fn(&Name) -> bool) {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.lock().expect("pool lock");
        idle.retain(|(id, _), connections| {
            connections.retain(|kept| kept.usable_until_ms > now_ms);
            is_there(id) && !connections.is_empty()
        });
    }
}

fn start_of(backend: &Backend) -> ServerStart {
    (backend.id.clone(), backend.started_unix_ms)
}
