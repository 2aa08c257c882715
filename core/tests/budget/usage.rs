//! How much of its rate and burst an organisation can use, and how much is refused.

use crate::fleet::{FaultProfile, Fleet};
use arbtest::arbitrary::Unstructured;
use mimosabay_core::bucket::Bucket;
use mimosabay_core::budget::{BudgetPolicy, BudgetSettings, Charge, Limit};

const LIMIT: Limit = Limit {
    rate_per_s: 1_000.0,
    burst_tokens: 4_000.0,
};
const NETWORK: FaultProfile = FaultProfile {
    loss_percent: 0,
    duplicate_percent: 0,
    late_percent: 0,
    max_delay_ms: 2,
    has_instance_faults: false,
};
const STEP_MS: u64 = 5;

/// Seven instances that know each other and whose budgets are full.
fn warmed_up_fleet(policy: BudgetPolicy, u: &mut Unstructured) -> Fleet {
    let settings = BudgetSettings {
        policy,
        ..BudgetSettings::default()
    };
    let mut fleet = Fleet::new(settings, NETWORK, LIMIT);
    for _ in 0..7 {
        fleet.start(0);
    }
    fleet.set_all_peers();
    for _ in 0..40 {
        for index in 0..fleet.len() {
            fleet.sync_roster(index, u).expect("input");
        }
    }
    run(&mut fleet, 10_000, u);
    fleet
}

fn run(fleet: &mut Fleet, time_ms: u64, u: &mut Unstructured) {
    for _ in 0..time_ms / STEP_MS {
        fleet.step(STEP_MS, u).expect("input");
    }
}

/// Tries a request until it is granted or refused; returns the waiting time if it is granted.
fn request(
    fleet: &mut Fleet,
    index: usize,
    tokens: u64,
    max_wait_ms: u64,
    u: &mut Unstructured,
) -> Option<u64> {
    let ticket = fleet.ticket();
    let started_ms = fleet.now_ms;
    loop {
        let left_ms = max_wait_ms.saturating_sub(fleet.now_ms - started_ms);
        match fleet.charge(index, ticket, tokens, left_ms) {
            Charge::Granted => return Some(fleet.now_ms - started_ms),
            Charge::Wait { .. } => fleet.step(STEP_MS, u).expect("input"),
            Charge::Refused { .. } | Charge::Unavailable { .. } | Charge::TooLarge => return None,
        }
    }
}

/// Results of the requests of a load.
#[derive(Debug, Default)]
struct Outcome {
    granted: usize,
    granted_tokens: u64,
    /// Refusals of requests that a single bucket for all instances would have admitted.
    refused_within_rate: usize,
    refused_over_rate: usize,
    longest_wait_ms: u64,
    longest_refusal_ms: u64,
}

struct Arrival {
    at_ms: u64,
    index: usize,
    tokens: u64,
    is_within_rate: bool,
    ticket: u64,
}

/// Requests of `tokens` arrive at `per_s` a second, each at the instance that `instance_for`
/// returns for its number.
struct Load {
    per_s: u64,
    tokens: u64,
    time_ms: u64,
    max_wait_ms: u64,
    instance_for: fn(u64) -> usize,
}

impl Load {
    fn run(&self, fleet: &mut Fleet, u: &mut Unstructured) -> Outcome {
        let mut reference = Bucket::full(LIMIT.rate_per_s, LIMIT.burst_tokens, fleet.now_ms);
        let mut outcome = Outcome::default();
        let mut waiting: Vec<Arrival> = Vec::new();
        let started_ms = fleet.now_ms;
        let mut count = 0;
        while fleet.now_ms < started_ms + self.time_ms + self.max_wait_ms {
            let passed_ms = fleet.now_ms - started_ms;
            while passed_ms < self.time_ms && count * 1_000 <= passed_ms * self.per_s {
                waiting.push(Arrival {
                    at_ms: fleet.now_ms,
                    index: (self.instance_for)(count),
                    tokens: self.tokens,
                    is_within_rate: reference.try_take(self.tokens as f64, fleet.now_ms),
                    ticket: fleet.ticket(),
                });
                count += 1;
            }
            waiting.retain(|arrival| self.still_waits(fleet, arrival, &mut outcome));
            fleet.step(STEP_MS, u).expect("input");
        }
        assert!(fleet.overdraft().is_none(), "{:?}", fleet.overdraft());
        outcome
    }

    /// Tries a request once and returns whether it still waits.
    fn still_waits(&self, fleet: &mut Fleet, arrival: &Arrival, outcome: &mut Outcome) -> bool {
        let waited_ms = fleet.now_ms - arrival.at_ms;
        let left_ms = self.max_wait_ms.saturating_sub(waited_ms);
        match fleet.charge(arrival.index, arrival.ticket, arrival.tokens, left_ms) {
            Charge::Wait { .. } => return true,
            Charge::Granted => {
                outcome.granted += 1;
                outcome.granted_tokens += arrival.tokens;
                outcome.longest_wait_ms = outcome.longest_wait_ms.max(waited_ms);
            }
            Charge::Refused { .. } | Charge::Unavailable { .. } | Charge::TooLarge => {
                outcome.longest_refusal_ms = outcome.longest_refusal_ms.max(waited_ms);
                if arrival.is_within_rate {
                    outcome.refused_within_rate += 1;
                } else {
                    outcome.refused_over_rate += 1;
                }
            }
        }
        false
    }
}

fn always_instance_3(_: u64) -> usize {
    3
}

fn round_robin(count: u64) -> usize {
    (count % 7) as usize
}

/// 40 consecutive requests at one instance, then 40 at the next.
fn runs_of_40(count: u64) -> usize {
    (count / 40 % 7) as usize
}

const NINETY_PERCENT: Load = Load {
    per_s: 9,
    tokens: 100,
    time_ms: 20_000,
    max_wait_ms: 1_000,
    instance_for: round_robin,
};

fn refuses_nothing_within_rate(load: &Load) {
    let mut u = Unstructured::new(&[]);
    let mut fleet = warmed_up_fleet(BudgetPolicy::Lending, &mut u);
    let outcome = load.run(&mut fleet, &mut u);
    println!("{outcome:?}");
    assert_eq!(outcome.refused_within_rate, 0, "{outcome:?}");
}

mimosabay_core::cases! {
    refuses_nothing_within_rate;
    lending_serves_a_spread_load: (&NINETY_PERCENT);
    lending_serves_a_load_at_one_instance: (&Load { instance_for: always_instance_3, ..NINETY_PERCENT });
    lending_serves_a_load_that_moves: (&Load { instance_for: runs_of_40, ..NINETY_PERCENT });
    lending_serves_large_requests:
        (&Load { per_s: 1, tokens: 950, instance_for: runs_of_40, ..NINETY_PERCENT });
    lending_serves_small_requests: (&Load { per_s: 90, tokens: 10, ..NINETY_PERCENT });
}

#[test]
fn static_shares_refuse_what_lending_admits() {
    let load = Load {
        instance_for: always_instance_3,
        ..NINETY_PERCENT
    };
    let [lending, fixed] = [BudgetPolicy::Lending, BudgetPolicy::StaticShare].map(|policy| {
        let mut u = Unstructured::new(&[]);
        let mut fleet = warmed_up_fleet(policy, &mut u);
        load.run(&mut fleet, &mut u)
    });
    println!("lending {lending:?}\nstatic share {fixed:?}");
    assert_eq!(lending.refused_within_rate, 0);
    assert!(fixed.refused_within_rate * 2 > fixed.granted, "{fixed:?}");
}

#[test]
fn an_overload_gets_its_rate_and_the_rest_is_refused_at_once() {
    let mut u = Unstructured::new(&[]);
    let mut fleet = warmed_up_fleet(BudgetPolicy::Lending, &mut u);
    let load = Load {
        per_s: 50,
        max_wait_ms: 200,
        ..NINETY_PERCENT
    };
    let outcome = load.run(&mut fleet, &mut u);
    println!("{outcome:?}");
    let entitled = LIMIT.burst_tokens + LIMIT.rate_per_s * load.time_ms as f64 / 1_000.0;
    assert!(
        outcome.granted_tokens as f64 > 0.95 * entitled,
        "{outcome:?}"
    );
    assert!(outcome.longest_refusal_ms <= 200, "{outcome:?}");
}

#[test]
fn requests_within_rate_are_admitted_after_the_coordinator_is_killed() {
    for index in 0..7 {
        let mut u = Unstructured::new(&[]);
        let mut fleet = warmed_up_fleet(BudgetPolicy::Lending, &mut u);
        let load = Load {
            per_s: 6,
            time_ms: 5_000,
            max_wait_ms: 4_000,
            instance_for: |count| (count % 6) as usize,
            ..NINETY_PERCENT
        };
        load.run(&mut fleet, &mut u);
        fleet.kill(index);
        fleet.set_all_peers();
        let outcome = load.run(&mut fleet, &mut u);
        println!("{index} killed: {outcome:?}");
        assert_eq!(outcome.refused_within_rate, 0, "{outcome:?}");
    }
}

#[test]
fn a_request_as_large_as_the_burst_is_admitted_anywhere() {
    let mut u = Unstructured::new(&[]);
    for index in 0..7 {
        let mut fleet = warmed_up_fleet(BudgetPolicy::Lending, &mut u);
        let wait_ms = request(&mut fleet, index, 4_000, 500, &mut u);
        assert!(wait_ms.is_some_and(|wait_ms| wait_ms <= 100), "{wait_ms:?}");
    }
}
