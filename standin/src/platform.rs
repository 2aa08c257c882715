//! Simulates the platform: an object store with versions, conditional updates and watches, and the
//! list of instances.
//!
//! Control for tests:
//!
//! | call | effect |
//! |---|---|
//! | `PUT /control/faults` | sets the [`Faults`] |
//! | `PUT /control/instances/{name}?lag_ms=` | registers an instance |
//! | `DELETE /control/instances/{name}?lag_ms=` | removes an instance |
//! | `GET /control/stats` | returns the [`Stats`] |

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use mimosabay_http::{Call as ClientCall, Client};
use mimosabay_platform::{Instance, MAX_VALUE_BYTES, Object, Precondition};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::clock::unix_ms;
use crate::instances::Instances;
use crate::reply::{self, Closed, Reply};
use crate::server::{self, Call, ConnectionFaults, Service};
use crate::store::{Rejection, Store};

/// Timeout of a probe of an instance, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 500;
/// Longest wait of a watch, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// Options of the platform.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Delay between a change of an instance and the change of the list, in milliseconds.
    pub list_lag_ms: u64,
    /// Interval between probes of `/healthz` of each instance, in milliseconds; 0 for none. Probed
    /// instances are listed only while they answer.
    pub probe_interval_ms: u64,
}

mimosabay_core::record! {
    /// Injected faults. Each `PUT` replaces all of them.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    #[expect(clippy::struct_excessive_bools, reason = "each fault is turned on by itself")]
    pub struct Faults {
        /// Answers every call with 503.
        pub down: bool,
        /// Keeps every connection open without answering.
        pub silent: bool,
        /// Permanently silences the connections that are currently open.
        pub silence_open: bool,
        /// Additional time of each call, in milliseconds.
        pub slow_ms: u64,
        /// Number of further writes that are applied but not answered.
        pub lose_answers: u32,
        /// Number of further watches whose changes are omitted from the response.
        pub skip_watches: u32,
        /// Kind of object whose watches `skip_watches` affects; empty for all kinds.
        pub skip_kind: String,
        /// Compacts the history: watches from earlier revisions are answered with 410.
        pub compact: bool,
        /// Overrides the lag of the list of instances, in milliseconds.
        pub list_lag_ms: Option<u64>,
    }

    /// Counters of the calls to the platform.
    #[derive(Default)]
    pub struct Stats {
        /// Number of calls by operation and kind of object, such as `put journal`.
        pub calls: BTreeMap<String, u64>,
        /// Number of applied writes by second since the Unix epoch.
        pub writes_by_second: BTreeMap<u64, u64>,
        /// Number of reads, including watches, by second since the Unix epoch.
        pub reads_by_second: BTreeMap<u64, u64>,
        /// Revision of the last write.
        pub revision: u64,
    }
}

struct Platform {
    options: Options,
    connection_faults: ConnectionFaults,
    /// Never locked together with another lock, nor held across an await.
    state: Mutex<State>,
    /// Revision of the last write; notifies waiting watches.
    revision: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    store: Store,
    instances: Instances,
    faults: Faults,
    stats: Stats,
}

/// Serves the platform until the future is dropped.
pub async fn serve(listener: TcpListener, options: Options) {
    let platform = Arc::new(Platform {
        options,
        connection_faults: ConnectionFaults::default(),
        state: Mutex::default(),
        revision: watch::Sender::new(0),
    });
    tokio::select! {
        () = server::serve(listener, platform.clone()) => {}
        () = platform.probe_instances() => {}
    }
}

impl Service for Arc<Platform> {
    fn connection_faults(&self) -> &ConnectionFaults {
        &self.connection_faults
    }

    async fn handle(&self, call: Call) -> Reply {
        let path = call.segments();
        if path.first() == Some(&"control") {
            return self.handle_control(&call);
        }
        self.apply_slowness().await;
        if self.state().faults.down {
            return reply::error(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
        }
        match (&call.method, path.as_slice()) {
            (&Method::GET, ["v1", "objects", kind]) => self.handle_list(kind),
            (&Method::GET, ["v1", "objects", kind, name]) => self.handle_get(kind, name),
            (&Method::PUT, ["v1", "objects", kind, name]) => self.handle_put(&call, kind, name),
            (&Method::DELETE, ["v1", "objects", kind, name]) => {
                self.handle_delete(&call, kind, name)
            }
            (&Method::GET, ["v1", "watch"]) => self.handle_watch(&call).await,
            (&Method::GET, ["v1", "instances"]) => self.handle_list_instances(),
            (_, []) => reply::error(StatusCode::BAD_REQUEST, "no URL"),
            _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn apply_slowness(&self) {
        let slow_ms = self.state().faults.slow_ms;
        if slow_ms > 0 {
            sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    fn handle_list(&self, kind: &str) -> Reply {
        let mut state = self.state();
        state.stats.count_read("list", kind);
        reply::ok(&state.store.list(kind))
    }

    fn handle_get(&self, kind: &str, name: &str) -> Reply {
        let mut state = self.state();
        state.stats.count_read("get", kind);
        match state.store.get(kind, name) {
            Some(object) => reply::ok(object),
            None => reply::error(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn handle_put(&self, call: &Call, kind: &str, name: &str) -> Reply {
        if call.body.len() > MAX_VALUE_BYTES {
            return rejection_response(Rejection::TooLarge);
        }
        let Some(precondition) = parse_precondition(call) else {
            return reply::error(StatusCode::PRECONDITION_REQUIRED, "missing precondition");
        };
        let Some(value) = call.json::<Value>() else {
            return reply::error(StatusCode::BAD_REQUEST, "the value is not JSON");
        };
        self.write("put", kind, |store| {
            store.put(kind, name, value, precondition)
        })
    }

    fn handle_delete(&self, call: &Call, kind: &str, name: &str) -> Reply {
        let Some(Precondition::Version(version)) = parse_precondition(call) else {
            return reply::error(StatusCode::PRECONDITION_REQUIRED, "missing version");
        };
        self.write("delete", kind, |store| store.delete(kind, name, version))
    }

    fn write(
        &self,
        action: &str,
        kind: &str,
        apply: impl FnOnce(&mut Store) -> Result<Object, Rejection>,
    ) -> Reply {
        let mut state = self.state();
        state.stats.count(action, kind);
        let object = match apply(&mut state.store) {
            Ok(object) => object,
            Err(rejection) => return rejection_response(rejection),
        };
        *state
            .stats
            .writes_by_second
            .entry(current_unix_second())
            .or_default() += 1;
        self.revision.send_replace(object.version);
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(Closed);
        }
        reply::ok(&object)
    }

    async fn handle_watch(&self, call: &Call) -> Reply {
        let kinds: Vec<&str> = call.query("kinds").unwrap_or_default().split(',').collect();
        let since = call.number("since").unwrap_or_default();
        let wait_ms = call.number("timeout_ms").unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WATCH_WAIT_MS));
        let mut revision = self.revision.subscribe();
        self.state()
            .stats
            .count_read("watch", call.query("kinds").unwrap_or_default());
        loop {
            revision.mark_unchanged();
            let Some(mut batch) = self.state().store.changes(&kinds, since) else {
                return reply::error(
                    StatusCode::GONE,
                    "history before this revision was compacted",
                );
            };
            let is_timed_out = Instant::now() >= deadline;
            if is_timed_out || !batch.events.is_empty() {
                self.skip_events(&kinds, &mut batch.events);
                return reply::ok(&batch);
            }
            // The next iteration checks whether the deadline has passed.
            let _ = timeout_at(deadline, revision.changed()).await;
            if self.state().faults.down {
                return Err(Closed);
            }
        }
    }

    fn skip_events(&self, kinds: &[&str], events: &mut Vec<Object>) {
        let mut state = self.state();
        let kind = state.faults.skip_kind.as_str();
        let is_affected = kind.is_empty() || kinds.contains(&kind);
        if is_affected && state.faults.skip_watches > 0 && !events.is_empty() {
            state.faults.skip_watches -= 1;
            events.clear();
        }
    }

    fn handle_list_instances(&self) -> Reply {
        let mut state = self.state();
        state.stats.count_read("instances", "");
        reply::ok(&state.instances.list())
    }

    fn handle_control(&self, call: &Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::PUT, ["control", "faults"]) => self.set_faults(call),
            (&Method::GET, ["control", "stats"]) => self.handle_stats(),
            (&Method::PUT, ["control", "instances", _]) => self.put_instance(call),
            (&Method::DELETE, ["control", "instances", name]) => {
                let lag_ms = self.requested_lag_ms(call);
                self.state().instances.delete(name, lag_ms);
                reply::ok(&Value::Null)
            }
            _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn set_faults(&self, call: &Call) -> Reply {
        let Some(faults) = call.json::<Faults>() else {
            return reply::error(StatusCode::BAD_REQUEST, "invalid faults");
        };
        self.connection_faults.set_silent(faults.silent);
        if faults.silence_open {
            self.connection_faults.silence_open();
        }
        let mut state = self.state();
        if faults.compact {
            state.store.compact();
        }
        state.faults = faults;
        // Wakes waiting watches, which check whether the platform is down.
        self.revision.send_modify(|_| {});
        reply::ok(&Value::Null)
    }

    fn put_instance(&self, call: &Call) -> Reply {
        let Some(instance) = call.json::<Instance>() else {
            return reply::error(StatusCode::BAD_REQUEST, "invalid instance");
        };
        let lag_ms = self.requested_lag_ms(call);
        self.state().instances.put(instance, lag_ms);
        reply::ok(&Value::Null)
    }

    fn handle_stats(&self) -> Reply {
        let state = self.state();
        let reported = Stats {
            revision: state.store.revision(),
            ..state.stats.clone()
        };
        reply::ok(&reported)
    }

    fn requested_lag_ms(&self, call: &Call) -> u64 {
        call.number("lag_ms").unwrap_or_else(|| self.list_lag_ms())
    }

    fn list_lag_ms(&self) -> u64 {
        let fault = self.state().faults.list_lag_ms;
        fault.unwrap_or(self.options.list_lag_ms)
    }

    async fn probe_instances(&self) {
        if self.options.probe_interval_ms == 0 {
            return pending().await;
        }
        let client = Client::new();
        loop {
            sleep(Duration::from_millis(self.options.probe_interval_ms)).await;
            let instances = self.state().instances.registered();
            for instance in instances {
                let healthy = is_healthy(&client, &instance).await;
                let lag_ms = self.list_lag_ms();
                let mut state = self.state();
                state
                    .instances
                    .record_probe(&instance.name, healthy, lag_ms);
            }
        }
    }
}

impl Stats {
    fn count(&mut self, action: &str, kind: &str) {
        let name = format!("{action} {kind}");
        *self.calls.entry(name.trim().to_owned()).or_default() += 1;
    }

    fn count_read(&mut self, action: &str, kind: &str) {
        self.count(action, kind);
        *self
            .reads_by_second
            .entry(current_unix_second())
            .or_default() += 1;
    }
}

async fn is_healthy(client: &Client, instance: &Instance) -> bool {
    let call = ClientCall::get(format!("http://{}/healthz", instance.caller_address));
    let response = client.call(call.timeout_ms(PROBE_TIMEOUT_MS)).await;
    response.is_ok_and(|response| response.status.is_success())
}

fn parse_precondition(call: &Call) -> Option<Precondition> {
    if call.header("if-none-match") == "*" {
        return Some(Precondition::Absent);
    }
    let version = call.header("if-match").trim_matches('"').parse().ok()?;
    Some(Precondition::Version(version))
}

fn rejection_response(rejection: Rejection) -> Reply {
    match rejection {
        Rejection::Conflict(current) => reply::json(StatusCode::PRECONDITION_FAILED, &current),
        Rejection::NotFound => reply::error(StatusCode::NOT_FOUND, "no such object"),
        Rejection::TooLarge => reply::error(StatusCode::PAYLOAD_TOO_LARGE, "value too large"),
    }
}

fn current_unix_second() -> u64 {
    unix_ms() / 1_000
}
