//! Choice of a server for a request to a plain service.
//!
//! Handles servers of different speeds, some of which fail part of their requests.

use std::collections::HashMap;

use crate::backend::{Backend, LoadSample};
use crate::name::Name;

/// Half-life of the weight of a reported load, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 300.0;
/// Time of a request at an idle server, in milliseconds.
const TYPICAL_REQUEST_MS: f64 = 30.0;
/// Cost of a server that fails every request, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 400.0;
/// Cost of a server in another availability zone, in milliseconds.
const OTHER_ZONE_PENALTY_MS: f64 = 4.0;
/// Cost of a server that is slow after its start, in milliseconds.
const COLD_PENALTY_MS: f64 = 20.0;
/// Weight of a new result in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Half-life of the average of failures without new results, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;
/// Time for which an unreachable server is avoided, in milliseconds.
const UNREACHABLE_PAUSE_MS: u64 = 500;

/// One instance's requests, load reports and failures of the servers of plain services.
#[derive(Debug, Default)]
pub struct PlainServers {
    servers: HashMap<Name, PlainServer>,
}

/// Outcome of a request to a plain server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainOutcome {
    /// The server answered successfully.
    Answered,
    /// The server answered with an error, or did not answer.
    Failed,
    /// The server did not accept the request.
    Rejected,
    /// No connection could be opened.
    Unreachable,
    /// The caller disconnected.
    Cancelled,
}

#[derive(Clone, Debug, Default)]
struct PlainServer {
    in_flight: u32,
    /// Last reported load and the time of its arrival in milliseconds.
    reported_load: Option<(LoadSample, u64)>,
    /// Moving average of failures, from 0 to 1, as of `failures_ms`.
    failures: f64,
    failures_ms: u64,
    avoided_until_ms: u64,
}

impl PlainServers {
    /// Returns the servers that are ready, the one that is expected to answer first at the front.
    pub fn rank<'a>(
        &self,
        backends: impl Iterator<Item = &'a Backend>,
        zone: &str,
        excluded: &[Name],
        now_ms: u64,
    ) -> Vec<Name> {
        let ready = backends.filter(|backend| backend.is_ready());
        let mut ranked: Vec<(f64, &Name)> = ready
            .map(|backend| (self.cost_ms(backend, zone, excluded, now_ms), &backend.id))
            .collect();
        ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
        ranked.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Counts a request as in flight at a server.
    pub fn count_request(&mut self, id: &Name) {
        self.servers.entry(id.clone()).or_default().in_flight += 1;
    }

    /// Records the outcome of a request and the load that the server reported with its answer.
    pub fn record_outcome(
        &mut self,
        id: &Name,
        outcome: PlainOutcome,
        load: Option<LoadSample>,
        now_ms: u64,
    ) {
        let server = self.servers.entry(id.clone()).or_default();
        server.in_flight = server.in_flight.saturating_sub(1);
        if let Some(sample) = load {
            server.reported_load = Some((sample, now_ms));
        }
        match outcome {
            PlainOutcome::Answered => server.record_result(0.0, now_ms),
            PlainOutcome::Failed => server.record_result(1.0, now_ms),
            PlainOutcome::Rejected => server.record_result(0.5, now_ms),
            PlainOutcome::Unreachable => server.avoided_until_ms = now_ms + UNREACHABLE_PAUSE_MS,
            PlainOutcome::Cancelled => {}
        }
    }

    /// Removes servers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&Name) -> bool) {
        self.servers.retain(|id, _| exists(id));
    }

    fn cost_ms(&self, backend: &Backend, zone: &str, excluded: &[Name], now_ms: u64) -> f64 {
        let unknown = PlainServer::default();
        let server = self.servers.get(&backend.id).unwrap_or(&unknown);
        let mut cost_ms = server.queue_ms(backend, now_ms);
        cost_ms += server.failures_at(now_ms) * FAILURE_PENALTY_MS;
        if &*backend.zone != zone {
            cost_ms += OTHER_ZONE_PENALTY_MS;
        }
        if backend.is_cold() {
            cost_ms += COLD_PENALTY_MS;
        }
        if server.avoided_until_ms > now_ms || excluded.contains(&backend.id) {
            cost_ms += FAILURE_PENALTY_MS * 10.0;
        }
        cost_ms
    }
}

impl PlainServer {
    fn queue_ms(&self, backend: &Backend, now_ms: u64) -> f64 {
        let reported = self.reported_load.map_or(0.0, |(sample, at_ms)| {
            let age_ms = now_ms.saturating_sub(at_ms) as f64;
            f64::from(sample.running + sample.waiting) * decay(age_ms, LOAD_HALF_LIFE_MS)
        });
        let requests = reported.max(f64::from(self.in_flight));
        requests * TYPICAL_REQUEST_MS / f64::from(backend.slots.max(1))
    }

    fn failures_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.failures_ms) as f64;
        self.failures * decay(age_ms, FAILURE_HALF_LIFE_MS)
    }

    /// Adds a result to the average of failures; 0 is a success and 1 a failure.
    fn record_result(&mut self, result: f64, now_ms: u64) {
        let before = self.failures_at(now_ms);
        self.failures = before + (result - before) * FAILURE_WEIGHT;
        self.failures_ms = now_ms;
    }
}

/// Returns the factor by which a value decays over `age_ms`.
fn decay(age_ms: f64, half_life_ms: f64) -> f64 {
    0.5_f64.powf(age_ms / half_life_ms)
}
