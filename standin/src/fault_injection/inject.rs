//! Injects faults and removes them.

use std::time::Duration;

use mimosabay_core::resource::Kind;
use mimosabay_operator::key;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::fault::Fault;
use super::history::{AcceptedChange, History};
use crate::clock::unix_ms;
use crate::harness::{Balancer, CLINICS_KEY, CallRecord, GenerationRequest, MARKETS_KEY, Site};

/// Range of the duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..1_800;
/// Time for which the platform's list keeps an instance that has ended.
const LIST_LAG_MS: u64 = 500;
/// Time for which the platform's list keeps a killed instance under [`Fault::ListLag`].
const LONG_LIST_LAG_MS: u64 = 5_000;
/// Time to wait after a change: the time within which it has to be in force, and time to observe
/// that it is.
const IN_FORCE_MS: u64 = 4_000;
/// Prompt that crashes an engine under [`Fault::PoisonRequest`].
const POISON: &str = "poison";

/// Injects a fault, waits for its duration and removes it.
pub(super) async fn inject(
    fault: Fault,
    site: &mut Site,
    balancer: &Balancer,
    random: &mut StdRng,
    history: &mut History,
) {
    let running: Vec<usize> = (0..site.instances.len())
        .filter(|index| site.instances[*index].process.exit_status().is_none())
        .collect();
    let instance = running[random.random_range(0..running.len())];
    let server = random.random_range(0..site.engines.len());
    let duration = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
    match fault {
        Fault::KillInstance => kill_instance(site, balancer, instance, LIST_LAG_MS, history).await,
        Fault::ListLag => kill_instance(site, balancer, instance, LONG_LIST_LAG_MS, history).await,
        Fault::StopInstance => stop_instance(site, balancer, instance, history).await,
        Fault::FreezeInstance => {
            site.instances[instance].process.freeze();
            sleep(duration).await;
            site.instances[instance].process.thaw();
        }
        Fault::CutStoreLink => {
            site.platform_links[instance].cut();
            sleep(duration).await;
            site.platform_links[instance].heal();
        }
        Fault::SilenceStoreLink => {
            site.platform_links[instance].silence();
            sleep(duration).await;
            site.platform_links[instance].heal();
        }
        Fault::SilenceStoreConnections => site.platform_links[instance].silence_open(),
        Fault::CutPeerLink => {
            site.peer_links[instance].cut();
            sleep(duration).await;
            site.peer_links[instance].heal();
        }
        Fault::SilencePeerLink => {
            site.peer_links[instance].silence();
            sleep(duration).await;
            site.peer_links[instance].heal();
        }
        Fault::SilencePeerConnections => site.peer_links[instance].silence_open(),
        Fault::WithdrawnKey => history.withdrawn_key = withdraw_key(site).await,
        Fault::ServerLeaves => history.leaving_server = mark_server_leaving(site, server).await,
        Fault::OperatorRace => write_concurrently(site).await,
        Fault::StoreDown
        | Fault::StoreSilent
        | Fault::StoreSlow
        | Fault::StoreLosesAnswers
        | Fault::WatchGap => {
            site.platform_control.set_faults(&fault_order(fault)).await;
            sleep(duration).await;
            site.clear_faults().await;
        }
        Fault::PoisonRequest => {
            for server in &site.engines {
                server.control.set_faults(&fault_order(fault)).await;
            }
            history
                .single_calls
                .push(send_poison_request(site, instance).await);
        }
        Fault::LoadFailure
        | Fault::EngineRestart
        | Fault::EngineDown
        | Fault::EngineSilent
        | Fault::SilenceEngineConnections
        | Fault::EngineSlow => {
            site.engines[server]
                .control
                .set_faults(&fault_order(fault))
                .await;
            sleep(duration).await;
        }
        Fault::PlainCrash | Fault::PlainLosesAnswers | Fault::SilencePlainConnections => {
            site.plain_servers[0]
                .control
                .set_faults(&fault_order(fault))
                .await;
            sleep(duration).await;
        }
    }
    site.clear_faults().await;
}

fn fault_order(fault: Fault) -> Value {
    match fault {
        Fault::StoreDown => json!({ "down": true }),
        Fault::StoreSlow => json!({ "slow_ms": 300 }),
        Fault::StoreLosesAnswers => json!({ "lose_answers": 5 }),
        Fault::WatchGap => json!({ "skip_watches": 3, "skip_kind": "accepted" }),
        Fault::LoadFailure => json!({ "fail_loads": 2 }),
        Fault::EngineRestart => json!({ "restart": true }),
        Fault::EngineDown => json!({ "restart": true, "down_ms": 1_000 }),
        Fault::StoreSilent | Fault::EngineSilent => json!({ "silent": true }),
        Fault::EngineSlow => json!({ "slow_ms": 20 }),
        Fault::PoisonRequest => json!({ "crash_on_prompt": POISON, "crash_after_tokens": 1 }),
        Fault::PlainCrash => json!({ "crash_before": 3 }),
        Fault::PlainLosesAnswers => json!({ "lose_answers": 3 }),
        Fault::SilenceEngineConnections | Fault::SilencePlainConnections => {
            json!({ "silence_open": true })
        }
        _ => json!({}),
    }
}

async fn kill_instance(
    site: &mut Site,
    balancer: &Balancer,
    instance: usize,
    lag_ms: u64,
    history: &mut History,
) {
    let address = site.instances[instance].listed.caller_address.to_string();
    history.killed_addresses.push(address);
    site.instances[instance].process.kill();
    site.remove_from_list(instance, lag_ms).await;
    start_replacement(site, balancer).await;
}

/// Starts a replacement, then stops an instance gracefully.
pub(super) async fn stop_instance(
    site: &mut Site,
    balancer: &Balancer,
    instance: usize,
    history: &mut History,
) {
    start_replacement(site, balancer).await;
    site.instances[instance].process.terminate();
    let ended = site.instances[instance].process.wait_for_exit().await;
    if !ended.success() {
        let name = site.instances[instance].name();
        history
            .unmet_conditions
            .push(format!("{name} ended with {ended}"));
    }
    site.remove_from_list(instance, LIST_LAG_MS).await;
}

async fn start_replacement(site: &mut Site, balancer: &Balancer) {
    let name = format!("instance-{}", site.instances.len());
    let index = site.add_instance(&name).await;
    site.wait_instance_ready(index).await;
    balancer.add_instance(&site.instances[index].listed.caller_address);
}

async fn withdraw_key(site: &Site) -> Option<AcceptedChange> {
    let spec = json!({
        "organisation": "markets",
        "sha256": key::hash(MARKETS_KEY),
        "withdrawn": true,
    });
    site.apply(Kind::Key, "markets-key", spec).await.ok()?;
    let accepted_ms = unix_ms();
    sleep(Duration::from_millis(IN_FORCE_MS)).await;
    Some(AcceptedChange {
        name: "markets".into(),
        accepted_ms,
    })
}

async fn mark_server_leaving(site: &Site, server: usize) -> Option<AcceptedChange> {
    site.write_engine(server, true).await;
    site.wait_accepted().await;
    let accepted_ms = unix_ms();
    sleep(Duration::from_millis(IN_FORCE_MS)).await;
    Some(AcceptedChange {
        name: site.engines[server].name.as_str().into(),
        accepted_ms,
    })
}

async fn write_concurrently(site: &Site) {
    let writes = (1..=4).map(|weight| {
        let spec = json!({
            "rate_tokens_per_s": 1_000_000,
            "burst_tokens": 1_000_000,
            "weight": weight,
        });
        async move { site.write(Kind::Organisation, "clinics", &spec).await }
    });
    futures::future::join_all(writes).await;
    site.wait_accepted().await;
}

/// Sends a request that crashes each engine that runs it.
async fn send_poison_request(site: &Site, instance: usize) -> CallRecord {
    let request = GenerationRequest {
        model: "tender",
        source: "store://tender/2",
        prompt: POISON.to_owned(),
        max_tokens: 8,
    };
    let address = site.instances[instance].listed.caller_address.to_string();
    request.send(address, CLINICS_KEY, false).await
}
