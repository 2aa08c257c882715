//! Takes backend servers over from other instances and releases them.

use std::sync::Arc;

use mimosabay_backend::{Category, LoadReport};
use mimosabay_core::ownership::next_fencing;
use mimosabay_core::request::{Code, Refusal};
use mimosabay_core::takeover::{Plan, ReportedAdapters};
use tracing::{info, warn};

use crate::instance::Instance;
use crate::orders::Order;
use crate::owner::OwnedServer;
use crate::route;

/// Time between two checks of which servers this instance still owns.
const RELEASE_PERIOD_MS: u64 = 200;
/// Maximum attempts to find a fencing number that the server accepts. Reports lag, so the number
/// in them may be too small; each attempt doubles the step.
const CLAIM_ATTEMPTS: u32 = 16;
/// Step after the first rejected fencing number.
const CLAIM_STEP: u64 = 1 << 16;
/// `retry-after` of a refusal because of a failed claim.
const RETRY_AFTER_MS: u64 = 500;

/// Makes this instance the owner of the server unless a claim is in force. Later orders carry a
/// fencing number above all numbers that the server has accepted.
///
/// # Errors
///
/// A refusal if the server does not answer.
pub async fn claim(instance: &Instance, server: &Arc<OwnedServer>) -> Result<(), Refusal> {
    let mut claim = server.claim.lock().await;
    if claim.is_some() {
        return Ok(());
    }
    let report = server
        .engine
        .fetch_report()
        .await
        .map_err(|cause| unreachable_refusal(server, &cause))?;
    let highest_seen = report.fencing.max(server.fencing());
    let fencing = if server.checks_fencing {
        claim_fencing_number(instance, server, highest_seen).await?
    } else {
        next_fencing(highest_seen, &instance.id)
    };
    let mut state = server.state.lock().expect("owned server lock");
    state.fencing = fencing;
    if state.boot == 0 {
        state.boot = report.boot;
    }
    drop(state);
    *claim = Some(fencing);
    info!(server = %server.name, fencing, "claimed a backend server");
    reconcile(instance, server, &report);
    Ok(())
}

/// Ends the claim with the number `fencing`, which the server has rejected or lost by a restart.
/// The next request claims the server again.
pub async fn invalidate_claim(server: &OwnedServer, fencing: u64) {
    let mut claim = server.claim.lock().await;
    if *claim == Some(fencing) {
        warn!(server = %server.name, fencing, "lost the claim on a backend server");
        *claim = None;
    }
}

/// Updates the known adapters of the server from its report: adopts, evicts or unloads adapters of
/// earlier owners.
pub fn reconcile(instance: &Instance, server: &Arc<OwnedServer>, report: &LoadReport) {
    let reported = ReportedAdapters {
        fencing: report.fencing,
        handles: report.handles.clone(),
        running: report.running_handles.clone(),
    };
    let now_ms = instance.now_ms();
    let plan = instance.with_membership(|membership| {
        let mut state = server.state.lock().expect("owned server lock");
        let state = &mut *state;
        let has_terminated = |id: &_| membership.has_terminated(id);
        let plan = state.takeover.decide(
            &reported,
            state.fencing,
            &state.handles,
            has_terminated,
            now_ms,
        );
        state.handles.extend(plan.adopt.iter().cloned());
        plan
    });
    apply_plan(instance, server, plan);
}

/// Releases the servers that this instance no longer owns, until the process ends.
pub async fn run_release(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(RELEASE_PERIOD_MS);
    while ticks.recv().await.is_some() {
        let servers: Vec<_> = instance.owned_servers();
        for server in servers {
            if !should_keep(&instance, &server) {
                try_release(&instance, &server);
            }
        }
    }
}

fn apply_plan(instance: &Instance, server: &Arc<OwnedServer>, plan: Plan) {
    for (model, handle) in plan.adopt {
        info!(server = %server.name, %handle, "adopted an adapter");
        server.update_queue(instance, |queue, now_ms| queue.adopt(&model, now_ms));
    }
    for model in plan.evictable {
        server.update_queue(instance, |queue, now_ms| {
            queue.set_evictable(&model, now_ms)
        });
    }
    server.update_queue(instance, |queue, now_ms| {
        queue.set_reserved(plan.reserved_slots, now_ms)
    });
    if !plan.unload.is_empty() {
        instance.workers.submit(Order::Unload {
            server: server.clone(),
            handles: plan.unload,
        });
    }
}

/// Raises the server's fencing number to one of this process and returns it.
async fn claim_fencing_number(
    instance: &Instance,
    server: &Arc<OwnedServer>,
    highest_seen: u64,
) -> Result<u64, Refusal> {
    let mut highest_seen = highest_seen;
    for attempt in 0..CLAIM_ATTEMPTS {
        let fencing = next_fencing(highest_seen, &instance.id);
        match server.engine.raise_fencing(fencing).await {
            Ok(()) => return Ok(fencing),
            Err(cause) if cause.classify() == Category::StaleFencing => {
                highest_seen = fencing + (CLAIM_STEP << attempt);
            }
            Err(cause) => return Err(unreachable_refusal(server, &cause)),
        }
    }
    let refusal = Refusal::not_run(Code::NoServer, "the backend server rejects every claim");
    Err(refusal.retry_after_ms(RETRY_AFTER_MS))
}

fn should_keep(instance: &Instance, server: &OwnedServer) -> bool {
    let is_unchanged = instance.with_config(|config| {
        config
            .server(&server.name)
            .is_some_and(|spec| server.matches_spec(spec))
    });
    is_unchanged && route::is_owner(instance, &server.name)
}

/// Refuses the waiting requests; once nothing runs or loads, removes the server.
fn try_release(instance: &Instance, server: &Arc<OwnedServer>) {
    server.refuse_waiting();
    let handles: Vec<_> = {
        let mut state = server.state.lock().expect("owned server lock");
        if state.queue.running() > 0 || state.queue.has_loading_adapter() {
            return;
        }
        state.is_released = true;
        state.handles.values().cloned().collect()
    };
    info!(server = %server.name, "released a backend server");
    instance.remove_owned(server);
    if !server.checks_fencing {
        // The next owner may not use these adapters and cannot know when they are idle.
        instance.workers.submit(Order::Unload {
            server: server.clone(),
            handles,
        });
    }
}

fn unreachable_refusal(server: &OwnedServer, cause: &mimosabay_backend::Error) -> Refusal {
    warn!(server = %server.name, %cause, "backend server does not answer");
    Refusal::not_run(Code::NoServer, "the backend server does not answer")
        .retry_after_ms(RETRY_AFTER_MS)
}
