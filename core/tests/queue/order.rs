//! Tests of the order of requests, loads and evictions.

use mimosabay_core::queue::{Eviction, LoadPermits, Order, QueueSettings, ServerLimits};

use crate::driver::{Driver, model, request};

const LIMITS: ServerLimits = ServerLimits { slots: 2, batch: 4 };

fn granted() -> QueueSettings {
    QueueSettings {
        permits: LoadPermits::Granted,
        ..QueueSettings::default()
    }
}

#[test]
fn load_starts_at_queue_time_and_serves_all_that_wait() {
    let mut driver = Driver::new(LIMITS, QueueSettings::default());
    driver.enqueue(request(1, "north", "a"));
    driver.enqueue(request(2, "south", "a"));
    assert_eq!(driver.loading, [model("a")]);
    driver.end_loads();
    assert_eq!(driver.dispatched, [1, 2]);
}

#[test]
fn load_does_not_block_resident_adapters() {
    let mut driver = Driver::new(LIMITS, QueueSettings::default());
    driver.enqueue(request(1, "north", "a"));
    driver.end_loads();
    driver.enqueue(request(2, "north", "b"));
    driver.enqueue(request(3, "north", "a"));
    assert_eq!(driver.dispatched, [1, 3]);
}

#[test]
fn load_with_more_waiting_requests_goes_first() {
    let mut driver = Driver::new(LIMITS, granted());
    driver.enqueue(request(1, "north", "a"));
    for ticket in 2..5 {
        driver.enqueue(request(ticket, "north", "b"));
    }
    let wanted = driver.queue.wanted_load(10);
    assert_eq!(wanted.map(|wanted| wanted.model), Some(model("b")));
    assert_eq!(driver.loading, []);
    driver.grant_load();
    assert_eq!(driver.loading, [model("b")]);
}

#[test]
fn old_load_is_not_starved() {
    let mut driver = Driver::new(LIMITS, granted());
    driver.enqueue(request(1, "north", "a"));
    driver.advance_time(10_000);
    for ticket in 2..10 {
        driver.enqueue(request(ticket, "north", "b"));
    }
    driver.grant_load();
    assert_eq!(driver.loading, [model("a")]);
}

#[test]
fn unneeded_load_permit_is_not_used() {
    let mut driver = Driver::new(LIMITS, granted());
    driver.grant_load();
    assert_eq!(driver.loading, []);
    assert_eq!(driver.queue.wanted_load(0), None);
}

/// Creates demand for `a`, uses `b` last, and then requests `c`.
fn check_eviction(eviction: Eviction, expected: &str) {
    let settings = QueueSettings {
        eviction,
        ..QueueSettings::default()
    };
    let mut driver = Driver::new(LIMITS, settings);
    for ticket in 0..4 {
        driver.enqueue(request(ticket, "north", "a"));
    }
    driver.end_loads();
    while !driver.running.is_empty() {
        driver.finish(0);
    }
    driver.advance_time(100);
    driver.enqueue(request(10, "north", "b"));
    driver.end_loads();
    driver.finish(0);
    driver.enqueue(request(11, "north", "c"));
    assert_eq!(driver.evicted, [model(expected)]);
}

mimosabay_core::cases! {
    check_eviction;
    eviction_by_demand: (Eviction::Product, "b");
    eviction_by_age: (Eviction::Lru, "a");
}

#[test]
fn busy_adapter_is_drained_for_one_that_has_waited() {
    let limits = ServerLimits { slots: 1, batch: 2 };
    let mut driver = Driver::new(limits, QueueSettings::default());
    driver.enqueue(request(1, "north", "a"));
    driver.end_loads();
    driver.enqueue(request(2, "south", "b"));
    driver.advance_time(2_000);
    driver.enqueue(request(3, "north", "a"));
    assert_eq!(driver.dispatched, [1]);
    driver.finish(0);
    assert_eq!(driver.loading, [model("b")]);
}

#[test]
fn restart_reloads_adapters_of_waiting_requests() {
    let limits = ServerLimits { slots: 1, batch: 1 };
    let mut driver = Driver::new(limits, QueueSettings::default());
    driver.enqueue(request(1, "north", "a"));
    driver.end_loads();
    driver.enqueue(request(2, "north", "a"));
    driver.restart();
    assert_eq!(driver.loading, [model("a")]);
    driver.end_loads();
    assert_eq!(driver.dispatched, [1, 2]);
}

#[test]
fn fifo_takes_requests_by_age() {
    let settings = QueueSettings {
        order: Order::Fifo,
        ..QueueSettings::default()
    };
    let mut driver = Driver::new(ServerLimits { slots: 1, batch: 1 }, settings);
    for ticket in 0..6 {
        driver.enqueue(request(ticket, "north", "a"));
    }
    driver.enqueue(request(6, "south", "a"));
    driver.end_loads();
    while !driver.running.is_empty() {
        driver.finish(0);
    }
    assert_eq!(driver.dispatched, [0, 1, 2, 3, 4, 5, 6]);
}
