//! Index of the servers that hold each adapter, as estimated by this instance.

use std::collections::HashMap;

use super::digest::ModelKey;
use super::servers::ServerIndex;

/// Source of the estimate that a server has an adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Presence {
    /// The owner reported it in memory.
    Loaded,
    /// The owner reported that it is being loaded.
    Loading,
    /// This instance sent a request for it to the server.
    Expected {
        /// Time at which the last such request was sent, in milliseconds.
        since_ms: u64,
    },
}

impl Presence {
    /// Returns whether only this instance expects the adapter, for less than `expect_ms`.
    pub(super) fn is_expected(self, expect_ms: u64, now_ms: u64) -> bool {
        match self {
            Presence::Loaded | Presence::Loading => false,
            Presence::Expected { since_ms } => now_ms.saturating_sub(since_ms) < expect_ms,
        }
    }
}

/// Servers by adapter.
#[derive(Debug, Default)]
pub(super) struct Residency {
    /// Invariant: no list is empty or contains a server twice.
    by_model: HashMap<ModelKey, Vec<ServerIndex>>,
}

impl Residency {
    /// Returns the servers that are estimated to hold or load the adapter.
    pub(super) fn servers(&self, model: ModelKey) -> &[ServerIndex] {
        self.by_model.get(&model).map_or(&[], Vec::as_slice)
    }

    pub(super) fn insert(&mut self, model: ModelKey, server: ServerIndex) {
        self.by_model.entry(model).or_default().push(server);
    }

    pub(super) fn remove(&mut self, model: ModelKey, server: ServerIndex) {
        let Some(servers) = self.by_model.get_mut(&model) else {
            return;
        };
        servers.retain(|known| *known != server);
        if servers.is_empty() {
            self.by_model.remove(&model);
        }
    }
}
