//! Orders with an unknown result, restarted servers, and replaced placers.

use mimosabay_core::cell::{Action, AdoptedRun, Cell, OrderAnswer, RunOutcome};

use crate::support::{
    ADAPTER_LIMIT, LOADED_MS, backend, confirmed, ended, granted, orders, placement_request,
    refused, report, requested_reports, site,
};

#[test]
fn no_order_is_sent_before_its_time() {
    let one = backend("one", &["a1"]);
    let mut cell = Cell::new(3_000);
    cell.configure(&site(ADAPTER_LIMIT, 0.0, 0.0), 0);
    cell.set_backends([&one].into_iter(), 0);
    cell.handle_report(&one.id, Some(&report(&one)), 0);
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.request_placement(placement_request(2, "a2"), 10);
    let actions = cell.take_actions();
    assert_eq!(granted(&actions), [(1, "one".into())]);
    assert_eq!(refused(&actions).len(), 1);
    assert!(orders(&actions).is_empty());
}

#[test]
fn unanswered_order_blocks_orders_until_a_report_arrives() {
    let one = backend("one", &[]);
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&one));
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.take_actions();
    cell.handle_order_answer(&one.id, OrderAnswer::Unknown, 20);
    cell.request_placement(placement_request(2, "a2"), 30);
    let actions = cell.take_actions();
    assert!(orders(&actions).is_empty());
    assert!(granted(&actions).is_empty());
    cell.tick(30 + LOADED_MS);
    let actions = cell.take_actions();
    assert_eq!(requested_reports(&actions), ["one".into()]);
    assert!(orders(&actions).is_empty());
    assert_eq!(refused(&actions).len(), 2);
    let mut answered = report(&one);
    answered.sequence = 1;
    cell.handle_report(&one.id, Some(&answered), 31 + LOADED_MS);
    cell.request_placement(placement_request(3, "a3"), 32 + LOADED_MS);
    let orders = orders(&cell.take_actions());
    assert_eq!(orders[0].precondition, 1);
}

#[test]
fn fenced_order_stops_the_placer() {
    let one = backend("one", &[]);
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&one));
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.take_actions();
    cell.handle_order_answer(&one.id, OrderAnswer::Fenced, 20);
    assert!(cell.take_actions().contains(&Action::StepDown));
}

#[test]
fn waiting_requests_move_when_their_server_is_removed() {
    let one = backend("one", &[]);
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&one));
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.take_actions();
    let two = backend("two", &["a1"]);
    cell.set_backends([&two].into_iter(), 20);
    assert_eq!(granted(&cell.take_actions()), [(1, "two".into())]);
}

#[test]
fn restarted_server_holds_nothing_from_before() {
    let one = backend("one", &["a1"]);
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&one));
    let mut again = backend("one", &[]);
    again.models.clear();
    again.started_unix_ms = 2;
    cell.set_backends([&again].into_iter(), 20);
    cell.request_placement(placement_request(1, "a1"), 20);
    assert_eq!(refused(&cell.take_actions()).len(), 1);
}

#[test]
fn entry_of_an_earlier_start_is_ignored() {
    let mut one = backend("one", &["a1"]);
    one.started_unix_ms = 5;
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&one));
    let mut earlier = backend("one", &[]);
    earlier.started_unix_ms = 4;
    earlier.is_leaving = true;
    cell.set_backends([&earlier].into_iter(), 20);
    cell.request_placement(placement_request(1, "a1"), 20);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

#[test]
fn adopted_request_keeps_its_adapter_from_being_unloaded() {
    let one = backend("one", &["a1"]);
    let mut cell = confirmed(1, std::slice::from_ref(&one));
    let run = AdoptedRun {
        ticket: placement_request(9, "a1").ticket,
        server: "one".into(),
        prompt: placement_request(9, "a1").prompt,
        request_hash: 9,
    };
    cell.adopt_runs(vec![run], "zone-1", 10);
    cell.request_placement(placement_request(1, "a2"), 20);
    assert!(orders(&cell.take_actions()).is_empty());
    cell.end_run(&ended(9, RunOutcome::Answered), 30);
    cell.request_placement(placement_request(2, "a2"), 40);
    assert_eq!(orders(&cell.take_actions()).len(), 1);
}

#[test]
fn server_that_does_not_report_gets_no_requests() {
    let one = backend("one", &["a1"]);
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&one));
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.end_run(&ended(1, RunOutcome::Broken), 20);
    cell.take_actions();
    cell.handle_report(&one.id, None, 400);
    cell.request_placement(placement_request(2, "a1"), 410);
    assert_eq!(refused(&cell.take_actions()).len(), 1);
}
