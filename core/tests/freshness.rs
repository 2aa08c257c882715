//! When an instance may admit requests by the configuration it has.

use mimosabay_core::cases;
use mimosabay_core::freshness::{Freshness, FreshnessProof, PeerFreshness};

const BOUND_MS: u64 = 3_000;

enum Proof {
    Nothing,
    Store {
        asked_ms: u64,
    },
    Peer {
        revision: u64,
        age_ms: Option<u64>,
        asked_ms: u64,
    },
}

fn state(proofs: &[Proof], now_ms: u64, hears_majority: bool, expected: Freshness) {
    let mut proof = FreshnessProof::new(BOUND_MS);
    for one in proofs {
        match *one {
            Proof::Nothing => {}
            Proof::Store { asked_ms } => proof.store_answered(asked_ms),
            Proof::Peer {
                revision,
                age_ms,
                asked_ms,
            } => {
                proof.peer_answered(PeerFreshness { revision, age_ms }, OWN_REVISION, asked_ms);
            }
        }
    }
    assert_eq!(proof.state(now_ms, hears_majority), expected);
}

const OWN_REVISION: u64 = 7;
const AT_1_S: Proof = Proof::Store { asked_ms: 1_000 };

cases! {
    state;
    nothing_read_is_never_fresh: (&[Proof::Nothing], 10, true, Freshness::Never);
    store_answer_is_fresh: (&[AT_1_S], 3_999, false, Freshness::Fresh);
    store_answer_grows_stale_when_alone: (&[AT_1_S], 4_000, false, Freshness::Stale);
    store_away_for_a_majority_serves: (&[AT_1_S], 600_000, true, Freshness::StoreAway);
    peer_with_contact_proves_freshness: (
        &[AT_1_S, Proof::Peer { revision: 7, age_ms: Some(500), asked_ms: 9_000 }],
        11_000, true, Freshness::Fresh
    );
    proof_through_a_peer_counts_from_its_own_proof: (
        &[AT_1_S, Proof::Peer { revision: 7, age_ms: Some(2_000), asked_ms: 9_000 }],
        10_000, false, Freshness::Stale
    );
    peer_that_is_ahead_makes_stale: (
        &[AT_1_S, Proof::Peer { revision: 8, age_ms: Some(0), asked_ms: 9_000 }],
        10_000, true, Freshness::Stale
    );
    peer_without_contact_proves_nothing: (
        &[AT_1_S, Proof::Peer { revision: 7, age_ms: Some(8_000), asked_ms: 9_000 }],
        10_000, false, Freshness::Stale
    );
    frozen_process_thaws_stale: (
        &[AT_1_S, Proof::Peer { revision: 7, age_ms: Some(0), asked_ms: 2_000 }],
        62_000, false, Freshness::Stale
    );
}

#[test]
fn an_instance_that_knows_nothing_takes_no_proof_it_cannot_back() {
    let mut proof = FreshnessProof::new(BOUND_MS);
    proof.peer_answered(
        PeerFreshness {
            revision: 5,
            age_ms: Some(0),
        },
        0,
        100,
    );
    assert_eq!(proof.state(200, true), Freshness::Never);
}
