//! Table of the backend servers that this instance knows, with their load.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::digest::{ModelKey, ServerDigest};
use super::residency::Presence;
use crate::name::Name;
use crate::resource::BackendServer;

/// Index of a server in the table. It is reused after the server has been removed.
pub(super) type ServerIndex = u32;

/// State of a backend server as known to this instance.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) name: Name,
    pub(super) name_hash: u64,
    pub(super) zone: Name,
    pub(super) pool: Name,
    pub(super) batch: u32,
    pub(super) slots: u32,
    /// Requests that this instance has sent and that have not ended.
    pub(super) own_requests: u32,
    /// Requests of all other instances, by the last digest.
    pub(super) other_requests: u32,
    /// Fencing and sequence number of the last digest. Invariant: never decreases.
    pub(super) last_digest: (u64, u64),
    /// Slots that are free or hold an adapter without running requests.
    pub(super) open_slots: u32,
    /// Loads that wait or are in progress, by the last digest.
    pub(super) open_loads: u32,
    pub(super) run_ms: u32,
    /// Adapters that this instance estimates to be resident. Invariant: the same pairs as in
    /// [`Residency`](super::residency::Residency).
    pub(super) models: Vec<(ModelKey, Presence)>,
    /// Time of the last restart, in milliseconds.
    pub(super) restarted_ms: Option<u64>,
}

impl Server {
    fn new(name: &Name, spec: &BackendServer) -> Self {
        Self {
            name: name.clone(),
            name_hash: xxh3_64(name.as_bytes()),
            zone: spec.zone.clone(),
            pool: spec.pool.clone(),
            batch: spec.batch.max(1),
            slots: spec.slots,
            own_requests: 0,
            other_requests: 0,
            last_digest: (0, 0),
            open_slots: spec.slots,
            open_loads: 0,
            run_ms: 0,
            models: Vec::new(),
            restarted_ms: None,
        }
    }

    /// Returns the number of requests that run or wait there.
    pub(super) fn outstanding(&self) -> u32 {
        self.own_requests.saturating_add(self.other_requests)
    }

    /// Returns the estimate whether it has the adapter.
    pub(super) fn presence(&self, model: ModelKey) -> Option<Presence> {
        let known = self.models.iter().find(|(known, _)| *known == model);
        known.map(|(_, presence)| *presence)
    }

    /// Returns whether the specification is unchanged in the fields that the entry depends on.
    pub(super) fn has_same_spec(&self, spec: &BackendServer) -> bool {
        self.zone == spec.zone
            && self.pool == spec.pool
            && self.batch == spec.batch.max(1)
            && self.slots == spec.slots
    }

    /// Applies the counts of a digest. The instance's own count of its requests is more recent than
    /// the owner's.
    pub(super) fn apply_digest(&mut self, digest: &ServerDigest) {
        self.last_digest = (digest.fencing, digest.sequence);
        let all = digest.waiting.saturating_add(digest.running);
        self.other_requests = all.saturating_sub(self.own_requests);
        self.open_slots = digest.open_slots;
        self.open_loads = digest.open_loads();
        self.run_ms = digest.run_ms;
    }
}

/// Servers by index and by name.
#[derive(Debug, Default)]
pub(super) struct Servers {
    entries: Vec<Option<Server>>,
    free: Vec<ServerIndex>,
    by_name: HashMap<Name, ServerIndex>,
}

impl Servers {
    pub(super) fn add(&mut self, name: &Name, spec: &BackendServer) -> ServerIndex {
        let server = Some(Server::new(name, spec));
        let index = if let Some(index) = self.free.pop() {
            self.entries[index as usize] = server;
            index
        } else {
            self.entries.push(server);
            ServerIndex::try_from(self.entries.len() - 1).expect("fewer servers than 2^32")
        };
        self.by_name.insert(name.clone(), index);
        index
    }

    pub(super) fn remove(&mut self, index: ServerIndex) -> Option<Server> {
        let server = self.entries.get_mut(index as usize)?.take()?;
        self.by_name.remove(&server.name);
        self.free.push(index);
        Some(server)
    }

    pub(super) fn find(&self, name: &str) -> Option<ServerIndex> {
        self.by_name.get(name).copied()
    }

    pub(super) fn get(&self, index: ServerIndex) -> Option<&Server> {
        self.entries.get(index as usize)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, index: ServerIndex) -> Option<&mut Server> {
        self.entries.get_mut(index as usize)?.as_mut()
    }

    pub(super) fn indices(&self) -> Vec<ServerIndex> {
        self.by_name.values().copied().collect()
    }
}
