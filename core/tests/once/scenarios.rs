//! Histories with a single failure each.

use mimosabay_core::name::InstanceId;
use mimosabay_core::once::{CLAIM_TIMEOUT_MS, DuplicateResponse, PERMIT_MS, StoreClock, Ticket};
use mimosabay_core::request::{Code, Ran};

use crate::oracle::Oracle;
use crate::world::{WINDOW_MS, World};

const FIRST: Ticket = 1;
const DUPLICATE: Ticket = 2;

/// Lets instance 0 claim the first key until the write of the claim is pending.
fn world_with_pending_claim() -> World {
    let mut world = World::new();
    world.begin_request(0, 0, 0);
    world.apply_call(0);
    world.deliver_answer(0);
    assert_eq!(world.pending_calls(), 1);
    world
}

/// Sends a duplicate of the first request through another instance and completes all calls.
fn duplicate_at_other_instance(world: &mut World) {
    world.begin_request(1, 0, 0);
    for _ in 0..20 {
        world.run_without_faults();
    }
}

fn refusal(world: &World, ticket: Ticket) -> (Code, Ran) {
    match world.response(ticket) {
        Some(DuplicateResponse::Refused(refusal)) => (refusal.code, refusal.ran),
        other => panic!("request {ticket} was not refused: {other:?}"),
    }
}

#[test]
fn write_with_lost_answer_is_settled_by_reading_back() {
    let mut world = world_with_pending_claim();
    world.apply_call(0);
    world.lose_answer(0);
    world.run_without_faults();
    assert_eq!(world.oracle.runs(), 1);
}

#[test]
fn late_write_of_a_refused_request_does_not_block_its_duplicate() {
    let mut world = world_with_pending_claim();
    world.lose_answer(0);
    world.lose_answer(1);
    assert_eq!(refusal(&world, FIRST), (Code::StoreUnavailable, Ran::No));
    world.apply_call(0);
    for _ in 0..20 {
        world.run_without_faults();
    }
    duplicate_at_other_instance(&mut world);
    assert_eq!(world.oracle.runs(), 1);
    assert_eq!(world.response(DUPLICATE), None);
}

#[test]
fn store_that_does_not_answer_refuses_within_the_claim_timeout() {
    let mut world = world_with_pending_claim();
    world.advance_time(CLAIM_TIMEOUT_MS);
    assert_eq!(refusal(&world, FIRST), (Code::StoreUnavailable, Ran::No));
    for _ in 0..20 {
        world.run_without_faults();
    }
    duplicate_at_other_instance(&mut world);
    assert_eq!(world.oracle.runs(), 1);
}

#[test]
fn process_paused_after_its_claim_does_not_dispatch() {
    let mut world = world_with_pending_claim();
    world.apply_call(0);
    world.deliver_answer(0);
    world.set_frozen(0, true);
    world.advance_time(PERMIT_MS);
    world.set_frozen(0, false);
    world.dispatch(0);
    assert_eq!(refusal(&world, FIRST), (Code::Timeout, Ran::No));
    assert_eq!(world.oracle.runs(), 0);
}

#[test]
fn process_paused_for_the_window_does_not_run_a_second_time() {
    let mut world = world_with_pending_claim();
    world.apply_call(0);
    world.deliver_answer(0);
    world.set_frozen(0, true);
    world.advance_time(WINDOW_MS * 2);
    duplicate_at_other_instance(&mut world);
    world.set_frozen(0, false);
    world.dispatch(0);
    assert_eq!(world.oracle.runs(), 1);
}

#[test]
fn request_without_a_recorded_claim_is_not_dispatched() {
    let mut world = world_with_pending_claim();
    world.add_unconfirmed_permit(0, FIRST);
    world.dispatch(0);
    assert_eq!(world.oracle.runs(), 0);
}

#[test]
fn duplicate_after_a_dispatcher_restart_reports_a_possible_run() {
    let mut world = world_with_pending_claim();
    world.apply_call(0);
    world.deliver_answer(0);
    world.dispatch(0);
    world.restart_instance(0);
    duplicate_at_other_instance(&mut world);
    let dispatcher = InstanceId::new("instance-0", 1);
    assert_eq!(
        world.response(DUPLICATE),
        Some(&DuplicateResponse::Running(dispatcher))
    );
}

#[test]
fn duplicate_at_another_instance_gets_the_recorded_answer() {
    let mut world = world_with_pending_claim();
    for _ in 0..20 {
        world.run_without_faults();
    }
    duplicate_at_other_instance(&mut world);
    assert!(matches!(
        world.response(DUPLICATE),
        Some(DuplicateResponse::Recorded(_))
    ));
}

#[test]
fn recorded_answer_is_returned_while_the_store_is_unavailable() {
    let mut world = world_with_pending_claim();
    for _ in 0..20 {
        world.run_without_faults();
    }
    world.begin_request(0, 1, 0);
    world.refuse_call(0);
    world.begin_request(0, 0, 0);
    assert!(matches!(
        world.response(3),
        Some(DuplicateResponse::Recorded(_))
    ));
}

#[test]
fn duplicate_of_a_running_request_waits_for_the_same_answer() {
    let mut world = world_with_pending_claim();
    world.begin_request(0, 0, 0);
    for _ in 0..20 {
        world.run_without_faults();
    }
    assert_eq!(world.oracle.runs(), 1);
    assert!(matches!(
        world.response(DUPLICATE),
        Some(DuplicateResponse::Recorded(_))
    ));
}

#[test]
fn key_with_other_work_is_refused() {
    let mut world = world_with_pending_claim();
    world.apply_call(0);
    world.deliver_answer(0);
    world.begin_request(0, 0, 1);
    assert_eq!(refusal(&world, DUPLICATE), (Code::KeyReused, Ran::No));
}

#[test]
fn answer_read_after_a_pause_does_not_set_the_clock_back() {
    let mut clock = StoreClock::default();
    clock.observe(1_000_000, 0, 10);
    clock.observe(1_000_000, 20, 900_000);
    assert_eq!(clock.unix_ms(900_000), Some(1_899_990));
}

#[test]
fn nothing_expires_while_the_clock_is_uncertain() {
    let mut clock = StoreClock::default();
    clock.observe(1_000_000, 0, 10);
    clock.observe(90_000_000, 20, 30);
    assert_eq!(clock.expired_before_ms(40, WINDOW_MS), 0);
}

mod broken_histories {
    use mimosabay_core::once::{Body, DuplicateResponse, KeyId, RecordedAnswer};
    use mimosabay_core::request::{Code, Ran, Refusal};

    use super::{DUPLICATE, FIRST, Oracle, WINDOW_MS};

    fn two_requests_with_same_key(other_work: u64) -> Oracle {
        let mut oracle = Oracle::new(WINDOW_MS);
        oracle.record_request(FIRST, KeyId::new("clinics", "1"), 0);
        oracle.record_request(DUPLICATE, KeyId::new("clinics", "1"), other_work);
        oracle.check_dispatch(FIRST, 0).expect("first run");
        oracle
    }

    fn answer() -> RecordedAnswer {
        RecordedAnswer::Plain {
            status: 200,
            content_type: "text/plain".into(),
            body: Body::new(b"booked"),
        }
    }

    #[test]
    fn second_run_in_the_window_is_found() {
        assert!(
            two_requests_with_same_key(0)
                .check_dispatch(DUPLICATE, WINDOW_MS - 1)
                .is_err()
        );
        assert!(
            two_requests_with_same_key(0)
                .check_dispatch(DUPLICATE, WINDOW_MS)
                .is_ok()
        );
    }

    #[test]
    fn run_after_a_refusal_is_found() {
        let mut oracle = Oracle::new(WINDOW_MS);
        oracle.record_request(FIRST, KeyId::new("clinics", "1"), 0);
        let refusal = Refusal::not_run(Code::Timeout, "late");
        let response = DuplicateResponse::Refused(refusal);
        oracle
            .check_response(FIRST, &response)
            .expect("first answer");
        assert!(oracle.check_dispatch(FIRST, 0).is_err());
    }

    #[test]
    fn refusal_of_a_dispatched_request_is_found() {
        let response = DuplicateResponse::Refused(Refusal::not_run(Code::Timeout, "late"));
        assert!(
            two_requests_with_same_key(0)
                .check_response(FIRST, &response)
                .is_err()
        );
    }

    #[test]
    fn answer_of_no_run_is_found() {
        let response = DuplicateResponse::Recorded(answer());
        assert!(
            two_requests_with_same_key(0)
                .check_response(DUPLICATE, &response)
                .is_err()
        );
    }

    #[test]
    fn answer_to_other_work_is_found() {
        let mut oracle = two_requests_with_same_key(1);
        oracle.record_answer(FIRST, &answer());
        assert!(
            oracle
                .check_response(DUPLICATE, &DuplicateResponse::Recorded(answer()))
                .is_err()
        );
    }

    #[test]
    fn run_that_did_not_happen_is_found() {
        let mut oracle = Oracle::new(WINDOW_MS);
        oracle.record_request(FIRST, KeyId::new("clinics", "1"), 0);
        let refusal = Refusal {
            ran: Ran::Yes,
            ..Refusal::not_run(Code::InDoubt, "ran")
        };
        assert!(
            oracle
                .check_response(FIRST, &DuplicateResponse::Refused(refusal))
                .is_err()
        );
    }
}
