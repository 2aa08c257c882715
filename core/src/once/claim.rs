//! What an instance still wants a shard to record.

use super::entry::{Claimant, JournalEntry, KeyId, Outcome};
use super::head::Head;

#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) entry: JournalEntry,
    /// Calls that had been started when the claim arrived.
    pub(super) calls_before: u64,
    /// The last write that held the claim, unless it was certainly refused.
    pub(super) last_write: Option<WriteAttempt>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct WriteAttempt {
    /// When the first write was sent.
    pub(super) first_sent_ms: u64,
    /// Version that the last write needs.
    pub(super) base_version: Option<u64>,
}

/// A claim that was given up while a write that holds it may still land.
#[derive(Clone, Debug)]
pub(super) struct OrphanedClaim {
    pub(super) key: KeyId,
    pub(super) claimant: Claimant,
    /// Version that the write needs.
    pub(super) base_version: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct EntryUpdate {
    pub(super) key: KeyId,
    pub(super) claimant: Claimant,
    /// The outcome, or `None` to release the claim.
    pub(super) outcome: Option<Outcome>,
}

impl EntryUpdate {
    /// Applies the update; returns whether it changed anything.
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
