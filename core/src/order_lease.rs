//! The lease under which a placer sends orders to servers.
//!
//! Servers of some sites accept orders of a placer that has been replaced, so the lease alone decides. A
//! placer obtains it by a call of the store that shows its record. It is extended while most other
//! instances are heard from, because instances leave a placer whose successor they know. Once it has
//! ended, the store has to confirm the record again: what instances sent before a pause of this process
//! or of its links may arrive afterwards.

use std::collections::BTreeMap;

use crate::name::Name;

/// Longest time between two calls of a process that runs, in milliseconds. After a longer pause a
/// successor may be at work.
const MAX_PAUSE_MS: u64 = 500;

/// Longest time until an order that was permitted has reached its server, in milliseconds: the timeout of the
/// call.
const ORDER_FLIGHT_MS: u64 = 400;
/// Time within which instances leave a placer that was replaced, in milliseconds. They watch its record.
const LEAVE_MS: u64 = 300;

/// Duration of the lease if the lease of the site is `lease_ms`, in milliseconds.
pub fn duration_ms(lease_ms: u64) -> u64 {
    lease_ms / 3
}

/// Time from the writing of a successor's record until its first order, in milliseconds. The lease of
/// the placer before it has ended by then.
pub fn takeover_wait_ms(lease_ms: u64) -> u64 {
    duration_ms(lease_ms) + LEAVE_MS + ORDER_FLIGHT_MS
}

/// Right of this process to send orders. Times are those of a clock that runs on while the machine is
/// suspended.
#[derive(Clone, Debug)]
pub struct OrderLease {
    duration_ms: u64,
    /// Number of the placer that holds the lease; `None` if this process must not order.
    holder: Option<u64>,
    /// When the lease ends, in milliseconds.
    valid_until_ms: u64,
    /// When each other instance was last heard from, in milliseconds. Instances that were in contact when
    /// the store confirmed the record stay, so that a majority of those that are left is none.
    heard_ms: BTreeMap<Name, u64>,
    /// Time of the last call, in milliseconds.
    last_call_ms: u64,
}

impl OrderLease {
    /// Creates a lease that nobody holds.
    pub fn new(duration_ms: u64) -> Self {
        Self {
            duration_ms,
            holder: None,
            valid_until_ms: 0,
            heard_ms: BTreeMap::new(),
            last_call_ms: 0,
        }
    }

    /// Obtains the lease for the placer with a fencing number. The store has shown its record in answer to
    /// a call that was sent at `asked_ms`. `others` are the other instances in contact.
    pub fn acquire(
        &mut self,
        fencing_number: u64,
        asked_ms: u64,
        others: impl IntoIterator<Item = Name>,
    ) {
        self.holder = Some(fencing_number);
        self.valid_until_ms = asked_ms + self.duration_ms;
        self.heard_ms = others.into_iter().map(|other| (other, asked_ms)).collect();
        self.last_call_ms = self.last_call_ms.max(asked_ms);
    }

    /// Gives the lease up. Only [`OrderLease::acquire`] returns it.
    pub fn release(&mut self) {
        self.holder = None;
    }

    /// Records that another instance takes this process for the placer.
    pub fn record_contact(&mut self, other: &Name, now_ms: u64) {
        self.advance(now_ms);
        match self.heard_ms.get_mut(other) {
            Some(heard_ms) => *heard_ms = now_ms,
            None => {
                self.heard_ms.insert(other.clone(), now_ms);
            }
        }
    }

    /// Returns whether the placer with a fencing number may send an order now.
    pub fn may_order(&mut self, fencing_number: u64, now_ms: u64) -> bool {
        self.advance(now_ms);
        self.holder == Some(fencing_number) && now_ms < self.valid_until_ms
    }

    /// Extends the lease, or ends it if this process was paused. Has to be called several times in
    /// [`duration_ms`].
    pub fn advance(&mut self, now_ms: u64) {
        if now_ms > self.last_call_ms + MAX_PAUSE_MS {
            self.valid_until_ms = self.valid_until_ms.min(self.last_call_ms);
        }
        self.last_call_ms = self.last_call_ms.max(now_ms);
        self.extend(now_ms);
    }

    /// Extends a lease that has not ended if most other instances were heard from.
    fn extend(&mut self, now_ms: u64) {
        let is_due = now_ms + self.duration_ms / 2 >= self.valid_until_ms;
        if !is_due || now_ms >= self.valid_until_ms {
            return;
        }
        if let Some(heard_ms) = self.majority_heard_ms() {
            self.valid_until_ms = self.valid_until_ms.max(heard_ms + self.duration_ms);
        }
    }

    /// Returns the time since which most other instances were heard from; `None` without others.
    fn majority_heard_ms(&self) -> Option<u64> {
        let mut heard_ms: Vec<u64> = self.heard_ms.values().copied().collect();
        let rank = heard_ms.len().checked_sub(1)? / 2;
        let (_, majority_ms, _) = heard_ms.select_nth_unstable(rank);
        Some(*majority_ms)
    }
}
