//! Runs one scenario: starts a site under load, injects faults at a step and checks the history.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosabay_core::resource::Kind;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use tokio::time::sleep;

use super::checker::{Violation, check};
use super::fault::{Fault, Step};
use super::history::{History, OrganisationCalls};
use super::inject;
use crate::engine;
use crate::harness::{
    Balancer, BookingLoad, CLINICS_KEY, CallOutcome, Load, LoadOptions, MARKETS_KEY, Site,
    SiteOptions, wait_up_to,
};
use crate::plain;
use crate::weights;

/// Rate in tokens per second and burst in tokens of the organisation that exceeds its rate.
const MARKETS_LIMIT: (u64, u64) = (200, 400);
const CLINICS_LIMIT: (u64, u64) = (1_000_000, 1_000_000);
/// Number of calls that have to end before the faults, and again after them.
const MIN_CALLS: usize = 60;
/// Timeout for reaching a step, for [`MIN_CALLS`] calls to end, and for each check of the recovery.
const TIMEOUT_MS: u64 = 20_000;
/// Delay between the stop signal and the fault at [`Step::Handover`].
const HANDOVER_DELAY_MS: u64 = 100;

/// Faults that are injected one after the other, beginning at a step.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Faults in the order of injection.
    pub faults: Vec<Fault>,
    /// Step at which the first fault is injected.
    pub step: Step,
    /// Seed of the choice of instances and backend servers and of the durations.
    pub seed: u64,
}

mimosabay_core::record! {
    /// Result of a scenario.
    pub struct Outcome {
        /// Faults in the order of injection.
        pub faults: Vec<Fault>,
        /// Step at which the first fault was injected.
        pub step: Step,
        /// Seed of the scenario.
        pub seed: u64,
        /// Number of generations.
        pub calls: usize,
        /// Number of generations with a complete answer.
        #[serde(rename = "whole")]
        pub complete: usize,
        /// Number of generations refused for other reasons than the rate, by error code.
        pub refused: BTreeMap<String, usize>,
        /// Number of bookings that the plain services made.
        pub bookings: usize,
        /// Violated guarantees.
        pub violations: Vec<Violation>,
    }
}

impl Scenario {
    /// Runs the scenario on a new site.
    pub async fn run(&self) -> Outcome {
        let mut site = Site::start(site_options(self.step)).await;
        let (rate, burst) = MARKETS_LIMIT;
        let spec = json!({ "rate_tokens_per_s": rate, "burst_tokens": burst });
        site.write(Kind::Organisation, "markets", &spec).await;
        site.wait_accepted().await;
        let history = self.run_on(&mut site).await;
        self.summarise(&history)
    }

    async fn run_on(&self, site: &mut Site) -> History {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut history = History {
            keys: vec![CLINICS_KEY, MARKETS_KEY],
            ..History::default()
        };
        let balancer = site.balancer();
        let clinics = Load::start(&balancer, &load_options("clinics", CLINICS_KEY, 10));
        let markets = Load::start(&balancer, &load_options("markets", MARKETS_KEY, 3));
        let bookings = BookingLoad::start(&balancer, 4);
        wait_for_calls(&clinics, "calls before the fault", &mut history).await;
        self.inject_faults(site, &balancer, &mut random, &mut history)
            .await;
        wait_for_calls(&clinics, "calls after the fault", &mut history).await;
        history.organisations = vec![
            stop_load("clinics", CLINICS_LIMIT, clinics).await,
            stop_load("markets", MARKETS_LIMIT, markets).await,
        ];
        history.bookings = bookings.stop().await;
        check_recovery(site, &mut history).await;
        collect_records(site, &mut history).await;
        history
    }

    async fn inject_faults(
        &self,
        site: &mut Site,
        balancer: &Balancer,
        random: &mut StdRng,
        history: &mut History,
    ) {
        if wait_for_step(self.step, site).await.is_none() {
            let condition = format!("step {:?} did not come about", self.step);
            history.unmet_conditions.push(condition);
        }
        for fault in &self.faults {
            inject::inject(*fault, site, balancer, random, history).await;
        }
    }

    fn summarise(&self, history: &History) -> Outcome {
        let mut refused = BTreeMap::new();
        for call in history.calls() {
            match &call.outcome {
                CallOutcome::Refused { code, .. } if code != "over_rate" => {
                    *refused.entry(code.clone()).or_default() += 1;
                }
                _ => {}
            }
        }
        let complete = history
            .calls()
            .filter(|call| call.outcome == CallOutcome::Complete);
        let bookings = history
            .plain_servers
            .iter()
            .map(|record| record.bookings.len());
        Outcome {
            faults: self.faults.clone(),
            step: self.step,
            seed: self.seed,
            calls: history.calls().count(),
            complete: complete.count(),
            refused,
            bookings: bookings.sum(),
            violations: check(history),
        }
    }
}

fn site_options(step: Step) -> SiteOptions {
    // With one slot for each engine, adapters are loaded continuously.
    let slots = if step == Step::Loading { 1 } else { 2 };
    let engine = |check_fencing| engine::Options {
        slots,
        batch: 4,
        token_us: 2_000,
        check_fencing,
        report_lag_ms: 100,
        ..engine::Options::default()
    };
    let weights = weights::Options {
        rate_loads_per_s: 0,
        load_ms: 60,
        ..weights::Options::default()
    };
    SiteOptions {
        engines: vec![engine(true), engine(false)],
        plain_servers: vec![plain::Options { call_ms: 20 }],
        weights: Some(weights),
        ..SiteOptions::default()
    }
}

fn load_options(label: &'static str, key: &'static str, callers: usize) -> LoadOptions {
    LoadOptions {
        label,
        callers,
        key,
        ..LoadOptions::default()
    }
}

async fn stop_load(organisation: &'static str, limit: (u64, u64), load: Load) -> OrganisationCalls {
    OrganisationCalls {
        organisation,
        rate_tokens_per_s: limit.0,
        burst_tokens: limit.1,
        calls: load.stop().await,
    }
}

async fn wait_for_calls(load: &Load, what: &str, history: &mut History) {
    let before = load.ended_calls();
    let ended = wait_up_to(TIMEOUT_MS, async || {
        (load.ended_calls() >= before + MIN_CALLS).then_some(())
    });
    if ended.await.is_none() {
        let count = load.ended_calls() - before;
        let condition = format!("{what}: {count} of {MIN_CALLS} within {TIMEOUT_MS} ms");
        history.unmet_conditions.push(condition);
    }
}

/// Waits until the system reaches a step; returns `None` after [`TIMEOUT_MS`].
async fn wait_for_step(step: Step, site: &mut Site) -> Option<()> {
    match step {
        Step::Admission => Some(()),
        Step::Queueing => {
            wait_up_to(TIMEOUT_MS, async || is_queueing(site).await.then_some(())).await
        }
        Step::Loading => {
            wait_up_to(TIMEOUT_MS, async || is_loading(site).await.then_some(())).await
        }
        Step::Streaming => {
            let is_streaming = |run: &engine::RunRecord| {
                run.ended_ms.is_none() && (3..15).contains(&run.generated_tokens)
            };
            wait_up_to(TIMEOUT_MS, async || {
                site.runs().await.iter().any(is_streaming).then_some(())
            })
            .await
        }
        Step::Booking => {
            wait_up_to(TIMEOUT_MS, async || {
                let record = site.plain_servers[0].fetch_record().await;
                (record.calls.len() > record.bookings.len()).then_some(())
            })
            .await
        }
        Step::Settlement => {
            let before = count_ended_runs(site).await;
            wait_up_to(TIMEOUT_MS, async || {
                (count_ended_runs(site).await > before).then_some(())
            })
            .await
        }
        Step::Handover => {
            site.instances[0].process.terminate();
            sleep(Duration::from_millis(HANDOVER_DELAY_MS)).await;
            Some(())
        }
        Step::Acceptance => {
            let (rate, burst) = CLINICS_LIMIT;
            let spec = json!({ "rate_tokens_per_s": rate, "burst_tokens": burst, "weight": 3 });
            site.write(Kind::Organisation, "clinics", &spec).await;
            Some(())
        }
    }
}

async fn is_queueing(site: &Site) -> bool {
    let runs = site.engines[0].fetch_record().await.runs;
    let running = runs.iter().filter(|run| run.ended_ms.is_none());
    running.count() >= 4
}

async fn is_loading(site: &Site) -> bool {
    let Some(control) = &site.weights_control else {
        return false;
    };
    let counts: weights::Stats = control.read("stats").await;
    counts.in_flight > 0
}

async fn count_ended_runs(site: &Site) -> usize {
    let runs = site.runs().await;
    runs.iter().filter(|run| run.ended_ms.is_some()).count()
}

/// Checks that every running instance is ready, all resources are accepted and all runs end.
async fn check_recovery(site: &mut Site, history: &mut History) {
    for index in 0..site.instances.len() {
        let instance = &mut site.instances[index];
        if instance.process.exit_status().is_some() {
            continue;
        }
        let ready = wait_up_to(TIMEOUT_MS, async || {
            let is_ready_or_ended =
                instance.process.exit_status().is_some() || instance.is_ready().await;
            is_ready_or_ended.then_some(())
        });
        if ready.await.is_none() {
            let name = instance.name();
            history
                .unmet_conditions
                .push(format!("{name} is not ready again"));
        }
    }
    let accepted = tokio::time::timeout(Duration::from_millis(TIMEOUT_MS), site.wait_accepted());
    if accepted.await.is_err() {
        history
            .unmet_conditions
            .push("a change was not accepted".to_owned());
    }
    let ended = wait_up_to(TIMEOUT_MS, async || {
        let runs = site.runs().await;
        runs.iter().all(|run| run.ended_ms.is_some()).then_some(())
    });
    if ended.await.is_none() {
        history
            .unmet_conditions
            .push("a run goes on after its caller is done".to_owned());
    }
}

async fn collect_records(site: &Site, history: &mut History) {
    for server in &site.engines {
        let name = server.name.as_str().into();
        history.engines.push((name, server.fetch_record().await));
    }
    for server in &site.plain_servers {
        history.plain_servers.push(server.fetch_record().await);
    }
}
