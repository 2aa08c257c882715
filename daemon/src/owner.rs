//! A backend server that this instance owns: its request queue and the adapters loaded on it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosabay_backend::Engine;
use mimosabay_core::handle::Handle;
use mimosabay_core::name::{AdapterVersion, Name};
use mimosabay_core::queue::{
    Action, Eviction, Order, QueueSettings, ServerLimits, ServerQueue, Ticket, WaitingRequest,
};
use mimosabay_core::request::{Code, Refusal, Request};
use mimosabay_core::resource::BackendServer;
use mimosabay_core::takeover::Takeover;
use mimosabay_operator::settings::PolicySettings;
use mimosabay_operator::{EvictionPolicy, QueuePolicy};
use tokio::sync::{oneshot, watch};
use tokio::time::interval;

use crate::check;
use crate::dispatch_permit::{DispatchPermit, Grant, QueueEntry};
use crate::instance::Instance;
use crate::monitor;
use crate::orders;

/// Low bits of a load number that count loads; the time of the takeover stands above them.
const LOAD_NUMBER_BITS: u32 = 20;
/// Time between two checks of the configuration's freshness while a request waits.
const FRESHNESS_CHECK_PERIOD_MS: u64 = 250;
/// Time between two ticks of the queues.
const TICK_PERIOD_MS: u64 = 50;

/// A backend server that this instance dispatches to.
pub struct OwnedServer {
    /// Name of the backend server.
    pub name: Name,
    /// Address of the engine, as configured when this instance took the server over.
    pub address: Name,
    /// Adapter slots and batch size.
    pub limits: ServerLimits,
    /// Client of the engine.
    pub engine: Engine,
    /// Whether the engine rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// Fencing number of the claim in force; `None` before the first claim, and after the server
    /// has rejected the number or has restarted.
    pub claim: tokio::sync::Mutex<Option<u64>>,
    /// Whether the engine answers report requests.
    pub is_responsive: watch::Sender<bool>,
    /// Queue and adapter handles.
    pub state: Mutex<OwnedState>,
}

/// Queue and adapter handles of an owned server.
pub struct OwnedState {
    /// Waiting and running requests, and loaded adapters.
    pub queue: ServerQueue,
    /// Whether this instance has released the server. Invariant: nothing runs once it is set.
    pub is_released: bool,
    /// Handle of each adapter that is loaded or being loaded.
    pub handles: HashMap<AdapterVersion, Name>,
    /// Fencing number that orders carry. Invariant: never decreases.
    pub fencing: u64,
    /// Decides what happens to adapters that other owners loaded.
    pub takeover: Takeover,
    /// Start number of the engine; a changed number means that the engine restarted and lost its
    /// adapters. 0 before the first report.
    pub boot: u64,
    /// Number of the last load; each load has its own, so that no handle is used twice. Invariant:
    /// unique in the process, also after the server was released and taken over again.
    pub last_load_number: u64,
    grant_senders: HashMap<Ticket, oneshot::Sender<Result<Grant, Refusal>>>,
    next_ticket: Ticket,
}

/// Ticks the queues of all owned servers until the process ends.
pub async fn run_ticks(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(TICK_PERIOD_MS);
    while ticks.recv().await.is_some() {
        for server in instance.owned_servers() {
            server.update_queue(&instance, ServerQueue::tick);
        }
    }
}

impl OwnedServer {
    /// Returns the owned server, creating it and starting its monitor on first use.
    ///
    /// # Errors
    ///
    /// A refusal if the server is leaving or does not answer.
    pub(crate) fn find_or_start(
        instance: &Arc<Instance>,
        name: &Name,
    ) -> Result<Arc<Self>, Refusal> {
        let spec = instance.with_config(|config| config.server(name).cloned());
        let Some(spec) = spec.filter(|spec| !spec.leaving) else {
            return Err(check::no_server_refusal("the backend server is leaving"));
        };
        let server = lock_owned_servers(instance)
            .entry(name.clone())
            .or_insert_with(|| Self::start(instance, name.clone(), &spec))
            .clone();
        if *server.is_responsive.borrow() {
            Ok(server)
        } else {
            Err(check::no_server_refusal(
                "the backend server does not answer",
            ))
        }
    }

    fn start(instance: &Arc<Instance>, name: Name, spec: &BackendServer) -> Arc<Self> {
        let server = Arc::new(Self::new(instance, name, spec));
        let (weak_instance, weak_server) = (Arc::downgrade(instance), Arc::downgrade(&server));
        tokio::spawn(monitor::run(weak_instance, weak_server));
        server
    }

    /// Whether the configured address and limits are those of the takeover and the server is not
    /// leaving.
    pub fn matches_spec(&self, spec: &BackendServer) -> bool {
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
            last_load_number: instance.now_ms() << LOAD_NUMBER_BITS,
            grant_senders: HashMap::new(),
            next_ticket: 0,
        };
        Self {
            name,
            address: spec.address.clone(),
            limits,
            engine: Engine::new(instance.http.clone(), &spec.address),
            checks_fencing: spec.checks_fencing,
            claim: tokio::sync::Mutex::new(None),
            is_responsive: watch::Sender::new(true),
            state: Mutex::new(state),
        }
    }

    /// Handles a server's report that an adapter is not loaded. Does nothing if the adapter has
    /// been loaded under another handle since.
    pub(crate) fn on_handle_missing(
        self: &Arc<Self>,
        instance: &Instance,
        model: &AdapterVersion,
        handle: &Name,
    ) {
        {
            let mut state = self.state.lock().expect("owned server lock");
            if state.handles.get(model) != Some(handle) {
                return;
            }
            state.handles.remove(model);
        }
        self.update_queue(instance, |queue, now_ms| {
            queue.on_adapter_lost(model, now_ms)
        });
    }

    /// Fencing number for orders.
    pub fn fencing(&self) -> u64 {
        self.state.lock().expect("owned server lock").fencing
    }

    /// Start number of the engine in its last report.
    pub fn boot(&self) -> u64 {
        self.state.lock().expect("owned server lock").boot
    }

    /// Removes a request from the queue; returns whether it was still waiting.
    pub(crate) fn cancel(&self, ticket: Ticket) -> bool {
        let mut state = self.state.lock().expect("owned server lock");
        state.grant_senders.remove(&ticket);
        state.queue.cancel(ticket)
    }

    /// Refuses all waiting requests; running requests continue.
    pub fn refuse_waiting(&self) {
        let mut state = self.state.lock().expect("owned server lock");
        let grant_senders = std::mem::take(&mut state.grant_senders);
        for (ticket, grant_sender) in grant_senders {
            state.queue.cancel(ticket);
            let _ = grant_sender.send(Err(check::not_owner_refusal()));
        }
    }

    /// Calls `change` on the queue under the lock and applies the actions that it returns.
    pub fn update_queue(
        self: &Arc<Self>,
        instance: &Instance,
        change: impl FnOnce(&mut ServerQueue, u64) -> Vec<Action>,
    ) {
        let now_ms = instance.now_ms();
        let mut state = self.state.lock().expect("owned server lock");
        let actions = change(&mut state.queue, now_ms);
        for order in state.apply_actions(self, instance, actions) {
            instance.workers.submit(order);
        }
    }

    /// Queues the request and waits until it may be sent to the server.
    pub(crate) async fn wait_for_permit(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        request: &Request,
        model: &AdapterVersion,
        deadline_ms: u64,
    ) -> Result<DispatchPermit, Refusal> {
        let (ticket, grant_receiver) = self.enqueue(instance, request, model, deadline_ms)?;
        let queue_entry = QueueEntry {
            instance: instance.clone(),
            server: self.clone(),
            ticket,
            is_waiting: true,
        };
        let grant = wait_for_grant(instance, self, request, grant_receiver).await?;
        Ok(queue_entry.into_permit(grant, request.id.clone()))
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
        let (sender, grant_receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.state.lock().expect("owned server lock");
            if state.is_released {
                return Err(check::not_owner_refusal());
            }
            state.next_ticket += 1;
            let ticket = state.next_ticket;
            state.grant_senders.insert(ticket, sender);
            ticket
        };
        let waiting = WaitingRequest {
            ticket,
            organisation: request.organisation.clone(),
            weight,
            model: model.clone(),
            cost_tokens: request.work.cost_tokens(),
            deadline_ms,
        };
        self.update_queue(instance, |queue, now_ms| queue.enqueue(waiting, now_ms));
        Ok((ticket, grant_receiver))
    }
}

impl OwnedState {
    /// Notifies granted and refused requests, and returns the orders for the server.
    fn apply_actions(
        &mut self,
        server: &Arc<OwnedServer>,
        instance: &Instance,
        actions: Vec<Action>,
    ) -> Vec<orders::Order> {
        let mut orders = Vec::new();
        let mut handles_to_unload = Vec::new();
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
                Action::Evict { model } => handles_to_unload.extend(self.handles.remove(&model)),
                Action::Load { model } => {
                    let handle = self.new_handle(instance, &model);
                    let unload = std::mem::take(&mut handles_to_unload);
                    orders.push(orders::Order::Load {
                        server: server.clone(),
                        model,
                        handle,
                        unload,
                    });
                }
            }
        }
        if !handles_to_unload.is_empty() {
            orders.push(orders::Order::Unload {
                server: server.clone(),
                handles: handles_to_unload,
            });
        }
        orders
    }

    /// Discards the handles of loaded adapters after an engine restart. Loads in progress keep
    /// theirs: each still completes or fails, and the queue starts a failed one again.
    pub fn discard_loaded_handles(&mut self) {
        let queue = &self.queue;
        self.handles.retain(|model, _| queue.is_loading(model));
    }

    fn grant(&mut self, ticket: Ticket, priority: i32) {
        let Some(grant_sender) = self.grant_senders.remove(&ticket) else {
            return;
        };
        let handle = self
            .queue
            .running_model(ticket)
            .and_then(|model| self.handles.get(model));
        let handle = handle
            .expect("a dispatched request has a loaded adapter")
            .clone();
        // If the receiver was dropped, dropping its `QueueEntry` frees the position in the batch.
        let _ = grant_sender.send(Ok(Grant { handle, priority }));
    }

    fn refuse(&mut self, ticket: Ticket, code: Code, retry_after_ms: u64) {
        if let Some(grant_sender) = self.grant_senders.remove(&ticket) {
            let refusal = Refusal::not_run(code, "refused by the queue of the backend server");
            let _ = grant_sender.send(Err(refusal.retry_after_ms(retry_after_ms)));
        }
    }

    fn new_handle(&mut self, instance: &Instance, model: &AdapterVersion) -> Name {
        self.last_load_number += 1;
        let loader = instance.id.clone();
        let handle = Handle {
            model: model.clone(),
            loader,
            number: self.last_load_number,
        }
        .name();
        self.handles.insert(model.clone(), handle.clone());
        handle
    }
}

fn lock_owned_servers(
    instance: &Instance,
) -> std::sync::MutexGuard<'_, HashMap<Name, Arc<OwnedServer>>> {
    instance
        .tables
        .owned_servers
        .lock()
        .expect("owned servers lock")
}

/// Waits for the grant while the configuration is fresh, the key is valid, and the server is
/// responsive and not leaving.
async fn wait_for_grant(
    instance: &Instance,
    server: &OwnedServer,
    request: &Request,
    mut grant_receiver: oneshot::Receiver<Result<Grant, Refusal>>,
) -> Result<Grant, Refusal> {
    let mut config_changed = instance.config_changed.subscribe();
    let mut is_responsive = server.is_responsive.subscribe();
    let mut freshness_checks = interval(Duration::from_millis(FRESHNESS_CHECK_PERIOD_MS));
    loop {
        tokio::select! {
            _ = freshness_checks.tick() => check::ensure_fresh(instance)?,
            result = &mut grant_receiver => {
                return result.unwrap_or_else(|_| {
                    Err(check::no_server_refusal("the queue of the backend server was closed"))
                });
            }
            _ = is_responsive.wait_for(|is_responsive| !is_responsive) => {
                return Err(check::no_server_refusal("the backend server does not answer"));
            }
            _ = config_changed.changed() => {
                check::ensure_key_valid(instance, request)?;
                check::ensure_not_leaving(instance, server)?;
            }
        }
    }
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
