//! The stored objects of a shard.

use crate::name::Name;

use super::RUN_LIMIT_MS;
use super::entry::{Claimant, JournalEntry, KeyId, Outcome};

crate::record! {
    /// Reference from a head to an archive of settled entries.
    pub struct ArchiveRef {
        /// Name of the archive object. Invariant: unique for each attempt to write an archive.
        pub name: Name,
        /// Version of the archive object.
        pub version: u64,
        /// Time of the last claim in the archive, in milliseconds since 1970.
        pub last_unix_ms: u64,
    }

    /// An immutable object with settled entries.
    pub struct Archive {
        /// The settled entries.
        pub entries: Vec<JournalEntry>,
    }

    /// The object that decides which attempt holds each key of a shard. It is never deleted.
    #[derive(Default)]
    pub struct Head {
        /// Recent entries. Invariants: at most one entry for each key; contains every entry whose
        /// run may still end.
        pub entries: Vec<JournalEntry>,
        /// Archives in force, oldest first. Invariant: each exists while it is referenced here.
        pub archives: Vec<ArchiveRef>,
    }
}

impl Head {
    /// Returns the entry of a key.
    pub fn find(&self, key: &KeyId) -> Option<&JournalEntry> {
        self.entries.iter().find(|entry| entry.key == *key)
    }

    /// Returns the entry of a key if `claimant` holds it.
    pub fn find_claim(&self, key: &KeyId, claimant: &Claimant) -> Option<&JournalEntry> {
        self.find(key).filter(|entry| entry.claimant == *claimant)
    }

    /// Inserts a claim and removes an older entry of its key.
    pub(super) fn insert_claim(&mut self, entry: JournalEntry) {
        self.entries.retain(|other| other.key != entry.key);
        self.entries.push(entry);
    }

    /// Removes a claim that was not dispatched; returns whether it existed.
    pub(super) fn remove_claim(&mut self, key: &KeyId, claimant: &Claimant) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|entry| entry.is_settled() || entry.key != *key || entry.claimant != *claimant);
        self.entries.len() < before
    }

    /// Records the outcome of a run; returns whether the head had its claim without an outcome.
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

    /// Removes expired entries, and settles claims older than [`RUN_LIMIT_MS`] as unknown. Returns
    /// the archives that are no longer in force.
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

    /// Removes the entries of `archive` from the head and adds the reference to the archive.
    pub(super) fn move_to_archive(&mut self, archive: &Archive, reference: ArchiveRef) {
        self.entries
            .retain(|entry| !archive.entries.contains(entry));
        self.archives.push(reference);
    }

    /// Returns the entries whose outcome is recorded.
    pub(super) fn settled_entries(&self) -> Vec<JournalEntry> {
        let settled = self.entries.iter().filter(|entry| entry.is_settled());
        settled.cloned().collect()
    }

    /// Returns an upper bound of the settled entries' size in the store, in bytes.
    pub fn settled_bytes(&self) -> usize {
        let settled = self.entries.iter().filter(|entry| entry.is_settled());
        settled.map(JournalEntry::stored_bytes).sum()
    }

    /// Returns an upper bound of the head's size in the store once all runs have ended, in bytes.
    pub fn reserved_bytes(&self) -> usize {
        const ARCHIVE_BYTES: usize = 160;
        let entries: usize = self.entries.iter().map(JournalEntry::reserved_bytes).sum();
        entries + self.archives.len() * ARCHIVE_BYTES
    }
}

impl Archive {
    /// Returns the time of the last claim, in milliseconds since 1970.
    pub fn last_unix_ms(&self) -> u64 {
        let times = self.entries.iter().map(|entry| entry.claimed_unix_ms);
        times.max().unwrap_or_default()
    }
}
