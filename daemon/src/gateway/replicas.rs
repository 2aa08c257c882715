//! Replicas of the store's objects, and whether this instance has still to read some from the
//! store.

use std::collections::HashMap;
use std::sync::Mutex;

use mimosabay_core::replica::{KnownRevision, ReplicaChanges, ReplicaKind, ReplicaLog};
use tokio::sync::Notify;

/// Kinds of objects that instances relay to each other.
const KINDS: [ReplicaKind; 3] = [
    ReplicaKind::Configuration,
    ReplicaKind::Servers,
    ReplicaKind::Releases,
];

/// The replicas of an instance.
#[derive(Default)]
pub(crate) struct Replicas {
    table: Mutex<HashMap<ReplicaKind, Replica>>,
    /// Wakes the watchers of a kind that has to be read.
    unread: Notify,
}

#[derive(Default)]
struct Replica {
    log: ReplicaLog,
    /// Whether there are changes that the placer does not relay.
    has_unread: bool,
    /// Whether the last call of the store for this kind has failed.
    is_cut_off: bool,
}

impl Replicas {
    /// Revision up to which a kind is known; 0 if it has to be listed.
    pub(crate) fn revision(&self, kind: ReplicaKind) -> u64 {
        self.with_log(kind, |log| log.revision())
    }

    /// Discards the log of a kind, which has to be listed again.
    pub(crate) fn reset(&self, kind: ReplicaKind) {
        self.with_log(kind, |log| *log = ReplicaLog::default());
    }

    /// Discards the logs of all kinds.
    pub(crate) fn reset_all(&self) {
        for kind in KINDS {
            self.reset(kind);
        }
        self.unread.notify_waiters();
    }

    pub(crate) fn with_log<T>(
        &self,
        kind: ReplicaKind,
        act: impl FnOnce(&mut ReplicaLog) -> T,
    ) -> T {
        self.with_replica(kind, |replica| act(&mut replica.log))
    }

    /// Revision up to which each kind is known.
    pub(crate) fn known_revisions(&self) -> Vec<KnownRevision> {
        let kinds = KINDS.into_iter();
        kinds
            .map(|kind| {
                self.with_replica(kind, |replica| KnownRevision {
                    kind,
                    revision: replica.log.revision(),
                    is_cut_off: replica.is_cut_off,
                })
            })
            .collect()
    }

    /// Changes that another instance does not know yet.
    pub(crate) fn changes_since(&self, known: &KnownRevision) -> ReplicaChanges {
        self.with_log(known.kind, |log| log.changes_since(known))
    }

    /// Records that there are changes that the placer does not relay.
    pub(crate) fn mark_unread(&self, kind: ReplicaKind) {
        self.with_replica(kind, |replica| replica.has_unread = true);
        self.unread.notify_waiters();
    }

    /// Records that all known changes were applied.
    pub(crate) fn mark_read(&self, kind: ReplicaKind) {
        self.with_replica(kind, |replica| replica.has_unread = false);
    }

    /// Whether the kind has to be read although the placer relays changes.
    pub(crate) fn has_unread(&self, kind: ReplicaKind) -> bool {
        self.with_replica(kind, |replica| replica.has_unread)
    }

    /// Returns once some kind has to be read.
    pub(crate) async fn wait_for_unread(&self) {
        self.unread.notified().await;
    }

    /// Records whether the last call of the store for this kind has failed.
    pub(crate) fn set_cut_off(&self, kind: ReplicaKind, is_cut_off: bool) {
        self.with_replica(kind, |replica| replica.is_cut_off = is_cut_off);
    }

    fn with_replica<T>(&self, kind: ReplicaKind, act: impl FnOnce(&mut Replica) -> T) -> T {
        let mut table = self.table.lock().expect("replicas lock");
        act(table.entry(kind).or_default())
    }
}
