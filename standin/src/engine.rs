//! An engine: adapter slots, continuous batching, fencing, resumed and cancelled streams, and a
//! load report that lags.
//!
//! Control for tests: `PUT /control/faults` sets the [`Faults`], `GET /control/record` gives the
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
use crate::generate::Order;
use crate::reply::{self, Closed, Reply};
use crate::runs::{RunIndex, Runs};
use crate::server::{self, Call, Network, Service};
use crate::text;

pub use crate::runs::{Outcome, RunRecord};

/// Time that the weight store has to answer.
/// Time between two looks at whether a cancelled run is over.
const CANCEL_POLL: Duration = Duration::from_millis(1);
const WEIGHTS_TIMEOUT_MS: u64 = 60_000;

/// What an engine can do and how fast.
#[derive(Clone, Debug)]
pub struct Options {
    /// Adapters that fit in memory.
    pub slots: usize,
    /// Requests that run at once; the others wait.
    pub batch: u32,
    /// Time to the next token while nothing else runs, in microseconds.
    pub token_us: u64,
    /// Added to it for each request that runs, in microseconds.
    pub token_us_per_running: u64,
    /// Time to read one token of the prompt, in microseconds.
    pub prompt_us_per_token: u64,
    /// Time to load an adapter without a weight store, in milliseconds.
    pub load_ms: u64,
    /// IP number and port of the weight store.
    pub weight_store: Option<String>,
    /// Whether orders with an old fencing number are rejected.
    pub check_fencing: bool,
    /// Age of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether a crash ends the process; otherwise the engine starts again with empty memory.
    pub exit_on_crash: bool,
}

mimosabay_core::record! {
    /// Faults that tests ask for. Each order replaces all of them.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Number of loads that fail.
        pub fail_loads: u32,
        /// Text of prompts that crash the engine; empty for none.
        pub crash_on_prompt: String,
        /// Tokens that such a run generates before the crash.
        pub crash_after_tokens: u64,
        /// Starts again with empty memory, now.
        pub restart: bool,
        /// Time for which connections are closed at once after a crash or restart, in
        /// milliseconds.
        pub down_ms: u64,
        /// Leaves every connection open and unanswered.
        pub silent: bool,
        /// Makes the connections that are open now silent for good.
        pub silence_open: bool,
        /// Added to each token, in milliseconds.
        pub slow_ms: u64,
    }

    /// An order to load or unload, as it was answered.
    pub struct OrderRecord {
        /// Handle of the adapter.
        pub handle: Name,
        /// Whether it was to be loaded.
        pub load: bool,
        /// Fencing number of the sender.
        pub fencing: u64,
        /// HTTP status of the answer.
        pub status: u16,
        /// When it was answered, in milliseconds since the Unix epoch.
        pub at_ms: u64,
    }

    /// What really happened.
    pub struct Record {
        /// Number of this start of the engine.
        pub boot: u64,
        /// All runs since the process started.
        pub runs: Vec<RunRecord>,
        /// All orders since the process started.
        pub orders: Vec<OrderRecord>,
        /// What must never happen and did.
        pub violations: Vec<String>,
    }
}

struct Engine {
    options: Options,
    network: Network,
    weights: Client,
    /// Lock order: taken alone, never across an await.
    state: Mutex<State>,
    /// Woken when a load ends.
    loaded: Notify,
}

struct State {
    boot: u64,
    /// Largest fencing number accepted.
    fencing: u64,
    /// Invariant: at most as many as there are slots.
    slots: BTreeMap<Name, Slot>,
    runs: Runs,
    orders: Vec<OrderRecord>,
    violations: Vec<String>,
    faults: Faults,
    /// Connections are closed at once until then, in milliseconds since the Unix epoch.
    down_until_ms: u64,
    report: LoadReport,
}

#[derive(Clone)]
struct Slot {
    source: Name,
    is_loading: bool,
}

/// What became of an order to load.
enum Reservation {
    /// A slot is taken for it, in this start of the engine.
    Taken { boot: u64 },
    /// The handle is loaded already.
    Loaded,
    /// Another order loads the handle.
    Loading,
}

/// A run with the means to follow it.
struct Run {
    order: Order,
    id: Name,
    source: Name,
    index: RunIndex,
    stopped: watch::Receiver<Option<Outcome>>,
}

type Parts = mpsc::UnboundedSender<String>;

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
        () = server::run(listener, engine.clone()) => {}
        () = engine.publish_reports() => {}
    }
}

/// The engine behind shared ownership, so that a run outlives the call that started it.
impl Service for Arc<Engine> {
    fn network(&self) -> &Network {
        &self.network
    }

    async fn answer(&self, call: Call) -> Reply {
        let path = call.segments();
        if path.first() == Some(&"control") {
            return self.control(&call);
        }
        if self.state().down_until_ms > unix_ms() {
            return Err(Closed);
        }
        match (&call.method, path.as_slice()) {
            (&Method::POST, ["v1", "load_lora_adapter"]) => self.load(&call).await,
            (&Method::POST, ["v1", "unload_lora_adapter"]) => self.unload(&call),
            (&Method::POST, ["v1", "completions"]) => self.complete(&call, false).await,
            (&Method::POST, ["v1", "chat", "completions"]) => self.complete(&call, true).await,
            (&Method::POST, ["v1", "requests", id, "cancel"]) => self.cancel(id).await,
            (&Method::GET, ["load"]) => self.report(),
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
            network: Network::default(),
            weights: Client::new(),
            state: Mutex::new(state),
            loaded: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> Reply {
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

    async fn load(self: &Arc<Self>, call: &Call) -> Reply {
        let Some(mut order) = call.json::<LoadOrder>() else {
            return reply::error(StatusCode::BAD_REQUEST, "no such order");
        };
        order.fencing = fencing(call);
        let engine = self.clone();
        // The load goes on when its sender leaves.
        let load = tokio::spawn(async move {
            let status = engine.carry_out_load(&order).await;
            let mut state = engine.state();
            state.record_order(&order.handle, true, order.fencing, status);
            status
        });
        answer_order(load.await.map_err(|_| Closed)?)
    }

    async fn carry_out_load(&self, order: &LoadOrder) -> StatusCode {
        let boot = match self.reserve_slot(order).await {
            Ok(Reservation::Taken { boot }) => boot,
            Ok(Reservation::Loaded | Reservation::Loading) => return StatusCode::OK,
            Err(status) => return status,
        };
        let is_read = self.read_weights(&order.source).await;
        let status = self.state().finish_load(&order.handle, boot, is_read);
        self.loaded.notify_waiters();
        status
    }

    /// Takes a slot, after other orders to load the same handle have ended.
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
        Ok(Reservation::Taken { boot: state.boot })
    }

    async fn read_weights(&self, source: &str) -> bool {
        let Some(address) = &self.options.weight_store else {
            sleep(Duration::from_millis(self.options.load_ms)).await;
            return true;
        };
        let url = format!("http://{address}/v1/weights?source={source}");
        let call = ClientCall::get(url).timeout_ms(WEIGHTS_TIMEOUT_MS);
        let answer = self.weights.call(call).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    fn unload(&self, call: &Call) -> Reply {
        let Some(order) = call.json::<UnloadOrder>() else {
            return reply::error(StatusCode::BAD_REQUEST, "no such order");
        };
        let fencing = fencing(call);
        let mut state = self.state();
        let status = match state.check_fencing(fencing, self.options.check_fencing) {
            Ok(()) => state.unload(&order.handle),
            Err(status) => status,
        };
        state.record_order(&order.handle, false, fencing, status);
        answer_order(status)
    }

    async fn complete(self: &Arc<Self>, call: &Call, chat: bool) -> Reply {
        let Some(order) = Order::parse(&call.body, chat) else {
            return reply::error(StatusCode::BAD_REQUEST, "no such completion");
        };
        let checked = self
            .state()
            .check_fencing(fencing(call), self.options.check_fencing);
        if let Err(status) = checked {
            return reply::error(status, "a larger fencing number was accepted");
        }
        let Some(run) = self.state().start_run(order, call) else {
            return reply::error(StatusCode::NOT_FOUND, "the model is not loaded");
        };
        let is_streamed = run.order.stream;
        let (id, order) = (run.id.clone(), run.order.clone());
        let (parts, received) = mpsc::unbounded_channel();
        let finished = tokio::spawn(self.clone().run(run, parts));
        if is_streamed {
            return reply::stream("text/event-stream", events(id, order, received, finished));
        }
        collect(&id, &order, received, finished).await
    }

    /// Follows a run to its end; returns the tokens that it generated if it is whole.
    async fn run(self: Arc<Self>, mut run: Run, parts: Parts) -> Option<u64> {
        let outcome = self.wait_and_generate(&mut run, &parts).await;
        let mut state = self.state();
        state.runs.end(run.index, outcome);
        let generated_tokens = state.runs.records()[run.index].generated_tokens;
        (outcome == Outcome::Finished).then_some(generated_tokens)
    }

    async fn wait_and_generate(&self, run: &mut Run, parts: &Parts) -> Outcome {
        let priority = run.order.priority;
        let turn = self
            .state()
            .runs
            .enter(run.index, priority, self.options.batch);
        if let Some(turn) = turn {
            let stopped = tokio::select! {
                _ = turn => None,
                outcome = run.interrupted(parts) => Some(outcome),
            };
            if let Some(outcome) = stopped {
                self.state().runs.give_up(run.index, priority);
                return outcome;
            }
        }
        let outcome = self.generate(run, parts).await;
        self.state().runs.leave();
        outcome
    }

    async fn generate(&self, run: &mut Run, parts: &Parts) -> Outcome {
        let prompt_tokens = text::count_tokens(&run.order.prompt);
        let mut wait_us = prompt_tokens * self.options.prompt_us_per_token;
        for index in run.order.resumed_tokens()..run.order.max_tokens {
            wait_us += self.token_us();
            tokio::select! {
                biased;
                outcome = run.interrupted(parts) => return outcome,
                () = sleep(Duration::from_micros(wait_us)) => {}
            }
            wait_us = 0;
            if self.crash_if_due(run, index) {
                return Outcome::Crashed;
            }
            let token = text::token(&run.source, &run.order.prompt, index);
            self.state().runs.count_token(run.index);
            if parts.send(token).is_err() {
                return Outcome::Cancelled;
            }
        }
        Outcome::Finished
    }

    fn token_us(&self) -> u64 {
        let state = self.state();
        let running = u64::from(state.runs.running());
        let slow_us = state.faults.slow_ms * 1_000;
        self.options.token_us + self.options.token_us_per_running * running + slow_us
    }

    fn crash_if_due(&self, run: &Run, index: u64) -> bool {
        let mut state = self.state();
        let faults = &state.faults;
        let is_due = !faults.crash_on_prompt.is_empty()
            && run.order.prompt.contains(&faults.crash_on_prompt)
            && index >= run.order.resumed_tokens() + faults.crash_after_tokens;
        if is_due {
            self.crash(&mut state);
        }
        is_due
    }

    fn crash(&self, state: &mut State) {
        if self.options.exit_on_crash {
            std::process::exit(1);
        }
        state.restart();
        self.loaded.notify_waiters();
    }

    /// Cancels a run; the answer is sent once it is over.
    async fn cancel(&self, id: &str) -> Reply {
        let fits = |record: &RunRecord| &*record.request_id == id;
        let count = self.state().runs.stop(Outcome::Cancelled, fits);
        while self.state().runs.is_open(fits) {
            sleep(CANCEL_POLL).await;
        }
        reply::ok(&serde_json::json!({ "cancelled": count }))
    }

    fn control(&self, call: &Call) -> Reply {
        match (&call.method, call.segments().as_slice()) {
            (&Method::PUT, ["control", "faults"]) => self.set_faults(call),
            (&Method::GET, ["control", "record"]) => reply::ok(&self.state().record()),
            _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn set_faults(&self, call: &Call) -> Reply {
        let Some(faults) = call.json::<Faults>() else {
            return reply::error(StatusCode::BAD_REQUEST, "no such faults");
        };
        self.network.set_silent(faults.silent);
        if faults.silence_open {
            self.network.silence_open();
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

    fn finish_load(&mut self, handle: &Name, boot: u64, is_read: bool) -> StatusCode {
        if boot != self.boot {
            return StatusCode::BAD_GATEWAY;
        }
        let is_failed = self.faults.fail_loads > 0;
        self.faults.fail_loads = self.faults.fail_loads.saturating_sub(1);
        if is_failed || !is_read {
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
        if self.runs.uses(handle) {
            let violation = format!("unloaded {handle} while it was in use");
            self.violations.push(violation);
            self.runs
                .stop(Outcome::Evicted, |record| record.handle == *handle);
        }
        StatusCode::OK
    }

    fn start_run(&mut self, order: Order, call: &Call) -> Option<Run> {
        let slot = self.slots.get(&*order.handle)?;
        if slot.is_loading {
            return None;
        }
        let source = slot.source.clone();
        let resumed_tokens = order.resumed_tokens();
        if order.resume_text != text::answer(&source, &order.prompt, resumed_tokens) {
            let violation = format!("a run on {source} resumed after another text");
            self.violations.push(violation);
        }
        let id: Name = call.header("x-request-id").into();
        let record = RunRecord {
            request_id: id.clone(),
            handle: order.handle.as_str().into(),
            source: source.clone(),
            prompt: order.prompt.clone(),
            headers: call.header_list(),
            boot: self.boot,
            started_ms: unix_ms(),
            ended_ms: None,
            outcome: Outcome::Running,
            resumed_tokens,
            generated_tokens: 0,
        };
        let (index, stopped) = self.runs.start(record);
        Some(Run {
            order,
            id,
            source,
            index,
            stopped,
        })
    }

    /// Starts again with empty memory.
    fn restart(&mut self) {
        self.boot += 1;
        self.fencing = 0;
        self.slots.clear();
        self.runs.stop(Outcome::Crashed, |_| true);
        self.down_until_ms = unix_ms() + self.faults.down_ms;
        self.report = self.current_report();
    }
}

impl Run {
    /// Waits until the run is stopped or its caller is gone.
    async fn interrupted(&mut self, parts: &Parts) -> Outcome {
        tokio::select! {
            stopped = self.stopped.wait_for(Option::is_some) => {
                stopped.ok().and_then(|outcome| *outcome).unwrap_or(Outcome::Crashed)
            }
            () = parts.closed() => Outcome::Cancelled,
        }
    }
}

type Finished = tokio::task::JoinHandle<Option<u64>>;

fn events(
    id: Name,
    order: Order,
    received: mpsc::UnboundedReceiver<String>,
    finished: Finished,
) -> impl futures::Stream<Item = Result<Bytes, Closed>> {
    stream::unfold(Some((id, order, received, finished)), async |state| {
        let (id, order, mut received, finished) = state?;
        if let Some(token) = received.recv().await {
            let event = order.token_event(&id, &token);
            return Some((Ok(event), Some((id, order, received, finished))));
        }
        let Ok(Some(generated_tokens)) = finished.await else {
            return Some((Err(Closed), None));
        };
        let usage = order.usage(generated_tokens);
        Some((Ok(order.end_events(&id, usage)), None))
    })
}

async fn collect(
    id: &str,
    order: &Order,
    mut received: mpsc::UnboundedReceiver<String>,
    finished: Finished,
) -> Reply {
    let mut text = String::new();
    while let Some(token) = received.recv().await {
        text.push_str(&token);
    }
    let generated_tokens = finished.await.ok().flatten().ok_or(Closed)?;
    let usage = order.usage(generated_tokens);
    reply::ok(&order.whole(id, &text, usage))
}

fn fencing(call: &Call) -> u64 {
    call.header(FENCING_HEADER).parse().unwrap_or_default()
}

fn answer_order(status: StatusCode) -> Reply {
    if status.is_success() {
        return reply::ok(&Value::Null);
    }
    reply::error(status, "order not carried out")
}
