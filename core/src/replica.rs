//! Replication of objects of the platform's store between instances.
//!
//! Each call to the store has a cost, so one instance watches it and the others fetch the changes
//! from that instance. A copy has the revision of the store that it reflects; changes after a
//! revision can be fetched from any instance whose log covers that revision.
//!
//! Large changes are not sent between instances, because with many instances the sender would have
//! no capacity left for other work. The others are notified of the change and read it from the store
//! themselves. Only an instance that cannot reach the store receives all changes from its peer.

use std::collections::VecDeque;

use crate::name::Name;

/// Maximum number of changes in a log.
const MAX_EVENTS: usize = 512;
/// Maximum total size of the objects in one update, in bytes. A list of some tens of servers has
/// this size.
pub const MAX_UPDATE_BYTES: usize = 32_768;

crate::key_record! {
    /// Kind of replicated objects.
    #[derive(Copy)]
    pub enum ReplicaKind {
        /// The configuration.
        Configuration,
        /// The backend servers.
        Servers,
        /// Newest version of each adapter.
        Releases,
    }
}

crate::record! {
    /// A change of one object.
    pub struct ReplicaEvent {
        /// Name of the object in the store.
        pub name: Name,
        /// The object as JSON.
        pub object: String,
        /// Whether the object was deleted.
        pub is_deleted: bool,
    }

    /// Changes of one kind after a revision.
    pub struct ReplicaUpdate {
        /// Kind of the changed objects.
        pub kind: ReplicaKind,
        /// Revision of the copy to which the changes apply.
        pub after: u64,
        /// Revision of the copy after the changes.
        pub revision: u64,
        /// The changes, oldest first.
        pub events: Vec<ReplicaEvent>,
    }
}

crate::record! {
    /// Revision of an instance's copy of one kind.
    pub struct KnownRevision {
        /// Kind of the replicated objects.
        pub kind: ReplicaKind,
        /// Revision of the copy; 0 if there is none.
        pub revision: u64,
        /// Whether the instance cannot read this kind from the store.
        pub is_cut_off: bool,
    }

    /// Changes that a copy lacks.
    pub enum ReplicaChanges {
        /// The copy is up to date, or does not exist.
        None,
        /// All changes after the copy's revision.
        Changes(ReplicaUpdate),
        /// The changes exceed [`MAX_UPDATE_BYTES`] and have to be read from the store.
        TooLarge,
        /// The log does not cover the copy's revision, and the kind has to be listed again.
        Uncovered,
    }
}

/// The latest change of each object of one kind.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLog {
    /// The log holds the latest change of each object that changed after this revision.
    start: u64,
    /// Revision up to which the log holds changes. Invariant: at least `start`.
    revision: u64,
    /// Changes with the revision at which they were recorded, oldest first. Invariant: at most one
    /// per object.
    events: VecDeque<(u64, ReplicaEvent)>,
}

impl ReplicaLog {
    /// Returns the revision up to which the log holds changes; 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Resets the log after a whole list was read. It holds no changes before `revision`.
    pub fn reset(&mut self, revision: u64) {
        *self = Self {
            start: revision,
            revision,
            events: VecDeque::new(),
        };
    }

    /// Records the changes up to `revision`. Does nothing unless `revision` is larger than the log's.
    pub fn record(&mut self, revision: u64, events: impl IntoIterator<Item = ReplicaEvent>) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        for event in events {
            self.events.retain(|(_, known)| known.name != event.name);
            self.events.push_back((revision, event));
        }
        while self.events.len() > MAX_EVENTS {
            if let Some((dropped, _)) = self.events.pop_front() {
                self.start = dropped;
            }
        }
    }

    /// Returns the changes after the revision of a copy.
    pub fn changes_since(&self, known: &KnownRevision) -> ReplicaChanges {
        let after = known.revision;
        if after == 0 || after >= self.revision {
            return ReplicaChanges::None;
        }
        if after < self.start {
            return ReplicaChanges::Uncovered;
        }
        let events = self.events.iter();
        let missing = events.filter(|(revision, _)| *revision > after);
        let missing = missing.map(|(_, event)| event);
        let size_bytes: usize = missing.clone().map(|event| event.object.len()).sum();
        if size_bytes > MAX_UPDATE_BYTES && !known.is_cut_off {
            return ReplicaChanges::TooLarge;
        }
        ReplicaChanges::Changes(ReplicaUpdate {
            kind: known.kind,
            after,
            revision: self.revision,
            events: missing.cloned().collect(),
        })
    }

    /// Returns whether an update applies to this copy's revision.
    pub fn accepts(&self, update: &ReplicaUpdate) -> bool {
        update.after == self.revision
    }
}
