//! Requests to engines that wait for a placement or run.

use std::collections::HashMap;
use std::sync::Mutex;

use mimosabay_core::cell::{AdapterKey, AdoptedRun, Ticket};
use mimosabay_core::name::Name;

/// Largest number of adapters whose last server is cached. A full cache is cleared.
const MAX_LAST_SERVERS: usize = 4_096;

/// The requests of this instance, and where the last ones for each adapter were placed. Each lock is
/// held for a single step.
#[derive(Default)]
pub(crate) struct RunTable {
    runs: Mutex<HashMap<Ticket, AdoptedRun>>,
    /// Server to which the placer sent the last request for each adapter. Invariant: at most
    /// [`MAX_LAST_SERVERS`] entries.
    last_servers: Mutex<HashMap<AdapterKey, Name>>,
}

impl RunTable {
    /// Adds a request that waits for a placement.
    pub(crate) fn add(&self, run: AdoptedRun) {
        self.runs.lock().expect("runs lock").insert(run.ticket, run);
    }

    /// Records the server at which a request was placed.
    pub(crate) fn set_server(&self, ticket: Ticket, server: &Name) {
        let mut runs = self.runs.lock().expect("runs lock");
        let Some(run) = runs.get_mut(&ticket) else {
            return;
        };
        run.server = server.clone();
        let key = run.prompt.adapter_key();
        drop(runs);
        if let Some(key) = key {
            self.cache_last_server(key, server);
        }
    }

    /// Removes a request that has left its server or no longer waits.
    pub(super) fn remove(&self, ticket: Ticket) {
        self.runs.lock().expect("runs lock").remove(&ticket);
    }

    /// Server to which the placer sent the last request for an adapter.
    pub(crate) fn last_server(&self, key: &AdapterKey) -> Option<Name> {
        let last_servers = self.last_servers.lock().expect("last servers lock");
        last_servers.get(key).cloned()
    }

    /// Number of requests at each server.
    pub(crate) fn count_by_server(&self) -> HashMap<Name, usize> {
        let mut counts = HashMap::new();
        for run in self.runs.lock().expect("runs lock").values() {
            *counts.entry(run.server.clone()).or_default() += 1;
        }
        counts
    }

    /// The requests that have been placed at a server.
    pub(super) fn placed(&self) -> Vec<AdoptedRun> {
        let runs = self.runs.lock().expect("runs lock");
        let placed = runs.values().filter(|run| !run.server.is_empty());
        placed.cloned().collect()
    }

    fn cache_last_server(&self, key: AdapterKey, server: &Name) {
        let mut last_servers = self.last_servers.lock().expect("last servers lock");
        if last_servers.len() >= MAX_LAST_SERVERS {
            last_servers.clear();
        }
        last_servers.insert(key, server.clone());
    }
}
