//! Rates of organisations.

use mimosabay_core::cell::{Cell, Charge, RefusalReason};

use crate::support::{ADAPTER_LIMIT, backend, charged, granted, refused, report, site};

fn cell_with_rate(rate_per_s: f64, burst: f64) -> Cell {
    let one = backend("one", &[]);
    let mut cell = Cell::new(0);
    cell.configure(&site(ADAPTER_LIMIT, rate_per_s, burst), 0);
    cell.set_backends([&one].into_iter(), 0);
    cell.handle_report(&one.id, Some(&report(&one)), 0);
    cell.take_actions();
    cell
}

#[test]
fn new_placer_does_not_grant_the_whole_burst() {
    let mut cell = cell_with_rate(1_000.0, 1_000.0);
    cell.request_placement(charged(1, 300), 0);
    cell.request_placement(charged(2, 300), 0);
    let actions = cell.take_actions();
    assert_eq!(granted(&actions).len(), 1);
    assert_eq!(refused(&actions), [(2, RefusalReason::OverRate)]);
}

#[test]
fn request_larger_than_the_burst_is_granted_and_paid_back() {
    let mut cell = cell_with_rate(1_000.0, 1_000.0);
    cell.request_placement(charged(1, 4_000), 10_000);
    cell.request_placement(charged(2, 100), 11_000);
    cell.request_placement(charged(3, 100), 13_500);
    let actions = cell.take_actions();
    let granted: Vec<u64> = granted(&actions)
        .iter()
        .map(|(number, _)| *number)
        .collect();
    assert_eq!(granted, [1, 3]);
    assert_eq!(refused(&actions), [(2, RefusalReason::OverRate)]);
}

#[test]
fn organisation_gets_its_rate_and_burst_and_no_more() {
    let mut cell = cell_with_rate(1_000.0, 2_000.0);
    let mut granted_tokens = 0;
    for number in 0..1_000 {
        let now_ms = 10_000 + number * 10;
        cell.request_placement(charged(number, 100), now_ms);
        granted_tokens += granted(&cell.take_actions()).len() as u64 * 100;
    }
    assert!(granted_tokens <= 2_000 + 10_000);
    assert!(granted_tokens >= 2_000 + 9_000);
}

#[test]
fn refused_request_costs_nothing() {
    let mut cell = cell_with_rate(1_000.0, 1_000.0);
    let mut unplaceable = charged(1, 1_000);
    unplaceable.excluded = vec!["one".into()];
    cell.request_placement(unplaceable, 10_000);
    cell.request_placement(charged(2, 1_000), 10_000);
    let actions = cell.take_actions();
    assert_eq!(refused(&actions), [(1, RefusalReason::NoServer)]);
    assert_eq!(granted(&actions).len(), 1);
}

#[test]
fn cost_of_plain_requests_is_charged() {
    let mut cell = cell_with_rate(1_000.0, 1_000.0);
    let charge = Charge {
        organisation: "clinics".into(),
        cost: 900,
    };
    cell.count_charges(&[charge], 10_000);
    cell.request_placement(charged(1, 900), 10_000);
    assert_eq!(
        refused(&cell.take_actions()),
        [(1, RefusalReason::OverRate)]
    );
}

/// Guards against large requests that are refused while small ones take what is left each time.
#[test]
fn large_requests_are_admitted_like_small_ones() {
    let mut site = site(ADAPTER_LIMIT, 1_000.0, 2_000.0);
    site.features.queues_requests = true;
    let one = backend("one", &[]);
    let mut cell = Cell::new(0);
    cell.configure(&site, 0);
    cell.set_backends([&one].into_iter(), 0);
    cell.handle_report(&one.id, Some(&report(&one)), 0);
    cell.take_actions();
    let mut granted_count = [0; 2];
    let mut asked_count = [0; 2];
    let mut random = 1_u64;
    for number in 0..4_000_u64 {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let is_large = (random >> 33).is_multiple_of(10);
        let cost = if is_large { 500 } else { 50 };
        cell.request_placement(charged(number, cost), 10_000 + number * 10);
        asked_count[usize::from(is_large)] += 1;
        granted_count[usize::from(is_large)] += granted(&cell.take_actions()).len();
    }
    let tokens = granted_count[0] * 50 + granted_count[1] * 500;
    assert!(tokens <= 2_000 + 40_000 + 500, "{tokens}");
    let share = |index: usize| granted_count[index] as f64 / f64::from(asked_count[index]);
    assert!(share(1) > share(0) / 2.0, "{} and {}", share(1), share(0));
}
