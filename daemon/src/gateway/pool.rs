//! Pool of idle connections to backend servers.

use std::collections::HashMap;
use std::sync::Mutex;

use mimosabay_core::backend::Backend;
use mimosabay_core::name::Name;

use super::connection::Connection;
use crate::clock::Clock;

/// Time for which an idle connection is kept if the server states no limit, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// Time before the server's own limit at which a connection is no longer used, in milliseconds.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 600;

/// Idle connections by server.
pub(crate) struct Pool {
    clock: Clock,
    idle: Mutex<HashMap<ServerStart, Vec<Idle>>>,
}

/// One process of a server, identified by its start time. Another process has other connections.
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

    /// Takes the most recently used connection to a server that is still usable.
    pub(crate) fn take_connection(&self, backend: &Backend) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.lock().expect("pool lock");
        let connections = idle.get_mut(&server_start(backend))?;
        while let Some(idle_connection) = connections.pop() {
            if idle_connection.usable_until_ms > now_ms && idle_connection.connection.is_ready() {
                return Some(idle_connection.connection);
            }
        }
        None
    }

    /// Adds a connection whose response was read completely. `server_idle_timeout_ms` is the time
    /// for which the server keeps it.
    pub(crate) fn put_connection(
        &self,
        backend: &Backend,
        connection: Connection,
        server_idle_timeout_ms: Option<u64>,
    ) {
        let usable_for_ms = server_idle_timeout_ms.map_or(DEFAULT_IDLE_TIMEOUT_MS, |timeout_ms| {
            timeout_ms.saturating_sub(IDLE_TIMEOUT_MARGIN_MS)
        });
        let idle_connection = Idle {
            connection,
            usable_until_ms: self.clock.now_ms() + usable_for_ms,
        };
        let mut idle = self.idle.lock().expect("pool lock");
        idle.entry(server_start(backend))
            .or_default()
            .push(idle_connection);
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        self.idle.lock().expect("pool lock").clear();
    }

    /// Closes connections that have expired or whose server is not registered any more.
    pub(crate) fn remove_expired(&self, is_registered: impl Fn(&Name) -> bool) {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.lock().expect("pool lock");
        idle.retain(|(id, _), connections| {
            connections.retain(|idle_connection| idle_connection.usable_until_ms > now_ms);
            is_registered(id) && !connections.is_empty()
        });
    }
}

fn server_start(backend: &Backend) -> ServerStart {
    (backend.id.clone(), backend.started_unix_ms)
}
