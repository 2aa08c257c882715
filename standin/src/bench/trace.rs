//! The calls of a run, made from a seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::options::{BenchOptions, Fault, SiteKind};
use crate::text;

/// Organisations: name, part of the calls, and whether it sends several times its rate.
pub(super) const ORGANISATIONS: [(&str, f64, bool); 5] = [
    ("large-1", 0.35, false),
    ("large-2", 0.30, false),
    ("small-1", 0.10, false),
    ("small-2", 0.10, false),
    ("flooding", 0.15, true),
];

/// Mean tokens of a call, by the lengths below.
const MEAN_TOKENS: f64 = 0.75 * 52.0 + 0.25 * 264.0;
/// Rate of an organisation, as a factor of what it usually sends.
const RATE_FACTOR: f64 = 2.0;
/// Burst of an organisation, as seconds of its rate.
const BURST_S: f64 = 5.0;
/// Part of the calls with long prompts.
const LONG_PART: f64 = 0.25;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Asks {
    /// A generation on an adapter.
    Generate {
        adapter: usize,
        prompt: String,
        max_tokens: u64,
    },
    /// A lookup at a plain service, which may be repeated.
    Lookup,
    /// A booking at a plain service, which may not.
    Booking,
}

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Arrival {
    /// Time since the start of the trace.
    pub(super) at_ms: u64,
    /// Index in [`ORGANISATIONS`].
    pub(super) organisation: usize,
    pub(super) asks: Asks,
}

impl Arrival {
    /// Upper bound of its tokens.
    pub(super) fn cost_tokens(&self) -> u64 {
        match &self.asks {
            Asks::Generate {
                prompt, max_tokens, ..
            } => text::count_tokens(prompt) + max_tokens,
            Asks::Lookup | Asks::Booking => 0,
        }
    }
}

/// Token rate and burst of an organisation.
pub(super) fn rate_and_burst(options: &BenchOptions, organisation: usize) -> (f64, f64) {
    let (_, part, _) = ORGANISATIONS[organisation];
    let rate = options.calls_per_s * part * MEAN_TOKENS * RATE_FACTOR;
    (rate, rate * BURST_S)
}

/// Makes the trace.
pub(super) fn make(options: &BenchOptions) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let total_ms = 1_000 * (options.warm_up_seconds + options.seconds);
    let popularity = cumulative_popularity(options.adapters, options.skew);
    let weights: Vec<f64> = ORGANISATIONS
        .iter()
        .map(|(_, part, floods)| part * if *floods { options.overload } else { 1.0 })
        .collect();
    let calls_per_s = options.calls_per_s * weights.iter().sum::<f64>();
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let even: f64 = random.random();
        at_ms -= (1.0 - even).ln() / calls_per_s * 1_000.0;
        if at_ms >= total_ms as f64 {
            return arrivals;
        }
        let organisation = pick(&weights, &mut random);
        let at_ms = whole(at_ms);
        let asks = asks(options, &popularity, at_ms, arrivals.len(), &mut random);
        arrivals.push(Arrival {
            at_ms,
            organisation,
            asks,
        });
    }
}

fn asks(
    options: &BenchOptions,
    popularity: &[f64],
    at_ms: u64,
    number: usize,
    random: &mut StdRng,
) -> Asks {
    let plain_part = match options.site {
        SiteKind::Thies => 0.1,
        SiteKind::Cofrestr => 0.4,
    };
    if random.random_bool(plain_part) {
        return if random.random_bool(0.8) {
            Asks::Lookup
        } else {
            Asks::Booking
        };
    }
    let even: f64 = random.random();
    let rank = popularity.partition_point(|sum| *sum <= even);
    let adapter = (rank.min(options.adapters - 1) + shift(options, at_ms)) % options.adapters;
    let is_long = random.random_bool(LONG_PART);
    let (words, max_tokens) = if is_long { (200, 64) } else { (20, 32) };
    let filler = ["line"; 200];
    let prompt = format!("call {number} {}", filler[..words - 2].join(" "));
    Asks::Generate {
        adapter,
        prompt,
        max_tokens,
    }
}

/// By how many places the ranks of the adapters have moved.
fn shift(options: &BenchOptions, at_ms: u64) -> usize {
    let half_ms = 1_000 * options.warm_up_seconds + 500 * options.seconds;
    match options.fault {
        Fault::PopularityShift if at_ms >= half_ms => options.adapters / 2,
        _ if at_ms >= half_ms => options.adapters / 50,
        _ => 0,
    }
}

fn cumulative_popularity(adapters: usize, skew: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=adapters)
        .map(|rank| (rank as f64).powf(-skew))
        .collect();
    let all: f64 = weights.iter().sum();
    weights
        .iter()
        .scan(0.0, |sum, weight| {
            *sum += weight / all;
            Some(*sum)
        })
        .collect()
}

fn pick(weights: &[f64], random: &mut StdRng) -> usize {
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(time_ms: f64) -> u64 {
    time_ms as u64
}
