//! The objects of one shard.

use crate::name::Name;

use super::RUN_LIMIT_MS;
use super::entry::{Claimant, JournalEntry, KeyId, Outcome};

crate::record! {
    /// Where settled entries were moved to.
    pub struct ArchiveRef {
        /// Name of the object. Invariant: unique for each attempt to write an archive.
        pub name: Name,
        /// Version of the object.
        pub version: u64,
        /// Time of its last claim, in milliseconds since 1970.
        pub last_unix_ms: u64,
    }

    /// Settled entries that no longer change.
    pub struct Archive {
        /// The entries.
        pub entries: Vec<JournalEntry>,
    }

    /// The object that arbitrates a shard. It is never deleted.
    #[derive(Default)]
    pub struct Head {
        /// Recent entries. Invariant: at most one for each key; every entry whose run may still
        /// end is here.
        pub entries: Vec<JournalEntry>,
        /// Archives in force, oldest first. Invariant: each exists until the reference is removed.
        pub archives: Vec<ArchiveRef>,
    }
}

impl Head {
    /// The entry of a key.
    pub fn find(&self, key: &KeyId) -> Option<&JournalEntry> {
        self.entries.iter().find(|entry| entry.key == *key)
    }

    /// The entry of an attempt.
    pub fn find_claim(&self, key: &KeyId, claimant: &Claimant) -> Option<&JournalEntry> {
        self.find(key).filter(|entry| entry.claimant == *claimant)
    }

    /// Puts a claim in the place of an older entry of its key.
    pub(super) fn insert_claim(&mut self, entry: JournalEntry) {
        self.entries.retain(|other| other.key != entry.key);
        self.entries.push(entry);
    }

    /// Removes a claim that was not dispatched; returns whether it was there.
    pub(super) fn remove_claim(&mut self, key: &KeyId, claimant: &Claimant) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|entry| entry.is_settled() || entry.key != *key || entry.claimant != *claimant);
        self.entries.len() < before
    }

    /// Records how a run ended; returns whether its claim was there without an outcome.
    pub(super) fn record_outcome(
        &mut self,
        key: &KeyId,
        claimant: &Claimant,
        outcome: &Outcome,
    ) -> bool {
        let open = |entry: &&mut JournalEntry| {
            !entry.is_settled() && entry.key == *key && entry.claimant == *claimant
        };
        match self.entries.iter_mut().find(open) {
            Some(entry) => {
                entry.outcome = Some(outcome.clone());
                true
            }
            None => false,
        }
    }

    /// Drops what has expired and settles runs that exceeded the limit; returns the archives that
    /// are no longer in force.
    pub(super) fn remove_expired(
        &mut self,
        expired_before_ms: u64,
        unix_ms: u64,
    ) -> Vec<ArchiveRef> {
        self.entries
            .retain(|entry| entry.claimed_unix_ms >= expired_before_ms);
        for entry in &mut self.entries {
            if entry.claimed_unix_ms + RUN_LIMIT_MS < unix_ms {
                entry.outcome.get_or_insert(Outcome::Unknown);
            }
        }
        let (kept, expired) = self
            .archives
            .drain(..)
            .partition(|archive| archive.last_unix_ms >= expired_before_ms);
        self.archives = kept;
        expired
    }

    /// Moves the entries of `archive` out of the head.
    pub(super) fn move_to_archive(&mut self, archive: &Archive, reference: ArchiveRef) {
        self.entries
            .retain(|entry| !archive.entries.contains(entry));
        self.archives.push(reference);
    }

    /// The settled entries.
    pub(super) fn settled_entries(&self) -> Vec<JournalEntry> {
        let settled = self.entries.iter().filter(|entry| entry.is_settled());
        settled.cloned().collect()
    }

    /// Size of the settled entries in the store, in bytes.
    pub fn settled_bytes(&self) -> usize {
        let settled = self.entries.iter().filter(|entry| entry.is_settled());
        settled.map(JournalEntry::stored_bytes).sum()
    }

    /// Upper bound of the size in the store once all runs have ended, in bytes.
    pub fn reserved_bytes(&self) -> usize {
        const ARCHIVE_BYTES: usize = 160;
        let entries: usize = self.entries.iter().map(JournalEntry::reserved_bytes).sum();
        entries + self.archives.len() * ARCHIVE_BYTES
    }
}

impl Archive {
    /// Time of the last claim, in milliseconds since 1970.
    pub fn last_unix_ms(&self) -> u64 {
        let times = self.entries.iter().map(|entry| entry.claimed_unix_ms);
        times.max().unwrap_or_default()
    }
}
