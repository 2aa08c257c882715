//! Placement of requests on the engines of a cell.
//!
//! One instance, the placer, decides for the engines of a cell where requests run, which adapters
//! are loaded, and whether an organisation is within its rate. Entry instances request a placement
//! and then send the request to the server themselves. The placer's state is not persistent: a
//! successor rebuilds it from the servers' reports and from the instances' updates.

mod adapter_map;
mod assignment;
mod choice;
mod engine;
mod engine_pace;
mod limited;
mod load_queue;
mod load_speed;
mod message;
mod order;
mod orders;
mod placed_request;
mod prefill_queue;
mod prefill_speed;
mod prompt_cache;
mod rates;
mod recent_adapters;
mod run_outcome;
mod streams;
mod suspects;
mod unserved;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::backend::Backend;
use crate::dropped_evidence::DroppedEvidence;
use crate::name::Name;
use crate::prompt::Prompt;
use crate::quarantine::{self, Quarantine};
use crate::server_rates::{ServerRates, ServerStart};
use crate::server_starts::{ServerStarts, StartPolicy};
use crate::site::{self, Site};
use crate::slow_start::ServerAnswer;
use crate::work::Work;

pub use engine::AdapterKey;
pub use message::{
    AdoptedRun, Charge, EndedRun, PermitRequest, PermitResponse, PlacementRequest,
    PlacementResponse, Refusal, RefusalReason, RunOutcome, Ticket, Update,
};
pub use order::{Order, OrderAnswer, OrderKind, Report};
pub use rates::Rates;

use engine::{Engine, ReportState};
use engine_pace::PauseLimit;
use limited::LimitedRequests;
use load_queue::LoadQueue;
use load_speed::LoadSpeed;
use placed_request::PlacedRequest;
use prefill_speed::PrefillSpeed;
use streams::Streams;
use suspects::Suspects;
use unserved::Unserved;

/// State and pending actions of the placer of a cell.
#[derive(Debug)]
pub struct Cell {
    engines: BTreeMap<Name, Engine>,
    services: HashMap<Name, EngineService>,
    /// Newest versions of adapters that have been released since the first version.
    newest: HashMap<AdapterKey, u64>,
    rates: Rates,
    suspects: Suspects,
    /// Limits that servers state.
    server_rates: ServerRates,
    /// Servers that have started or recovered.
    server_starts: ServerStarts,
    /// How the servers of each service begin.
    start_policies: HashMap<Name, StartPolicy>,
    /// Requests that wait until a server with a limit may be sent another one.
    limited: LimitedRequests,
    /// Requests that wait until some engine can take them.
    unserved: Unserved,
    /// Software versions at which streams began.
    streams: Streams,
    load_speed: LoadSpeed,
    load_queue: LoadQueue,
    /// Requests that wait for their adapter.
    waiting: BTreeMap<Ticket, PlacedRequest>,
    /// Requests that have been sent to a server.
    running: HashMap<Ticket, PlacedRequest>,
    /// Time of the last message from each instance by incarnation, in milliseconds.
    entries_last_seen_ms: HashMap<u64, u64>,
    /// Time before which no orders are sent, in milliseconds.
    orders_from_ms: u64,
    actions: Vec<Action>,
}

/// An action for the caller of [`Cell`] to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a placement request.
    Answer {
        /// Identifies the attempt.
        ticket: Ticket,
        /// The answer.
        response: PlacementResponse,
    },
    /// Answer a request for a permit.
    Permit {
        /// Identifies the request.
        ticket: Ticket,
        /// The answer.
        response: PermitResponse,
    },
    /// Send an order to a server and pass its answer to [`Cell::handle_order_answer`].
    Order(Order),
    /// Request a report from a server and pass it to [`Cell::handle_report`].
    RequestReport(Backend),
    /// Stop, because another placer has taken over.
    StepDown,
}

/// What a placer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellStatus {
    /// Engines.
    pub engines: usize,
    /// Engines whose content a report has confirmed.
    pub confirmed: usize,
    /// Engines that were asked for a report and have not answered yet.
    pub reports_requested: usize,
    /// Adapters that engines hold or load.
    pub adapters: usize,
    /// Requests that wait for their adapter.
    pub waiting: usize,
    /// Requests that were sent to a server.
    pub running: usize,
    /// Adapter loads planned or in progress that share the bandwidth of the weight store.
    pub loads: usize,
    /// Estimated duration of an adapter load with few others in progress, in milliseconds.
    pub load_ms: u64,
    /// Estimated number of concurrent adapter loads beyond which each takes longer.
    pub full_speed_loads: u64,
}

#[derive(Debug)]
struct EngineService {
    spec: site::Engine,
    speed: PrefillSpeed,
    /// Whether its servers say how long work takes there, as they share their machines.
    is_uneven: bool,
    /// Pauses that the callers of its routes accept; `None` if no route states any.
    pause_limit: Option<PauseLimit>,
    /// Start times of base model loads, oldest first, in milliseconds.
    model_loads_ms: VecDeque<u64>,
}

impl Cell {
    /// Creates a placer that sends orders from `orders_from_ms` on.
    pub fn new(orders_from_ms: u64) -> Self {
        Self {
            engines: BTreeMap::new(),
            services: HashMap::new(),
            newest: HashMap::new(),
            rates: Rates::for_placer(),
            suspects: Suspects::default(),
            server_rates: ServerRates::for_placer(),
            server_starts: ServerStarts::default(),
            start_policies: HashMap::new(),
            limited: LimitedRequests::default(),
            unserved: Unserved::default(),
            streams: Streams::default(),
            load_speed: LoadSpeed::default(),
            load_queue: LoadQueue::default(),
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            entries_last_seen_ms: HashMap::new(),
            orders_from_ms,
            actions: Vec::new(),
        }
    }

    /// Applies a version of the configuration.
    pub fn configure(&mut self, site: &Site, now_ms: u64) {
        let organisations = site.organisations();
        self.rates
            .configure(organisations.map(|organisation| &**organisation), now_ms);
        self.start_policies = site.start_policies();
        if site.features.queues_requests {
            self.rank_loads();
            self.rates.admit_all_sizes();
        }
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
                    is_uneven: false,
                    pause_limit: None,
                    model_loads_ms: VecDeque::new(),
                });
            entry.spec = spec.clone();
            entry.pause_limit = site
                .shortest_max_pause_ms(&service.name)
                .map(|max_pause_ms| PauseLimit {
                    max_pause_ms: max_pause_ms as f64,
                    steps_per_event: f64::from(spec.tokens_per_event),
                });
        }
    }

    /// Records that the servers of a service say how long work takes there. Their speeds and the pauses
    /// of their streams then count in the choice.
    pub fn mark_uneven(&mut self, service: &Name) {
        if let Some(service) = self.services.get_mut(service) {
            service.is_uneven = true;
        }
        self.rank_loads();
    }

    /// Records that a version of an adapter has been released.
    pub fn record_release(&mut self, key: AdapterKey, version: u64) {
        let newest = self.newest.entry(key).or_default();
        *newest = (*newest).max(version);
    }

    /// Replaces the list of backend servers; those of plain services are ignored.
    pub fn set_backends<'a>(&mut self, list: impl Iterator<Item = &'a Backend>, now_ms: u64) {
        let list: Vec<&Backend> = list.collect();
        self.observe_starts(&list, now_ms);
        let mut listed = HashSet::new();
        for backend in list {
            if !self.services.contains_key(&backend.service) {
                continue;
            }
            listed.insert(backend.id.clone());
            self.set_backend(backend, now_ms);
        }
        let known = self.engines.keys();
        let removed: Vec<Name> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in removed {
            self.engines.remove(&id);
            self.reassign_waiting(&id, now_ms);
        }
        self.load_speed.set_engine_count(self.engines.len());
        self.observe_software_versions(now_ms);
        self.advance(now_ms);
    }

    fn set_backend(&mut self, backend: &Backend, now_ms: u64) {
        match self.engines.get_mut(&backend.id) {
            Some(engine) if engine.backend.started_unix_ms == backend.started_unix_ms => {
                let was_ready = engine.backend.is_ready();
                engine.backend = backend.clone();
                if backend.is_evacuated {
                    engine.cancel_planned();
                }
                if was_ready && !backend.is_ready() {
                    self.reassign_waiting(&backend.id, now_ms);
                }
            }
            // An entry of an earlier start of the server arrived late.
            Some(engine) if engine.backend.started_unix_ms > backend.started_unix_ms => {}
            _ => self.replace_restarted_engine(backend.clone(), now_ms),
        }
    }

    /// Begins the slow start of servers that have started or recovered.
    fn observe_starts(&mut self, list: &[&Backend], now_ms: u64) {
        let policies = &self.start_policies;
        let policy_of = |service: &Name| policies.get(service).copied();
        let starts = self
            .server_starts
            .observe(list.iter().copied(), policy_of, now_ms);
        for start in starts {
            self.server_rates.start_slowly(&start, now_ms);
        }
    }

    /// Takes over slow starts that the placer's own process has observed.
    pub fn adopt_slow_starts<'a>(
        &mut self,
        starts: impl Iterator<Item = ServerStart<'a>>,
        now_ms: u64,
    ) {
        for start in starts {
            self.server_rates.start_slowly(&start, now_ms);
        }
    }

    /// Adapts the paces of servers that have just started to their answers.
    pub fn record_server_answers(&mut self, answers: &[ServerAnswer], now_ms: u64) {
        for it in answers {
            self.server_rates
                .record_answer(&it.server, it.boot, it.sign, now_ms);
        }
    }

    /// Ends slow starts. Returns the servers that count as fully started, with their last rate in
    /// requests a second.
    pub fn end_slow_starts(&mut self, now_ms: u64) -> Vec<(Name, f64)> {
        self.server_rates.end_slow_starts(now_ms)
    }

    /// Replaces the state of a server that has restarted and holds nothing of before.
    fn replace_restarted_engine(&mut self, backend: Backend, now_ms: u64) {
        let id = backend.id.clone();
        if let Some(before) = self.engines.get(&id) {
            let boot = before.backend.started_unix_ms;
            self.suspects.record_crash(&id, boot, now_ms);
        }
        let mut engine = Engine::new(backend, now_ms);
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|(_, placed)| placed.server == id);
        engine.tickets = waiting.map(|(ticket, _)| *ticket).collect();
        self.engines.insert(id.clone(), engine);
        self.running.retain(|_, placed| placed.server != id);
        self.reassign_waiting(&id, now_ms);
    }

    /// Assigns a request to an engine or refuses it.
    pub fn request_placement(&mut self, request: PlacementRequest, now_ms: u64) {
        self.record_contact(request.ticket.entry, now_ms);
        if let Some(previous) = &request.previous {
            self.end_run(previous, now_ms);
        }
        if self.refuse_quarantined(&request) {
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
        if let Some(request) = self.require_version(request, now_ms) {
            self.place(request, now_ms, now_ms);
        }
        self.advance(now_ms);
    }

    /// Permits one run of a request under quarantine if a trial is due; returns whether it is.
    pub fn try_start_trial(&mut self, work: &Work, now_ms: u64) -> bool {
        self.suspects.try_start_trial(work, now_ms)
    }

    /// Adds requests that were assigned by the previous placer.
    pub fn adopt_runs(&mut self, runs: Vec<AdoptedRun>, entry_zone: &str, now_ms: u64) {
        for run in runs {
            let Some(engine) = self.engines.get_mut(&run.server) else {
                continue;
            };
            if self.running.contains_key(&run.ticket) {
                continue;
            }
            let placed = PlacedRequest::from_adopted(run, entry_zone, now_ms);
            engine.add_request(&placed, now_ms);
            self.running.insert(placed.request.ticket, placed);
        }
    }

    /// Charges organisations for plain requests.
    pub fn count_charges(&mut self, charges: &[Charge], now_ms: u64) {
        for charge in charges {
            self.rates.record_cost(charge, now_ms);
        }
    }

    /// Sets the Unix time at time 0 of the times given as `now_ms`, in milliseconds. Crashes and
    /// answers are compared with those of other instances by it.
    pub fn set_epoch(&mut self, epoch_unix_ms: u64) {
        self.suspects.set_epoch(epoch_unix_ms);
    }

    /// Merges evidence of crashes from an instance or from an earlier placer.
    pub fn merge_quarantine(&mut self, quarantine: &Quarantine) {
        self.suspects.merge(quarantine);
    }

    /// Returns the evidence against work with several crashes, as far as it has changed since the last
    /// call.
    pub fn take_quarantine_changes(&mut self) -> Option<Quarantine> {
        self.suspects.take_changes()
    }

    /// Takes the counts of what was dropped of the evidence of crashes since the last call.
    pub fn take_dropped_evidence(&mut self) -> DroppedEvidence {
        self.suspects.take_dropped()
    }

    /// Records that an instance has been in contact.
    pub fn record_contact(&mut self, entry: u64, now_ms: u64) {
        self.entries_last_seen_ms.insert(entry, now_ms);
    }

    /// Delays orders until `until_ms`.
    pub fn hold_orders(&mut self, until_ms: u64) {
        self.orders_from_ms = self.orders_from_ms.max(until_ms);
    }

    /// Processes due events: loads that end, reports to request, unresponsive instances, and crashes
    /// that expire.
    pub fn tick(&mut self, now_ms: u64) {
        self.suspects.expire(now_ms);
        self.expire_streams(now_ms);
        self.remove_unresponsive_entries(now_ms);
        self.serve_waiting_streams(now_ms);
        self.check_waiting_loads(now_ms);
        self.advance(now_ms);
    }

    /// Returns the actions to perform since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Cell::tick`] is due next if no other event comes first, in milliseconds.
    pub fn next_due_ms(&self) -> Option<u64> {
        let engines = self.engines.values();
        let reports = engines.clone().filter_map(Engine::report_due_ms);
        reports
            .chain(engines.filter_map(|engine| engine.loads.next_due_ms))
            .chain(self.limited.due_ms())
            .chain(self.unserved.due_ms())
            .chain(self.streams.due_ms())
            .min()
    }

    /// Returns what is known, for logs and metrics.
    pub fn status(&self) -> CellStatus {
        let mut status = CellStatus {
            engines: self.engines.len(),
            confirmed: 0,
            reports_requested: 0,
            adapters: 0,
            waiting: self.waiting.len(),
            running: self.running.len(),
            loads: self.loads_under_way(),
            load_ms: self.load_speed.load_ms(false, 0),
            full_speed_loads: self.load_speed.full_speed_loads(),
        };
        for engine in self.engines.values() {
            status.adapters += engine.adapters.len();
            match engine.report_state {
                ReportState::Confirmed => status.confirmed += 1,
                ReportState::Requested => status.reports_requested += 1,
                ReportState::RequestAt(_) => {}
            }
        }
        status
    }

    /// Refuses a request that crashed several servers. Returns whether it did.
    fn refuse_quarantined(&mut self, request: &PlacementRequest) -> bool {
        let work = request.work();
        let Some(fingerprint) = self.suspects.refused_by(&work, request.is_trial) else {
            return false;
        };
        let refusal = Refusal {
            reason: RefusalReason::Quarantined(fingerprint),
            retry_after_ms: quarantine::RETRY_AFTER_MS,
        };
        self.refuse(request.ticket, refusal);
        true
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
        let engines = self.engines.values();
        engines.map(|engine| engine.loads.under_way).sum()
    }
}
