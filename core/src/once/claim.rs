//! What an instance still wants a shard to record.

use super::entry::{Claimant, Entry, KeyId, Outcome};
use super::head::Head;

#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) entry: Entry,
    /// Calls that had been started when the claim arrived.
    pub(super) after_call: u64,
    /// The last write that held the claim, unless it was certainly refused.
    pub(super) attempt: Option<Attempt>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// When the first write was sent.
    pub(super) sent_ms: u64,
    /// Version that the last write needs.
    pub(super) base: Option<u64>,
}

/// A claim that was given up while a write that holds it may still land.
#[derive(Clone, Debug)]
pub(super) struct Orphan {
    pub(super) key: KeyId,
    pub(super) claimant: Claimant,
    /// Version that the write needs.
    pub(super) base: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct Update {
    pub(super) key: KeyId,
    pub(super) claimant: Claimant,
    /// The outcome, or `None` to release the claim.
    pub(super) outcome: Option<Outcome>,
}

impl Update {
    /// Applies the update; returns whether it changed anything.
    pub(super) fn apply(&self, head: &mut Head) -> bool {
        match &self.outcome {
            Some(outcome) => head.settle(&self.key, &self.claimant, outcome),
            None => head.release(&self.key, &self.claimant),
        }
    }
}

impl Orphan {
    pub(super) fn release(self) -> Update {
        Update {
            key: self.key,
            claimant: self.claimant,
            outcome: None,
        }
    }
}

pub(super) fn stamped(entry: &Entry, unix_ms: u64) -> Entry {
    Entry {
        claimed_unix_ms: unix_ms,
        ..entry.clone()
    }
}
