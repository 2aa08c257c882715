//! The part of an instance that dispatches to the backend servers it owns.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosabay_backend::Engine;
use mimosabay_core::admission;
use mimosabay_core::handle::Handle;
use mimosabay_core::name::{AdapterVersion, Name};
use mimosabay_core::queue::{
    Action, Eviction, Order, QueueSettings, ServerLimits, ServerQueue, Ticket, Waiting,
};
use mimosabay_core::request::{Code, Ran, Refusal, Repeat, Request, RunEvent, Usage, Work};
use mimosabay_core::resource::BackendServer;
use mimosabay_core::takeover::Takeover;
use mimosabay_operator::settings::PolicySettings;
use mimosabay_operator::{EvictionPolicy, QueuePolicy};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::interval;

use crate::dispatch;
use crate::instance::Instance;
use crate::journal;
use crate::monitor;
use crate::orders;
use crate::takeover;

/// Events that are buffered between the owner and the reader of a run.
const EVENT_BUFFER: usize = 64;
/// When a repeat is worth trying after a refusal that another instance or server may not give.
const RETRY_AFTER_MS: u64 = 500;
/// Bits of a load number below the time at which the server was taken over.
const LOAD_NUMBER_BITS: u32 = 20;
/// Time between two looks at whether a waiting request may still run.
const FRESH_CHECK_PERIOD_MS: u64 = 250;
/// Time between two ticks of the queues.
const TICK_PERIOD_MS: u64 = 50;

/// A backend server that this instance dispatches to.
pub struct OwnedServer {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: Name,
    /// What it can hold and run.
    pub limits: ServerLimits,
    /// Client for it.
    pub engine: Engine,
    /// Whether it rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// Fencing number of the claim in force; `None` before the first one, and after another owner
    /// was found to have made a later one.
    pub claim: tokio::sync::Mutex<Option<u64>>,
    /// Whether it answers.
    pub answers: watch::Sender<bool>,
    /// Its queue and what belongs to it.
    pub state: Mutex<OwnedState>,
}

/// Queue of an owned server and what belongs to it.
pub struct OwnedState {
    /// Which requests run and which adapters are held.
    pub queue: ServerQueue,
    /// Whether this instance has let go of the server for good. Invariant: nothing runs then.
    pub is_released: bool,
    /// Handle of each adapter that is loaded or being loaded.
    pub handles: HashMap<AdapterVersion, Name>,
    /// Fencing number of this owner. Invariant: only grows.
    pub fencing: u64,
    /// What was found in the server.
    pub takeover: Takeover,
    /// Start number of the engine; another one means that its memory was lost.
    pub boot: u64,
    /// Number of the last load, so that no handle is used twice. Invariant: unique in the process,
    /// also after the server was released and taken over again.
    pub loads: u64,
    turns: HashMap<Ticket, oneshot::Sender<Result<Grant, Refusal>>>,
    next_ticket: Ticket,
}

/// A run on a server that this instance owns.
pub struct LocalRun {
    events: mpsc::Receiver<RunEvent>,
    task: JoinHandle<()>,
    repeat: Repeat,
}

/// How a run at the server ended.
#[derive(Clone, Copy)]
enum Ended {
    /// It used this many tokens.
    Whole { used_tokens: u64 },
    /// It never began.
    NotRun,
    /// It may still be running.
    InDoubt,
}

/// What the queue says when it is a request's turn.
struct Grant {
    handle: Name,
    /// Priority at the engine.
    priority: i32,
}

/// The right to send one request to the server. Dropping it frees the place in the batch.
struct Turn {
    instance: Arc<Instance>,
    server: Arc<OwnedServer>,
    ticket: Ticket,
    grant: Grant,
    request_id: Name,
    /// How the run ended.
    ended: Ended,
}

/// A request in the queue. Dropping it takes the request out.
struct Place {
    instance: Arc<Instance>,
    server: Arc<OwnedServer>,
    ticket: Ticket,
    waiting: bool,
}

/// Runs a request on a server that this instance owns.
pub fn run(instance: &Arc<Instance>, server: Name, request: Request) -> LocalRun {
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    let repeat = request.repeat;
    let task = tokio::spawn(run_to_end(instance.clone(), server, request, sender));
    LocalRun {
        events,
        task,
        repeat,
    }
}

/// Ticks the queues until the process ends.
pub async fn run_ticks(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(TICK_PERIOD_MS);
    while ticks.recv().await.is_some() {
        for server in instance.owned_servers() {
            server.visit(&instance, ServerQueue::tick);
        }
    }
}

impl LocalRun {
    /// The next event; `None` after the last one.
    pub async fn next(&mut self) -> Option<RunEvent> {
        self.events.recv().await
    }
}

impl Drop for LocalRun {
    fn drop(&mut self) {
        // Work that may not be repeated runs to its end, so that its outcome is recorded.
        if self.repeat == Repeat::Idempotent {
            self.task.abort();
        }
    }
}

impl OwnedServer {
    fn start(instance: &Arc<Instance>, name: Name, spec: &BackendServer) -> Arc<Self> {
        let server = Arc::new(Self::new(instance, name, spec));
        let (weak_instance, weak_server) = (Arc::downgrade(instance), Arc::downgrade(&server));
        tokio::spawn(monitor::run(weak_instance, weak_server));
        server
    }

    /// Whether the server is still the one that was taken over.
    pub fn is_described_by(&self, spec: &BackendServer) -> bool {
        self.address == spec.address && self.limits == limits(spec) && !spec.leaving
    }

    fn new(instance: &Instance, name: Name, spec: &BackendServer) -> Self {
        let limits = limits(spec);
        let state = OwnedState {
            queue: ServerQueue::with_settings(limits, queue_settings(&instance.settings.policy)),
            is_released: false,
            handles: HashMap::new(),
            fencing: 0,
            takeover: Takeover::new(instance.id.clone(), spec.checks_fencing),
            boot: 0,
            loads: instance.now_ms() << LOAD_NUMBER_BITS,
            turns: HashMap::new(),
            next_ticket: 0,
        };
        Self {
            name,
            address: spec.address.clone(),
            limits,
            engine: Engine::new(instance.http.clone(), &spec.address),
            checks_fencing: spec.checks_fencing,
            claim: tokio::sync::Mutex::new(None),
            answers: watch::Sender::new(true),
            state: Mutex::new(state),
        }
    }

    /// The server does not hold a handle that it was thought to hold.
    fn forget(self: &Arc<Self>, instance: &Instance, model: &AdapterVersion, handle: &Name) {
        {
            let mut state = self.state.lock().expect("owned server lock");
            if state.handles.get(model) != Some(handle) {
                return;
            }
            state.handles.remove(model);
        }
        self.visit(instance, |queue, now_ms| queue.lost(model, now_ms));
    }

    /// Fencing number for orders.
    pub fn fencing(&self) -> u64 {
        self.state.lock().expect("owned server lock").fencing
    }

    /// Start number of the engine as last seen.
    pub fn boot(&self) -> u64 {
        self.state.lock().expect("owned server lock").boot
    }

    /// Turns away all that wait; what runs goes on.
    pub fn turn_away(&self) {
        let mut state = self.state.lock().expect("owned server lock");
        let turns = std::mem::take(&mut state.turns);
        for (ticket, turn) in turns {
            state.queue.cancel(ticket);
            let _ = turn.send(Err(not_owner()));
        }
    }

    /// Changes the queue and carries out what follows from it.
    pub fn visit(
        self: &Arc<Self>,
        instance: &Instance,
        change: impl FnOnce(&mut ServerQueue, u64) -> Vec<Action>,
    ) {
        let now_ms = instance.now_ms();
        let mut state = self.state.lock().expect("owned server lock");
        let actions = change(&mut state.queue, now_ms);
        for order in state.act(self, instance, actions) {
            instance.workers.submit(order);
        }
    }

    async fn turn(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        request: &Request,
        model: &AdapterVersion,
        deadline_ms: u64,
    ) -> Result<Turn, Refusal> {
        let (ticket, granted) = self.enqueue(instance, request, model, deadline_ms)?;
        let place = Place {
            instance: instance.clone(),
            server: self.clone(),
            ticket,
            waiting: true,
        };
        let grant = wait(instance, self, request, granted).await?;
        Ok(place.into_turn(grant, request.id.clone()))
    }

    fn enqueue(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        request: &Request,
        model: &AdapterVersion,
        deadline_ms: u64,
    ) -> Result<(Ticket, oneshot::Receiver<Result<Grant, Refusal>>), Refusal> {
        let weight = instance.with_config(|config| {
            config
                .organisation(&request.organisation)
                .map_or(1, |spec| spec.weight)
        });
        let (sender, granted) = oneshot::channel();
        let ticket = {
            let mut state = self.state.lock().expect("owned server lock");
            if state.is_released {
                return Err(not_owner());
            }
            state.next_ticket += 1;
            let ticket = state.next_ticket;
            state.turns.insert(ticket, sender);
            ticket
        };
        let waiting = Waiting {
            ticket,
            organisation: request.organisation.clone(),
            weight,
            model: model.clone(),
            cost_tokens: cost_tokens(request),
            deadline_ms,
        };
        self.visit(instance, |queue, now_ms| queue.enqueue(waiting, now_ms));
        Ok((ticket, granted))
    }
}

impl OwnedState {
    /// Answers those whose turn it is, and returns the orders for the server.
    fn act(
        &mut self,
        server: &Arc<OwnedServer>,
        instance: &Instance,
        actions: Vec<Action>,
    ) -> Vec<orders::Order> {
        let mut orders = Vec::new();
        let mut freed = Vec::new();
        for action in actions {
            match action {
                Action::Dispatch { ticket, priority } => self.grant(ticket, priority),
                Action::Refuse {
                    ticket,
                    code,
                    retry_after_ms,
                } => {
                    self.refuse(ticket, code, retry_after_ms);
                }
                Action::Evict { model } => freed.extend(self.handles.remove(&model)),
                Action::Load { model } => {
                    let handle = self.new_handle(instance, &model);
                    let unload = std::mem::take(&mut freed);
                    orders.push(orders::Order::Load {
                        server: server.clone(),
                        model,
                        handle,
                        unload,
                    });
                }
            }
        }
        if !freed.is_empty() {
            orders.push(orders::Order::Unload {
                server: server.clone(),
                handles: freed,
            });
        }
        orders
    }

    /// The server has lost its memory; loads under way begin anew by themselves.
    pub fn forget_loaded(&mut self) {
        let queue = &self.queue;
        self.handles.retain(|model, _| queue.is_loading(model));
    }

    fn grant(&mut self, ticket: Ticket, priority: i32) {
        let Some(turn) = self.turns.remove(&ticket) else {
            return;
        };
        let handle = self
            .queue
            .model_of(ticket)
            .and_then(|model| self.handles.get(model));
        let handle = handle
            .expect("a dispatched request has a loaded adapter")
            .clone();
        // A receiver that is gone gives the place back when its `Place` is dropped.
        let _ = turn.send(Ok(Grant { handle, priority }));
    }

    fn refuse(&mut self, ticket: Ticket, code: Code, retry_after_ms: u64) {
        if let Some(turn) = self.turns.remove(&ticket) {
            let refusal = Refusal::not_run(code, "given up in the queue of the backend server");
            let _ = turn.send(Err(refusal.retry_after_ms(retry_after_ms)));
        }
    }

    fn new_handle(&mut self, instance: &Instance, model: &AdapterVersion) -> Name {
        self.loads += 1;
        let loader = instance.id.clone();
        let handle = Handle {
            model: model.clone(),
            loader,
            number: self.loads,
        }
        .name();
        self.handles.insert(model.clone(), handle.clone());
        handle
    }
}

impl Ended {
    fn whole(usage: &Usage) -> Self {
        Self::Whole {
            used_tokens: usage.total_tokens(),
        }
    }

    fn of(refusal: &Refusal) -> Self {
        if refusal.ran == Ran::No {
            Self::NotRun
        } else {
            Self::InDoubt
        }
    }
}

impl Place {
    fn into_turn(mut self, grant: Grant, request_id: Name) -> Turn {
        self.waiting = false;
        Turn {
            instance: self.instance.clone(),
            server: self.server.clone(),
            ticket: self.ticket,
            grant,
            request_id,
            ended: Ended::InDoubt,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.waiting {
            return;
        }
        let was_waiting = {
            let mut state = self.server.state.lock().expect("owned server lock");
            state.turns.remove(&self.ticket);
            state.queue.cancel(self.ticket)
        };
        if !was_waiting {
            // The turn was granted after the request had stopped waiting for it.
            let ticket = self.ticket;
            self.server.visit(&self.instance, |queue, now_ms| {
                queue.finished(ticket, now_ms)
            });
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let ticket = self.ticket;
        let used_tokens = match self.ended {
            Ended::Whole { used_tokens } => Some(used_tokens),
            Ended::NotRun => Some(0),
            Ended::InDoubt => None,
        };
        if let Some(used_tokens) = used_tokens {
            self.server.visit(&self.instance, |queue, now_ms| {
                queue.finished_with(ticket, used_tokens, now_ms)
            });
            return;
        }
        // The place stays taken until the server has confirmed that the run is over: its adapter
        // must not be evicted before.
        let run = orders::OpenRun {
            server: self.server.clone(),
            ticket,
            request_id: self.request_id.clone(),
        };
        tokio::spawn(orders::end_run(self.instance.clone(), run));
    }
}

async fn run_to_end(
    instance: Arc<Instance>,
    server: Name,
    request: Request,
    sender: mpsc::Sender<RunEvent>,
) {
    let _open = instance.open_request();
    let last = match execute(&instance, &server, &request, &sender).await {
        Ok(usage) => RunEvent::Finished { usage },
        Err(refusal) => RunEvent::Refused { refusal },
    };
    // A reader that left needs no answer.
    let _ = sender.send(last).await;
}

async fn execute(
    instance: &Arc<Instance>,
    server: &Name,
    request: &Request,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    let deadline_ms = instance.now_ms() + request.timeout_ms;
    match &request.work {
        Work::Generate { model, .. } => {
            let owned = owned_server(instance, server)?;
            takeover::claim(instance, &owned).await?;
            let mut turn = owned.turn(instance, request, model, deadline_ms).await?;
            let dispatched = once(instance, request, deadline_ms, sender, async |sender| {
                dispatch_turn(instance, request, &turn, deadline_ms, &sender).await
            })
            .await;
            if dispatched
                .as_ref()
                .is_err_and(|refusal| refusal.code == Code::LoadFailed)
            {
                owned.forget(instance, model, &turn.grant.handle);
            }
            turn.ended = dispatched.as_ref().map_or_else(Ended::of, Ended::whole);
            dispatched
        }
        Work::Plain { .. } => {
            once(instance, request, deadline_ms, sender, async |sender| {
                check_still_wanted(instance, request, deadline_ms)?;
                dispatch::plain(instance, server, request, deadline_ms, &sender).await
            })
            .await
        }
    }
}

/// Dispatches a request, with the journal's permission if it has an idempotency key.
async fn once(
    instance: &Arc<Instance>,
    request: &Request,
    deadline_ms: u64,
    sender: &mpsc::Sender<RunEvent>,
    dispatch: impl AsyncFnOnce(mpsc::Sender<RunEvent>) -> Result<Usage, Refusal>,
) -> Result<Usage, Refusal> {
    match request.repeat {
        Repeat::Keyed => journal::run(instance, request, deadline_ms, sender, dispatch).await,
        Repeat::Idempotent | Repeat::Once => dispatch(sender.clone()).await,
    }
}

async fn dispatch_turn(
    instance: &Arc<Instance>,
    request: &Request,
    turn: &Turn,
    deadline_ms: u64,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    check_still_wanted(instance, request, deadline_ms)?;
    let order = dispatch::Order {
        request,
        handle: &turn.grant.handle,
        priority: turn.grant.priority,
        deadline_ms,
    };
    dispatch::generate(instance, &turn.server, &order, sender).await
}

fn owned_server(instance: &Arc<Instance>, name: &Name) -> Result<Arc<OwnedServer>, Refusal> {
    let spec = instance.with_config(|config| config.server(name).cloned());
    let Some(spec) = spec.filter(|spec| !spec.leaving) else {
        return Err(no_server("the backend server is leaving"));
    };
    let server = owned(instance)
        .entry(name.clone())
        .or_insert_with(|| OwnedServer::start(instance, name.clone(), &spec))
        .clone();
    if *server.answers.borrow() {
        Ok(server)
    } else {
        Err(no_server("the backend server does not answer"))
    }
}

fn owned(instance: &Instance) -> std::sync::MutexGuard<'_, HashMap<Name, Arc<OwnedServer>>> {
    instance.tables.owned.lock().expect("owned lock")
}

/// Waits for the turn, as long as the key works and the server stays.
async fn wait(
    instance: &Instance,
    server: &OwnedServer,
    request: &Request,
    mut granted: oneshot::Receiver<Result<Grant, Refusal>>,
) -> Result<Grant, Refusal> {
    let mut config_changed = instance.config_changed.subscribe();
    let mut answers = server.answers.subscribe();
    let mut fresh_checks = interval(Duration::from_millis(FRESH_CHECK_PERIOD_MS));
    loop {
        tokio::select! {
            _ = fresh_checks.tick() => check_fresh(instance)?,
            turn = &mut granted => {
                return turn.unwrap_or_else(|_| Err(no_server("the queue was given up")));
            }
            _ = answers.wait_for(|answers| !answers) => {
                return Err(no_server("the backend server does not answer"));
            }
            _ = config_changed.changed() => {
                check_key(instance, request)?;
                check_stays(instance, server)?;
            }
        }
    }
}

fn check_still_wanted(
    instance: &Instance,
    request: &Request,
    deadline_ms: u64,
) -> Result<(), Refusal> {
    check_fresh(instance)?;
    check_key(instance, request)?;
    if instance.now_ms() < deadline_ms {
        return Ok(());
    }
    let refusal = Refusal::not_run(Code::Timeout, "the deadline passed before dispatch");
    Err(refusal.retry_after_ms(RETRY_AFTER_MS))
}

/// A process that was frozen or cut off may have missed that the key was withdrawn.
///
/// # Errors
///
/// A refusal if requests must not be admitted by the configuration in force.
pub fn check_fresh(instance: &Instance) -> Result<(), Refusal> {
    if instance.is_fresh() {
        return Ok(());
    }
    let refusal = Refusal::not_run(Code::NotReady, "the configuration may be out of date");
    Err(refusal.retry_after_ms(RETRY_AFTER_MS))
}

fn check_key(instance: &Instance, request: &Request) -> Result<(), Refusal> {
    if instance.with_config(|config| admission::key_works(config, &request.key)) {
        return Ok(());
    }
    Err(Refusal::not_run(
        Code::WithdrawnKey,
        "the key has been withdrawn",
    ))
}

fn check_stays(instance: &Instance, server: &OwnedServer) -> Result<(), Refusal> {
    let stays = instance.with_config(|config| {
        config
            .server(&server.name)
            .is_some_and(|spec| !spec.leaving)
    });
    if stays {
        Ok(())
    } else {
        Err(no_server("the backend server is leaving"))
    }
}

fn not_owner() -> Refusal {
    Refusal::not_run(Code::NotOwner, "another instance owns the server")
}

fn no_server(message: &str) -> Refusal {
    Refusal::not_run(Code::NoServer, message).retry_after_ms(RETRY_AFTER_MS)
}

fn limits(spec: &BackendServer) -> ServerLimits {
    ServerLimits {
        slots: spec.slots as usize,
        batch: spec.batch as usize,
    }
}

fn queue_settings(policy: &PolicySettings) -> QueueSettings {
    QueueSettings {
        order: match policy.queue {
            QueuePolicy::Product => Order::Product,
            QueuePolicy::Fifo => Order::Fifo,
        },
        eviction: match policy.eviction {
            EvictionPolicy::Product => Eviction::Product,
            EvictionPolicy::Lru => Eviction::Lru,
        },
        ..QueueSettings::default()
    }
}

fn cost_tokens(request: &Request) -> u64 {
    match &request.work {
        Work::Generate { max_tokens, .. } => *max_tokens,
        Work::Plain { .. } => 1,
    }
}
