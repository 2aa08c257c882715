//! Simulates an engine: adapter slots, continuous batching, fencing, resumed and cancelled streams,
//! and a delayed load report.
//!
//! Control for tests: `PUT /control/faults` sets the [`Faults`], `GET /control/record` returns the
//! [`Record`].

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Method, StatusCode};
use mimosabay_backend::{FENCING_HEADER, LoadOrder, LoadReport, UnloadOrder};
use mimosabay_core::name::Name;
use mimosabay_http::{Call as ClientCall, Client};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::sleep;

use crate::clock::unix_ms;
use crate::generate::CompletionRequest;
use crate::reply::{self, Closed, Reply};
use crate::runs::{RunIndex, Runs};
use crate::server::{self, Call, ConnectionFaults, Service};
use crate::text;

pub use crate::runs::{Outcome, RunRecord};

/// Interval at which a cancel call polls whether the run has ended.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Timeout of a call to the weight store, in milliseconds.
const WEIGHTS_TIMEOUT_MS: u64 = 60_000;

/// Capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of adapters that fit in memory.
    pub slots: usize,
    /// Number of requests that run concurrently; further requests are queued.
    pub batch: u32,
    /// Base time per generated token, in microseconds.
    pub token_us: u64,
    /// Additional time per generated token for each running request, in microseconds.
    pub token_us_per_running: u64,
    /// Prefill time per token of the prompt, in microseconds.
    pub prompt_us_per_token: u64,
    /// Time to load an adapter without a weight store, in milliseconds.
    pub load_ms: u64,
    /// IP address and port of the weight store; `None` to load in `load_ms`.
    pub weight_store: Option<String>,
    /// Whether orders with an outdated fencing number are rejected.
    pub check_fencing: bool,
    /// Interval at which the load report is refreshed, in milliseconds and at least 100; 0 for a
    /// current report.
    pub report_lag_ms: u64,
    /// Whether a crash ends the process; otherwise the engine restarts with empty memory.
    pub exit_on_crash: bool,
}

mimosabay_core::record! {
    /// Injected faults. Each `PUT` replaces all of them.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Number of further loads that fail.
        pub fail_loads: u32,
        /// The engine crashes on prompts that contain this text; empty for none.
        pub crash_on_prompt: String,
        /// Number of tokens that such a run generates before the crash.
        pub crash_after_tokens: u64,
        /// Restarts the engine immediately with empty memory.
        pub restart: bool,
        /// Time after a crash or restart for which every call is answered by closing the
        /// connection, in milliseconds.
        pub down_ms: u64,
        /// Keeps every connection open without answering.
        pub silent: bool,
        /// Permanently silences the connections that are currently open.
        pub silence_open: bool,
        /// Additional time per token, in milliseconds.
        pub slow_ms: u64,
    }

    /// An order to load or unload an adapter, with its result.
    pub struct OrderRecord {
        /// Handle of the adapter.
        pub handle: Name,
        /// Whether the order was to load; otherwise to unload.
        pub load: bool,
        /// Fencing number of the sender.
        pub fencing: u64,
        /// HTTP status of the response.
        pub status: u16,
        /// Time of the response, in milliseconds since the Unix epoch.
        pub at_ms: u64,
    }

    /// What the engine actually executed.
    pub struct Record {
        /// Boot number; increases with each restart of the engine.
        pub boot: u64,
        /// All runs since the process started.
        pub runs: Vec<RunRecord>,
        /// All orders since the process started.
        pub orders: Vec<OrderRecord>,
        /// Descriptions of violated invariants; empty in a correct run.
        pub violations: Vec<String>,
    }
}

struct Engine {
    options: Options,
    connection_faults: ConnectionFaults,
    weights: Client,
    /// Never locked together with another lock, nor held across an await.
    state: Mutex<State>,
    /// Notified when a load ends.
    loaded: Notify,
}

struct State {
    boot: u64,
    /// Largest fencing number accepted so far.
    fencing: u64,
    /// Occupied slots by handle. Invariant: at most [`Options::slots`] entries.
    slots: BTreeMap<Name, Slot>,
    runs: Runs,
    orders: Vec<OrderRecord>,
    violations: Vec<String>,
    faults: Faults,
    /// Until this time every call is answered by closing the connection, in milliseconds since the
    /// Unix epoch.
    down_until_ms: u64,
    report: LoadReport,
}

#[derive(Clone)]
struct Slot {
    source: Name,
    is_loading: bool,
}

/// Result of reserving a slot for a load order.
enum Reservation {
    /// A slot is reserved during this boot of the engine.
    Reserved { boot: u64 },
    /// The handle is already loaded.
    Loaded,
    /// Another order is loading the handle.
    Loading,
}

/// A run that has not ended.
struct Run {
    request: CompletionRequest,
    id: Name,
    source: Name,
    index: RunIndex,
    stopped: watch::Receiver<Option<Outcome>>,
}

type TokenSender = mpsc::UnboundedSender<String>;

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 4,
            batch: 16,
            token_us: 5_000,
            token_us_per_running: 100,
            prompt_us_per_token: 0,
            load_ms: 50,
            weight_store: None,
            check_fencing: true,
            report_lag_ms: 0,
            exit_on_crash: false,
        }
    }
}

/// Serves the engine until the future is dropped.
pub async fn serve(listener: TcpListener, options: Options) {
    let engine = Arc::new(Engine::new(options));
    tokio::select! {
        () = server::serve(listener, engine.clone()) => {}
        () = engine.publish_reports() => {}
    }
}

/// Implemented for `Arc` because a run can outlive the call that started it.
impl Service for Arc<Engine> {
    fn connection_faults(&self) -> &ConnectionFaults {
        &self.connection_faults
    }

    async fn handle(&self, call: Call) -> Reply {
        let path = call.segments();
        if path.first() == Some(&"control") {
            return self.handle_control(&call);
        }
        if self.state().down_until_ms > unix_ms() {
            return Err(Closed);
        }
        match (&call.method, path.as_slice()) {
            (&Method::POST, ["v1", "load_lora_adapter"]) => self.handle_load(&call).await,
            (&Method::POST, ["v1", "unload_lora_adapter"]) => self.handle_unload(&call),
            (&Method::POST, ["v1", "completions"]) => self.handle_completion(&call, false).await,
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.handle_completion(&call, true).await
            }
            (&Method::POST, ["v1", "requests", id, "cancel"]) => self.handle_cancel(id).await,
            (&Method::GET, ["load"]) => self.handle_report(),
            (&Method::GET, ["healthz"]) => reply::ok(&Value::Null),
            _ => reply::error(StatusCode::BAD_REQUEST, "no such path"),
        }
    }
}

impl Engine {
    fn new(options: Options) -> Self {
        let boot = unix_ms();
        let report = LoadReport {
            boot,
            fencing: 0,
            handles: Vec::new(),
            running_handles: Vec::new(),
            running: 0,
            waiting: 0,
        };
        let state = State {
            boot,
            fencing: 0,
            slots: BTreeMap::new(),
            runs: Runs::default(),
            orders: Vec::new(),
            violations: Vec::new(),
            faults: Faults::default(),
            down_until_ms: 0,
            report,
        };
        Self {
            options,
            connection_faults: ConnectionFaults::default(),
            weights: Client::new(),
            state: Mutex::new(state),
            loaded: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_report(&self) -> Reply {
        let state = self.state();
        if self.options.report_lag_ms == 0 {
            return reply::ok(&state.current_report());
        }
        reply::ok(&state.report)
    }

    async fn publish_reports(&self) {
        loop {
            sleep(Duration::from_millis(self.options.report_lag_ms.max(100))).await;
            let mut state = self.state();
            state.report = state.current_report();
        }
    }

    async fn handle_load(self: &Arc<Self>, call: &Call) -> Reply {
        let Some(mut order) = call.json::<LoadOrder>() else {
            return reply::error(StatusCode::BAD_REQUEST, "invalid order");
        };
        order.fencing = fencing_number(call);
        let engine = self.clone();
        // Loading continues if the sender disconnects.
        let load = tokio::spawn(async move {
            let status = engine.execute_load(&order).await;
            let mut state = engine.state();
            state.record_order(&order.handle, true, order.fencing, status);
            status
        });
        order_response(load.await.map_err(|_| Closed)?)
    }

    async fn execute_load(&self, order: &LoadOrder) -> StatusCode {
        let boot = match self.reserve_slot(order).await {
            Ok(Reservation::Reserved { boot }) => boot,
            Ok(Reservation::Loaded | Reservation::Loading) => return StatusCode::OK,
            Err(status) => return status,
        };
        let has_weights = self.read_weights(&order.source).await;
        let status = self.state().finish_load(&order.handle, boot, has_weights);
        self.loaded.notify_waiters();
        status
    }

    /// Reserves a slot, after other orders to load the same handle have ended.
    async fn reserve_slot(&self, order: &LoadOrder) -> Result<Reservation, StatusCode> {
        loop {
            let loaded = self.loaded.notified();
            match self.try_reserve_slot(order)? {
                Reservation::Loading => loaded.await,
                reservation => return Ok(reservation),
            }
        }
    }

    fn try_reserve_slot(&self, order: &LoadOrder) -> Result<Reservation, StatusCode> {
        let mut state = self.state();
        state.check_fencing(order.fencing, self.options.check_fencing)?;
        match state.slots.get(&order.handle) {
            Some(slot) if slot.source != order.source => return Err(StatusCode::CONFLICT),
            Some(slot) if slot.is_loading => return Ok(Reservation::Loading),
            Some(_) => return Ok(Reservation::Loaded),
            None => {}
        }
        if state.slots.len() >= self.options.slots {
            return Err(StatusCode::INSUFFICIENT_STORAGE);
        }
        let slot = Slot {
            source: order.source.clone(),
            is_loading: true,
        };
        state.slots.insert(order.handle.clone(), slot);
        Ok(Reservation::Reserved { boot: state.boot })
    }

    async fn read_weights(&self, source: &str) -> bool {
        let Some(address) = &self.options.weight_store else {
            sleep(Duration::from_millis(self.options.load_ms)).await;
            return true;
        };
        let url = format!("http://{address}/v1/weights?source={source}");
        let call = ClientCall::get(url).timeout_ms(WEIGHTS_TIMEOUT_MS);
        let response = self.weights.call(call).await;
        response.is_ok_and(|response| response.status.is_success())
    }

    fn handle_unload(&self, call: &Call) -> Reply {
        let Some(order) = call.json::<UnloadOrder>() else {
            return reply::error(StatusCode::BAD_REQUEST, "invalid order");
        };
        let fencing = fencing_number(call);
        let mut state = self.state();
        let status = match state.check_fencing(fencing, self.options.check_fencing) {
            Ok(()) => state.unload(&order.handle),
            Err(status) => status,
        };
        state.record_order(&order.handle, false, fencing, status);
        order_response(status)
    }

    async fn handle_completion(self: &Arc<Self>, call: &Call, chat: bool) -> Reply {
        let Some(request) = CompletionRequest::parse(&call.body, chat) else {
            return reply::error(StatusCode::BAD_REQUEST, "invalid completion request");
        };
        let checked = self
            .state()
            .check_fencing(fencing_number(call), self.options.check_fencing);
        if let Err(status) = checked {
            return reply::error(status, "a larger fencing number was accepted");
        }
        let Some(run) = self.state().start_run(request, call) else {
            return reply::error(StatusCode::NOT_FOUND, "the model is not loaded");
        };
        let is_streamed = run.request.stream;
        let (id, request) = (run.id.clone(), run.request.clone());
        let (token_sender, token_receiver) = mpsc::unbounded_channel();
        let run_handle = tokio::spawn(self.clone().execute_run(run, token_sender));
        if is_streamed {
            return reply::stream(
                "text/event-stream",
                event_stream(id, request, token_receiver, run_handle),
            );
        }
        collect_response(&id, &request, token_receiver, run_handle).await
    }

    /// Executes a run; returns the number of generated tokens if the run finishes.
    async fn execute_run(self: Arc<Self>, mut run: Run, token_sender: TokenSender) -> Option<u64> {
        let outcome = self.queue_and_generate(&mut run, &token_sender).await;
        let mut state = self.state();
        state.runs.end_run(run.index, outcome);
        let generated_tokens = state.runs.records()[run.index].generated_tokens;
        (outcome == Outcome::Finished).then_some(generated_tokens)
    }

    async fn queue_and_generate(&self, run: &mut Run, token_sender: &TokenSender) -> Outcome {
        let priority = run.request.priority;
        let turn = self
            .state()
            .runs
            .join_batch(run.index, priority, self.options.batch);
        if let Some(turn) = turn {
            let stopped = tokio::select! {
                _ = turn => None,
                outcome = run.wait_for_interruption(token_sender) => Some(outcome),
            };
            if let Some(outcome) = stopped {
                self.state().runs.leave_queue(run.index, priority);
                return outcome;
            }
        }
        let outcome = self.generate(run, token_sender).await;
        self.state().runs.leave_batch();
        outcome
    }

    async fn generate(&self, run: &mut Run, token_sender: &TokenSender) -> Outcome {
        let prompt_tokens = text::count_tokens(&run.request.prompt);
        let mut wait_us = prompt_tokens * self.options.prompt_us_per_token;
        for index in run.request.resumed_tokens()..run.request.max_tokens {
            wait_us += self.current_token_us();
            tokio::select! {
                biased;
                outcome = run.wait_for_interruption(token_sender) => return outcome,
                () = sleep(Duration::from_micros(wait_us)) => {}
            }
            wait_us = 0;
            if self.crash_if_planned(run, index) {
                return Outcome::Crashed;
            }
            let token = text::token(&run.source, &run.request.prompt, index);
            self.state().runs.count_token(run.index);
            if token_sender.send(token).is_err() {
                return Outcome::Cancelled;
            }
        }
        Outcome::Finished
    }

    fn current_token_us(&self) -> u64 {
        let state = self.state();
        let running = u64::from(state.runs.running());
        let slow_us = state.faults.slow_ms * 1_000;
        self.options.token_us + self.options.token_us_per_running * running + slow_us
    }

    fn crash_if_planned(&self, run: &Run, index: u64) -> bool {
        let mut state = self.state();
        let faults = &state.faults;
        let is_planned = !faults.crash_on_prompt.is_empty()
            && run.request.prompt.contains(&faults.crash_on_prompt)
            && index >= run.request.resumed_tokens() + faults.crash_after_tokens;
        if is_planned {
            self.crash(&mut state);
        }
        is_planned
    }

    fn crash(&self, state: &mut State) {
        if self.options.exit_on_crash {
            std::process::exit(1);
        }
        state.restart();
        self.loaded.notify_waiters();
    }

    /// Cancels a run and answers when it has ended.
    async fn handle_cancel(&self, id: &str) -> Reply {
        let is_match = |record: &RunRecord| &*record.request_id == id;
        let count = self
            .state()
            .runs
            .stop_matching(Outcome::Cancelled, is_match);
        while self.state().runs.has_open_run(is_match) {
            sleep(CANCEL_POLL_INTERVAL).await;
        }
        reply::ok(&serde_json::json!({ "cancelled": count }))
    }

    fn handle_control(&self, call: &Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::PUT, ["control", "faults"]) => self.set_faults(call),
            (&Method::GET, ["control", "record"]) => reply::ok(&self.state().record()),
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
        let restart = faults.restart;
        state.faults = faults;
        if restart {
            self.crash(&mut state);
        }
        reply::ok(&Value::Null)
    }
}

impl State {
    fn current_report(&self) -> LoadReport {
        let loaded = self.slots.iter().filter(|(_, slot)| !slot.is_loading);
        LoadReport {
            boot: self.boot,
            fencing: self.fencing,
            handles: loaded.map(|(handle, _)| handle.clone()).collect(),
            running_handles: self.runs.handles_in_use(),
            running: self.runs.running(),
            waiting: self.runs.waiting(),
        }
    }

    fn record(&self) -> Record {
        Record {
            boot: self.boot,
            runs: self.runs.records().to_vec(),
            orders: self.orders.clone(),
            violations: self.violations.clone(),
        }
    }

    fn record_order(&mut self, handle: &Name, load: bool, fencing: u64, status: StatusCode) {
        self.orders.push(OrderRecord {
            handle: handle.clone(),
            load,
            fencing,
            status: status.as_u16(),
            at_ms: unix_ms(),
        });
    }

    fn check_fencing(&mut self, fencing: u64, is_checked: bool) -> Result<(), StatusCode> {
        if is_checked && fencing < self.fencing {
            return Err(StatusCode::PRECONDITION_FAILED);
        }
        self.fencing = self.fencing.max(fencing);
        Ok(())
    }

    fn finish_load(&mut self, handle: &Name, boot: u64, has_weights: bool) -> StatusCode {
        if boot != self.boot {
            return StatusCode::BAD_GATEWAY;
        }
        let fails_by_fault = self.faults.fail_loads > 0;
        self.faults.fail_loads = self.faults.fail_loads.saturating_sub(1);
        if fails_by_fault || !has_weights {
            self.slots.remove(handle);
            return StatusCode::BAD_GATEWAY;
        }
        match self.slots.get_mut(handle) {
            Some(slot) => slot.is_loading = false,
            None => return StatusCode::BAD_GATEWAY,
        }
        StatusCode::OK
    }

    fn unload(&mut self, handle: &Name) -> StatusCode {
        if self.slots.remove(handle).is_none() {
            return StatusCode::NOT_FOUND;
        }
        if self.runs.is_in_use(handle) {
            let violation = format!("unloaded {handle} while it was in use");
            self.violations.push(violation);
            self.runs
                .stop_matching(Outcome::Evicted, |record| record.handle == *handle);
        }
        StatusCode::OK
    }

    fn start_run(&mut self, request: CompletionRequest, call: &Call) -> Option<Run> {
        let slot = self.slots.get(&*request.handle)?;
        if slot.is_loading {
            return None;
        }
        let source = slot.source.clone();
        let resumed_tokens = request.resumed_tokens();
        if request.resume_text != text::generate_text(&source, &request.prompt, resumed_tokens) {
            let violation = format!("a run on {source} resumed after another text");
            self.violations.push(violation);
        }
        let id: Name = call.header("x-request-id").into();
        let record = RunRecord {
            request_id: id.clone(),
            handle: request.handle.as_str().into(),
            source: source.clone(),
            prompt: request.prompt.clone(),
            headers: call.header_list(),
            boot: self.boot,
            started_ms: unix_ms(),
            ended_ms: None,
            outcome: Outcome::Running,
            resumed_tokens,
            generated_tokens: 0,
        };
        let (index, stopped) = self.runs.start_run(record);
        Some(Run {
            request,
            id,
            source,
            index,
            stopped,
        })
    }

    /// Restarts with empty memory.
    fn restart(&mut self) {
        self.boot += 1;
        self.fencing = 0;
        self.slots.clear();
        self.runs.stop_matching(Outcome::Crashed, |_| true);
        self.down_until_ms = unix_ms() + self.faults.down_ms;
        self.report = self.current_report();
    }
}

impl Run {
    /// Waits until the run is stopped or its caller disconnects.
    async fn wait_for_interruption(&mut self, token_sender: &TokenSender) -> Outcome {
        tokio::select! {
            stopped = self.stopped.wait_for(Option::is_some) => {
                stopped.ok().and_then(|outcome| *outcome).unwrap_or(Outcome::Crashed)
            }
            () = token_sender.closed() => Outcome::Cancelled,
        }
    }
}

type RunHandle = tokio::task::JoinHandle<Option<u64>>;

fn event_stream(
    id: Name,
    request: CompletionRequest,
    token_receiver: mpsc::UnboundedReceiver<String>,
    run_handle: RunHandle,
) -> impl futures::Stream<Item = Result<Bytes, Closed>> {
    stream::unfold(
        Some((id, request, token_receiver, run_handle)),
        async |state| {
            let (id, request, mut token_receiver, run_handle) = state?;
            if let Some(token) = token_receiver.recv().await {
                let event = request.token_event(&id, &token);
                return Some((Ok(event), Some((id, request, token_receiver, run_handle))));
            }
            let Ok(Some(generated_tokens)) = run_handle.await else {
                return Some((Err(Closed), None));
            };
            let usage = request.usage(generated_tokens);
            Some((Ok(request.end_events(&id, usage)), None))
        },
    )
}

async fn collect_response(
    id: &str,
    request: &CompletionRequest,
    mut token_receiver: mpsc::UnboundedReceiver<String>,
    run_handle: RunHandle,
) -> Reply {
    let mut text = String::new();
    while let Some(token) = token_receiver.recv().await {
        text.push_str(&token);
    }
    let generated_tokens = run_handle.await.ok().flatten().ok_or(Closed)?;
    let usage = request.usage(generated_tokens);
    reply::ok(&request.complete_response(id, &text, usage))
}

fn fencing_number(call: &Call) -> u64 {
    call.header(FENCING_HEADER).parse().unwrap_or_default()
}

fn order_response(status: StatusCode) -> Reply {
    if status.is_success() {
        return reply::ok(&Value::Null);
    }
    reply::error(status, "order was not executed")
}
