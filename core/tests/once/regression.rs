//! Regression tests for failures found by the randomised histories.

use mimosabay_core::once::DuplicateResponse;

use crate::world::{WINDOW_MS, World};

#[test]
fn claim_that_is_not_recorded_does_not_make_a_key_reused() {
    let mut world = World::new();
    world.begin_request(1, 0, 0);
    for _ in 0..20 {
        world.run_without_faults();
    }
    world.begin_request(0, 0, 1);
    world.begin_request(0, 0, 0);
    world.run_without_faults();
    assert!(matches!(
        world.response(3),
        Some(DuplicateResponse::Recorded(_))
    ));
}

#[test]
fn duplicate_does_not_wait_for_a_run_that_is_older_than_the_window() {
    let mut world = World::new();
    world.begin_request(0, 0, 0);
    for _ in 0..2 {
        world.advance_time(250);
        world.apply_call(0);
        world.deliver_answer(0);
    }
    world.dispatch(0);
    world.advance_time(WINDOW_MS * 2);
    world.begin_request(1, 0, 0);
    for _ in 0..3 {
        world.advance_time(250);
        world.apply_call(0);
        world.deliver_answer(0);
        world.dispatch(1);
        world.end_run(1, 0);
    }
    world.begin_request(0, 0, 0);
    for _ in 0..20 {
        world.advance_time(250);
        world.apply_and_deliver_all();
    }
    assert!(matches!(
        world.response(3),
        Some(DuplicateResponse::Recorded(_))
    ));
}
