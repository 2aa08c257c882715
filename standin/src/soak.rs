//! Soak test: injects random faults while real instances are under load, and checks the system's
//! guarantees.
//!
//! All faults come from outside the instances: signals to their processes, links to the store and to
//! servers that are cut or silenced, and a misbehaving store and misbehaving servers. Faults overlap.
//! The checker compares the answers that callers received with the requests that servers received.

// A soak panics if its site cannot be set up.
#![allow(clippy::missing_panics_doc)]

mod checker;
mod crashing_part;
mod excuse;
mod injector;
mod limit;
mod load;
mod plan;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use mimosabay_core::quarantine::MAX_REQUEST_CRASHES;
use tokio::time::sleep;

use crate::fleet::{FleetOptions, FleetSite};
use crate::harness::wait_up_to;

pub use checker::Violation;
pub use plan::{Fault, Strike, plan_faults};

use crashing_part::CrashingPartCheck;
use excuse::Excuses;
use injector::{EVACUATED_ZONE, FaultInjector, in_evacuated_zone};
use limit::LimitCheck;
use load::Load;

/// Time after the last fault within which each instance has to serve again, in milliseconds.
const RECOVERY_MS: u64 = 25_000;
/// Time to wait at the end until requests that are still running have ended, in milliseconds.
const SETTLE_MS: u64 = 6_000;

/// Requests a second that a cold engine takes.
const COLD_PER_S: f64 = 10.0;
/// Time between the events of a stream, in milliseconds. Most faults begin while streams run.
const EVENT_INTERVAL_MS: u64 = 120;
/// Number of events of a complete stream.
const STREAM_EVENTS: u64 = 6;
/// Duration of a stream at a server that does not pause, in milliseconds.
const STREAM_MS: u64 = STREAM_EVENTS * EVENT_INTERVAL_MS;

/// Which faults a soak injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakMode {
    /// Faults of all kinds but [`Fault::PromptPartCrashesServers`].
    Mixed,
    /// Only planned work and pauses of servers. Then no request that ran on a server may be cut off.
    Planned,
    /// [`Fault::PromptPartCrashesServers`] for the whole soak, and few other faults, so that most
    /// instances are undisturbed.
    CrashingPart,
    /// Faults as in [`SoakMode::Mixed`], instances that lose their links to all servers, and engines of two
    /// software versions at which callers take streams up.
    Release,
}

impl SoakMode {
    /// Whether there are engines of two software versions, and instances have links of their own.
    fn is_release(self) -> bool {
        self == Self::Release
    }
}

/// Options of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Seed of the random faults and of the load.
    pub seed: u64,
    /// Time during which faults begin, in milliseconds.
    pub duration_ms: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Which faults to inject.
    pub mode: SoakMode,
    /// Program of an earlier build with which the instances start; each restart replaces it.
    pub old_build: Option<&'static Path>,
}

impl SoakOptions {
    /// Whether engines accept orders whatever their fencing numbers are, so that only the placers' own rules
    /// keep orders apart. Earlier builds have no such rules.
    fn ignores_fencing(&self) -> bool {
        !self.seed.is_multiple_of(2) && self.old_build.is_none()
    }
}

impl SoakOptions {
    /// Whether there are two availability zones, of which one is evacuated. Instances of earlier builds do
    /// not know evacuations.
    fn evacuates_zones(&self) -> bool {
        let is_chosen = self.seed.is_multiple_of(3) && self.old_build.is_none();
        is_chosen && self.mode == SoakMode::Mixed
    }
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            duration_ms: 15_000,
            instances: 4,
            callers: 12,
            mode: SoakMode::Mixed,
            old_build: None,
        }
    }
}

/// Result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Injected faults, in the order in which they began.
    pub injections: Vec<Strike>,
    /// Number of requests of callers.
    pub requests: usize,
    /// Number of requests with a complete and successful answer of a server.
    pub answered: usize,
    /// Number of requests by their status, or by the category of their failure.
    pub outcomes: BTreeMap<String, usize>,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Name and log of each instance if a guarantee was violated, otherwise empty.
    pub logs: Vec<(String, String)>,
}

/// Runs one soak.
pub async fn run(options: SoakOptions) -> SoakReport {
    let injections = plan_faults(&options);
    let mut site = FleetSite::start(FleetOptions {
        instances: options.instances,
        engines: match options.mode {
            SoakMode::Mixed | SoakMode::Planned | SoakMode::Release => 3,
            SoakMode::CrashingPart => 6,
        },
        new_engines: if options.mode.is_release() { 2 } else { 0 },
        plain_servers: 2,
        has_instance_links: options.mode.is_release(),
        grace_s: injector::GRACE_S,
        has_relays: true,
        contracts: if options.evacuates_zones() {
            &["base", "places", "pressure"]
        } else {
            &["base"]
        },
        cold_per_s: if options.evacuates_zones() {
            COLD_PER_S
        } else {
            0.0
        },
        old_build: options.old_build,
        ..FleetOptions::default()
    })
    .await;
    for engine in &site.engines {
        engine.set_event_interval(EVENT_INTERVAL_MS);
        if options.ignores_fencing() {
            engine.ignore_fencing();
        }
    }
    if options.evacuates_zones() {
        let servers = [&site.engines, &site.plain_servers];
        for server in servers.into_iter().flat_map(|it| in_evacuated_zone(it)) {
            server.move_to_zone(EVACUATED_ZONE);
        }
    }
    let started = Instant::now();
    let load = Load::start(&site, &options, started);
    let injector = FaultInjector::new(&mut site, started);
    let (drains, mut violations) = injector.run(&injections).await;
    violations.extend(check_recovery(&mut site, &injections).await);
    let requests = load.stop().await;
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let excuses = Excuses {
        injections: &injections,
        options: &options,
        servers: site.engines.len() + site.plain_servers.len(),
    };
    violations.extend(checker::check_soak(
        &site, &requests, &drains, &excuses, started,
    ));
    let check = CrashingPartCheck {
        injections: &injections,
        instances: options.instances,
        started,
    };
    violations.extend(check.run(&site, &requests));
    let check = LimitCheck {
        injections: &injections,
        instances: options.instances,
        started,
    };
    violations.extend(check.run(&site, &requests));
    let mut outcomes = BTreeMap::new();
    for request in &requests {
        *outcomes.entry(request.outcome()).or_default() += 1;
    }
    let logs = site.instances.iter();
    let logs = logs.map(|instance| (instance.name.clone(), instance.whole_output()));
    SoakReport {
        injections,
        requests: requests.len(),
        answered: requests
            .iter()
            .filter(|request| request.is_answered())
            .count(),
        outcomes,
        logs: if violations.is_empty() {
            Vec::new()
        } else {
            logs.collect()
        },
        violations,
    }
}

/// Checks that all instances become ready and serve again after the last fault.
async fn check_recovery(site: &mut FleetSite, injections: &[Strike]) -> Vec<Violation> {
    let prompt = recovery_prompt(injections);
    let mut violations = Vec::new();
    for index in 0..site.instances.len() {
        let mut last_reply = String::new();
        let served = wait_up_to(RECOVERY_MS, async || {
            let id = format!("recovery-{index}");
            let caller = site.caller(index).prompt_text(prompt);
            let reply = caller.generate("/draft/x", &id, "a0").await;
            let status = reply.map(|reply| reply.status);
            last_reply = format!("{status:?}");
            let is_served = status.is_ok_and(|status| status == 200);
            (site.is_ready(index).await && is_served).then_some(())
        });
        if served.await.is_none() {
            let is_ready = site.is_ready(index).await;
            let instance = &mut site.instances[index];
            let name = &instance.name;
            let exit_status = instance.process.exit_status();
            let what = format!(
                "{name} does not serve {RECOVERY_MS} ms after the last fault \
                 (ready: {is_ready}, last reply: {last_reply}, exit status: {exit_status:?})"
            );
            violations.push(Violation::new("recovery", what));
        }
    }
    violations
}

/// Returns the prompt to send when checking the recovery.
///
/// All requests of the load have the same prompt. A prompt that was running on two servers when they
/// crashed may be refused for a long time; another prompt is used then.
fn recovery_prompt(injections: &[Strike]) -> &'static str {
    let count = |fault| injections.iter().filter(|it| it.fault == fault).count();
    let has_crashing_part = count(Fault::PromptPartCrashesServers) > 0;
    if has_crashing_part || count(Fault::ServerCrash) >= MAX_REQUEST_CRASHES {
        "another prompt"
    } else {
        "a prompt"
    }
}

/// Returns the time from the start of a soak, in milliseconds.
fn elapsed_ms(started: Instant, at: Instant) -> u64 {
    let elapsed_ms = at.saturating_duration_since(started).as_millis();
    u64::try_from(elapsed_ms).expect("a soak is short")
}
