//! No organisation gets more than its rate and burst over any interval, whatever fails.

use crate::fleet::{FaultProfile, Fleet};
use crate::oracle::{InForce, Spend, overdraft};
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::budget::{BudgetPolicy, BudgetSettings, Limit};

const RATE_PER_S: f64 = 1_000.0;
/// Bursts from half a second of the rate, most of which can be in use as grants, to several
/// seconds.
const BURSTS_TOKENS: [f64; 3] = [500.0, 1_000.0, 4_000.0];
/// Length of the random input, in the low half of an arbtest seed.
const INPUT_BYTES: u64 = 60_000;

/// Minimum fraction of the rate that the histories of a case use.
const MIN_USE_RATIO: f64 = 0.02;
/// Distance between two seeds, so that consecutive numbers give unrelated inputs.
const SEED_STRIDE: u64 = 0x9e37_79b9;

const NO_FAULTS: FaultProfile = FaultProfile {
    loss_percent: 0,
    duplicate_percent: 0,
    late_percent: 0,
    max_delay_ms: 3,
    has_instance_faults: false,
};
const LOSSY_NETWORK: FaultProfile = FaultProfile {
    loss_percent: 10,
    duplicate_percent: 10,
    late_percent: 10,
    max_delay_ms: 40,
    has_instance_faults: false,
};
const INSTANCE_FAULTS: FaultProfile = FaultProfile {
    has_instance_faults: true,
    ..NO_FAULTS
};
const ALL_FAULTS: FaultProfile = FaultProfile {
    has_instance_faults: true,
    ..LOSSY_NETWORK
};

fn bound_holds(faults: FaultProfile, policy: BudgetPolicy, seeds: std::ops::Range<u64>) {
    let mut spent_tokens = 0.0;
    let mut created_tokens = 0.0;
    for seed in seeds {
        let seed = seed.wrapping_mul(SEED_STRIDE) << 32 | INPUT_BYTES;
        let history = |u: &mut Unstructured| {
            let fleet = run_history(faults, policy, u)?;
            spent_tokens += fleet.spent_tokens();
            created_tokens += RATE_PER_S * fleet.now_ms as f64 / 1_000.0;
            Ok(())
        };
        arbtest(history).seed(seed).run();
    }
    println!("{spent_tokens:.0} of {created_tokens:.0} tokens spent");
    assert!(
        spent_tokens > created_tokens * MIN_USE_RATIO,
        "the histories spend too few tokens to test the bound"
    );
}

fn run_history(faults: FaultProfile, policy: BudgetPolicy, u: &mut Unstructured) -> Result<Fleet> {
    let settings = BudgetSettings {
        policy,
        ..BudgetSettings::default()
    };
    let limit = Limit {
        burst_tokens: *u.choose(&BURSTS_TOKENS)?,
        rate_per_s: RATE_PER_S,
    };
    let mut fleet = Fleet::new(settings, faults, limit);
    for _ in 0..u.int_in_range(2..=5)? {
        fleet.start(u.int_in_range(-10_000..=10_000)?);
    }
    fleet.set_all_peers();
    while !u.is_empty() {
        fleet.step(u.int_in_range(1..=40)?, u)?;
        fleet.random_event(u)?;
    }
    if let Some((spend, excess)) = fleet.overdraft() {
        panic!("limit exceeded by {excess} tokens at {spend:?}");
    }
    Ok(fleet)
}

mimosabay_core::cases! {
    bound_holds;
    bound_holds_without_faults: (NO_FAULTS, BudgetPolicy::Lending, 1..20);
    bound_holds_with_lost_late_and_repeated_messages: (LOSSY_NETWORK, BudgetPolicy::Lending, 1..40);
    bound_holds_with_kills_pauses_and_changes: (INSTANCE_FAULTS, BudgetPolicy::Lending, 1..40);
    bound_holds_with_network_and_instance_faults: (ALL_FAULTS, BudgetPolicy::Lending, 1..60);
    bound_holds_with_static_shares: (ALL_FAULTS, BudgetPolicy::StaticShare, 1..20);
}

fn check_oracle(spends: &[(u64, f64)], is_exceeded: bool) {
    let limits = [InForce {
        from_ms: 0,
        rate_per_s: 100.0,
        burst_tokens: 50.0,
    }];
    let spends: Vec<Spend> = spends
        .iter()
        .map(|&(at_ms, tokens)| Spend { at_ms, tokens })
        .collect();
    assert_eq!(overdraft(&limits, &spends).is_some(), is_exceeded);
}

mimosabay_core::cases! {
    check_oracle;
    oracle_accepts_burst_then_rate: (&[(0, 50.0), (100, 10.0), (200, 10.0)], false);
    oracle_finds_more_than_the_burst_at_once: (&[(0, 30.0), (0, 30.0)], true);
    oracle_finds_an_inner_interval: (&[(9_000, 50.0), (9_100, 20.0)], true);
    oracle_sorts_the_history: (&[(9_100, 20.0), (9_000, 50.0)], true);
}
