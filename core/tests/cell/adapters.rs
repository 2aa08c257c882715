//! Loading and unloading of adapters.

use mimosabay_core::cell::{Cell, EndedRun, OrderKind, RunOutcome};

use crate::support::{
    ADAPTER_LIMIT, LOADED_MS, MODEL, backend, confirmed, ended, execute_orders, granted, orders,
    placement_request, refused,
};

#[test]
fn missing_adapter_is_loaded_while_the_request_waits() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &[])]);
    cell.request_placement(placement_request(1, "a1"), 10);
    let actions = cell.take_actions();
    assert!(granted(&actions).is_empty());
    let (executed, _) = execute_orders(&mut cell, actions, 12);
    assert_eq!(executed.len(), 1);
    assert_eq!(executed[0].kind, OrderKind::Load);
    assert_eq!(executed[0].adapter.as_deref(), Some("a1"));
    assert_eq!(executed[0].precondition, 0);
    cell.tick(12 + LOADED_MS);
    assert_eq!(granted(&cell.take_actions()), [(1, "one".into())]);
}

#[test]
fn one_load_serves_all_waiting_requests() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &[])]);
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.request_placement(placement_request(2, "a1"), 11);
    let actions = cell.take_actions();
    let (executed, _) = execute_orders(&mut cell, actions, 12);
    assert_eq!(executed.len(), 1);
    cell.tick(12 + LOADED_MS);
    assert_eq!(granted(&cell.take_actions()).len(), 2);
}

#[test]
fn full_server_unloads_the_least_recently_used_adapter() {
    let mut cell = confirmed(2, &[backend("one", &["a1", "a2"])]);
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.end_run(&ended(1, RunOutcome::Answered), 500);
    cell.request_placement(placement_request(2, "a3"), 1_000);
    let actions = cell.take_actions();
    let (executed, _) = execute_orders(&mut cell, actions, 1_001);
    let kinds: Vec<_> = executed
        .iter()
        .map(|order| (order.kind, order.adapter.as_deref(), order.precondition))
        .collect();
    assert_eq!(
        kinds,
        [
            (OrderKind::Unload, Some("a2"), 0),
            (OrderKind::Load, Some("a3"), 1)
        ]
    );
}

#[test]
fn adapter_in_use_is_not_unloaded() {
    let mut cell = confirmed(1, &[backend("one", &["a1"])]);
    cell.request_placement(placement_request(1, "a1"), 10);
    cell.take_actions();
    cell.request_placement(placement_request(2, "a2"), 20);
    let actions = cell.take_actions();
    assert!(orders(&actions).is_empty());
    assert_eq!(refused(&actions).len(), 1);
}

#[test]
fn older_version_is_replaced_before_the_adapter_is_used_again() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &["a1"])]);
    cell.record_release((MODEL.into(), "a1".into()), 2);
    cell.request_placement(placement_request(1, "a1"), 10);
    let actions = cell.take_actions();
    assert!(granted(&actions).is_empty());
    let (executed, _) = execute_orders(&mut cell, actions, 12);
    assert_eq!(executed[0].version, Some(2));
    cell.tick(12 + LOADED_MS);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

#[test]
fn server_without_its_base_model_gets_no_requests() {
    let mut restarted = backend("one", &[]);
    restarted.models.clear();
    let mut cell = confirmed(ADAPTER_LIMIT, &[restarted.clone()]);
    cell.set_backends([&restarted].into_iter(), 10);
    cell.tick(20);
    cell.request_placement(placement_request(1, "a1"), 20);
    assert_eq!(refused(&cell.take_actions()).len(), 1);
}

#[test]
fn base_model_is_ordered_for_an_empty_server() {
    let mut empty = backend("one", &[]);
    empty.models.clear();
    let mut cell = mimosabay_core::cell::Cell::new(0);
    cell.configure(&crate::support::site(ADAPTER_LIMIT, 0.0, 0.0), 0);
    cell.set_backends([&empty].into_iter(), 0);
    cell.handle_report(&empty.id, Some(&crate::support::report(&empty)), 0);
    let orders = orders(&cell.take_actions());
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].adapter, None);
}

#[test]
fn late_load_is_waited_for_and_not_ordered_again() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &[])]);
    cell.request_placement(placement_request(1, "a1"), 10);
    let actions = cell.take_actions();
    execute_orders(&mut cell, actions, 12);
    cell.tick(12 + LOADED_MS);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
    let mut again = placement_request(2, "a1");
    again.previous = Some(ended(1, RunOutcome::NotHeld));
    cell.request_placement(again, 13 + LOADED_MS);
    let actions = cell.take_actions();
    assert!(granted(&actions).is_empty());
    assert!(orders(&actions).is_empty(), "the load is under way already");
    cell.tick(13 + 2 * LOADED_MS);
    assert_eq!(granted(&cell.take_actions()), [(2, "one".into())]);
}

/// Returns how long request `number` for `adapter` waits for its load, in milliseconds.
fn load_time_ms(cell: &mut Cell, number: u64, adapter: &str, now_ms: u64) -> u64 {
    cell.request_placement(placement_request(number, adapter), now_ms);
    let actions = cell.take_actions();
    execute_orders(cell, actions, now_ms);
    let due_ms = cell.next_due_ms().expect("a load is under way");
    cell.tick(due_ms);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
    cell.end_run(&ended(number, RunOutcome::Answered), due_ms);
    due_ms - now_ms
}

#[test]
fn recently_held_adapter_is_expected_sooner() {
    let mut cell = confirmed(1, &[backend("one", &["a1"])]);
    let first_ms = load_time_ms(&mut cell, 1, "a2", 1_000);
    let again_ms = load_time_ms(&mut cell, 2, "a1", 10_000);
    assert!(again_ms < first_ms, "{again_ms} ms after {first_ms} ms");
}

#[test]
fn new_version_is_not_expected_as_soon_as_one_that_the_server_held() {
    let mut cell = confirmed(1, &[backend("one", &[])]);
    let first_ms = load_time_ms(&mut cell, 1, "a1", 1_000);
    cell.record_release((MODEL.into(), "a1".into()), 2);
    let newer_ms = load_time_ms(&mut cell, 2, "a1", 10_000);
    assert_eq!(newer_ms, first_ms);
}

#[test]
fn model_that_no_engine_holds_is_ordered_first() {
    let mut site = crate::support::service(ADAPTER_LIMIT);
    let engine = site.engine.as_mut().expect("an engine");
    engine.models.push(mimosabay_core::site::EngineModel {
        name: "rare".into(),
        load_ms: 1_000,
    });
    let site =
        mimosabay_core::site::Site::new(1, Vec::new(), vec![site], None, std::sync::Arc::default());
    let mut empty = backend("two", &[]);
    empty.models.clear();
    let holder = backend("one", &["a1"]);
    let mut cell = Cell::new(0);
    cell.configure(&site, 0);
    cell.set_backends([&holder, &empty].into_iter(), 0);
    cell.handle_report(&holder.id, Some(&crate::support::report(&holder)), 0);
    cell.handle_report(&empty.id, Some(&crate::support::report(&empty)), 0);
    let orders = orders(&cell.take_actions());
    assert_eq!(orders.len(), 1);
    assert_eq!(&*orders[0].model, "rare");
}

/// Guards against a load time that is taken for the same at each site: requests would arrive before their
/// adapters, and loads would seem to slow each other.
#[test]
fn duration_of_loads_is_learned() {
    const TRUE_LOAD_MS: u64 = 420;
    let engines: Vec<_> = (0..40)
        .map(|it| backend(&format!("engine-{it}"), &[]))
        .collect();
    let mut cell = confirmed(ADAPTER_LIMIT, &engines);
    let mut early = Vec::new();
    for number in 0..200_u64 {
        let started_ms = 1_000 + number * 1_000;
        cell.request_placement(placement_request(number, &format!("b{number}")), started_ms);
        let actions = cell.take_actions();
        let server = orders(&actions)[0].server.clone();
        execute_orders(&mut cell, actions, started_ms);
        let mut tries = 0;
        for now_ms in started_ms..started_ms + 900 {
            cell.tick(now_ms);
            let granted = granted(&cell.take_actions());
            if granted.is_empty() {
                continue;
            }
            tries += 1;
            if now_ms >= started_ms + TRUE_LOAD_MS {
                break;
            }
            cell.end_run(&ended(number, RunOutcome::NotHeld), now_ms);
            let again = placement_request(number, &format!("b{number}"));
            cell.request_placement(again, now_ms);
        }
        early.push(tries > 1);
        let answered = EndedRun {
            first_event_ms: Some(120),
            ..ended(number, RunOutcome::Answered)
        };
        cell.end_run(&answered, started_ms + 950);
        cell.take_actions();
        assert!(engines.iter().any(|engine| engine.id == server));
    }
    let early_at_the_end = early[150..].iter().filter(|is_early| **is_early).count();
    assert!(early[0], "the first forecast was long enough");
    assert!(early_at_the_end <= 10, "{early_at_the_end} of 50");
}
