//! Judges a run by what callers saw and what engines really ran.

use std::collections::{BTreeMap, HashMap, HashSet};

use hdrhistogram::Histogram;
use mimosabay_core::bucket::Bucket;
use serde_json::{Value, json};

use super::options::BenchOptions;
use super::trace::{Arrival, Asks, ORGANISATIONS, rate_and_burst};
use crate::engine::{self, RunRecord};

/// Largest time that is told apart.
const LONGEST_MS: u64 = 600_000;

/// What a call came to.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CallEnd {
    /// A whole and right answer.
    Whole,
    /// An answer that said that it was whole and was not the right one.
    Wrong,
    /// A refusal with its code.
    Refused(String),
    /// The connection broke.
    Broken(String),
}

/// One call of the trace.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    /// Place in the trace.
    pub(super) index: usize,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub(super) sent_ms: u64,
    /// When the first part of the answer came.
    pub(super) first_ms: Option<u64>,
    pub(super) end: CallEnd,
}

/// Sums of one organisation.
#[derive(Default)]
struct Account {
    /// Tokens of the calls within its rate.
    entitled_tokens: u64,
    /// Those of them that were served.
    served_tokens: u64,
    calls_within: u64,
    refused_within: u64,
    /// Most tokens above rate and burst that were served.
    excess_tokens: f64,
    first_ms: Vec<u64>,
}

/// The measures of a run.
pub(super) fn judge(
    options: &BenchOptions,
    trace: &[Arrival],
    records: &[CallRecord],
    engines: &[engine::Record],
    start_unix_ms: u64,
) -> Value {
    let measured_ms = 1_000 * options.warm_up_seconds;
    let measured: Vec<&CallRecord> = records
        .iter()
        .filter(|record| trace[record.index].at_ms >= measured_ms)
        .collect();
    let from_unix_ms = start_unix_ms + measured_ms;
    let mut result = ends(&measured);
    result["open"] = json!(trace.len() - records.len());
    result["stalls"] = stalls(trace, &measured, engines);
    result["engines"] = batches(options, engines, from_unix_ms);
    result["loads"] = loads(options, trace, &measured, engines, from_unix_ms);
    result["organisations"] = organisations(options, trace, records, measured_ms);
    result
}

fn ends(records: &[&CallRecord]) -> Value {
    let mut refused: BTreeMap<&str, u64> = BTreeMap::new();
    let mut broken: BTreeMap<&str, u64> = BTreeMap::new();
    let (mut whole, mut wrong) = (0, 0);
    for record in records {
        match &record.end {
            CallEnd::Whole => whole += 1,
            CallEnd::Wrong => wrong += 1,
            CallEnd::Refused(code) => *refused.entry(code).or_default() += 1,
            CallEnd::Broken(cause) => *broken.entry(cause).or_default() += 1,
        }
    }
    json!({ "whole": whole, "wrong": wrong, "refused": refused, "broken": broken })
}

/// A request stalled if its adapter was loaded after it was sent; refused ones are told apart.
fn stalls(trace: &[Arrival], records: &[&CallRecord], engines: &[engine::Record]) -> Value {
    let loaded = load_times(engines);
    let runs: HashMap<&str, (usize, &RunRecord)> = engines
        .iter()
        .enumerate()
        .flat_map(|(engine, record)| record.runs.iter().map(move |run| (engine, run)))
        .map(|(engine, run)| (run.prompt.as_str(), (engine, run)))
        .collect();
    let mut times = Vec::new();
    let mut answered = 0_u64;
    for record in records {
        let Asks::Generate { prompt, .. } = &trace[record.index].asks else {
            continue;
        };
        let Some((engine, run)) = runs.get(prompt.as_str()) else {
            continue;
        };
        answered += 1;
        let at_ms = loaded.get(&(*engine, &*run.handle)).copied().unwrap_or(0);
        if at_ms > record.sent_ms {
            times.push(at_ms - record.sent_ms);
        }
    }
    let sum_ms: u64 = times.iter().sum();
    json!({
        "share": times.len() as f64 / answered.max(1) as f64,
        "stall_s": sum_ms as f64 / 1_000.0,
        "of_generations": answered,
        "ms": percentiles(&times),
    })
}

fn load_times(engines: &[engine::Record]) -> HashMap<(usize, &str), u64> {
    let mut times = HashMap::new();
    for (engine, record) in engines.iter().enumerate() {
        for order in &record.orders {
            if order.load && order.status == 200 {
                times.entry((engine, &*order.handle)).or_insert(order.at_ms);
            }
        }
    }
    times
}

fn batches(options: &BenchOptions, engines: &[engine::Record], from_unix_ms: u64) -> Value {
    let (mut running_ms, mut busy_ms, mut tokens) = (0, 0, 0);
    for record in engines {
        let runs = record.runs.iter().filter_map(|run| {
            let from_ms = run.started_ms.max(from_unix_ms);
            let to_ms = run.ended_ms?;
            (to_ms > from_ms).then_some((from_ms, to_ms, run.generated_tokens))
        });
        let mut spans: Vec<(u64, u64, u64)> = runs.collect();
        spans.sort_unstable();
        let mut covered_ms = 0;
        for (from_ms, to_ms, generated) in spans {
            running_ms += to_ms - from_ms;
            busy_ms += to_ms.saturating_sub(from_ms.max(covered_ms));
            covered_ms = covered_ms.max(to_ms);
            tokens += generated;
        }
    }
    let busy_ms = busy_ms.max(1);
    json!({
        "occupancy": running_ms as f64 / busy_ms as f64 / f64::from(options.batch),
        "tokens_per_busy_s": tokens as f64 * 1_000.0 / busy_ms as f64,
        "violations": engines.iter().map(|record| record.violations.len()).sum::<usize>(),
    })
}

fn loads(
    options: &BenchOptions,
    trace: &[Arrival],
    records: &[&CallRecord],
    engines: &[engine::Record],
    from_unix_ms: u64,
) -> Value {
    let orders = engines.iter().flat_map(|record| &record.orders);
    let loads = orders.filter(|order| order.load && order.at_ms >= from_unix_ms);
    let loads = loads.count();
    let least = least_loads(options, trace, engines.len() * options.slots);
    let thousands = records.len().max(1) as f64 / 1_000.0;
    json!({
        "loads": loads,
        "per_thousand_calls": loads as f64 / thousands,
        "clairvoyant": least,
    })
}

/// Fewest loads in the measured time if all slots were one memory and the future were known: the
/// adapter whose next use is farthest leaves.
fn least_loads(options: &BenchOptions, trace: &[Arrival], slots: usize) -> usize {
    let uses: Vec<(u64, usize)> = trace
        .iter()
        .filter_map(|arrival| match &arrival.asks {
            Asks::Generate { adapter, .. } => Some((arrival.at_ms, *adapter)),
            Asks::Lookup | Asks::Booking => None,
        })
        .collect();
    let mut held: HashSet<usize> = HashSet::new();
    let mut loads = 0;
    for (index, (at_ms, adapter)) in uses.iter().enumerate() {
        if held.contains(adapter) {
            continue;
        }
        if held.len() >= slots {
            let next_use = |held: &usize| {
                let later = uses[index..].iter();
                let mut later = later.map(|(_, adapter)| adapter);
                later.position(|adapter| adapter == held)
            };
            let farthest = held
                .iter()
                .copied()
                .max_by_key(|held| (next_use(held).unwrap_or(usize::MAX), *held));
            farthest.map(|farthest| held.remove(&farthest));
        }
        held.insert(*adapter);
        loads += usize::from(*at_ms >= 1_000 * options.warm_up_seconds);
    }
    loads
}

fn organisations(
    options: &BenchOptions,
    trace: &[Arrival],
    records: &[CallRecord],
    measured_ms: u64,
) -> Value {
    let mut by_index: Vec<Option<&CallRecord>> = vec![None; trace.len()];
    for record in records {
        by_index[record.index] = Some(record);
    }
    let mut all = serde_json::Map::new();
    let mut worst: Option<(f64, &str)> = None;
    for (organisation, (name, ..)) in ORGANISATIONS.iter().enumerate() {
        let account = account(options, trace, &by_index, organisation, measured_ms);
        let share = account.served_tokens as f64 / account.entitled_tokens.max(1) as f64;
        if worst.is_none_or(|(least, _)| share < least) {
            worst = Some((share, name));
        }
        let entry = json!({
            "served_of_entitled": share,
            "calls_within_rate": account.calls_within,
            "refused_within_rate": account.refused_within,
            "excess_tokens": account.excess_tokens,
            "first_token_ms": percentiles(&account.first_ms),
        });
        all.insert((*name).to_owned(), entry);
    }
    json!({ "worst": worst.map(|(share, name)| json!({ "name": name, "share": share })), "each": all })
}

fn account(
    options: &BenchOptions,
    trace: &[Arrival],
    records: &[Option<&CallRecord>],
    organisation: usize,
    measured_ms: u64,
) -> Account {
    let (rate, burst) = rate_and_burst(options, organisation);
    let mut asked = Bucket::full(rate, burst, 0);
    let mut served = Bucket::full(rate, burst, 0);
    let mut account = Account::default();
    let own = trace.iter().zip(records);
    for (arrival, record) in own.filter(|(arrival, _)| arrival.organisation == organisation) {
        let cost_tokens = arrival.cost_tokens();
        let is_within = asked.try_take(cost_tokens as f64, arrival.at_ms);
        let is_whole = record.is_some_and(|record| record.end == CallEnd::Whole);
        if is_whole {
            served.take_with_debt(cost_tokens as f64, arrival.at_ms);
            let excess_tokens = -served.level(arrival.at_ms);
            account.excess_tokens = account.excess_tokens.max(excess_tokens);
        }
        if arrival.at_ms < measured_ms {
            continue;
        }
        if is_within {
            account.calls_within += 1;
            account.refused_within += u64::from(!is_whole);
            account.entitled_tokens += cost_tokens;
            account.served_tokens += if is_whole { cost_tokens } else { 0 };
        }
        let first = record.and_then(|record| Some(record.first_ms? - record.sent_ms));
        account.first_ms.extend(first);
    }
    account
}

fn percentiles(times_ms: &[u64]) -> Value {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, LONGEST_MS, 3).expect("bounds fit");
    for time_ms in times_ms {
        histogram.saturating_record(*time_ms);
    }
    json!({
        "count": times_ms.len(),
        "p50": histogram.value_at_quantile(0.5),
        "p95": histogram.value_at_quantile(0.95),
        "p99": histogram.value_at_quantile(0.99),
    })
}
