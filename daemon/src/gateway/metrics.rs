//! Counters and latencies, served in the Prometheus text format.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tracing_appender::non_blocking::ErrorCounter;

use super::exchange::Failure;

/// Smallest upper bound of a latency, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;
/// Number of upper bounds, each twice the previous one.
const BUCKETS: u16 = 12;
/// Upper bounds of the time to a first event divided by its forecast.
const FORECAST_RATIOS: [f64; 9] = [0.25, 0.5, 0.7, 0.85, 1.0, 1.15, 1.3, 2.0, 4.0];
/// Shortest forecast that is compared with the measured time, in milliseconds.
const MIN_FORECAST_MS: u64 = 20;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Outcome {
    /// A server's complete response was forwarded.
    Answered,
    /// A server's error response was forwarded.
    ServerFailed,
    /// The request was refused before it ran.
    Refused,
    /// The request was not allowed or malformed.
    Denied,
    /// The request may have run, but no complete response was forwarded.
    Broken,
    /// The caller left.
    CallerLeft,
}

/// Dependencies of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Dependency {
    /// The platform's store.
    Store,
    /// The placer.
    Placer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailureLabel {
    failure: Failure,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DependencyLabel {
    dependency: Dependency,
}

/// What is observed at the placer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacerGauges {
    /// Longest delay of its work since the last observation, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Inputs that wait.
    pub(crate) waiting_inputs: usize,
    /// Engines that it knows.
    pub(crate) engines: usize,
    /// Engines whose content a report has confirmed.
    pub(crate) confirmed: usize,
}

/// Metrics of an instance.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabel, Counter>,
    failures: Family<FailureLabel, Counter>,
    dependencies_lost: Family<DependencyLabel, Counter>,
    orders: Counter,
    placer_delay_ms: Gauge,
    placer_inputs: Gauge,
    placer_engines: Gauge,
    placer_engines_confirmed: Gauge,
    store_eras: Counter,
    dropped_evidence: Counter,
    evacuated_zones: Gauge,
    starting_servers: Gauge,
    answer_s: Histogram,
    first_event_s: Histogram,
    forecast_ratio: Histogram,
    dropped_lines: ErrorCounter,
    dropped_lines_gauge: Gauge,
    open_requests: Gauge,
    /// Version of the configuration in force.
    configuration: Arc<Gauge<u64, AtomicU64>>,
}

impl Metrics {
    pub(crate) fn new(dropped_lines: ErrorCounter) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("mimosabay"),
            requests: Family::default(),
            failures: Family::default(),
            dependencies_lost: Family::default(),
            orders: Counter::default(),
            placer_delay_ms: Gauge::default(),
            placer_inputs: Gauge::default(),
            placer_engines: Gauge::default(),
            placer_engines_confirmed: Gauge::default(),
            store_eras: Counter::default(),
            dropped_evidence: Counter::default(),
            evacuated_zones: Gauge::default(),
            starting_servers: Gauge::default(),
            answer_s: latency_histogram(),
            first_event_s: latency_histogram(),
            forecast_ratio: Histogram::new(FORECAST_RATIOS),
            dropped_lines,
            dropped_lines_gauge: Gauge::default(),
            open_requests: Gauge::default(),
            configuration: Arc::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        registry.register(
            "attempt_failures",
            "Attempts at servers that failed",
            self.failures.clone(),
        );
        registry.register(
            "dependencies_lost",
            "Times that a dependency was lost",
            self.dependencies_lost.clone(),
        );
        registry.register("orders", "Orders given to servers", self.orders.clone());
        registry.register(
            "placer_delay_milliseconds",
            "Longest delay of the placer's work in the last second",
            self.placer_delay_ms.clone(),
        );
        registry.register(
            "placer_inputs",
            "Requests, updates, answers and reports that wait for the placer",
            self.placer_inputs.clone(),
        );
        registry.register(
            "placer_engines",
            "Engines that the placer knows",
            self.placer_engines.clone(),
        );
        registry.register(
            "placer_engines_confirmed",
            "Engines whose content a report has confirmed",
            self.placer_engines_confirmed.clone(),
        );
        registry.register(
            "store_eras",
            "Times that the store came back from an older copy",
            self.store_eras.clone(),
        );
        registry.register(
            "dropped_evidence",
            "Requests, crashes, answers and fingerprints that were dropped because a bound was reached",
            self.dropped_evidence.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Availability zones that operators have evacuated",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "starting_servers",
            "Servers that have started or recovered a short time ago",
            self.starting_servers.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to the whole answer of a plain service",
            self.answer_s.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to the first event of a stream",
            self.first_event_s.clone(),
        );
        registry.register(
            "first_event_by_forecast",
            "Time to the first event of a stream divided by its forecast",
            self.forecast_ratio.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines that were left out because the reader was slow",
            self.dropped_lines_gauge.clone(),
        );
        registry.register(
            "open_requests",
            "Requests that are not answered whole yet",
            self.open_requests.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            (*self.configuration).clone(),
        );
    }

    pub(crate) fn count_outcome(&self, outcome: Outcome) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn count_failure(&self, failure: Failure) {
        self.failures.get_or_create(&FailureLabel { failure }).inc();
    }

    pub(crate) fn count_dependency_loss(&self, dependency: Dependency) {
        self.dependencies_lost
            .get_or_create(&DependencyLabel { dependency })
            .inc();
    }

    pub(crate) fn count_store_era(&self) {
        self.store_eras.inc();
    }

    pub(crate) fn count_dropped_evidence(&self, dropped: usize) {
        self.dropped_evidence.inc_by(dropped as u64);
    }

    pub(crate) fn set_evacuated_zones(&self, zones: usize) {
        set(&self.evacuated_zones, zones);
    }

    pub(crate) fn set_starting_servers(&self, servers: usize) {
        set(&self.starting_servers, servers);
    }

    pub(crate) fn count_order(&self) {
        self.orders.inc();
    }

    /// Sets what is observed at the placer; all of it is 0 at other instances.
    pub(crate) fn set_placer(&self, gauges: &PlacerGauges) {
        set(&self.placer_delay_ms, gauges.delay_ms);
        set(&self.placer_inputs, gauges.waiting_inputs);
        set(&self.placer_engines, gauges.engines);
        set(&self.placer_engines_confirmed, gauges.confirmed);
    }

    pub(crate) fn observe_answer_time(&self, time_ms: u64) {
        self.answer_s.observe(seconds(time_ms));
    }

    pub(crate) fn observe_first_event_time(&self, time_ms: u64) {
        self.first_event_s.observe(seconds(time_ms));
    }

    /// Observes a first event that arrived `time_ms` after the placement request and was forecast
    /// for `forecast_ms`.
    pub(crate) fn observe_forecast(&self, forecast_ms: u64, time_ms: u64) {
        if forecast_ms >= MIN_FORECAST_MS {
            let ratio = time_ms as f64 / forecast_ms as f64;
            self.forecast_ratio.observe(ratio);
        }
    }

    pub(crate) fn request_opened(&self) {
        self.open_requests.inc();
    }

    pub(crate) fn request_closed(&self) {
        self.open_requests.dec();
    }

    /// Number of requests that are not completely answered yet.
    pub(crate) fn open_requests(&self) -> u64 {
        u64::try_from(self.open_requests.get()).unwrap_or(0)
    }

    pub(crate) fn set_configuration_version(&self, version: u64) {
        self.configuration.inner().store(version, Ordering::Relaxed);
    }

    /// Encodes all metrics as text.
    pub(crate) fn encode_text(&self) -> String {
        let mut text = String::new();
        let count = self.dropped_lines.dropped_lines();
        self.dropped_lines_gauge
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        // Writing to a string fails only if a metric cannot be encoded; the text written so far is
        // still served.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn set(gauge: &Gauge, value: impl TryInto<i64>) {
    gauge.set(value.try_into().unwrap_or(i64::MAX));
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

fn seconds(time_ms: u64) -> f64 {
    time_ms as f64 / 1_000.0
}
