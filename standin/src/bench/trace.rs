//! Generates the calls of a run from a seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::options::{BenchOptions, Fault, SiteKind};
use crate::text;

/// Organisations: name, fraction of the calls, and whether the organisation multiplies its calls by
/// [`BenchOptions::overload`].
pub(super) const ORGANISATIONS: [(&str, f64, bool); 5] = [
    ("large-1", 0.35, false),
    ("large-2", 0.30, false),
    ("small-1", 0.10, false),
    ("small-2", 0.10, false),
    ("flooding", 0.15, true),
];

/// Mean number of tokens of a generation: 52 for short and 264 for long prompts.
const MEAN_TOKENS: f64 = 0.75 * 52.0 + 0.25 * 264.0;
/// Rate of an organisation as a multiple of its tokens per second without overload.
const RATE_FACTOR: f64 = 2.0;
/// Burst of an organisation, in seconds of its rate.
const BURST_S: f64 = 5.0;
/// Fraction of the generations that have long prompts.
const LONG_PROMPT_FRACTION: f64 = 0.25;

/// The requested operation of a call.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Operation {
    /// Generation with an adapter.
    Generate {
        adapter: usize,
        prompt: String,
        max_tokens: u64,
    },
    /// Lookup at a plain service; may be retried.
    Lookup,
    /// Booking at a plain service; must not be retried.
    Booking,
}

/// One call of the trace.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Arrival {
    /// Time since the start of the trace, in milliseconds.
    pub(super) at_ms: u64,
    /// Index in [`ORGANISATIONS`].
    pub(super) organisation: usize,
    pub(super) operation: Operation,
}

impl Arrival {
    /// Returns the upper bound of the tokens that the call uses.
    pub(super) fn cost_tokens(&self) -> u64 {
        match &self.operation {
            Operation::Generate {
                prompt, max_tokens, ..
            } => text::count_tokens(prompt) + max_tokens,
            Operation::Lookup | Operation::Booking => 0,
        }
    }
}

/// Returns the rate of an organisation in tokens per second and its burst in tokens.
pub(super) fn rate_and_burst(options: &BenchOptions, organisation: usize) -> (f64, f64) {
    let (_, call_fraction, _) = ORGANISATIONS[organisation];
    let rate = options.calls_per_s * call_fraction * MEAN_TOKENS * RATE_FACTOR;
    (rate, rate * BURST_S)
}

/// Generates the trace. Arrivals are a Poisson process.
pub(super) fn generate(options: &BenchOptions) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let total_ms = 1_000 * (options.warm_up_seconds + options.seconds);
    let popularity = cumulative_popularity(options.adapters, options.skew);
    let weights: Vec<f64> = ORGANISATIONS
        .iter()
        .map(|(_, call_fraction, is_flooding)| {
            call_fraction * if *is_flooding { options.overload } else { 1.0 }
        })
        .collect();
    let calls_per_s = options.calls_per_s * weights.iter().sum::<f64>();
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let uniform_sample: f64 = rng.random();
        at_ms -= (1.0 - uniform_sample).ln() / calls_per_s * 1_000.0;
        if at_ms >= total_ms as f64 {
            return arrivals;
        }
        let organisation = choose_weighted(&weights, &mut rng);
        let at_ms = truncate_to_u64(at_ms);
        let operation = generate_operation(options, &popularity, at_ms, arrivals.len(), &mut rng);
        arrivals.push(Arrival {
            at_ms,
            organisation,
            operation,
        });
    }
}

fn generate_operation(
    options: &BenchOptions,
    popularity: &[f64],
    at_ms: u64,
    number: usize,
    rng: &mut StdRng,
) -> Operation {
    let plain_fraction = match options.site {
        SiteKind::Thies => 0.1,
        SiteKind::Cofrestr => 0.4,
    };
    if rng.random_bool(plain_fraction) {
        return if rng.random_bool(0.8) {
            Operation::Lookup
        } else {
            Operation::Booking
        };
    }
    let uniform_sample: f64 = rng.random();
    let rank = popularity.partition_point(|sum| *sum <= uniform_sample);
    let adapter = (rank.min(options.adapters - 1) + rank_shift(options, at_ms)) % options.adapters;
    let is_long = rng.random_bool(LONG_PROMPT_FRACTION);
    let (words, max_tokens) = if is_long { (200, 64) } else { (20, 32) };
    let filler = ["line"; 200];
    let prompt = format!("call {number} {}", filler[..words - 2].join(" "));
    Operation::Generate {
        adapter,
        prompt,
        max_tokens,
    }
}

/// Returns by how many ranks the popularity of the adapters has shifted.
fn rank_shift(options: &BenchOptions, at_ms: u64) -> usize {
    let midpoint_ms = 1_000 * options.warm_up_seconds + 500 * options.seconds;
    match options.fault {
        Fault::PopularityShift if at_ms >= midpoint_ms => options.adapters / 2,
        _ if at_ms >= midpoint_ms => options.adapters / 50,
        _ => 0,
    }
}

fn cumulative_popularity(adapters: usize, skew: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=adapters)
        .map(|rank| (rank as f64).powf(-skew))
        .collect();
    let total: f64 = weights.iter().sum();
    weights
        .iter()
        .scan(0.0, |sum, weight| {
            *sum += weight / total;
            Some(*sum)
        })
        .collect()
}

fn choose_weighted(weights: &[f64], rng: &mut StdRng) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn truncate_to_u64(time_ms: f64) -> u64 {
    time_ms as u64
}
