//! A plain service that books and answers lookups.
//!
//! `POST` to a path that ends in `/book` makes one booking for each call, so that a repeated call
//! shows as a second booking. Every other call is answered and has no effect.
//!
//! Control for tests: `PUT /control/faults` sets the [`Faults`], `GET /control/record` gives the
//! [`Record`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use mimosabay_core::name::Name;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::clock::unix_ms;
use crate::reply::{self, Closed, Reply};
use crate::server::{self, Call, Network, Service};

/// How the service behaves.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Time that each call takes, in milliseconds.
    pub call_ms: u64,
}

mimosabay_core::record! {
    /// Faults that tests ask for. Each order replaces all of them.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Added to each call before its effect, in milliseconds.
        pub slow_ms: u64,
        /// Number of calls whose connection is closed before their effect.
        pub crash_before: u32,
        /// Number of calls whose connection is closed after their effect.
        pub lose_answers: u32,
        /// Leaves every connection open and unanswered.
        pub silent: bool,
        /// Makes the connections that are open now silent for good.
        pub silence_open: bool,
    }

    /// One call as it arrived.
    pub struct CallRecord {
        /// Request id as sent, empty if there was none.
        pub request_id: Name,
        /// HTTP method.
        pub method: Name,
        /// Path and query.
        pub path: String,
        /// All headers.
        pub headers: Vec<(String, String)>,
        /// Body.
        pub body: String,
        /// When it arrived, in milliseconds since the Unix epoch.
        pub at_ms: u64,
    }

    /// One booking.
    pub struct Booking {
        /// Request id of the call that made it.
        pub request_id: Name,
        /// Body of that call.
        pub body: String,
    }

    /// What really happened.
    #[derive(Default)]
    pub struct Record {
        /// All calls.
        pub calls: Vec<CallRecord>,
        /// All bookings, oldest first.
        pub bookings: Vec<Booking>,
    }
}

struct Plain {
    options: Options,
    network: Network,
    /// Lock order: taken alone, never across an await.
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    record: Record,
    faults: Faults,
}

/// Serves the plain service until the future is dropped.
pub async fn serve(listener: TcpListener, options: Options) {
    let plain = Plain {
        options,
        network: Network::default(),
        state: Mutex::default(),
    };
    server::run(listener, Arc::new(plain)).await;
}

impl Service for Arc<Plain> {
    fn network(&self) -> &Network {
        &self.network
    }

    async fn answer(&self, call: Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::PUT, ["control", "faults"]) => self.set_faults(&call),
            (&Method::GET, ["control", "record"]) => reply::ok(&self.state().record),
            (_, ["control", ..]) => reply::error(StatusCode::NOT_FOUND, "no such path"),
            _ => self.serve_call(&call).await,
        }
    }
}

impl Plain {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, call: &Call) -> Reply {
        let Some(faults) = call.json::<Faults>() else {
            return reply::error(StatusCode::BAD_REQUEST, "no such faults");
        };
        self.network.set_silent(faults.silent);
        if faults.silence_open {
            self.network.silence_open();
        }
        self.state().faults = faults;
        reply::ok(&Value::Null)
    }

    async fn serve_call(&self, call: &Call) -> Reply {
        let delay_ms = self.arrive(call);
        sleep(Duration::from_millis(delay_ms)).await;
        let mut state = self.state();
        if take_one(&mut state.faults.crash_before) {
            return Err(Closed);
        }
        let answer = state.apply(call);
        if take_one(&mut state.faults.lose_answers) {
            return Err(Closed);
        }
        reply::ok(&answer)
    }

    fn arrive(&self, call: &Call) -> u64 {
        let mut state = self.state();
        state.record.calls.push(CallRecord {
            request_id: call.header("x-request-id").into(),
            method: call.method.as_str().into(),
            path: call.uri.to_string(),
            headers: call.header_list(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
            at_ms: unix_ms(),
        });
        self.options.call_ms + state.faults.slow_ms
    }
}

impl State {
    fn apply(&mut self, call: &Call) -> Value {
        let path = call.uri.path();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        if call.method != Method::POST || !path.ends_with("/book") {
            return json!({ "method": call.method.as_str(), "path": path, "body": body });
        }
        let booking = Booking {
            request_id: call.header("x-request-id").into(),
            body,
        };
        self.record.bookings.push(booking);
        json!({ "booking": self.record.bookings.len(), "path": path })
    }
}

fn take_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}
