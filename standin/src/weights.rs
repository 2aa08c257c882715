//! Simulates the weight store: a limited rate of loads, which take longer when many are in flight.
//!
//! `GET /v1/weights?source=` answers when the weights are read. `GET /control/stats` returns the
//! [`Stats`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until};

use crate::reply::{self, Reply};
use crate::server::{self, Call, ConnectionFaults, Service};

/// Speed of the weight store.
#[derive(Clone, Debug)]
pub struct Options {
    /// Loads that may start per second; further loads are delayed. 0 for no limit.
    pub rate_loads_per_s: u64,
    /// Duration of a load with at most `full_speed_loads` in flight, in milliseconds.
    pub load_ms: u64,
    /// Number of loads in flight above which each load takes proportionally longer.
    pub full_speed_loads: u32,
}

mimosabay_core::record! {
    /// Counters of the weight store.
    #[derive(Default)]
    pub struct Stats {
        /// Number of requested loads.
        pub loads: u64,
        /// Number of loads in flight, including those waiting for the rate limit.
        pub in_flight: u32,
        /// Largest number of loads in flight so far.
        pub max_in_flight: u32,
    }
}

struct WeightStore {
    options: Options,
    connection_faults: ConnectionFaults,
    state: Mutex<State>,
}

struct State {
    /// Earliest start of the next load.
    next_start: Instant,
    stats: Stats,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rate_loads_per_s: 4,
            load_ms: 250,
            full_speed_loads: 8,
        }
    }
}

/// Serves the weight store until the future is dropped.
pub async fn serve(listener: TcpListener, options: Options) {
    let state = State {
        next_start: Instant::now(),
        stats: Stats::default(),
    };
    let weight_store = WeightStore {
        options,
        connection_faults: ConnectionFaults::default(),
        state: Mutex::new(state),
    };
    server::serve(listener, Arc::new(weight_store)).await;
}

impl Service for Arc<WeightStore> {
    fn connection_faults(&self) -> &ConnectionFaults {
        &self.connection_faults
    }

    async fn handle(&self, call: Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["v1", "weights"]) => self.handle_load().await,
            (&Method::GET, ["control", "stats"]) => reply::ok(&self.state().stats),
            _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl WeightStore {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle_load(&self) -> Reply {
        let (_in_flight, start, duration) = self.schedule_load();
        sleep_until(start).await;
        sleep(duration).await;
        reply::ok(&serde_json::Value::Null)
    }

    fn schedule_load(&self) -> (InFlightGuard<'_>, Instant, Duration) {
        let mut state = self.state();
        let start = state.next_start.max(Instant::now());
        if let Some(interval_ms) = 1_000_u64.checked_div(self.options.rate_loads_per_s) {
            state.next_start = start + Duration::from_millis(interval_ms);
        }
        let counters = &mut state.stats;
        counters.loads += 1;
        counters.in_flight += 1;
        counters.max_in_flight = counters.max_in_flight.max(counters.in_flight);
        let full_speed_loads = u64::from(self.options.full_speed_loads.max(1));
        let loads = u64::from(counters.in_flight).max(full_speed_loads);
        let duration = Duration::from_millis(self.options.load_ms * loads / full_speed_loads);
        (InFlightGuard(self), start, duration)
    }
}

/// Counts a load as in flight until dropped, also if the caller disconnects.
struct InFlightGuard<'a>(&'a WeightStore);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.state().stats.in_flight -= 1;
    }
}
