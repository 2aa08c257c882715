//! Placement of requests on the engines of a cell.
//!
//! One instance, the placer, decides for a cell of engines which requests go where, which adapters
//! are loaded, and whether an organisation is within its rate. Instances that take requests ask it
//! for a grant and send the request to the server themselves. What it knows is soft: a successor
//! reads it again from the servers' reports and from the instances.

mod assignment;
mod choice;
mod engine;
mod load_speed;
mod message;
mod order;
mod orders;
mod placed_request;
mod prefill_queue;
mod prefill_speed;
mod prompt_cache;
mod rates;
mod run_outcome;
mod suspects;

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::backend::Backend;
use crate::name::Name;
use crate::prompt::Prompt;
use crate::quarantine::{self, Fingerprint};
use crate::site::{self, Site};

pub use engine::AdapterKey;
pub use message::{
    AdoptedRun, Charge, EndedRun, ObservedCrash, PlacementRequest, PlacementResponse,
    QuarantineSnapshot, Refusal, RefusalReason, RunOutcome, Ticket, Update,
};
pub use order::{Order, OrderAnswer, OrderKind, Report};
pub use rates::Rates;

use engine::Engine;
use load_speed::LoadSpeed;
use placed_request::PlacedRequest;
use prefill_speed::PrefillSpeed;
use suspects::Suspects;

/// What the placer of a cell knows, and what it has decided.
#[derive(Debug)]
pub struct Cell {
    engines: BTreeMap<Name, Engine>,
    services: HashMap<Name, EngineService>,
    /// Newest versions of adapters that were released after the first.
    newest: HashMap<AdapterKey, u64>,
    rates: Rates,
    suspects: Suspects,
    load_speed: LoadSpeed,
    /// Requests that wait for their adapter.
    waiting: BTreeMap<Ticket, PlacedRequest>,
    /// Requests that were sent.
    running: HashMap<Ticket, PlacedRequest>,
    /// When each instance was last heard, by incarnation, in milliseconds.
    entries_last_seen_ms: HashMap<u64, u64>,
    /// Before this time no orders are given, in milliseconds.
    orders_from_ms: u64,
    actions: Vec<Action>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a request.
    Answer {
        /// Which one.
        ticket: Ticket,
        /// The answer.
        response: PlacementResponse,
    },
    /// Send an order to a server, and tell [`Cell::handle_order_answer`].
    Order(Order),
    /// Ask a server for a report, and tell [`Cell::handle_report`].
    RequestReport(Backend),
    /// Another placer has taken over: stop.
    StepDown,
}

#[derive(Debug)]
struct EngineService {
    spec: site::Engine,
    speed: PrefillSpeed,
    /// When loads of base models began, oldest first, in milliseconds.
    model_loads_ms: VecDeque<u64>,
}

impl Cell {
    /// A placer that gives orders from `orders_from_ms` on.
    pub fn new(orders_from_ms: u64) -> Self {
        Self {
            engines: BTreeMap::new(),
            services: HashMap::new(),
            newest: HashMap::new(),
            rates: Rates::for_placer(),
            suspects: Suspects::default(),
            load_speed: LoadSpeed::default(),
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            entries_last_seen_ms: HashMap::new(),
            orders_from_ms,
            actions: Vec::new(),
        }
    }

    /// Takes over a version of the configuration.
    pub fn configure(&mut self, site: &Site, now_ms: u64) {
        let organisations = site.organisations();
        self.rates
            .configure(organisations.map(|organisation| &**organisation), now_ms);
        for service in site.services() {
            let Some(spec) = &service.engine else {
                continue;
            };
            let entry = self
                .services
                .entry(service.name.clone())
                .or_insert_with(|| EngineService {
                    spec: spec.clone(),
                    speed: PrefillSpeed::default(),
                    model_loads_ms: VecDeque::new(),
                });
            entry.spec = spec.clone();
        }
    }

    /// A version of an adapter was released.
    pub fn record_release(&mut self, key: AdapterKey, version: u64) {
        let newest = self.newest.entry(key).or_default();
        *newest = (*newest).max(version);
    }

    /// Takes over the list of backend servers; those of plain services are ignored.
    pub fn set_backends<'a>(&mut self, list: impl Iterator<Item = &'a Backend>, now_ms: u64) {
        let mut gone: Vec<Name> = self.engines.keys().cloned().collect();
        for backend in list {
            if !self.services.contains_key(&backend.service) {
                continue;
            }
            gone.retain(|id| *id != backend.id);
            self.set_backend(backend, now_ms);
        }
        for id in gone {
            self.engines.remove(&id);
            self.reassign_waiting(&id, now_ms);
        }
        self.load_speed.set_engine_count(self.engines.len());
        self.advance(now_ms);
    }

    fn set_backend(&mut self, backend: &Backend, now_ms: u64) {
        match self.engines.get_mut(&backend.id) {
            Some(engine) if engine.backend.born_unix_ms == backend.born_unix_ms => {
                let was_ready = engine.backend.is_ready();
                engine.backend = backend.clone();
                if was_ready && !backend.is_ready() {
                    self.reassign_waiting(&backend.id, now_ms);
                }
            }
            // An entry of an earlier start arrives late.
            Some(engine) if engine.backend.born_unix_ms > backend.born_unix_ms => {}
            _ => self.restart(backend.clone(), now_ms),
        }
    }

    /// A server is there that knows nothing of before.
    fn restart(&mut self, backend: Backend, now_ms: u64) {
        let id = backend.id.clone();
        if let Some(before) = self.engines.get(&id) {
            let boot = before.backend.born_unix_ms;
            self.suspects.record_crash(&id, boot, now_ms);
        }
        self.engines
            .insert(id.clone(), Engine::new(backend, now_ms));
        self.running.retain(|_, placed| placed.server != id);
        self.reassign_waiting(&id, now_ms);
    }

    /// A request wants a place.
    pub fn request_placement(&mut self, request: PlacementRequest, now_ms: u64) {
        self.record_contact(request.ticket.entry, now_ms);
        if let Some(previous) = &request.previous {
            self.end_run(previous, now_ms);
        }
        if self.suspects.is_quarantined(request.fingerprint) {
            let refusal = Refusal {
                reason: RefusalReason::Quarantined,
                retry_after_ms: quarantine::RETRY_AFTER_MS,
            };
            self.refuse(request.ticket, refusal);
            return;
        }
        if let Some(charge) = &request.charge
            && let Err(retry_after_ms) = self.rates.charge(charge, now_ms)
        {
            let refusal = Refusal {
                reason: RefusalReason::OverRate,
                retry_after_ms,
            };
            self.refuse(request.ticket, refusal);
            return;
        }
        self.place(request, now_ms, now_ms);
        self.advance(now_ms);
    }

    /// Requests that began under the placer before.
    pub fn adopt_runs(&mut self, runs: Vec<AdoptedRun>, entry_zone: &str, now_ms: u64) {
        for run in runs {
            let Some(engine) = self.engines.get_mut(&run.server) else {
                continue;
            };
            if self.running.contains_key(&run.ticket) {
                continue;
            }
            let placed = PlacedRequest::adopted(run, entry_zone, now_ms);
            engine.add_request(&placed, now_ms);
            self.running.insert(placed.request.ticket, placed);
        }
    }

    /// Counts what plain requests have cost.
    pub fn count_charges(&mut self, charges: &[Charge], now_ms: u64) {
        for charge in charges {
            self.rates.record_cost(charge, now_ms);
        }
    }

    /// Instances have noticed crashes, and suspected requests that were answered after all.
    pub fn record_crashes(
        &mut self,
        crashes: &[ObservedCrash],
        cleared: &[Fingerprint],
        now_ms: u64,
    ) {
        for crash in crashes {
            self.suspects.record_observed_crash(crash, now_ms);
        }
        for fingerprint in cleared {
            self.suspects.clear(*fingerprint);
        }
    }

    /// Requests that ran on servers that crashed, if they have changed since the last call.
    pub fn take_quarantine_changes(&mut self) -> Option<QuarantineSnapshot> {
        self.suspects.take_quarantine_changes()
    }

    /// An instance lives.
    pub fn record_contact(&mut self, entry: u64, now_ms: u64) {
        self.entries_last_seen_ms.insert(entry, now_ms);
    }

    /// Gives no orders until then.
    pub fn hold_orders(&mut self, until_ms: u64) {
        self.orders_from_ms = self.orders_from_ms.max(until_ms);
    }

    /// Time has passed: adapters have arrived, and reports are due.
    pub fn tick(&mut self, now_ms: u64) {
        self.remove_unresponsive_entries(now_ms);
        self.advance(now_ms);
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// When [`Cell::tick`] is due next, in milliseconds, unless something happens before.
    pub fn next_due_ms(&self) -> Option<u64> {
        let engines = self.engines.values();
        let reports = engines.clone().filter_map(Engine::report_due_ms);
        reports
            .chain(engines.filter_map(Engine::next_load_due_ms))
            .min()
    }

    /// Requests that wait and that run, for metrics.
    pub fn request_counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        let response = PlacementResponse::Refused(refusal);
        self.actions.push(Action::Answer { ticket, response });
    }

    fn refund(&mut self, request: &PlacementRequest, now_ms: u64) {
        if let Some(charge) = &request.charge {
            self.rates.refund(charge, now_ms);
        }
    }

    fn release(&mut self, placed: &PlacedRequest, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(&placed.server) {
            engine.remove_request(placed, now_ms);
        }
    }

    fn newest_of(&self, prompt: &Prompt) -> Option<u64> {
        self.newest.get(&prompt.adapter_key()?).copied()
    }

    fn loads_under_way(&self) -> usize {
        self.engines.values().map(Engine::loads_under_way).sum()
    }
}
