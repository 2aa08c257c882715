//! The weight store: a limited rate of loads, which take longer when many are in flight.
//!
//! `GET /v1/weights?source=` answers once the weights are read. `GET /control/stats` gives the
//! [`Stats`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until};

use crate::reply::{self, Reply};
use crate::server::{self, Call, Network, Service};

/// How fast the store is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Loads that may start each second; the others wait for their turn. 0 for no limit.
    pub rate_loads_per_s: u64,
    /// Time of a load while few are in flight, in milliseconds.
    pub load_ms: u64,
    /// Loads in flight beyond which each takes proportionally longer.
    pub full_speed_loads: u32,
}

mimosabay_core::record! {
    /// What the weight store was asked for.
    #[derive(Default)]
    pub struct Stats {
        /// Loads that were asked for.
        pub loads: u64,
        /// Loads in flight, those that wait for their turn included.
        pub in_flight: u32,
        /// Largest number in flight.
        pub max_in_flight: u32,
    }
}

struct Weights {
    options: Options,
    network: Network,
    state: Mutex<State>,
}

struct State {
    /// When the next load may start.
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
    let weights = Weights {
        options,
        network: Network::default(),
        state: Mutex::new(state),
    };
    server::run(listener, Arc::new(weights)).await;
}

impl Service for Arc<Weights> {
    fn network(&self) -> &Network {
        &self.network
    }

    async fn answer(&self, call: Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["v1", "weights"]) => self.load().await,
            (&Method::GET, ["control", "stats"]) => reply::ok(&self.state().stats),
            _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Weights {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn load(&self) -> Reply {
        let (_in_flight, start, duration) = self.admit();
        sleep_until(start).await;
        sleep(duration).await;
        reply::ok(&serde_json::Value::Null)
    }

    fn admit(&self) -> (InFlight<'_>, Instant, Duration) {
        let mut state = self.state();
        let start = state.next_start.max(Instant::now());
        if let Some(interval_ms) = 1_000_u64.checked_div(self.options.rate_loads_per_s) {
            state.next_start = start + Duration::from_millis(interval_ms);
        }
        let counts = &mut state.stats;
        counts.loads += 1;
        counts.in_flight += 1;
        counts.max_in_flight = counts.max_in_flight.max(counts.in_flight);
        let full_speed = u64::from(self.options.full_speed_loads.max(1));
        let loads = u64::from(counts.in_flight).max(full_speed);
        let duration = Duration::from_millis(self.options.load_ms * loads / full_speed);
        (InFlight(self), start, duration)
    }
}

/// Counts a load as in flight until dropped, also when the caller leaves.
struct InFlight<'a>(&'a Weights);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.state().stats.in_flight -= 1;
    }
}
