//! Requests that no engine can take now, although one can soon.

use mimosabay_core::cell::{Action, Cell, OrderAnswer, PlacementResponse, RunOutcome};

use crate::support::{
    ADAPTER_LIMIT, LOADED_MS, backend, confirmed, ended, execute_orders, granted, orders,
    placement_request, refused, report, site,
};

/// Returns a placer with one engine, which may send orders from `orders_from_ms` on.
fn young_placer(orders_from_ms: u64) -> Cell {
    let one = backend("one", &["a1"]);
    let mut cell = Cell::new(orders_from_ms);
    cell.configure(&site(ADAPTER_LIMIT, 0.0, 0.0), 0);
    cell.set_backends([&one].into_iter(), 0);
    cell.handle_report(&one.id, Some(&report(&one)), 0);
    cell.take_actions();
    cell
}

/// Ticks until `until_ms`; returns all actions.
fn tick_until(cell: &mut Cell, from_ms: u64, until_ms: u64) -> Vec<Action> {
    let mut actions = Vec::new();
    for now_ms in from_ms..=until_ms {
        cell.tick(now_ms);
        let (_, others) = execute_orders_of(cell, now_ms);
        actions.extend(others);
    }
    actions
}

fn execute_orders_of(cell: &mut Cell, now_ms: u64) -> (usize, Vec<Action>) {
    let actions = cell.take_actions();
    let (executed, others) = execute_orders(cell, actions, now_ms);
    (executed.len(), others)
}

/// Returns the retry delays of the refusals among the actions, in milliseconds.
fn retry_delays_ms(actions: &[Action]) -> Vec<u64> {
    let delays = actions.iter().filter_map(|action| match action {
        Action::Answer {
            response: PlacementResponse::Refused(refusal),
            ..
        } => Some(refusal.retry_after_ms),
        _ => None,
    });
    delays.collect()
}

#[test]
fn request_waits_until_a_young_placer_may_send_orders() {
    let mut cell = young_placer(400);
    cell.request_placement(placement_request(1, "a2"), 10);
    assert!(cell.take_actions().is_empty());
    let actions = tick_until(&mut cell, 11, 400 + LOADED_MS);
    assert_eq!(granted(&actions), [(1, "one".into())]);
}

#[test]
fn request_is_refused_at_once_until_a_young_placer_may_send_orders() {
    let mut cell = young_placer(1_710);
    cell.request_placement(placement_request(1, "a2"), 10);
    let actions = cell.take_actions();
    assert_eq!(refused(&actions).len(), 1);
    assert_eq!(retry_delays_ms(&actions), [1_700]);
}

#[test]
fn request_is_refused_at_once_by_a_placer_that_sends_no_more_orders() {
    let mut cell = young_placer(0);
    cell.hold_orders(u64::MAX);
    cell.request_placement(placement_request(1, "a2"), 10);
    let actions = cell.take_actions();
    assert_eq!(refused(&actions).len(), 1);
    assert_eq!(retry_delays_ms(&actions), [400]);
}

#[test]
fn request_waits_for_the_report_of_the_only_engine() {
    let one = backend("one", &[]);
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&one));
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.take_actions();
    cell.handle_order_answer(&one.id, OrderAnswer::Unknown, 20);
    tick_until(&mut cell, 21, 400);
    cell.handle_report(&one.id, Some(&report(&one)), 401);
    let actions = tick_until(&mut cell, 402, 402 + LOADED_MS);
    assert_eq!(granted(&actions), [(1, "one".into())]);
}

#[test]
fn request_is_refused_when_no_report_comes() {
    let one = backend("one", &[]);
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&one));
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.take_actions();
    cell.handle_order_answer(&one.id, OrderAnswer::Unknown, 20);
    let actions = tick_until(&mut cell, 21, 10 + LOADED_MS);
    assert_eq!(refused(&actions).len(), 1);
}

#[test]
fn request_is_refused_at_once_without_an_engine() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[]);
    cell.request_placement(placement_request(1, "a1"), 10);
    assert_eq!(refused(&cell.take_actions()).len(), 1);
}

#[test]
fn request_whose_caller_left_does_not_wait() {
    let mut cell = young_placer(400);
    cell.request_placement(placement_request(1, "a2"), 10);
    cell.end_run(&ended(1, RunOutcome::Cancelled), 20);
    let actions = tick_until(&mut cell, 21, 400 + LOADED_MS);
    assert!(granted(&actions).is_empty());
    assert!(orders(&actions).is_empty());
}
