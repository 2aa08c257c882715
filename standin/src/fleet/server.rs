//! Simulates a backend server that registers itself: an engine or a plain service.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use mimosabay_core::name::Name;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::answers::earlier_rejection;
use super::behaviour::{Behaviour, StreamFault};
use super::crash::CrashPlan;
use super::framing::cut_inside_piece;
use super::limit::StatedLimit;
use super::received::{ReceivedOrder, ReceivedRequest, RequestEffect};
use super::site::MODEL;
use super::statement::Statements;
use super::store::FleetStore;
use super::version::FIRST_VERSION;
use crate::reply::{self, Closed, Reply};
use crate::server::{self, Call, ConnectionFaults, Service};

/// Default time between the events of a stream, in milliseconds.
pub(super) const EVENT_INTERVAL_MS: u64 = 15;
/// Simulated load time of an adapter, in milliseconds. Each order is answered after a tenth of it.
const ADAPTER_LOAD_MS: u64 = 60;
/// Number of slots that an entry names.
const SLOTS: u64 = 8;
/// Availability zone of a server that was not moved.
const FIRST_ZONE: &str = "zone-1";
/// Receive buffer of a connection, in bytes. A server that does not read soon blocks the sender.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Kind of requests that a server handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// Streams generated text of a model with adapters.
    Engine {
        /// Number of adapters that fit in memory.
        adapter_slots: usize,
    },
    /// Returns complete responses.
    Plain,
}

/// A backend server. Clones share its state.
#[derive(Clone, Debug)]
pub struct FleetServer {
    /// Name under which the server registers in the store.
    pub id: Name,
    /// Address that the server listens on.
    pub address: SocketAddr,
    service: Name,
    pub(super) kind: ServerKind,
    state: Arc<Mutex<State>>,
    pub(super) store: FleetStore,
    pub(super) connection_faults: ConnectionFaults,
    task: Arc<Mutex<Option<AbortHandle>>>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    adapters: BTreeSet<String>,
    sequence: u64,
    fencing_number: u64,
    /// Whether orders are accepted whatever their fencing number is.
    ignores_fencing: bool,
    pub(super) start_count: u64,
    /// Name under which the server is registered since its last restart, if it differs from the
    /// first one.
    pub(super) restarted_id: Option<Name>,
    /// Requests that crash the server, and how it crashes.
    pub(super) crash_plan: Option<CrashPlan>,
    /// Whether the requests of the plan are answered like others for now.
    pub(super) is_plan_suspended: bool,
    /// Whether the server is down after a crash.
    pub(super) is_crashed: bool,
    /// Times of the crashes by requests of the plan, oldest first.
    pub(super) crash_times: Vec<Instant>,
    /// Limits that it has stated, the latest last.
    pub(super) limits: Vec<StatedLimit>,
    /// What it states beside limits.
    pub(super) statements: Statements,
    requests: Vec<ReceivedRequest>,
    orders: Vec<ReceivedOrder>,
    report_count: usize,
    /// Behaviours for the next requests, in order; later requests are answered normally.
    planned_behaviours: VecDeque<Behaviour>,
    /// Number of running requests whose connection is open.
    running_count: usize,
    /// Address registered in the store, if it differs from the listening address.
    advertised_address: Option<SocketAddr>,
    /// Version of its software.
    pub(super) software_version: Name,
    /// Availability zone.
    zone: Name,
    /// Time for which it says that it is cold, in milliseconds.
    cold_ms: u64,
    /// Number of slots that the entry names beyond [`SLOTS`].
    more_slots: u64,
    /// Time between the events of a stream, in milliseconds.
    pub(super) event_interval_ms: u64,
    /// Number of accepted load orders that exceeded the adapter slots.
    orders_over_capacity: usize,
}

impl FleetServer {
    /// Starts a server on a free port and registers it as ready.
    pub fn start(store: &FleetStore, id: &str, service: &str, kind: ServerKind) -> Self {
        Self::start_version(store, id, service, kind, FIRST_VERSION)
    }

    /// Starts a server with a software version on a free port and registers it as ready.
    pub(super) fn start_version(
        store: &FleetStore,
        id: &str,
        service: &str,
        kind: ServerKind,
        version: &str,
    ) -> Self {
        let listener = listen().expect("a free port");
        let server = Self {
            id: id.into(),
            address: listener.local_addr().expect("an address"),
            service: service.into(),
            kind,
            state: Arc::new(Mutex::new(State {
                start_count: 1,
                software_version: version.into(),
                zone: FIRST_ZONE.into(),
                event_interval_ms: EVENT_INTERVAL_MS,
                ..State::default()
            })),
            store: store.clone(),
            connection_faults: ConnectionFaults::default(),
            task: Arc::default(),
        };
        server.serve(listener);
        server.register("ready");
        server
    }

    /// Serves connections of a listener until the server crashes.
    pub(super) fn serve(&self, listener: TcpListener) {
        let task = tokio::spawn(server::serve(listener, self.clone()));
        *self.task.lock().expect("task lock") = Some(task.abort_handle());
    }

    /// Returns the name under which the server is registered now.
    pub fn current_id(&self) -> Name {
        let restarted_id = self.with_state(|state| state.restarted_id.clone());
        restarted_id.unwrap_or_else(|| self.id.clone())
    }

    /// Writes the server's registration with the given state to the store.
    pub fn register(&self, state: &str) {
        let registration = self.registration(state);
        self.store.put("servers", &self.current_id(), &registration);
    }

    /// Registers the server as ready with one more slot. An entry that stays the same is no change.
    pub fn change_entry(&self) {
        self.with_state(|state| state.more_slots += 1);
        self.register("ready");
    }

    /// Returns the address under which the server registers.
    pub(super) fn registered_address(&self) -> SocketAddr {
        let advertised = self.with_state(|state| state.advertised_address);
        advertised.unwrap_or(self.address)
    }

    /// Registers the server under another address, such as that of a relay.
    pub fn register_at(&self, address: SocketAddr) {
        self.with_state(|state| state.advertised_address = Some(address));
        self.register("ready");
    }

    /// Returns the violations among the accepted orders: a fencing number below an earlier one, the
    /// same number from two holders, or more adapters than slots.
    pub fn order_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let over_capacity = self.with_state(|state| state.orders_over_capacity);
        if over_capacity > 0 {
            violations.push(format!("{over_capacity} orders beyond its adapter slots"));
        }
        let mut last = (0, String::new());
        for order in self.orders().iter().filter(|order| order.status < 300) {
            let order = order.holder();
            if order.0 < last.0 || (order.0 == last.0 && order.1 != last.1) {
                violations.push(format!(
                    "fencing number and holder {order:?} after {last:?}"
                ));
            }
            last = order;
        }
        violations
    }

    /// Moves the server to an availability zone.
    pub fn move_to_zone(&self, zone: &str) {
        self.with_state(|state| state.zone = zone.into());
        self.register("ready");
    }

    /// Says in the server's entry for how long it is cold, in milliseconds.
    pub fn state_cold(&self, cold_ms: u64) {
        self.with_state(|state| state.cold_ms = cold_ms);
        self.register("ready");
    }

    /// Simulates a crash and restart under the same name: clears the state and registers again.
    pub(crate) fn restart(&self) {
        self.with_state(State::clear);
        self.register("ready");
    }

    /// Stops the server immediately, as a crash would. Its registration remains in the store.
    pub fn crash(&self) {
        if let Some(task) = self.task.lock().expect("task lock").take() {
            task.abort();
        }
    }

    /// Makes the server accept orders whatever their fencing numbers are.
    pub fn ignore_fencing(&self) {
        self.with_state(|state| state.ignores_fencing = true);
    }

    /// Makes the server silent, or lets it go on. It neither reads nor writes in the meantime, and
    /// loses nothing.
    pub fn set_paused(&self, is_paused: bool) {
        self.connection_faults.set_paused(is_paused);
    }

    /// Sets the time between the events of later streams, in milliseconds.
    pub fn set_event_interval(&self, interval_ms: u64) {
        self.with_state(|state| state.event_interval_ms = interval_ms);
    }

    /// Queues the behaviour for the next request that has none planned yet.
    pub fn plan(&self, behaviour: Behaviour) {
        self.with_state(|state| state.planned_behaviours.push_back(behaviour));
    }

    /// Removes all planned behaviours, so that all further requests are answered.
    pub fn clear_plan(&self) {
        self.with_state(|state| state.planned_behaviours.clear());
    }

    /// Returns the requests received so far, oldest first.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.with_state(|state| state.requests.clone())
    }

    /// Returns the orders received so far, oldest first.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.with_state(|state| state.orders.clone())
    }

    /// Returns the number of reports requested so far.
    pub fn report_count(&self) -> usize {
        self.with_state(|state| state.report_count)
    }

    /// Returns the number of requests that are running.
    pub fn running_count(&self) -> usize {
        self.with_state(|state| state.running_count)
    }

    /// Returns the names of the loaded adapters.
    pub fn adapters(&self) -> BTreeSet<String> {
        self.with_state(|state| state.adapters.clone())
    }

    pub(super) fn with_state<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().expect("server lock"))
    }

    fn registration(&self, state: &str) -> Value {
        let (sequence, start_count) = self.with_state(|state| (state.sequence, state.start_count));
        let (zone, cold_ms) = self.with_state(|state| (state.zone.clone(), state.cold_ms));
        let more_slots = self.with_state(|state| state.more_slots);
        let address = self.registered_address();
        json!({
            "service": self.service,
            "address": address.to_string(),
            "zone": zone,
            "version": self.software_version(),
            "slots": SLOTS + more_slots,
            "state": state,
            "coldRemainingMs": cold_ms,
            "stage": "unified",
            "models": self.models_json(),
            "sequence": sequence,
            "born": start_count,
        })
    }

    fn models_json(&self) -> Value {
        match self.kind {
            ServerKind::Plain => json!([]),
            ServerKind::Engine { .. } => {
                let adapters: Vec<String> = self.with_state(|state| {
                    let adapters = state.adapters.iter();
                    adapters.map(|name| format!("{name}@1")).collect()
                });
                json!([{ "name": MODEL, "version": 1, "adapters": adapters }])
            }
        }
    }

    fn handle_report(&self) -> Reply {
        let (sequence, start_count) = self.with_state(|state| {
            state.report_count += 1;
            (state.sequence, state.start_count)
        });
        reply::ok(&json!({
            "stage": "unified",
            "models": self.models_json(),
            "busy": false,
            "sequence": sequence,
            "born": start_count,
            "coming": [],
        }))
    }

    fn handle_order(&self, call: &Call) -> Reply {
        let fields: Value = call.json().unwrap_or(Value::Null);
        let status = self.with_state(|state| {
            let status = state.apply_order(&fields, self.kind);
            let status_code = status.as_u16();
            state.orders.push(ReceivedOrder {
                fields,
                status: status_code,
            });
            status
        });
        reply::json(status, &json!({}))
    }

    async fn handle_request(&self, call: Call) -> Reply {
        let id = call.header("x-attempt-id").to_owned();
        let expected = call.header("x-expect-instance");
        if !expected.is_empty() && expected != &*self.current_id() {
            return self.not_executed_response(StatusCode::MISDIRECTED_REQUEST, call, &id);
        }
        if !self.holds_adapter(call.header("x-model")) {
            return self.not_executed_response(StatusCode::MISDIRECTED_REQUEST, call, &id);
        }
        let behaviour = self.with_state(|state| state.planned_behaviours.pop_front());
        let behaviour = behaviour.unwrap_or(Behaviour::Answer);
        if behaviour == Behaviour::Reject || self.refuses() {
            return self.not_executed_response(StatusCode::SERVICE_UNAVAILABLE, call, &id);
        }
        let after = call.header("last-event-id").parse().unwrap_or(0);
        let crash_plan = self.crash_plan_for(&call);
        self.record_request(call, &id, RequestEffect::run(crash_plan.is_some()));
        let _running = RunningRequest::new(self);
        if let Some(plan) = crash_plan {
            return self.crash_while_running(plan, &id, after).await;
        }
        match behaviour {
            Behaviour::AnswerAfter(time_ms) => sleep(Duration::from_millis(time_ms)).await,
            Behaviour::Fail => {
                return self.complete_response(StatusCode::INTERNAL_SERVER_ERROR, &id);
            }
            Behaviour::LoseAnswer => return Err(Closed),
            Behaviour::RepeatRejection { has_id } => return earlier_rejection(has_id),
            Behaviour::Crash => {
                self.restart();
                return Err(Closed);
            }
            Behaviour::AnswerWithWrongId => {
                return self.complete_response(StatusCode::OK, "another");
            }
            Behaviour::AnswerUntilClose => {
                return self.response_until_close(&id, self.answer_pieces(after));
            }
            Behaviour::EndInsideEvent(events) => {
                let pieces = cut_inside_piece(self.answer_pieces(after), events);
                return self.response_until_close(&id, pieces);
            }
            Behaviour::CutShort(events) => {
                return self.response_cut_short(&id, self.answer_pieces(after), events);
            }
            Behaviour::EndAfterHead => return self.response_until_close(&id, Vec::new()),
            Behaviour::Hang => std::future::pending().await,
            Behaviour::AnswerBytes(size_bytes) => return self.large_response(size_bytes, &id),
            Behaviour::Answer
            | Behaviour::Reject
            | Behaviour::BreakAfter(_)
            | Behaviour::TrickleAfter(_)
            | Behaviour::PauseAfter { .. } => {}
        }
        match (self.kind, behaviour) {
            (ServerKind::Plain, _) => self.complete_response(StatusCode::OK, &id),
            (ServerKind::Engine { .. }, Behaviour::BreakAfter(count)) => {
                self.stream_response(&id, after, StreamFault::BreakAfter(after + count))
            }
            (ServerKind::Engine { .. }, Behaviour::TrickleAfter(count)) => {
                self.stream_response(&id, after, StreamFault::TrickleAfter(after + count))
            }
            (ServerKind::Engine { .. }, Behaviour::PauseAfter { events, pause_ms }) => {
                let last = after + events;
                self.stream_response(&id, after, StreamFault::PauseAfter { last, pause_ms })
            }
            (ServerKind::Engine { .. }, _) => self.stream_response(&id, after, StreamFault::None),
        }
    }

    fn holds_adapter(&self, model: &str) -> bool {
        match model.split_once('/') {
            None => true,
            Some((_, adapter)) => self.with_state(|state| state.adapters.contains(adapter)),
        }
    }

    pub(super) fn record_request(&self, call: Call, id: &str, effect: RequestEffect) {
        let request = ReceivedRequest {
            id: id.to_owned(),
            has_run: effect != RequestEffect::NotRun,
            has_crashed_server: effect == RequestEffect::Crash,
            headers: call.header_list(),
            body: call.body,
            arrived: Instant::now(),
        };
        self.with_state(|state| state.requests.push(request));
    }
}

/// Listens on a free port.
fn listen() -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    socket.listen(BACKLOG)
}

impl State {
    /// Loses everything that a restart loses.
    pub(super) fn clear(&mut self) {
        self.start_count += 1;
        self.sequence = 0;
        self.fencing_number = 0;
        self.adapters.clear();
    }

    fn apply_order(&mut self, fields: &Value, kind: ServerKind) -> StatusCode {
        let ServerKind::Engine { adapter_slots } = kind else {
            return StatusCode::BAD_REQUEST;
        };
        let fencing_number = fields["fencingToken"].as_u64().unwrap_or(0);
        if fencing_number < self.fencing_number && !self.ignores_fencing {
            return StatusCode::PRECONDITION_FAILED;
        }
        self.fencing_number = fencing_number;
        let precondition = fields["precondition"].as_u64();
        if precondition.is_some_and(|expected| expected != self.sequence) {
            return StatusCode::CONFLICT;
        }
        let Some(adapter) = fields["adapter"].as_str() else {
            return StatusCode::OK;
        };
        self.sequence += 1;
        if fields["op"] == "unload" {
            self.adapters.remove(adapter);
            return StatusCode::OK;
        }
        self.adapters.insert(adapter.to_owned());
        if self.adapters.len() > adapter_slots {
            self.orders_over_capacity += 1;
        }
        StatusCode::ACCEPTED
    }
}

/// Counts a request as running until it is dropped.
pub(super) struct RunningRequest {
    server: FleetServer,
}

impl RunningRequest {
    pub(super) fn new(server: &FleetServer) -> Self {
        server.with_state(|state| state.running_count += 1);
        Self {
            server: server.clone(),
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.server.with_state(|state| state.running_count -= 1);
    }
}

impl Service for FleetServer {
    fn connection_faults(&self) -> &ConnectionFaults {
        &self.connection_faults
    }

    async fn handle(&self, call: Call) -> Reply {
        match (&call.method, call.uri.path()) {
            (&Method::POST, "/api/order") => {
                let response = self.handle_order(&call);
                sleep(Duration::from_millis(ADAPTER_LOAD_MS / 10)).await;
                response
            }
            (&Method::GET, "/api/report") => self.handle_report(),
            _ => self.handle_request(call).await,
        }
    }
}

/// Makes a stream `Sync`, as the response body requires. The lock is never contended, because the
/// stream is polled from one place only.
pub(super) struct SyncStream<S> {
    inner: Mutex<std::pin::Pin<Box<S>>>,
}

impl<S> SyncStream<S> {
    pub(super) fn new(inner: S) -> Self {
        Self {
            inner: Mutex::new(Box::pin(inner)),
        }
    }
}

impl<S: futures::Stream> futures::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        let mut inner = self.inner.lock().expect("stream lock");
        inner.as_mut().poll_next(context)
    }
}
