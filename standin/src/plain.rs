//! Simulates a plain service for bookings and lookups.
//!
//! Each `POST` to a path that ends in `/book` creates one booking, so that a repeated call creates
//! a second booking. Every other call is answered and has no effect.
//!
//! Control for tests: `PUT /control/faults` sets the [`Faults`], `GET /control/record` returns the
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
use crate::server::{self, Call, ConnectionFaults, Service};

/// Options of the plain service.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Duration of each call, in milliseconds.
    pub call_ms: u64,
}

mimosabay_core::record! {
    /// Injected faults. Each `PUT` replaces all of them.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Additional time before each call takes effect, in milliseconds.
        pub slow_ms: u64,
        /// Number of further calls whose connection is closed before they take effect.
        pub crash_before: u32,
        /// Number of further calls whose connection is closed after they take effect.
        pub lose_answers: u32,
        /// Keeps every connection open without answering.
        pub silent: bool,
        /// Permanently silences the connections that are currently open.
        pub silence_open: bool,
    }

    /// One received call.
    pub struct CallRecord {
        /// Value of `x-request-id`; empty if absent.
        pub request_id: Name,
        /// HTTP method.
        pub method: Name,
        /// Path and query.
        pub path: String,
        /// All headers, in the order received.
        pub headers: Vec<(String, String)>,
        /// Complete request body.
        pub body: String,
        /// Time of arrival, in milliseconds since the Unix epoch.
        pub at_ms: u64,
    }

    /// One booking.
    pub struct Booking {
        /// Request id of the call that created the booking.
        pub request_id: Name,
        /// Body of that call.
        pub body: String,
    }

    /// What the service actually received and booked.
    #[derive(Default)]
    pub struct Record {
        /// All calls, oldest first.
        pub calls: Vec<CallRecord>,
        /// All bookings, oldest first.
        pub bookings: Vec<Booking>,
    }
}

struct PlainService {
    options: Options,
    connection_faults: ConnectionFaults,
    /// Never locked together with another lock, nor held across an await.
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    record: Record,
    faults: Faults,
}

/// Serves the plain service until the future is dropped.
pub async fn serve(listener: TcpListener, options: Options) {
    let service = PlainService {
        options,
        connection_faults: ConnectionFaults::default(),
        state: Mutex::default(),
    };
    server::serve(listener, Arc::new(service)).await;
}

impl Service for Arc<PlainService> {
    fn connection_faults(&self) -> &ConnectionFaults {
        &self.connection_faults
    }

    async fn handle(&self, call: Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::PUT, ["control", "faults"]) => self.set_faults(&call),
            (&Method::GET, ["control", "record"]) => reply::ok(&self.state().record),
            (_, ["control", ..]) => reply::error(StatusCode::NOT_FOUND, "no such path"),
            _ => self.serve_call(&call).await,
        }
    }
}

impl PlainService {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, call: &Call) -> Reply {
        let Some(faults) = call.json::<Faults>() else {
            return reply::error(StatusCode::BAD_REQUEST, "invalid faults");
        };
        self.connection_faults.set_silent(faults.silent);
        if faults.silence_open {
            self.connection_faults.silence_open();
        }
        self.state().faults = faults;
        reply::ok(&Value::Null)
    }

    async fn serve_call(&self, call: &Call) -> Reply {
        let delay_ms = self.record_call(call);
        sleep(Duration::from_millis(delay_ms)).await;
        let mut state = self.state();
        if decrement_if_positive(&mut state.faults.crash_before) {
            return Err(Closed);
        }
        let response = state.apply_call(call);
        if decrement_if_positive(&mut state.faults.lose_answers) {
            return Err(Closed);
        }
        reply::ok(&response)
    }

    fn record_call(&self, call: &Call) -> u64 {
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
    fn apply_call(&mut self, call: &Call) -> Value {
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

fn decrement_if_positive(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}
