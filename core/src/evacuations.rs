//! Availability zones that operators have evacuated.
//!
//! A zone is evacuated while the store holds an entry for it. A store that comes back from an older
//! copy may lack an entry that operators have written; its zone stays evacuated until they have had
//! time to write it again.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;

/// Time for which a zone stays evacuated whose entry a new era of the store lacks, in milliseconds.
const HOLD_MS: u64 = 6_000;

/// The evacuated zones, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Zones with an entry.
    zones: BTreeSet<Name>,
    /// Zones whose entry is missing in a new era of the store, and until when they stay evacuated, in
    /// milliseconds.
    held: BTreeMap<Name, u64>,
    /// Until when missing entries may be written again, in milliseconds.
    hold_until_ms: u64,
}

impl Evacuations {
    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone) || self.held.contains_key(zone)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> BTreeSet<Name> {
        let held = self.held.keys().cloned();
        self.zones.iter().cloned().chain(held).collect()
    }

    /// Replaces the entries by a complete list.
    pub fn reset(&mut self, zones: impl IntoIterator<Item = Name>, now_ms: u64) {
        let before = std::mem::replace(&mut self.zones, zones.into_iter().collect());
        if now_ms < self.hold_until_ms {
            let missing = before.difference(&self.zones).cloned();
            let until_ms = self.hold_until_ms;
            self.held.extend(missing.map(|zone| (zone, until_ms)));
        }
        let zones = &self.zones;
        self.held.retain(|zone, _| !zones.contains(zone));
    }

    /// Applies a change of the entry for a zone.
    pub fn apply(&mut self, zone: Name, is_evacuated: bool) {
        self.held.remove(&zone);
        if is_evacuated {
            self.zones.insert(zone);
        } else {
            self.zones.remove(&zone);
        }
    }

    /// Prepares for entries from an older copy of the store.
    pub fn begin_store_era(&mut self, now_ms: u64) {
        self.hold_until_ms = now_ms + HOLD_MS;
    }

    /// Takes zones back whose entry was not written again in time. Returns whether there were any.
    pub fn release_held(&mut self, now_ms: u64) -> bool {
        let before = self.held.len();
        self.held.retain(|_, until_ms| now_ms < *until_ms);
        self.held.len() != before
    }
}
