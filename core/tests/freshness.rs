//! When an instance may admit requests with its configuration.

use mimosabay_core::cases;
use mimosabay_core::freshness::{Freshness, FreshnessTracker, PeerFreshness};

const BOUND_MS: u64 = 3_000;

enum Confirmation {
    Nothing,
    Store {
        requested_ms: u64,
    },
    Peer {
        revision: u64,
        age_ms: Option<u64>,
        requested_ms: u64,
    },
}

fn check_state(
    confirmations: &[Confirmation],
    now_ms: u64,
    reaches_majority: bool,
    expected: Freshness,
) {
    let mut tracker = FreshnessTracker::new(BOUND_MS);
    for confirmation in confirmations {
        match *confirmation {
            Confirmation::Nothing => {}
            Confirmation::Store { requested_ms } => tracker.on_store_response(requested_ms),
            Confirmation::Peer {
                revision,
                age_ms,
                requested_ms,
            } => {
                tracker.on_peer_response(
                    PeerFreshness { revision, age_ms },
                    OWN_REVISION,
                    requested_ms,
                );
            }
        }
    }
    assert_eq!(tracker.state(now_ms, reaches_majority), expected);
}

const OWN_REVISION: u64 = 7;
const AT_1_S: Confirmation = Confirmation::Store {
    requested_ms: 1_000,
};

cases! {
    check_state;
    unconfirmed_before_the_first_read: (&[Confirmation::Nothing], 10, true, Freshness::Unconfirmed);
    store_response_confirms: (&[AT_1_S], 3_999, false, Freshness::Fresh);
    store_response_expires_without_a_majority: (&[AT_1_S], 4_000, false, Freshness::Stale);
    store_unreachable_for_a_majority: (&[AT_1_S], 600_000, true, Freshness::StoreUnreachable);
    peer_with_contact_confirms: (
        &[AT_1_S, Confirmation::Peer { revision: 7, age_ms: Some(500), requested_ms: 9_000 }],
        11_000, true, Freshness::Fresh
    );
    confirmation_by_a_peer_counts_from_the_last_one_of_the_peer: (
        &[AT_1_S, Confirmation::Peer { revision: 7, age_ms: Some(2_000), requested_ms: 9_000 }],
        10_000, false, Freshness::Stale
    );
    stale_if_a_peer_is_ahead: (
        &[AT_1_S, Confirmation::Peer { revision: 8, age_ms: Some(0), requested_ms: 9_000 }],
        10_000, true, Freshness::Stale
    );
    peer_without_contact_does_not_confirm: (
        &[AT_1_S, Confirmation::Peer { revision: 7, age_ms: Some(8_000), requested_ms: 9_000 }],
        10_000, false, Freshness::Stale
    );
    stale_when_a_frozen_process_resumes: (
        &[AT_1_S, Confirmation::Peer { revision: 7, age_ms: Some(0), requested_ms: 2_000 }],
        62_000, false, Freshness::Stale
    );
}

#[test]
fn peer_that_is_ahead_does_not_confirm() {
    let mut tracker = FreshnessTracker::new(BOUND_MS);
    tracker.on_peer_response(
        PeerFreshness {
            revision: 5,
            age_ms: Some(0),
        },
        0,
        100,
    );
    assert_eq!(tracker.state(200, true), Freshness::Unconfirmed);
}
