//! Tests with random histories that the oracle checks.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::queue::{Eviction, LoadPermits, Order, QueueSettings, ServerLimits};

use crate::driver::{Driver, request};

const STEPS: usize = 120;
const HISTORIES: u64 = 400;
/// Random bytes for one history.
const SEED_BYTES: u64 = 4_096;

/// Checks a property on the same histories in each test run.
fn check_histories(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for history in 0..HISTORIES {
        arbtest(property).seed(history << 32 | SEED_BYTES);
    }
}

fn settings(u: &mut Unstructured<'_>) -> Result<QueueSettings> {
    Ok(QueueSettings {
        order: *u.choose(&[Order::Product, Order::Fifo])?,
        eviction: *u.choose(&[Eviction::Product, Eviction::Lru])?,
        permits: *u.choose(&[LoadPermits::Unlimited, LoadPermits::Granted])?,
        drain_after_ms: u.int_in_range(0..=500)?,
        refuse_early: u.arbitrary()?,
        ..QueueSettings::default()
    })
}

fn enqueue_request(driver: &mut Driver, ticket: u64, u: &mut Unstructured<'_>) -> Result<()> {
    let organisation = *u.choose(&["north", "south", "west"])?;
    let adapter = *u.choose(&["a", "b", "c", "d", "e", "f"])?;
    let mut request = request(ticket, organisation, adapter);
    request.weight = u.int_in_range(0..=3)?;
    request.cost_tokens = u.int_in_range(0..=5_000)?;
    request.deadline_ms = driver.now_ms + u.int_in_range(0..=3_000)?;
    driver.enqueue(request);
    Ok(())
}

fn step(driver: &mut Driver, tickets: &mut u64, u: &mut Unstructured<'_>) -> Result<()> {
    match u.int_in_range(0..=9)? {
        0..=3 => {
            *tickets += 1;
            enqueue_request(driver, *tickets, u)?;
        }
        4 if !driver.loading.is_empty() => {
            let index = u.choose_index(driver.loading.len())?;
            driver.end_load(index, u.ratio(3, 4)?);
        }
        5 if !driver.running.is_empty() => {
            let index = u.choose_index(driver.running.len())?;
            driver.finish(index);
        }
        6 => driver.cancel(u.int_in_range(0..=*tickets)?),
        7 => driver.grant_load(),
        8 if u.ratio(1, 5)? => driver.restart(),
        _ => driver.advance_time(u.int_in_range(0..=400)?),
    }
    Ok(())
}

#[test]
fn any_order_of_events_keeps_the_invariants() {
    check_histories(|u| {
        let limits = ServerLimits {
            slots: u.int_in_range(1..=3)?,
            batch: u.int_in_range(1..=4)?,
        };
        let mut driver = Driver::new(limits, settings(u)?);
        let mut tickets = 0;
        for _ in 0..STEPS {
            step(&mut driver, &mut tickets, u)?;
        }
        Ok(())
    });
}

/// Every request is answered once no further requests arrive and the server works.
#[test]
fn every_request_is_eventually_answered() {
    check_histories(|u| {
        let limits = ServerLimits {
            slots: u.int_in_range(1..=3)?,
            batch: u.int_in_range(1..=4)?,
        };
        let mut driver = Driver::new(limits, settings(u)?);
        let mut tickets = 0;
        for _ in 0..STEPS {
            step(&mut driver, &mut tickets, u)?;
        }
        for _ in 0..10 * STEPS {
            driver.grant_load();
            driver.end_loads();
            while !driver.running.is_empty() {
                driver.finish(0);
            }
            driver.advance_time(1);
        }
        assert_eq!(driver.queue.waiting(), 0);
        Ok(())
    });
}
