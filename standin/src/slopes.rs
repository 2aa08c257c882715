//! Measures the control overhead of an instance and how it scales.
//!
//! Starts one site of real processes for each size. The site gets no calls while its CPU time,
//! memory, network bytes and calls to the store are measured. Slopes are least-squares fits over the
//! sizes of one dimension.

use std::path::Path;
use std::time::Duration;

use mimosabay_core::resource::Kind;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::harness::{Site, SiteOptions};

/// Delay before a new site is measured, so that it reaches a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Traffic between instances and to the platform passes through the harness's relays, which doubles
/// it on the loopback interface.
const RELAY_FACTOR: f64 = 2.0;
const PAGE_BYTES: f64 = 4_096.0;

/// The quantity that is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    /// Number of instances.
    Instances,
    /// Number of backend servers.
    Servers,
    /// Number of adapters.
    Adapters,
    /// Number of organisations.
    Organisations,
}

/// Control overhead of one instance at one size.
#[derive(Clone, Copy, Debug)]
struct Cost {
    size: f64,
    cpu_percent: f64,
    memory_mb: f64,
    network_kb_per_s: f64,
    store_calls_per_s: f64,
    in_force_ms: f64,
}

impl Dimension {
    /// All dimensions, in the order of the report.
    pub const ALL: [Self; 4] = [
        Self::Instances,
        Self::Servers,
        Self::Adapters,
        Self::Organisations,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Instances => "instances",
            Self::Servers => "servers",
            Self::Adapters => "adapters",
            Self::Organisations => "organisations",
        }
    }

    fn sizes(self) -> [usize; 4] {
        match self {
            Self::Instances => [3, 6, 10, 15],
            Self::Servers => [2, 12, 24, 48],
            Self::Adapters => [100, 400, 800, 1_600],
            Self::Organisations => [5, 20, 40, 80],
        }
    }
}

/// Measures the dimensions, each size for `seconds`, and returns the fitted lines.
pub async fn measure(dimensions: &[Dimension], seconds: u64) -> Value {
    let mut results = Vec::new();
    for dimension in dimensions {
        let mut costs = Vec::new();
        for count in dimension.sizes() {
            let cost = measure_size(*dimension, count, seconds).await;
            eprintln!("{} {count}: {cost:?}", dimension.name());
            costs.push(cost);
        }
        results.push(summarize(*dimension, &costs));
    }
    Value::Array(results)
}

async fn measure_size(dimension: Dimension, count: usize, seconds: u64) -> Cost {
    let mut options = SiteOptions::default();
    match dimension {
        Dimension::Instances => options.instances = count,
        Dimension::Servers => options.engines = vec![options.engines[0].clone(); count],
        Dimension::Adapters | Dimension::Organisations => {}
    }
    let site = Site::start(options).await;
    match dimension {
        Dimension::Adapters => write_adapters(&site, count).await,
        Dimension::Organisations => write_organisations(&site, count).await,
        Dimension::Instances | Dimension::Servers => {}
    }
    site.wait_accepted().await;
    let in_force_ms = measure_propagation_ms(&site).await;
    sleep(SETTLE_TIME).await;
    let before = Counters::read(&site).await;
    sleep(Duration::from_secs(seconds)).await;
    let after = Counters::read(&site).await;
    let instances = site.instances.len() as f64;
    let per_s = 1.0 / (seconds as f64 * instances);
    Cost {
        size: count as f64,
        cpu_percent: (after.cpu_s - before.cpu_s) * per_s * 100.0,
        memory_mb: after.memory_bytes / instances / 1e6,
        network_kb_per_s: (after.network_bytes - before.network_bytes) * per_s / RELAY_FACTOR / 1e3,
        store_calls_per_s: (after.store_calls - before.store_calls) * per_s,
        in_force_ms,
    }
}

async fn write_adapters(site: &Site, count: usize) {
    for index in 0..count {
        site.write_adapter(&format!("adapter-{index}"), &["1"], "1")
            .await;
    }
}

async fn write_organisations(site: &Site, count: usize) {
    for index in 0..count {
        let spec = json!({ "rate_tokens_per_s": 1_000, "burst_tokens": 5_000 });
        site.write(Kind::Organisation, &format!("organisation-{index}"), &spec)
            .await;
    }
}

/// Returns the time from an operator's write until the status reports the change in force on all
/// instances, in milliseconds.
async fn measure_propagation_ms(site: &Site) -> f64 {
    site.wait_in_force().await;
    let start = Instant::now();
    let spec = json!({ "rate_tokens_per_s": 7, "burst_tokens": 7 });
    site.apply(Kind::Organisation, "timed", spec)
        .await
        .expect("the change is valid");
    site.wait_in_force().await;
    start.elapsed().as_secs_f64() * 1e3
}

/// Counters summed over all instances. CPU time, network bytes and store calls are cumulative.
struct Counters {
    cpu_s: f64,
    memory_bytes: f64,
    network_bytes: f64,
    store_calls: f64,
}

impl Counters {
    async fn read(site: &Site) -> Self {
        let pids = site.instances.iter().map(|instance| instance.process.pid());
        let stats: Value = site.platform_control.read("stats").await;
        Self {
            cpu_s: pids.clone().map(read_cpu_s).sum(),
            memory_bytes: pids.map(read_memory_bytes).sum(),
            network_bytes: read_loopback_bytes(),
            store_calls: total_calls(&stats),
        }
    }
}

fn total_calls(stats: &Value) -> f64 {
    let calls = stats["calls"].as_object().into_iter().flatten();
    calls.filter_map(|(_, count)| count.as_f64()).sum()
}

/// Returns the CPU time of all threads of a process, in seconds.
fn read_cpu_s(pid: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten();
    tasks
        .map(|task| read_first_number(&task.path().join("schedstat")) / 1e9)
        .sum()
}

fn read_memory_bytes(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

fn read_loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next());
    received.and_then(|bytes| bytes.parse().ok()).unwrap_or(0.0)
}

fn read_first_number(path: &Path) -> f64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|number| number.parse().ok())
        .unwrap_or(0.0)
}

fn summarize(dimension: Dimension, costs: &[Cost]) -> Value {
    type ReadMeasure = fn(&Cost) -> f64;
    let measures: [(&str, ReadMeasure); 5] = [
        ("cpu_percent", |cost| cost.cpu_percent),
        ("memory_mb", |cost| cost.memory_mb),
        ("network_kb_per_s", |cost| cost.network_kb_per_s),
        ("store_calls_per_s", |cost| cost.store_calls_per_s),
        ("in_force_ms", |cost| cost.in_force_ms),
    ];
    let lines = measures.map(|(name, read)| {
        let points: Vec<(f64, f64)> = costs.iter().map(|cost| (cost.size, read(cost))).collect();
        (name.to_owned(), fit_line(&points))
    });
    json!({ "dimension": dimension.name(), "per_instance": serde_json::Map::from_iter(lines) })
}

/// Fits a least-squares line through the points and reports the largest vertical distance of a
/// point from it.
fn fit_line(points: &[(f64, f64)]) -> Value {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let error = points
        .iter()
        .map(|(x, y)| (y - base - slope * x).abs())
        .fold(0.0, f64::max);
    json!({ "points": points, "base": base, "slope": slope, "largest_error": error })
}
