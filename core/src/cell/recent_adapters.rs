//! Adapters that an engine held recently and loads faster.

use super::adapter_map::AdapterMap;
use super::engine::{AdapterKey, is_current};

/// Number of adapters that a server keeps a local copy of in addition to the loaded ones.
const MAX_RECENT: usize = 48;

/// Adapters that a server recently held.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentAdapters {
    adapters: AdapterMap<RecentAdapter>,
    /// Number of insertions so far.
    insertions: u64,
}

#[derive(Clone, Copy, Debug)]
struct RecentAdapter {
    version: u64,
    /// Number of its insertion; the smallest one is the oldest.
    inserted: u64,
}

impl RecentAdapters {
    /// Returns whether the adapter was held recently; if `newest` is set, in at least that version.
    pub(crate) fn contains(&self, key: &AdapterKey, newest: Option<u64>) -> bool {
        let recent = self.adapters.get(key);
        recent.is_some_and(|recent| is_current(recent.version, newest))
    }

    pub(crate) fn insert(&mut self, key: AdapterKey, version: u64) {
        self.insertions += 1;
        let recent = RecentAdapter {
            version,
            inserted: self.insertions,
        };
        self.adapters.insert(key, recent);
        if self.adapters.len() > MAX_RECENT {
            self.remove_oldest();
        }
    }

    pub(crate) fn remove(&mut self, key: &AdapterKey) {
        self.adapters.remove(key);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.adapters.iter().min_by_key(|(_, it)| it.inserted);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.adapters.remove(&key);
        }
    }
}
