//! Computes the measures of a run from the callers' and the engines' records.

use std::collections::{BTreeMap, HashMap, HashSet};

use hdrhistogram::Histogram;
use mimosabay_core::bucket::Bucket;
use serde_json::{Value, json};

use super::options::BenchOptions;
use super::trace::{Arrival, ORGANISATIONS, Operation, rate_and_burst};
use crate::engine::{self, RunRecord};

/// Largest time in a histogram, in milliseconds; larger times are recorded as this.
const MAX_RECORDED_MS: u64 = 600_000;

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CallOutcome {
    /// The answer was complete and correct.
    Complete,
    /// The answer ended normally but was not the correct one.
    Wrong,
    /// The call was refused with this error code.
    Refused(String),
    /// The call ended without a final answer, for this cause.
    Broken(String),
}

/// One call of the trace.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    /// Index in the trace.
    pub(super) index: usize,
    /// Send time, in milliseconds since the Unix epoch.
    pub(super) sent_ms: u64,
    /// Arrival of the first part of the answer, in milliseconds since the Unix epoch.
    pub(super) first_ms: Option<u64>,
    pub(super) outcome: CallOutcome,
}

/// Totals of one organisation.
#[derive(Default)]
struct OrganisationTotals {
    /// Tokens of the calls within the organisation's rate.
    entitled_tokens: u64,
    /// Tokens of the served calls within the organisation's rate.
    served_tokens: u64,
    calls_within_rate: u64,
    refused_within_rate: u64,
    /// Largest number of tokens served above rate and burst.
    excess_tokens: f64,
    first_ms: Vec<u64>,
}

/// Computes the measures of a run over the time after the warm-up. `open`, `violations` and
/// `excess_tokens` also include the warm-up.
pub(super) fn measure(
    options: &BenchOptions,
    trace: &[Arrival],
    records: &[CallRecord],
    engines: &[engine::Record],
    start_unix_ms: u64,
) -> Value {
    let measured_from_ms = 1_000 * options.warm_up_seconds;
    let measured: Vec<&CallRecord> = records
        .iter()
        .filter(|record| trace[record.index].at_ms >= measured_from_ms)
        .collect();
    let from_unix_ms = start_unix_ms + measured_from_ms;
    let mut result = count_outcomes(&measured);
    result["open"] = json!(trace.len() - records.len());
    result["stalls"] = measure_stalls(trace, &measured, engines);
    result["engines"] = measure_batches(options, engines, from_unix_ms);
    result["loads"] = measure_loads(options, trace, &measured, engines, from_unix_ms);
    result["organisations"] = measure_organisations(options, trace, records, measured_from_ms);
    result
}

fn count_outcomes(records: &[&CallRecord]) -> Value {
    let mut refused: BTreeMap<&str, u64> = BTreeMap::new();
    let mut broken: BTreeMap<&str, u64> = BTreeMap::new();
    let (mut complete, mut wrong) = (0, 0);
    for record in records {
        match &record.outcome {
            CallOutcome::Complete => complete += 1,
            CallOutcome::Wrong => wrong += 1,
            CallOutcome::Refused(code) => *refused.entry(code).or_default() += 1,
            CallOutcome::Broken(cause) => *broken.entry(cause).or_default() += 1,
        }
    }
    json!({ "whole": complete, "wrong": wrong, "refused": refused, "broken": broken })
}

/// Measures stalls. A request stalled if its adapter was loaded after the request was sent; requests
/// that no engine ran are not counted.
fn measure_stalls(trace: &[Arrival], records: &[&CallRecord], engines: &[engine::Record]) -> Value {
    let loaded = first_load_times(engines);
    let runs: HashMap<&str, (usize, &RunRecord)> = engines
        .iter()
        .enumerate()
        .flat_map(|(engine, record)| record.runs.iter().map(move |run| (engine, run)))
        .map(|(engine, run)| (run.prompt.as_str(), (engine, run)))
        .collect();
    let mut times = Vec::new();
    let mut answered = 0_u64;
    for record in records {
        let Operation::Generate { prompt, .. } = &trace[record.index].operation else {
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

fn first_load_times(engines: &[engine::Record]) -> HashMap<(usize, &str), u64> {
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

fn measure_batches(options: &BenchOptions, engines: &[engine::Record], from_unix_ms: u64) -> Value {
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

fn measure_loads(
    options: &BenchOptions,
    trace: &[Arrival],
    records: &[&CallRecord],
    engines: &[engine::Record],
    from_unix_ms: u64,
) -> Value {
    let orders = engines.iter().flat_map(|record| &record.orders);
    let loads = orders.filter(|order| order.load && order.at_ms >= from_unix_ms);
    let loads = loads.count();
    let optimal = optimal_loads(options, trace, engines.len() * options.slots);
    let thousands = records.len().max(1) as f64 / 1_000.0;
    json!({
        "loads": loads,
        "per_thousand_calls": loads as f64 / thousands,
        "clairvoyant": optimal,
    })
}

/// Returns the minimum number of loads in the measured time, assuming that all slots form one cache
/// and future requests are known: always evicts the adapter whose next use is farthest away.
fn optimal_loads(options: &BenchOptions, trace: &[Arrival], slots: usize) -> usize {
    let uses: Vec<(u64, usize)> = trace
        .iter()
        .filter_map(|arrival| match &arrival.operation {
            Operation::Generate { adapter, .. } => Some((arrival.at_ms, *adapter)),
            Operation::Lookup | Operation::Booking => None,
        })
        .collect();
    let mut resident: HashSet<usize> = HashSet::new();
    let mut loads = 0;
    for (index, (at_ms, adapter)) in uses.iter().enumerate() {
        if resident.contains(adapter) {
            continue;
        }
        if resident.len() >= slots {
            let next_use = |resident: &usize| {
                let later = uses[index..].iter();
                let mut later = later.map(|(_, adapter)| adapter);
                later.position(|adapter| adapter == resident)
            };
            let farthest = resident
                .iter()
                .copied()
                .max_by_key(|resident| (next_use(resident).unwrap_or(usize::MAX), *resident));
            farthest.map(|farthest| resident.remove(&farthest));
        }
        resident.insert(*adapter);
        loads += usize::from(*at_ms >= 1_000 * options.warm_up_seconds);
    }
    loads
}

fn measure_organisations(
    options: &BenchOptions,
    trace: &[Arrival],
    records: &[CallRecord],
    measured_from_ms: u64,
) -> Value {
    let mut by_index: Vec<Option<&CallRecord>> = vec![None; trace.len()];
    for record in records {
        by_index[record.index] = Some(record);
    }
    let mut by_name = serde_json::Map::new();
    let mut worst: Option<(f64, &str)> = None;
    for (organisation, (name, ..)) in ORGANISATIONS.iter().enumerate() {
        let totals = sum_organisation(options, trace, &by_index, organisation, measured_from_ms);
        let share = totals.served_tokens as f64 / totals.entitled_tokens.max(1) as f64;
        if worst.is_none_or(|(lowest, _)| share < lowest) {
            worst = Some((share, name));
        }
        let entry = json!({
            "served_of_entitled": share,
            "calls_within_rate": totals.calls_within_rate,
            "refused_within_rate": totals.refused_within_rate,
            "excess_tokens": totals.excess_tokens,
            "first_token_ms": percentiles(&totals.first_ms),
        });
        by_name.insert((*name).to_owned(), entry);
    }
    json!({ "worst": worst.map(|(share, name)| json!({ "name": name, "share": share })), "each": by_name })
}

fn sum_organisation(
    options: &BenchOptions,
    trace: &[Arrival],
    records: &[Option<&CallRecord>],
    organisation: usize,
    measured_from_ms: u64,
) -> OrganisationTotals {
    let (rate, burst) = rate_and_burst(options, organisation);
    let mut demand = Bucket::full(rate, burst, 0);
    let mut served = Bucket::full(rate, burst, 0);
    let mut totals = OrganisationTotals::default();
    let calls = trace.iter().zip(records);
    for (arrival, record) in calls.filter(|(arrival, _)| arrival.organisation == organisation) {
        let cost_tokens = arrival.cost_tokens();
        let is_within_rate = demand.try_take(cost_tokens as f64, arrival.at_ms);
        let is_complete = record.is_some_and(|record| record.outcome == CallOutcome::Complete);
        if is_complete {
            served.take_with_debt(cost_tokens as f64, arrival.at_ms);
            let excess_tokens = -served.level(arrival.at_ms);
            totals.excess_tokens = totals.excess_tokens.max(excess_tokens);
        }
        if arrival.at_ms < measured_from_ms {
            continue;
        }
        if is_within_rate {
            totals.calls_within_rate += 1;
            totals.refused_within_rate += u64::from(!is_complete);
            totals.entitled_tokens += cost_tokens;
            totals.served_tokens += if is_complete { cost_tokens } else { 0 };
        }
        let first = record.and_then(|record| Some(record.first_ms? - record.sent_ms));
        totals.first_ms.extend(first);
    }
    totals
}

fn percentiles(times_ms: &[u64]) -> Value {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("bounds fit");
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
