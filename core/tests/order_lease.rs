//! The lease under which a placer sends orders, while a successor takes over.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::name::Name;
use mimosabay_core::order_lease::{OrderLease, duration_ms, takeover_wait_ms};

/// Lease of the site, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// Fencing number of the placer.
const NUMBER: u64 = 7;
/// Longest time until an order that was permitted arrives, in milliseconds.
const FLIGHT_MS: u64 = 400;
/// Longest time until an instance that reaches the store leaves a placer that was replaced, in
/// milliseconds.
const LEAVE_MS: u64 = 200;
/// Time between two steps of a history, in milliseconds.
const STEP_MS: u64 = 50;
/// Number of steps of one history.
const STEPS: u64 = 160;
/// Number of other instances.
const OTHERS: u64 = 5;

fn other(number: u64) -> Name {
    format!("instance-{number}").into()
}

fn others() -> impl Iterator<Item = Name> {
    (0..OTHERS).map(other)
}

fn acquired(asked_ms: u64) -> OrderLease {
    let mut lease = OrderLease::new(duration_ms(LEASE_MS));
    lease.acquire(NUMBER, asked_ms, others());
    lease
}

/// Plays steps in which the first `heard` instances are heard from; returns whether orders may be sent at
/// the end.
fn may_order_after(lease: &mut OrderLease, heard: u64, from_ms: u64, until_ms: u64) -> bool {
    let mut now_ms = from_ms;
    while now_ms < until_ms {
        for number in 0..heard {
            lease.record_contact(&other(number), now_ms);
        }
        lease.may_order(NUMBER, now_ms);
        now_ms += STEP_MS;
    }
    lease.may_order(NUMBER, now_ms)
}

#[test]
fn nobody_orders_before_the_store_has_shown_the_record() {
    let mut lease = OrderLease::new(duration_ms(LEASE_MS));
    assert!(!may_order_after(&mut lease, OTHERS, 0, 2_000));
}

fn check_contact(heard: u64, is_extended: bool) {
    let mut lease = acquired(1_000);
    let may_order = may_order_after(&mut lease, heard, 1_000, 1_000 + 2 * LEASE_MS);
    assert_eq!(may_order, is_extended, "{heard} of {OTHERS} instances");
}

mimosabay_core::cases! { check_contact;
    extended_while_all_are_heard: (5, true);
    extended_while_most_are_heard: (3, true);
    ends_while_most_are_not_heard: (2, false);
    ends_without_contact: (0, false);
}

#[test]
fn instance_that_is_the_only_one_asks_the_store() {
    let mut lease = OrderLease::new(duration_ms(LEASE_MS));
    lease.acquire(NUMBER, 1_000, []);
    assert!(lease.may_order(NUMBER, 1_100));
    assert!(!may_order_after(&mut lease, 0, 1_100, 1_000 + LEASE_MS));
}

#[test]
fn what_arrives_after_a_pause_does_not_extend_it() {
    let mut lease = acquired(1_000);
    assert!(may_order_after(&mut lease, OTHERS, 1_000, 2_000));
    let thawed_ms = 6_000;
    for name in others() {
        lease.record_contact(&name, thawed_ms);
    }
    assert!(!lease.may_order(NUMBER, thawed_ms));
    assert!(!may_order_after(&mut lease, OTHERS, thawed_ms, 9_000));
    lease.acquire(NUMBER, 9_000, others());
    assert!(lease.may_order(NUMBER, 9_010));
}

#[test]
fn short_pause_ends_a_lease_that_would_last() {
    let mut lease = acquired(1_000);
    assert!(lease.may_order(NUMBER, 1_000));
    assert!(!lease.may_order(NUMBER, 1_600));
}

#[test]
fn earlier_placer_of_the_same_process_does_not_order() {
    let mut lease = acquired(1_000);
    assert!(!lease.may_order(NUMBER - 1, 1_010));
}

#[test]
fn placer_that_gives_it_up_does_not_order() {
    let mut lease = acquired(1_000);
    lease.release();
    assert!(!may_order_after(&mut lease, OTHERS, 1_010, 1_500));
}

/// A placer is replaced at any time. Its links to the store and to instances fail, and it is paused, at random;
/// most instances reach the store.
fn check_history(u: &mut Unstructured<'_>) -> Result<()> {
    let mut lease = acquired(0);
    let claimed_ms = u.int_in_range(0..=STEPS / 2)? * STEP_MS;
    let is_cut_from_store: [bool; 2] = u.arbitrary()?;
    let mut left_at_ms = Vec::new();
    for number in 0..OTHERS {
        let follows_late = is_cut_from_store.get(usize::try_from(number).expect("few instances"));
        left_at_ms.push(if follows_late == Some(&true) {
            u64::MAX
        } else {
            claimed_ms + u.int_in_range(0..=LEAVE_MS)?
        });
    }
    let mut now_ms = 0;
    for _ in 0..STEPS {
        now_ms += STEP_MS;
        if u.ratio(1, 20)? {
            now_ms += u.int_in_range(0..=4_000)?;
        }
        for (number, left_ms) in (0..OTHERS).zip(&left_at_ms) {
            // What was sent before a pause arrives after it.
            let sent_ms = now_ms.saturating_sub(if u.ratio(1, 4)? { STEP_MS } else { 0 });
            if sent_ms < *left_ms && u.ratio(3, 4)? {
                lease.record_contact(&other(number), now_ms);
            }
        }
        if now_ms < claimed_ms && u.ratio(1, 10)? {
            let asked_ms = now_ms.saturating_sub(u.int_in_range(0..=400)?);
            lease.acquire(NUMBER, asked_ms, others());
        }
        let first_order_ms = claimed_ms + takeover_wait_ms(LEASE_MS);
        if lease.may_order(NUMBER, now_ms) {
            assert!(
                now_ms + FLIGHT_MS <= first_order_ms,
                "claimed at {claimed_ms} ms, an order at {now_ms} ms"
            );
        }
    }
    Ok(())
}

#[test]
fn no_order_arrives_after_the_first_one_of_a_successor() {
    arbtest(check_history).seed(0x0001_0000).run();
    arbtest(check_history);
}
