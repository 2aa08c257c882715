//! Failures that the search found.

use mimosabay_core::once::Verdict;

use crate::world::{WINDOW_MS, World};

#[test]
fn claim_that_is_not_recorded_does_not_make_a_key_reused() {
    let mut world = World::new();
    world.begin(1, 0, 0);
    for _ in 0..20 {
        world.run_without_faults();
    }
    world.begin(0, 0, 1);
    world.begin(0, 0, 0);
    world.run_without_faults();
    assert!(matches!(world.verdict(3), Some(Verdict::Recorded(_))));
}

#[test]
fn repeat_does_not_wait_for_a_run_that_is_older_than_the_window() {
    let mut world = World::new();
    world.begin(0, 0, 0);
    for _ in 0..2 {
        world.pass(250);
        world.land(0);
        world.deliver(0);
    }
    world.dispatch(0);
    world.pass(WINDOW_MS * 2);
    world.begin(1, 0, 0);
    for _ in 0..3 {
        world.pass(250);
        world.land(0);
        world.deliver(0);
        world.dispatch(1);
        world.end(1, 0);
    }
    world.begin(0, 0, 0);
    for _ in 0..20 {
        world.pass(250);
        world.land_and_deliver_all();
    }
    assert!(matches!(world.verdict(3), Some(Verdict::Recorded(_))));
}
