//! Engines and plain servers that state limits.

use mimosabay_core::cell::{
    Action, Cell, PermitRequest, PermitResponse, RefusalReason, RunOutcome, Ticket,
};
use mimosabay_core::name::Name;
use mimosabay_core::quarantine::{Crash, Quarantine};
use mimosabay_core::stated_limit::StatedLimit;

use crate::support::{
    ADAPTER_LIMIT, backend, confirmed, ended, granted, placement_request, refused,
};

/// Limit of the servers, in requests a second.
const LIMIT_PER_S: f64 = 2.0;

fn stated(server: &str, requests_per_s: Option<f64>, stated_unix_ms: u64) -> StatedLimit {
    StatedLimit {
        server: server.into(),
        boot: backend(server, &[]).started_unix_ms,
        requests_per_s,
        stated_unix_ms,
    }
}

/// A cell with one engine that states a limit at 1,000 ms.
fn limited_cell() -> Cell {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &["a1"])]);
    cell.apply_limits(&[stated("one", Some(LIMIT_PER_S), 1)], 1_000);
    cell
}

/// Places a request at a time and urgency.
fn place(cell: &mut Cell, number: u64, urgency: u8, now_ms: u64) {
    let mut request = placement_request(number, "a1");
    request.urgency = urgency;
    cell.request_placement(request, now_ms);
}

/// Runs the cell until a time; returns the numbers of the granted requests with their times.
fn run_until(cell: &mut Cell, from_ms: u64, until_ms: u64) -> Vec<(u64, u64)> {
    let mut all = Vec::new();
    for now_ms in (from_ms..until_ms).step_by(5) {
        cell.tick(now_ms);
        let actions = cell.take_actions();
        all.extend(granted(&actions).iter().map(|grant| (grant.0, now_ms)));
    }
    all
}

/// Guards against refusing requests while an engine would take more within their time.
#[test]
fn request_waits_for_the_limit_of_its_engine() {
    let mut cell = limited_cell();
    place(&mut cell, 1, 3, 1_200);
    assert!(cell.take_actions().is_empty());
    let grants = run_until(&mut cell, 1_200, 2_000);
    assert_eq!(grants.len(), 1);
    assert!((1_500..1_540).contains(&grants[0].1), "{grants:?}");
}

#[test]
fn more_urgent_request_is_placed_first() {
    let mut cell = limited_cell();
    place(&mut cell, 1, 5, 1_300);
    place(&mut cell, 2, 1, 1_310);
    let grants = run_until(&mut cell, 1_310, 1_600);
    assert_eq!(grants.first().map(|grant| grant.0), Some(2));
}

/// Guards against holding a request that cannot be placed in its time.
#[test]
fn request_that_would_wait_too_long_is_refused_at_once() {
    let mut cell = limited_cell();
    for number in 1..=20 {
        place(&mut cell, number, 3, 1_000);
    }
    let refused = refused(&cell.take_actions());
    assert!(refused.len() >= 15, "{} refused", refused.len());
    assert!(refused.iter().all(|it| it.1 == RefusalReason::Overloaded));
}

#[test]
fn engine_without_a_limit_takes_what_the_other_may_not() {
    let engines = [backend("one", &["a1"]), backend("two", &["a1"])];
    let mut cell = confirmed(ADAPTER_LIMIT, &engines);
    cell.apply_limits(&[stated("one", Some(LIMIT_PER_S), 1)], 1_000);
    for number in 1..=10 {
        place(&mut cell, number, 3, 1_000);
    }
    let grants = granted(&cell.take_actions());
    assert_eq!(grants.len(), 10);
    assert!(grants.iter().all(|grant| &*grant.1 == "two"));
}

/// Guards against a waiting request whose caller has left and that takes the next place.
#[test]
fn request_whose_caller_left_does_not_wait() {
    let mut cell = limited_cell();
    place(&mut cell, 1, 3, 1_450);
    place(&mut cell, 2, 3, 1_450);
    cell.end_run(&ended(1, RunOutcome::Cancelled), 1_460);
    let grants = run_until(&mut cell, 1_460, 1_600);
    assert_eq!(grants.iter().map(|grant| grant.0).collect::<Vec<_>>(), [2]);
}

#[test]
fn limit_of_an_earlier_start_is_not_in_force() {
    let mut cell = limited_cell();
    let mut restarted = backend("one", &["a1"]);
    restarted.started_unix_ms += 1;
    cell.set_backends([&restarted].into_iter(), 1_100);
    let limits = [stated("one", Some(LIMIT_PER_S), 50)];
    cell.apply_limits(&limits, 1_100);
    let permit = permit(1, &[("one", restarted.started_unix_ms)], 0);
    for _ in 0..10 {
        cell.request_permit(permit.clone(), 1_100);
    }
    assert_eq!(permitted(&cell.take_actions()).len(), 10);
}

/// Guards against placing a request that came under quarantine while it waited.
#[test]
fn waiting_request_that_comes_under_quarantine_is_refused() {
    let mut cell = limited_cell();
    place(&mut cell, 1, 3, 1_300);
    let fingerprint = placement_request(1, "a1").work().request();
    let mut table = Quarantine::default();
    for number in 1..=2 {
        table.record_crash(&Crash::new(&"gone".into(), number), [fingerprint], 1_000);
    }
    cell.merge_quarantine(&table);
    cell.tick(1_600);
    let refused = refused(&cell.take_actions());
    assert_eq!(refused, [(1, RefusalReason::Quarantined(fingerprint))]);
}

/// Guards against a limit that is forgotten because the entry of its server is missing for a moment.
#[test]
fn server_that_is_listed_again_keeps_its_limit() {
    let mut cell = limited_cell();
    cell.set_backends([].into_iter(), 1_010);
    let returned = backend("one", &["a1"]);
    cell.set_backends([&returned].into_iter(), 1_020);
    let permit = permit(1, &[("one", returned.started_unix_ms)], 0);
    cell.request_permit(permit, 1_030);
    assert!(permitted(&cell.take_actions()).is_empty());
}

/// Guards against holding a request for the limit of an engine that is overloaded.
#[test]
fn overloaded_engine_with_a_limit_left_does_not_make_requests_wait() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[backend("one", &["a1"])]);
    cell.apply_limits(&[stated("one", Some(1_000.0), 1)], 1_000);
    let mut refused_count = 0;
    for number in 1..=100 {
        place(&mut cell, number, 3, 2_000);
        let actions = cell.take_actions();
        refused_count += refused(&actions).len();
        assert_eq!(granted(&actions).len() + refused(&actions).len(), 1);
    }
    assert!(refused_count > 0, "nothing refused");
}

/// Guards against requests of one service that are refused because those of another one wait.
#[test]
fn permits_of_other_servers_do_not_count_as_ahead() {
    let mut cell = limited_cell();
    cell.apply_limits(&[stated("two", Some(LIMIT_PER_S), 1)], 1_000);
    let boot = backend("one", &[]).started_unix_ms;
    for number in 1..=5 {
        cell.request_permit(permit(number, &[("one", boot)], 10_000), 1_010);
    }
    cell.request_permit(permit(6, &[("two", boot)], 0), 1_600);
    assert_eq!(permitted(&cell.take_actions()), ["two".into()]);
}

fn permit(number: u64, candidates: &[(&str, u64)], max_wait_ms: u64) -> PermitRequest {
    let candidates = candidates.iter();
    PermitRequest {
        ticket: Ticket { entry: 1, number },
        candidates: candidates
            .map(|(server, boot)| ((*server).into(), *boot))
            .collect(),
        urgency: 3,
        max_wait_ms,
    }
}

/// The servers of the granted permits.
fn permitted(actions: &[Action]) -> Vec<Name> {
    let servers = actions.iter().filter_map(|action| match action {
        Action::Permit {
            response: PermitResponse::Granted { server },
            ..
        } => Some(server.clone()),
        _ => None,
    });
    servers.collect()
}

/// Guards against an instance that leaves a permit unused while other requests wait.
#[test]
fn returned_permit_is_granted_to_another_request() {
    let mut cell = limited_cell();
    let candidates = [("one", backend("one", &[]).started_unix_ms)];
    cell.request_permit(permit(1, &candidates, 1_000), 1_500);
    assert_eq!(permitted(&cell.take_actions()), ["one".into()]);
    cell.request_permit(permit(2, &candidates, 1_000), 1_510);
    assert!(cell.take_actions().is_empty());
    cell.return_permit("one", 1_520);
    cell.tick(1_540);
    assert_eq!(permitted(&cell.take_actions()), ["one".into()]);
}

#[test]
fn permit_that_would_come_too_late_is_refused_at_once() {
    let mut cell = limited_cell();
    let candidates = [("one", backend("one", &[]).started_unix_ms)];
    cell.request_permit(permit(1, &candidates, 100), 1_000);
    let actions = cell.take_actions();
    let retry_after_ms = actions.iter().find_map(|action| match action {
        Action::Permit {
            response: PermitResponse::Refused { retry_after_ms },
            ..
        } => Some(*retry_after_ms),
        _ => None,
    });
    assert_eq!(retry_after_ms, Some(500));
}
