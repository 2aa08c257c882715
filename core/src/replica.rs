//! Copies of what the platform's store holds, passed on between instances.
//!
//! Each call of the store is paid for, so one instance watches it and the others take the changes
//! from that one. A copy is as of a revision of the store; changes after a revision can be taken
//! from any instance whose log reaches back that far.
//!
//! A large object is not passed on: with many instances, the one that passes it on would be busy with
//! nothing else. The others are told that there is news, and read it from the store themselves. Only
//! an instance that does not reach the store gets all from its peer.

use std::collections::VecDeque;

use crate::name::Name;

/// Changes that a log keeps.
const MAX_EVENTS: usize = 512;
/// Total size of the changes that are passed on at once, in bytes; the size of a list of some tens
/// of servers.
pub const MAX_PASSED_ON_BYTES: usize = 32_768;

crate::key_record! {
    /// What is copied.
    #[derive(Copy)]
    pub enum ReplicaKind {
        /// The configuration.
        Configuration,
        /// The backend servers.
        Servers,
        /// Newest versions of adapters.
        Releases,
    }
}

crate::record! {
    /// A change of one object.
    pub struct ReplicaEvent {
        /// Name of the object.
        pub name: Name,
        /// The object as JSON.
        pub object: String,
        /// Whether it is gone.
        pub is_deleted: bool,
    }

    /// Changes of one kind after a revision.
    pub struct ReplicaUpdate {
        /// What has changed.
        pub kind: ReplicaKind,
        /// The changes apply to a copy as of this revision.
        pub after: u64,
        /// Revision of the copy with the changes.
        pub revision: u64,
        /// The changes, oldest first.
        pub events: Vec<ReplicaEvent>,
    }
}

crate::record! {
    /// Up to where an instance has a copy of one kind.
    pub struct KnownRevision {
        /// What is copied.
        pub kind: ReplicaKind,
        /// Revision of the copy; 0 if there is none.
        pub revision: u64,
        /// Whether the instance cannot read the kind from the store.
        pub is_cut_off: bool,
    }

    /// What a log has for a copy.
    pub enum News {
        /// The copy is up to date, or there is none.
        None,
        /// The changes that the copy misses.
        Changes(ReplicaUpdate),
        /// The changes are too large to be passed on, and have to be read from the store.
        TooLarge,
        /// The log does not reach back to the copy, and the kind has to be listed again.
        Uncovered,
    }
}

/// The latest change of each object of one kind.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLog {
    /// The log holds the latest change of all objects that changed after this revision.
    start: u64,
    /// Revision up to which changes are known. Invariant: at least `start`.
    revision: u64,
    /// Changes with the revision at which they were known, oldest first. Invariant: one for each
    /// object.
    events: VecDeque<(u64, ReplicaEvent)>,
}

impl ReplicaLog {
    /// Revision up to which changes are known; 0 if nothing is.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A whole list was read; changes before it are not known.
    pub fn reset(&mut self, revision: u64) {
        *self = Self {
            start: revision,
            revision,
            events: VecDeque::new(),
        };
    }

    /// Changes up to `revision` have become known. Older news is ignored.
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

    /// What an instance with this copy has to know.
    pub fn news(&self, known: &KnownRevision) -> News {
        let after = known.revision;
        if after == 0 || after >= self.revision {
            return News::None;
        }
        if after < self.start {
            return News::Uncovered;
        }
        let events = self.events.iter();
        let missed = events.filter(|(revision, _)| *revision > after);
        let missed = missed.map(|(_, event)| event);
        let size_bytes: usize = missed.clone().map(|event| event.object.len()).sum();
        if size_bytes > MAX_PASSED_ON_BYTES && !known.is_cut_off {
            return News::TooLarge;
        }
        News::Changes(ReplicaUpdate {
            kind: known.kind,
            after,
            revision: self.revision,
            events: missed.cloned().collect(),
        })
    }

    /// Whether an update continues this copy.
    pub fn accepts(&self, update: &ReplicaUpdate) -> bool {
        update.after == self.revision
    }
}
