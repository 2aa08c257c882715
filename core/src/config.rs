//! The configuration in force, kept as a per-object maximum of store revisions.
//!
//! The store is the arbiter: its revisions only grow. An instance that learns of an object from
//! the store or from a peer keeps the entry with the larger revision, and keeps deletions as
//! tombstones, so that no order of arrival makes the configuration revert.

use std::collections::HashMap;

use crate::name::Name;
use crate::resource::{Kind, Spec};

crate::key_record! {
    /// Identity of a resource.
    pub struct ObjectKey {
        /// Kind of the resource.
        pub kind: Kind,
        /// Name of the resource, unique in its kind.
        pub name: Name,
    }
}

crate::record! {
    /// An accepted generation of a resource, or its deletion.
    pub struct Accepted {
        /// Identity of the resource.
        pub key: ObjectKey,
        /// Store revision of the accepted object. Invariant: only grows for a key.
        pub revision: u64,
        /// The content; `None` is a tombstone.
        pub spec: Option<Spec>,
    }
}

/// Accepted resources by identity.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    entries: HashMap<ObjectKey, Accepted>,
    /// Largest revision applied. Invariant: at least that of every entry.
    revision: u64,
}

impl ConfigTable {
    /// Takes in an entry; returns whether it is newer than what was known.
    pub fn apply(&mut self, entry: Accepted) -> bool {
        if self.known_revision(&entry.key) >= entry.revision {
            return false;
        }
        self.revision = self.revision.max(entry.revision);
        self.entries.insert(entry.key.clone(), entry);
        true
    }

    /// Largest revision that was applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The content of a resource, unless it is absent or deleted.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Spec> {
        let key = ObjectKey {
            kind,
            name: name.into(),
        };
        self.entries.get(&key)?.spec.as_ref()
    }

    /// All resources that are not deleted.
    pub fn iter(&self) -> impl Iterator<Item = (&ObjectKey, &Spec)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| Some((key, entry.spec.as_ref()?)))
    }

    /// Entries with a revision above `revision`, tombstones included.
    pub fn newer_than(&self, revision: u64) -> Vec<Accepted> {
        self.entries
            .values()
            .filter(|entry| entry.revision > revision)
            .cloned()
            .collect()
    }

    fn known_revision(&self, key: &ObjectKey) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.revision)
    }
}
