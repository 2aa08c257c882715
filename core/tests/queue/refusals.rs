//! Tests of early refusals, expired deadlines and failed loads.

use mimosabay_core::queue::{QueueSettings, ServerLimits};
use mimosabay_core::request::Code;

use crate::driver::{Driver, request};

const LIMITS: ServerLimits = ServerLimits { slots: 1, batch: 1 };
const RUN_MS: u64 = 100;

/// Returns a server with a measured run time of 100 ms and `waiting` waiting requests of `north`.
fn busy_driver(waiting: u64) -> Driver {
    let mut driver = Driver::new(LIMITS, QueueSettings::default());
    driver.enqueue(request(0, "north", "a"));
    driver.end_loads();
    driver.advance_time(RUN_MS);
    driver.finish(0);
    for ticket in 1..=waiting + 1 {
        driver.enqueue(request(ticket, "north", "a"));
    }
    driver
}

fn with_deadline(organisation: &str, deadline_ms: u64) -> mimosabay_core::queue::WaitingRequest {
    let mut request = request(1_000, organisation, "a");
    request.deadline_ms = deadline_ms;
    request
}

#[test]
fn deadline_that_cannot_be_met_is_refused_at_once() {
    let mut driver = busy_driver(20);
    driver.enqueue(with_deadline("north", driver.now_ms + 500));
    assert_eq!(driver.refused.get(&1_000), Some(&(Code::Overloaded, 1_500)));
}

/// After the advised delay, the same request is accepted and runs before its deadline.
#[test]
fn retry_after_the_advised_time_meets_its_deadline() {
    let mut driver = busy_driver(20);
    driver.enqueue(with_deadline("north", driver.now_ms + 500));
    let (_, retry_after_ms) = driver.refused[&1_000];
    for _ in 0..retry_after_ms / RUN_MS {
        driver.advance_time(RUN_MS);
        driver.finish(0);
    }
    let mut repeat = with_deadline("north", driver.now_ms + 500);
    repeat.ticket = 1_001;
    driver.enqueue(repeat);
    for _ in 0..5 {
        driver.advance_time(RUN_MS - 1);
        driver.finish(0);
    }
    driver.advance_time(1);
    assert!(!driver.refused.contains_key(&1_001));
    driver.finish(0);
    assert!(driver.dispatched.contains(&1_001));
}

#[test]
fn flood_of_another_organisation_refuses_nobody_else() {
    let mut driver = busy_driver(200);
    driver.enqueue(with_deadline("south", driver.now_ms + 500));
    assert!(driver.refused.is_empty());
    driver.advance_time(RUN_MS);
    driver.finish(0);
    assert!(driver.dispatched.contains(&1_000));
}

/// For many queue lengths: a request that is refused early would have missed its deadline.
#[test]
fn early_refusal_only_if_the_deadline_cannot_be_met() {
    for waiting in 0..40 {
        for left_ms in [50, 150, 450, 950, 1_950] {
            let mut driver = busy_driver(waiting);
            let deadline_ms = driver.now_ms + left_ms;
            driver.enqueue(with_deadline("north", deadline_ms));
            let is_refused = driver.refused.contains_key(&1_000);
            let starts_ms = driver.now_ms + (waiting + 1) * RUN_MS;
            assert!(!is_refused || starts_ms > deadline_ms);
        }
    }
}

#[test]
fn passed_deadline_is_refused_as_timeout() {
    let mut driver = busy_driver(1);
    driver.enqueue(with_deadline("south", driver.now_ms + 500));
    driver.advance_time(500);
    let refused = driver.refused.get(&1_000).map(|(code, _)| *code);
    assert_eq!(refused, Some(Code::Timeout));
}

#[test]
fn failed_load_refuses_and_pauses() {
    let mut driver = Driver::new(LIMITS, QueueSettings::default());
    driver.enqueue(request(1, "north", "a"));
    driver.end_load(0, false);
    assert_eq!(driver.refused.get(&1), Some(&(Code::LoadFailed, 500)));
    driver.advance_time(100);
    driver.enqueue(request(2, "north", "a"));
    assert_eq!(driver.refused.get(&2), Some(&(Code::LoadFailed, 400)));
    driver.advance_time(400);
    driver.enqueue(request(3, "north", "a"));
    driver.end_load(0, false);
    assert_eq!(driver.refused.get(&3), Some(&(Code::LoadFailed, 1_000)));
}

#[test]
fn failed_load_pauses_only_its_adapter() {
    let mut driver = Driver::new(LIMITS, QueueSettings::default());
    driver.enqueue(request(1, "north", "a"));
    driver.enqueue(request(2, "north", "b"));
    driver.end_load(0, false);
    driver.end_loads();
    assert_eq!(driver.dispatched, [2]);
}
