//! Tests that an organisation that floods a server delays only its own requests.

use mimosabay_core::queue::{LoadPermits, QueueSettings, ServerLimits};

use crate::driver::{Driver, request};

const COST_TOKENS: u64 = 100;

/// Queues 1000 requests each of `north` and `south` and returns the number of dispatches of both.
fn dispatched_in(turns: usize, south_weight: u32) -> (usize, usize) {
    let limits = ServerLimits { slots: 1, batch: 1 };
    let mut driver = Driver::new(limits, QueueSettings::default());
    for ticket in 0..1_000 {
        driver.enqueue(request(ticket, "north", "a"));
    }
    for ticket in 1_000..2_000 {
        let mut request = request(ticket, "south", "a");
        request.weight = south_weight;
        request.cost_tokens = COST_TOKENS;
        driver.enqueue(request);
    }
    driver.end_loads();
    for _ in 1..turns {
        driver.finish(0);
    }
    let north = driver.dispatched.iter().filter(|ticket| **ticket < 1_000);
    let north = north.count();
    (north, driver.dispatched.len() - north)
}

fn check_shares(south_weight: u32, expected: (usize, usize)) {
    let (north, south) = dispatched_in(400, south_weight);
    assert!(north.abs_diff(expected.0) <= 1, "{north} of {expected:?}");
    assert!(south.abs_diff(expected.1) <= 1, "{south} of {expected:?}");
}

mimosabay_core::cases! {
    check_shares;
    equal_weights: (1, (200, 200));
    threefold_weight: (3, (100, 300));
}

/// A request of an organisation that sends few requests waits for at most one run of another.
#[test]
fn sparse_organisation_goes_next() {
    let limits = ServerLimits { slots: 1, batch: 1 };
    let mut driver = Driver::new(limits, QueueSettings::default());
    for ticket in 0..200 {
        driver.enqueue(request(ticket, "north", "a"));
    }
    driver.end_loads();
    for turn in 0..40 {
        driver.finish(0);
        driver.finish(0);
        let ticket = 1_000 + turn;
        driver.enqueue(request(ticket, "south", "a"));
        driver.finish(0);
        assert_eq!(driver.dispatched.last(), Some(&ticket));
    }
}

/// Unused charges are refunded, so a bound far above the use does not reduce the share.
#[test]
fn shares_follow_the_tokens_used() {
    let limits = ServerLimits { slots: 1, batch: 1 };
    let mut driver = Driver::new(limits, QueueSettings::default());
    for ticket in 0..500 {
        let mut wide = request(ticket, "north", "a");
        wide.cost_tokens = 1_000;
        driver.enqueue(wide);
        driver.enqueue(request(1_000 + ticket, "south", "a"));
    }
    driver.end_loads();
    for _ in 0..200 {
        let ticket = driver.running[0];
        driver.finish_with(0, COST_TOKENS);
        assert!(ticket < 2_000);
    }
    let north = driver.dispatched.iter().filter(|ticket| **ticket < 1_000);
    let north = north.count();
    assert!((90..=110).contains(&north), "{north}");
}

/// Loads are shared like tokens: a flood of rare adapters does not delay the loads of others.
#[test]
fn loads_are_shared() {
    let limits = ServerLimits { slots: 4, batch: 4 };
    let settings = QueueSettings {
        permits: LoadPermits::Granted,
        ..QueueSettings::default()
    };
    let mut driver = Driver::new(limits, settings);
    for ticket in 0..100 {
        driver.enqueue(request(ticket, "north", &format!("rare-{ticket}")));
    }
    driver.enqueue(request(1_000, "south", "a"));
    driver.enqueue(request(1_001, "south", "b"));
    for _ in 0..4 {
        driver.grant_load();
    }
    driver.end_loads();
    let south = driver.dispatched.iter().filter(|ticket| **ticket >= 1_000);
    assert_eq!(south.count(), 2);
}
