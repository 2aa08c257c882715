//! Choice of the engine for a request, and refusals.

use mimosabay_core::cell::{RefusalReason, RunOutcome};

use crate::support::{
    ADAPTER_LIMIT, backend, confirmed, ended, granted, orders, placement_request, refused,
};

#[test]
fn request_goes_to_the_server_that_holds_its_adapter() {
    let mut cell = confirmed(
        ADAPTER_LIMIT,
        &[backend("one", &["a1"]), backend("two", &["a2"])],
    );
    cell.request_placement(placement_request(1, "a2"), 10);
    let actions = cell.take_actions();
    assert_eq!(granted(&actions), [(1, "two".into())]);
    assert!(orders(&actions).is_empty());
}

#[test]
fn request_without_adapter_goes_to_the_server_with_the_least_to_prefill() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &[]), backend("two", &[])]);
    cell.request_placement(placement_request(1, ""), 10);
    cell.request_placement(placement_request(2, ""), 10);
    let servers: Vec<_> = granted(&cell.take_actions());
    assert_eq!(servers.len(), 2);
    assert_ne!(servers[0].1, servers[1].1);
}

#[test]
fn request_goes_to_the_server_with_its_cached_prompt_parts() {
    let mut cell = confirmed(
        ADAPTER_LIMIT,
        &[backend("one", &["a1"]), backend("two", &["a1"])],
    );
    cell.request_placement(placement_request(1, "a1"), 10);
    let first = granted(&cell.take_actions())[0].1.clone();
    cell.end_run(&ended(1, RunOutcome::Answered), 2_000);
    cell.request_placement(placement_request(2, "a1"), 2_000);
    assert_eq!(granted(&cell.take_actions()), [(2, first)]);
}

#[test]
fn request_that_would_wait_too_long_is_refused_at_once() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &["a1"])]);
    let mut answers = Vec::new();
    for number in 0..100 {
        let mut request = placement_request(number, "a1");
        request.prompt.parts.clear();
        cell.request_placement(request, 10);
        answers.extend(cell.take_actions());
    }
    let refused = refused(&answers);
    assert!(!refused.is_empty());
    assert!(
        refused
            .iter()
            .all(|(_, reason)| *reason == RefusalReason::Overloaded)
    );
    assert_eq!(granted(&answers).len() + refused.len(), 100);
}

#[test]
fn long_prompts_are_not_refused_before_short_ones() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &["a1"])]);
    let mut long = placement_request(1, "a1");
    long.prompt.prompt_tokens = 40_000;
    long.prompt.parts.clear();
    cell.request_placement(long, 10);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

#[test]
fn leaving_server_gets_no_new_requests() {
    let one = backend("one", &["a1"]);
    let mut two = backend("two", &["a1"]);
    let mut cell = confirmed(ADAPTER_LIMIT, &[one.clone(), two.clone()]);
    two.is_leaving = true;
    cell.set_backends([&one, &two].into_iter(), 20);
    for number in 0..5 {
        cell.request_placement(placement_request(number, "a1"), 20);
    }
    let granted = granted(&cell.take_actions());
    assert!(granted.iter().all(|(_, server)| &**server == "one"));
}

#[test]
fn excluded_server_is_not_chosen_again() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &["a1"])]);
    let mut request = placement_request(1, "a1");
    request.excluded = vec!["one".into()];
    cell.request_placement(request, 10);
    assert_eq!(
        refused(&cell.take_actions()),
        [(1, RefusalReason::NoServer)]
    );
}

#[test]
fn requests_of_a_terminated_instance_are_removed() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &["a1"])]);
    cell.request_placement(placement_request(1, "a1"), 10);
    assert_eq!((cell.status().waiting, cell.status().running), (0, 1));
    cell.tick(20_000);
    assert_eq!((cell.status().waiting, cell.status().running), (0, 0));
}
