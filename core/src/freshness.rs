//! Whether the configuration of this instance may be out of date.
//!
//! A withdrawn key has to stop working within seconds, also at an instance that has lost the store.
//! Contact with the store proves freshness, and so does a peer that has fresh contact and whose
//! configuration this instance has caught up with. If nobody who is heard has contact, then either
//! the store is away for all, and nothing can have changed, or this instance is in a part of the
//! network that was cut off. It goes on serving only while it hears a majority of the instances.

crate::record! {
    /// How fresh a peer's configuration is.
    #[derive(Copy)]
    pub struct PeerFreshness {
        /// Largest revision that the peer has in force.
        pub revision: u64,
        /// Time since the peer's configuration was proved fresh; `None` if it never was.
        pub age_ms: Option<u64>,
    }
}

/// Whether requests may be admitted by the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Nothing was ever read.
    Never,
    /// Proved fresh within the bound.
    Fresh,
    /// The store is away for all who are heard, and they are a majority.
    StoreAway,
    /// The configuration may be out of date.
    Stale,
}

/// The proofs of freshness of one instance.
#[derive(Clone, Debug)]
pub struct FreshnessProof {
    bound_ms: u64,
    /// Time of the newest proof. Invariant: never in the future, never goes back.
    proved_ms: Option<u64>,
    /// Until when a peer is known to be fresher than this instance.
    behind_until_ms: u64,
}

impl FreshnessProof {
    /// Starts without a proof. A proof holds for `bound_ms`.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            proved_ms: None,
            behind_until_ms: 0,
        }
    }

    /// The store has answered with all changes up to a call made at `asked_ms`.
    pub fn store_answered(&mut self, asked_ms: u64) {
        self.proved_ms = self.proved_ms.max(Some(asked_ms));
    }

    /// A peer has answered a call made at `asked_ms`; `own_revision` is in force here.
    pub fn peer_answered(&mut self, peer: PeerFreshness, own_revision: u64, asked_ms: u64) {
        let Some(age_ms) = peer.age_ms.filter(|age_ms| *age_ms < self.bound_ms) else {
            return;
        };
        if own_revision >= peer.revision {
            self.store_answered(asked_ms.saturating_sub(age_ms));
        } else {
            self.behind_until_ms = self.behind_until_ms.max(asked_ms + self.bound_ms);
        }
    }

    /// Time since the newest proof, to be told to peers.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.proved_ms
            .map(|proved_ms| now_ms.saturating_sub(proved_ms))
    }

    /// Whether requests may be admitted now.
    pub fn state(&self, now_ms: u64, hears_majority: bool) -> Freshness {
        match self.age_ms(now_ms) {
            None => Freshness::Never,
            Some(age_ms) if age_ms < self.bound_ms => Freshness::Fresh,
            Some(_) if hears_majority && now_ms >= self.behind_until_ms => Freshness::StoreAway,
            Some(_) => Freshness::Stale,
        }
    }
}
