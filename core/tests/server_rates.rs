//! Token buckets that hold the servers to the limits that they state.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::server_rates::ServerRates;
use mimosabay_core::stated_limit::StatedLimit;

const BOOT: u64 = 1;
const HISTORY_BYTES: u64 = 400;
const HISTORIES: u64 = 300;

fn stated(requests_per_s: Option<f64>, stated_unix_ms: u64) -> StatedLimit {
    StatedLimit {
        server: "desk-0".into(),
        boot: BOOT,
        requests_per_s,
        stated_unix_ms,
    }
}

/// Counts the requests that may be sent within `[from_ms, until_ms)`, with one tried each 5 ms.
fn sent(rates: &mut ServerRates, from_ms: u64, until_ms: u64) -> usize {
    let times = (from_ms..until_ms).step_by(5);
    times
        .filter(|now_ms| rates.try_take("desk-0", BOOT, *now_ms))
        .count()
}

#[test]
fn server_is_sent_what_it_allows() {
    for limit_per_s in [0.2, 1.0, 1.1, 7.5, 40.0] {
        let mut rates = ServerRates::for_placer();
        rates.apply(&stated(Some(limit_per_s), 1), 0);
        let allowed = limit_per_s * 20.0;
        let count = sent(&mut rates, 0, 20_000) as f64;
        assert!((count - allowed).abs() <= 1.0, "{count} of {allowed}");
    }
}

/// Guards against a limit below one request for each instance that is rounded up at each.
#[test]
fn shares_of_a_small_limit_add_up_to_it() {
    let mut count = 0;
    for _ in 0..7 {
        let mut rates = ServerRates::for_entry();
        rates.apply(&stated(Some(1.0), 1), 0);
        rates.set_instance_count(7, 0);
        count += sent(&mut rates, 0, 70_000);
    }
    assert!((63..=70).contains(&count), "{count} of 70");
}

#[test]
fn server_without_a_limit_is_not_held_back() {
    let mut rates = ServerRates::for_placer();
    assert_eq!(sent(&mut rates, 0, 1_000), 200);
    rates.apply(&stated(Some(0.0), 1), 1_000);
    assert_eq!(sent(&mut rates, 1_000, 5_900), 0);
    assert_eq!(sent(&mut rates, 5_900, 6_500), 1);
    rates.apply(&stated(None, 2), 6_500);
    assert_eq!(sent(&mut rates, 6_500, 7_500), 200);
}

#[test]
fn limit_holds_in_random_histories() {
    for history in 0..HISTORIES {
        arbtest(check_history).seed(history << 32 | HISTORY_BYTES);
    }
}

fn check_history(choices: &mut Unstructured<'_>) -> Result<()> {
    let limit_per_s = f64::from(choices.int_in_range(1..=80)?) / 4.0;
    let mut rates = ServerRates::for_placer();
    rates.apply(&stated(Some(limit_per_s), 1), 0);
    let mut now_ms = 0;
    let mut sent_ms = Vec::new();
    while !choices.is_empty() {
        now_ms += choices.int_in_range(0..=400)?;
        for _ in 0..choices.int_in_range(0..=8)? {
            if rates.try_take("desk-0", BOOT, now_ms) {
                sent_ms.push(now_ms);
            }
        }
        if choices.ratio(1, 20)? {
            rates.apply(&stated(Some(limit_per_s), now_ms + 2), now_ms);
        }
    }
    for first in &sent_ms {
        let span = *first..first + 4_000;
        let count = sent_ms.iter().filter(|at| span.contains(at)).count();
        let allowed = limit_per_s * 1.5 * 4.0 + 5.0;
        assert!(count as f64 <= allowed, "{count} of {allowed}");
    }
    Ok(())
}
