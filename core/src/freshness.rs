//! Whether the configuration of this instance may be out of date.
//!
//! A withdrawn key has to stop working within seconds, also at an instance that has lost the store.
//! A response of the store confirms freshness, and so does a response of a peer with a recent
//! confirmation whose revision this instance has reached. If no reachable peer has contact with the
//! store, then either the store is unreachable for all instances and no configuration can have
//! changed, or this instance is in a minority network partition. It keeps serving only while it
//! reaches a majority of the instances.

crate::record! {
    /// Revision and age of a peer's configuration.
    #[derive(Copy)]
    pub struct PeerFreshness {
        /// Largest revision in force at the peer.
        pub revision: u64,
        /// Time since the last confirmation at the peer, in milliseconds; `None` without one.
        pub age_ms: Option<u64>,
    }
}

/// Freshness of the configuration in force. Requests are admitted if it is `Fresh` or
/// `StoreUnreachable`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// No configuration has been confirmed yet.
    Unconfirmed,
    /// Confirmed within the bound.
    Fresh,
    /// The last confirmation is older than the bound, but a majority of the instances is reachable and
    /// none of them is known to be ahead.
    StoreUnreachable,
    /// The configuration may be out of date.
    Stale,
}

/// Confirmations of the configuration of one instance.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    bound_ms: u64,
    /// Time of the last confirmation. Invariant: never in the future, never decreases.
    confirmed_ms: Option<u64>,
    /// Time until which a peer counts as ahead of this instance.
    behind_until_ms: u64,
}

impl FreshnessTracker {
    /// Creates a tracker without a confirmation. A confirmation is valid for `bound_ms`.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            confirmed_ms: None,
            behind_until_ms: 0,
        }
    }

    /// Records that the store has returned all changes up to a call made at `requested_ms`.
    pub fn on_store_response(&mut self, requested_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(requested_ms));
    }

    /// Records a peer's response to a call made at `requested_ms`. `own_revision` is the revision in
    /// force at this instance.
    pub fn on_peer_response(&mut self, peer: PeerFreshness, own_revision: u64, requested_ms: u64) {
        let Some(age_ms) = peer.age_ms.filter(|age_ms| *age_ms < self.bound_ms) else {
            return;
        };
        if own_revision >= peer.revision {
            self.on_store_response(requested_ms.saturating_sub(age_ms));
        } else {
            self.behind_until_ms = self.behind_until_ms.max(requested_ms + self.bound_ms);
        }
    }

    /// Returns the time since the last confirmation, which is sent to peers.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms
            .map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms))
    }

    /// Returns the freshness of the configuration now.
    pub fn state(&self, now_ms: u64, reaches_majority: bool) -> Freshness {
        match self.age_ms(now_ms) {
            None => Freshness::Unconfirmed,
            Some(age_ms) if age_ms < self.bound_ms => Freshness::Fresh,
            Some(_) if reaches_majority && now_ms >= self.behind_until_ms => {
                Freshness::StoreUnreachable
            }
            Some(_) => Freshness::Stale,
        }
    }
}
