//! Replays a trace against a new site for each policy.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::measures::{self, CallOutcome, CallRecord};
use super::options::{BenchOptions, Fault};
use super::policy::Policy;
use super::site::{self, adapter_name, api_key};
use super::trace::{self, Arrival, Operation};
use crate::clock::unix_ms;
use crate::harness::{Balancer, Caller, Failure, Part, Reply, Site};
use crate::text;

/// Time after the last arrival for open calls to end, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 30_000;

/// Runs all policies and returns the results. Results of an interrupted run are marked as partial.
pub async fn run(options: &BenchOptions) -> Value {
    let trace = Arc::new(trace::generate(options));
    let mut results = Vec::new();
    let mut is_partial = false;
    for policy in &options.policies {
        let (result, was_interrupted) = run_policy(options, policy, &trace).await;
        println!("{result}");
        results.push(result);
        is_partial |= was_interrupted;
        if was_interrupted {
            break;
        }
    }
    json!({
        "options": format!("{options:?}"),
        "partial": is_partial,
        "calls": trace.len(),
        "results": results,
    })
}

async fn run_policy(
    options: &BenchOptions,
    policy: &Policy,
    trace: &Arc<Vec<Arrival>>,
) -> (Value, bool) {
    let mut site = site::start(options, policy).await;
    let balancer = site.balancer();
    let midpoint_ms = 1_000 * options.warm_up_seconds + 500 * options.seconds;
    let start = Instant::now();
    let start_unix_ms = unix_ms();
    let mut calls = JoinSet::new();
    let mut is_interrupted = false;
    let mut is_fault_injected = false;
    for (index, arrival) in trace.iter().enumerate() {
        if arrival.at_ms >= midpoint_ms && !is_fault_injected {
            is_fault_injected = true;
            inject_fault(options.fault, &mut site).await;
        }
        let due = start + Duration::from_millis(arrival.at_ms);
        tokio::select! {
            () = sleep_until(due) => {}
            _ = tokio::signal::ctrl_c() => {
                is_interrupted = true;
                break;
            }
        }
        calls.spawn(run_call(index, trace.clone(), balancer.clone()));
    }
    let records = collect_records(calls).await;
    let mut engines = Vec::new();
    for server in &site.engines {
        engines.push(server.fetch_record().await);
    }
    let mut result = measures::measure(options, trace, &records, &engines, start_unix_ms);
    result["policy"] = json!(policy.name);
    result["partial"] = json!(is_interrupted);
    (result, is_interrupted)
}

async fn collect_records(mut calls: JoinSet<CallRecord>) -> Vec<CallRecord> {
    let mut records = Vec::new();
    let deadline = Instant::now() + Duration::from_millis(DRAIN_TIMEOUT_MS);
    while let Ok(Some(result)) = tokio::time::timeout_at(deadline, calls.join_next()).await {
        records.extend(result.ok());
    }
    records
}

async fn inject_fault(fault: Fault, site: &mut Site) {
    match fault {
        Fault::None | Fault::PopularityShift => {}
        Fault::ServerRestart => {
            let faults = json!({ "restart": true });
            site.engines[0].control.set_faults(&faults).await;
        }
        Fault::InstanceKill => site.instances[0].process.kill(),
        Fault::StoreOutage => {
            let faults = json!({ "down": true });
            site.platform_control.set_faults(&faults).await;
        }
    }
}

async fn run_call(index: usize, trace: Arc<Vec<Arrival>>, balancer: Balancer) -> CallRecord {
    const CALL_TIMEOUT_MS: u64 = 60_000;
    let arrival = &trace[index];
    let sent_ms = unix_ms();
    let mut first_ms = None;
    let Some(address) = balancer.next_instance() else {
        return record(
            index,
            sent_ms,
            None,
            CallOutcome::Broken("no instance".into()),
        );
    };
    let caller = Caller::new(address).key(&api_key(arrival.organisation));
    let timeout_duration = Duration::from_millis(CALL_TIMEOUT_MS);
    let result = timeout(
        timeout_duration,
        perform_call(&caller, arrival, &mut first_ms),
    )
    .await;
    let outcome = match result {
        Ok(Ok(true)) => CallOutcome::Complete,
        Ok(Ok(false)) => CallOutcome::Wrong,
        Ok(Err(failure)) if failure.error.is_null() => CallOutcome::Broken(failure.cause),
        Ok(Err(failure)) => CallOutcome::Refused(failure.code().to_owned()),
        Err(_) => CallOutcome::Broken("no answer".into()),
    };
    record(index, sent_ms, first_ms, outcome)
}

fn record(index: usize, sent_ms: u64, first_ms: Option<u64>, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        index,
        sent_ms,
        first_ms,
        outcome,
    }
}

/// Performs the call; returns whether the answer is correct.
async fn perform_call(
    caller: &Caller,
    arrival: &Arrival,
    first_ms: &mut Option<u64>,
) -> Result<bool, Failure> {
    let (adapter, prompt, max_tokens) = match &arrival.operation {
        Operation::Generate {
            adapter,
            prompt,
            max_tokens,
        } => (*adapter, prompt, *max_tokens),
        Operation::Lookup => return check_plain_reply(&caller.get("/orders/1").await?),
        Operation::Booking => return check_plain_reply(&caller.post("/orders", "{}").await?),
    };
    let name = adapter_name(adapter);
    let mut stream = caller.open_stream(&name, prompt, max_tokens).await?;
    let mut answer = String::new();
    loop {
        match stream.next().await? {
            Part::Text(part) => {
                first_ms.get_or_insert_with(unix_ms);
                answer.push_str(&part);
            }
            Part::Usage(_) => {}
            Part::Error(error) => {
                let cause = error.to_string();
                return Err(Failure {
                    cause,
                    text: answer,
                    error,
                });
            }
            Part::Done => break,
        }
    }
    let source = format!("store://{name}/1");
    Ok(answer == text::generate_text(&source, prompt, max_tokens))
}

fn check_plain_reply(reply: &Reply) -> Result<bool, Failure> {
    if reply.body["error"].is_null() {
        return Ok(reply.status < 300);
    }
    Err(Failure {
        cause: reply.code().to_owned(),
        text: String::new(),
        error: reply.body["error"].clone(),
    })
}
