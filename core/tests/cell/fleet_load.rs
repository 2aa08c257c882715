//! The load of a fleet, and a placer that follows another one in the middle of it.

use mimosabay_core::cell::Cell;

use crate::fleet::{self, Fleet, FleetSize, Outcomes};

/// Sites of several sizes, with the load of each engine alike.
const SIZES: [FleetSize; 2] = [
    FleetSize {
        engines: 24,
        instances: 30,
        adapters: 3_700,
        requests_per_s: 78,
    },
    FleetSize {
        engines: 156,
        instances: 195,
        adapters: 24_000,
        requests_per_s: 506,
    },
];
/// Time for which the load is played before it is observed, in milliseconds.
const WARM_MS: u64 = 6_000;
/// Time for which the load is observed, in milliseconds.
const OBSERVED_MS: u64 = 6_000;
/// Time after which a successor serves as the placer before it did, in milliseconds.
const RECOVERED_MS: u64 = 2_000;
/// Largest difference of shares before and after a change of the placer.
const MAX_DIFFERENCE: f64 = 0.1;

fn play(fleet: &mut Fleet, cell: &mut Cell, from_ms: u64, until_ms: u64) -> Outcomes {
    fleet.take_outcomes();
    for now_ms in from_ms..until_ms {
        for input in fleet.inputs_until(now_ms) {
            fleet::handle(cell, input, now_ms);
            fleet.perform(cell.take_actions(), now_ms);
        }
        if cell.next_due_ms().is_some_and(|due_ms| due_ms <= now_ms) {
            cell.tick(now_ms);
            fleet.perform(cell.take_actions(), now_ms);
        }
    }
    fleet.take_outcomes()
}

fn share_refused(outcomes: &Outcomes) -> f64 {
    let refused = outcomes.refused as f64;
    refused / (refused + outcomes.waits_ms.len() as f64)
}

fn mean_wait_ms(outcomes: &Outcomes) -> f64 {
    outcomes.waits_ms.iter().sum::<u64>() as f64 / outcomes.waits_ms.len() as f64
}

/// A placer that knows only the servers' entries follows another one; the runs of the first are not told to
/// it.
fn check_successor(size: FleetSize) {
    let mut fleet = Fleet::new(size);
    let mut first = fleet.new_cell(0);
    play(&mut fleet, &mut first, 0, WARM_MS);
    let changed_ms = WARM_MS + OBSERVED_MS;
    let before = play(&mut fleet, &mut first, WARM_MS, changed_ms);
    let mut successor = fleet.new_cell(changed_ms);
    let recovered_ms = changed_ms + RECOVERED_MS;
    play(&mut fleet, &mut successor, changed_ms, recovered_ms);
    let after = play(
        &mut fleet,
        &mut successor,
        recovered_ms,
        recovered_ms + OBSERVED_MS,
    );
    let refused = (share_refused(&before), share_refused(&after));
    assert!(refused.1 - refused.0 < MAX_DIFFERENCE, "{refused:?}");
    let engines = (before.grants.len() as f64, after.grants.len() as f64);
    assert!(
        engines.1 >= engines.0 * (1.0 - MAX_DIFFERENCE),
        "{engines:?}"
    );
    let waits_ms = (mean_wait_ms(&before), mean_wait_ms(&after));
    let longest_ms = waits_ms.0 + MAX_DIFFERENCE * 1_000.0;
    assert!(waits_ms.1 <= longest_ms, "{waits_ms:?}");
}

mimosabay_core::cases! { check_successor;
    successor_serves_a_small_site_as_before: (SIZES[0]);
    successor_serves_a_large_site_as_before: (SIZES[1]);
}
