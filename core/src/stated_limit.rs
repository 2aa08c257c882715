//! Limits that backend servers state in their answers.

use std::collections::BTreeMap;

use crate::name::Name;

/// Largest number of servers whose statements are kept; those that stated theirs the longest ago are
/// dropped first. A server whose entry is missing for a moment keeps its limit.
pub const MAX_SERVERS: usize = 1_000;

crate::record! {
    /// What one start of a server has stated.
    pub struct StatedLimit {
        /// Identifier of the server.
        pub server: Name,
        /// Time of its start in Unix milliseconds.
        pub boot: u64,
        /// Requests a second from all instances together; `None` if it has lifted its limit.
        /// Invariant: not negative.
        pub requests_per_s: Option<f64>,
        /// Time of the answer that stated it, in Unix milliseconds.
        pub stated_unix_ms: u64,
    }
}

/// The latest statement of each server that ever stated a limit.
#[derive(Clone, Debug, Default)]
pub struct StatedLimits {
    by_server: BTreeMap<Name, StatedLimit>,
}

impl StatedLimits {
    /// Applies a statement if it is newer than the known one. Returns whether the limit in force has
    /// changed. A server that never stated a limit cannot lift one.
    pub fn apply(&mut self, stated: &StatedLimit) -> bool {
        let known = self.by_server.get(&stated.server);
        if known.is_none() && stated.requests_per_s.is_none() {
            return false;
        }
        let age = |it: &StatedLimit| (it.boot, it.stated_unix_ms);
        if known.is_some_and(|known| age(known) >= age(stated)) {
            return false;
        }
        let is_changed = known.is_none_or(|known| {
            known.boot != stated.boot || known.requests_per_s != stated.requests_per_s
        });
        self.by_server.insert(stated.server.clone(), stated.clone());
        self.evict_excess();
        is_changed
    }

    fn evict_excess(&mut self) {
        if self.by_server.len() <= MAX_SERVERS {
            return;
        }
        let oldest = self.by_server.values().min_by_key(|it| it.stated_unix_ms);
        if let Some(server) = oldest.map(|it| it.server.clone()) {
            self.by_server.remove(&server);
        }
    }

    /// Returns the limit in force for a start of a server, in requests a second.
    pub fn requests_per_s(&self, server: &str, boot: u64) -> Option<f64> {
        let known = self.by_server.get(server)?;
        known.requests_per_s.filter(|_| known.boot == boot)
    }

    /// Returns the known statement of a server.
    pub fn get(&self, server: &str) -> Option<&StatedLimit> {
        self.by_server.get(server)
    }

    /// Returns all statements.
    pub fn iter(&self) -> impl Iterator<Item = &StatedLimit> {
        self.by_server.values()
    }
}
