//! Claims and updates that are not yet written to a shard's head.

use super::entry::{Claimant, JournalEntry, KeyId, Outcome};
use super::head::Head;

#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) entry: JournalEntry,
    /// Number of store calls that had been started when the claim was made.
    pub(super) calls_before: u64,
    /// The last write that contained the claim, unless the store certainly rejected it.
    pub(super) last_write: Option<WriteAttempt>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct WriteAttempt {
    /// Monotonic time at which the first write was sent, in milliseconds.
    pub(super) first_sent_ms: u64,
    /// Head version on which the last write is conditional.
    pub(super) base_version: Option<u64>,
}

/// An abandoned claim that a write still in flight may record.
#[derive(Clone, Debug)]
pub(super) struct OrphanedClaim {
    pub(super) key: KeyId,
    pub(super) claimant: Claimant,
    /// Head version on which the write is conditional.
    pub(super) base_version: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct EntryUpdate {
    pub(super) key: KeyId,
    pub(super) claimant: Claimant,
    /// The outcome to record, or `None` to release the claim.
    pub(super) outcome: Option<Outcome>,
}

impl EntryUpdate {
    /// Applies the update to `head`; returns whether it changed anything.
    pub(super) fn apply(&self, head: &mut Head) -> bool {
        match &self.outcome {
            Some(outcome) => head.record_outcome(&self.key, &self.claimant, outcome),
            None => head.remove_claim(&self.key, &self.claimant),
        }
    }
}

impl OrphanedClaim {
    pub(super) fn into_release(self) -> EntryUpdate {
        EntryUpdate {
            key: self.key,
            claimant: self.claimant,
            outcome: None,
        }
    }
}

pub(super) fn with_claim_time(entry: &JournalEntry, unix_ms: u64) -> JournalEntry {
    JournalEntry {
        claimed_unix_ms: unix_ms,
        ..entry.clone()
    }
}
