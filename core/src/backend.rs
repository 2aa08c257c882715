//! State that backend servers report about themselves.

use std::net::SocketAddr;

use crate::name::Name;

/// Registered backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Identifier, which may be reused after a restart.
    pub id: Name,
    /// Name of its service.
    pub service: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Version of its software; `None` if it is not known, as after a restart that its entry does not
    /// show yet. A stream can only go on at the version that began it.
    pub software_version: Option<Name>,
    /// Maximum number of requests that it processes at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Number of orders that it has accepted since its start.
    pub sequence: u64,
    /// Time for which it stays cold from the time its entry was written, in milliseconds; 0 if it is not
    /// cold.
    pub cold_ms: u64,
    /// Time of its start in Unix milliseconds. A server with the same `id` and another start time has
    /// lost its earlier state.
    pub started_unix_ms: u64,
    /// Whether it will be removed soon, even if requests are running.
    pub is_leaving: bool,
    /// Whether operators have evacuated its availability zone. The server's entry does not say so.
    pub is_evacuated: bool,
    /// Loaded base models with their adapters.
    pub models: Vec<HeldModel>,
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new requests.
    Ready,
    /// It finishes the running requests and then stops.
    Draining,
}

/// Base model that is loaded at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldModel {
    /// Name of the base model.
    pub name: Name,
    /// Loaded adapters and their versions; 0 if the server does not report the version.
    pub adapters: Vec<(Name, u64)>,
}

/// Load that a server reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Time that work takes there now, in percent of the usual time; `None` if the server does not say.
    pub work_percent: Option<u32>,
}

impl Backend {
    /// Returns whether new requests may be sent to the server.
    pub fn is_ready(&self) -> bool {
        self.state == ServerState::Ready && !self.is_leaving && !self.is_evacuated
    }

    /// Returns whether it was cold when its entry was written.
    pub fn is_cold(&self) -> bool {
        self.cold_ms > 0
    }

    /// Returns whether the base model and, if given, the adapter are loaded.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let held = self.models.iter().find(|held| &*held.name == model);
        match (held, adapter) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(held), Some(adapter)) => held.adapters.iter().any(|(name, _)| &**name == adapter),
        }
    }
}
