//! A soak: real instances under load while random faults strike, judged by the platform's promises.
//!
//! Faults come from outside the instances: signals to their processes, links to the store and to servers
//! that are cut or go silent, a store and servers that misbehave. They overlap. What callers were told is
//! compared with what servers received.

// A site that cannot be set up ends the soak.
#![allow(clippy::missing_panics_doc)]

mod checker;
mod injector;
mod load;
mod plan;

use std::time::{Duration, Instant};

use mimosabay_core::quarantine::MAX_CRASHES;
use tokio::time::sleep;

use crate::fleet::{FleetOptions, FleetSite};
use crate::harness::wait_up_to;

pub use checker::Violation;
pub use plan::{Fault, Strike, plan_faults};

use injector::FaultInjector;
use load::Load;

/// Time after the last fault in which all instances have to serve again, in milliseconds.
const RECOVERY_MS: u64 = 25_000;
/// Time in which requests that are under way at the end have ended, in milliseconds.
const SETTLE_MS: u64 = 6_000;

/// What a soak consists of.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Time for which faults strike, in milliseconds.
    pub duration_ms: u64,
    /// Number of instances.
    pub instances: usize,
    /// Callers at a time.
    pub callers: usize,
    /// Whether only planned work strikes. Then no request that reached a server may be cut.
    pub is_planned_only: bool,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            duration_ms: 15_000,
            instances: 4,
            callers: 12,
            is_planned_only: false,
        }
    }
}

/// What a soak came to.
#[derive(Debug)]
pub struct SoakReport {
    /// The faults, in order.
    pub injections: Vec<Strike>,
    /// Requests of callers.
    pub requests: usize,
    /// Those with a whole answer of a server.
    pub answered: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// What the instances logged, if a promise was broken.
    pub logs: Vec<(String, String)>,
}

/// Plays one soak.
pub async fn run(options: SoakOptions) -> SoakReport {
    let injections = plan_faults(&options);
    let mut site = FleetSite::start(FleetOptions {
        instances: options.instances,
        engines: 3,
        plains: 2,
        grace_s: injector::GRACE_S,
        has_links: true,
        ..FleetOptions::default()
    })
    .await;
    let load = Load::start(&site, &options);
    let started = Instant::now();
    let injector = FaultInjector::new(&mut site, started);
    let drains = injector.run(&injections).await;
    let mut violations = check_recovery(&site, &injections).await;
    let requests = load.stop().await;
    sleep(Duration::from_millis(SETTLE_MS)).await;
    violations.extend(checker::check_soak(&site, &requests, &drains, &options));
    let logs = site.instances.iter();
    let logs = logs.map(|instance| (instance.name.clone(), instance.process.output()));
    SoakReport {
        injections,
        requests: requests.len(),
        answered: requests
            .iter()
            .filter(|request| request.is_answered())
            .count(),
        logs: if violations.is_empty() {
            Vec::new()
        } else {
            logs.collect()
        },
        violations,
    }
}

/// After the last fault all instances are ready and serve again.
async fn check_recovery(site: &FleetSite, injections: &[Strike]) -> Vec<Violation> {
    let prompt = recovery_prompt(injections);
    let mut violations = Vec::new();
    for index in 0..site.instances.len() {
        let name = &site.instances[index].name;
        let served = wait_up_to(RECOVERY_MS, async || {
            let id = format!("recovery-{index}");
            let caller = site.caller(index).prompt_text(prompt);
            let reply = caller.draft("/draft/x", &id, "a0").await;
            let is_served = reply.is_ok_and(|reply| reply.status == 200);
            (site.is_ready(index).await && is_served).then_some(())
        });
        if served.await.is_none() {
            let what = format!("{name} does not serve {RECOVERY_MS} ms after the last fault");
            violations.push(Violation::new("recovery", what));
        }
    }
    violations
}

/// All prompts of the load are alike. One that was under way at two servers which crashed may be refused
/// for long, so that another one is asked then.
fn recovery_prompt(injections: &[Strike]) -> &'static str {
    let crashes = injections
        .iter()
        .filter(|injection| injection.fault == Fault::ServerCrash);
    if crashes.count() < MAX_CRASHES {
        "a prompt"
    } else {
        "another prompt"
    }
}
