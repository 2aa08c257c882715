//! Plays the load of a fleet on a cell: engines that execute orders, instances that send requests and
//! report their ends in updates.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use mimosabay_core::backend::{Backend, HeldModel, ServerState};
use mimosabay_core::cell::{
    Action, Cell, EndedRun, Order, OrderAnswer, OrderKind, PlacementRequest, PlacementResponse,
    Report, RunOutcome, Ticket,
};
use mimosabay_core::name::Name;
use mimosabay_core::prompt::{Prompt, PromptPart};
use mimosabay_core::site::{Engine, EngineModel, Service, Site};
use mimosabay_core::stream_placement::StreamPlacement;

/// Base model of all engines.
pub(crate) const MODEL: &str = "base";
/// Adapters that an engine holds at once.
const ADAPTER_SLOTS: usize = 6;
/// Age of a report's content, in milliseconds.
const REPORT_AGE_MS: u64 = 200;
/// Time between two updates of an instance, in milliseconds.
const UPDATE_PERIOD_MS: u64 = 250;
/// Time that a run takes after its first event, in milliseconds.
const STREAM_MS: u64 = 1_000;
/// Duration of an adapter load, in milliseconds.
const LOAD_MS: u64 = 250;

/// Size of the fleet and of its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    /// Number of engines.
    pub(crate) engines: usize,
    /// Number of instances.
    pub(crate) instances: usize,
    /// Number of adapters.
    pub(crate) adapters: usize,
    /// Requests to engines a second.
    pub(crate) requests_per_s: usize,
}

/// What the load player passes to the placer.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    /// A request for a placement.
    Request(Box<PlacementRequest>),
    /// The ended runs of an instance's update.
    Update {
        /// Incarnation of the instance.
        entry: u64,
        /// The runs.
        ended: Vec<EndedRun>,
    },
    /// The answer to an order.
    OrderAnswered(Name, OrderAnswer),
    /// A requested report.
    Reported(Name, Report),
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcomes {
    /// Time from request to grant of each granted request, in milliseconds.
    pub(crate) waits_ms: Vec<u64>,
    /// Number of refused requests.
    pub(crate) refused: usize,
    /// Grants by engine.
    pub(crate) grants: HashMap<Name, usize>,
}

struct PlayedEngine {
    backend: Backend,
    sequence: u64,
    held: Vec<Name>,
    loading: Vec<(Name, u64)>,
}

impl PlayedEngine {
    fn answer(&mut self, order: &Order, adapter: Name, now_ms: u64) -> OrderAnswer {
        if order.precondition != self.sequence {
            return OrderAnswer::Conflict;
        }
        self.sequence += 1;
        match order.kind {
            OrderKind::Load => {
                self.loading.push((adapter, now_ms + LOAD_MS));
                OrderAnswer::Started
            }
            OrderKind::Unload => {
                self.held.retain(|held| *held != adapter);
                OrderAnswer::Done
            }
        }
    }
}

/// The engines and instances, and the inputs that they will send.
pub(crate) struct Fleet {
    size: FleetSize,
    engines: HashMap<Name, PlayedEngine>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    requests: u64,
    sent_ms: HashMap<Ticket, u64>,
    ended: HashMap<u64, Vec<EndedRun>>,
    state: u64,
    /// What callers got since the last call of [`Fleet::take_outcomes`].
    outcomes: Outcomes,
}

enum Event {
    Request,
    Update(u64),
    Input(Input),
    Ended(EndedRun),
}

impl Fleet {
    /// Creates a fleet whose engines hold some of the adapters.
    pub(crate) fn new(size: FleetSize) -> Self {
        let mut fleet = Self {
            size,
            engines: HashMap::new(),
            due: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            requests: 0,
            sent_ms: HashMap::new(),
            ended: HashMap::new(),
            state: 0x9e37_79b9_7f4a_7c15,
            outcomes: Outcomes::default(),
        };
        for number in 0..size.engines {
            let backend = backend(number);
            let held = (0..ADAPTER_SLOTS).map(|slot| adapter(number * ADAPTER_SLOTS + slot));
            let engine = PlayedEngine {
                sequence: 0,
                held: held.collect(),
                loading: Vec::new(),
                backend: backend.clone(),
            };
            fleet.engines.insert(backend.id, engine);
        }
        fleet.schedule(0, Event::Request);
        for entry in 0..size.instances {
            let entry = entry as u64;
            fleet.schedule(
                entry * UPDATE_PERIOD_MS / size.instances as u64,
                Event::Update(entry),
            );
        }
        fleet
    }

    /// Returns a new placer for the fleet, which knows nothing but the servers' entries.
    pub(crate) fn new_cell(&self, now_ms: u64) -> Cell {
        let mut cell = Cell::new(now_ms);
        cell.configure(&site(), now_ms);
        let backends: Vec<Backend> = self.engines.values().map(|it| it.backend.clone()).collect();
        cell.set_backends(backends.iter(), now_ms);
        cell
    }

    /// Returns the inputs that reach the placer up to `now_ms`.
    pub(crate) fn inputs_until(&mut self, now_ms: u64) -> Vec<Input> {
        let mut inputs = Vec::new();
        while let Some(Reverse((at_ms, number))) = self.due.peek().copied() {
            if at_ms > now_ms {
                break;
            }
            self.due.pop();
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            match event {
                Event::Request => {
                    inputs.push(self.next_request(at_ms));
                    let period_us = 1_000_000 / self.size.requests_per_s as u64;
                    let next_ms = (self.requests * period_us) / 1_000;
                    self.schedule(next_ms.max(at_ms), Event::Request);
                }
                Event::Update(entry) => {
                    let ended = self.ended.remove(&entry).unwrap_or_default();
                    inputs.push(Input::Update { entry, ended });
                    self.schedule(at_ms + UPDATE_PERIOD_MS, Event::Update(entry));
                }
                Event::Input(input) => inputs.push(input),
                Event::Ended(ended) => {
                    self.ended
                        .entry(ended.ticket.entry)
                        .or_default()
                        .push(ended);
                }
            }
        }
        inputs
    }

    /// Carries out the actions of the placer.
    pub(crate) fn perform(&mut self, actions: Vec<Action>, now_ms: u64) {
        for action in actions {
            match action {
                Action::Answer { ticket, response } => self.answer(ticket, response, now_ms),
                Action::Order(order) => self.execute(&order, now_ms),
                Action::RequestReport(backend) => {
                    let report = self.report(&backend.id, now_ms);
                    self.schedule(
                        now_ms + 3,
                        Event::Input(Input::Reported(backend.id, report)),
                    );
                }
                Action::Permit { .. } | Action::StepDown => {}
            }
        }
    }

    /// Returns what callers got since the last call.
    pub(crate) fn take_outcomes(&mut self) -> Outcomes {
        std::mem::take(&mut self.outcomes)
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.due.push(Reverse((at_ms, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn random(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state
    }

    /// Half of the requests are for a hundredth of the adapters.
    fn next_request(&mut self, now_ms: u64) -> Input {
        self.requests += 1;
        let number = self.requests;
        let random = usize::try_from(self.random() >> 33).expect("31 bits");
        let adapters = self.size.adapters;
        let index = if number.is_multiple_of(2) {
            random % (adapters / 100).max(1)
        } else {
            random % adapters
        };
        let is_long = number.is_multiple_of(3);
        let ticket = Ticket {
            entry: random as u64 % self.size.instances as u64,
            number,
        };
        self.sent_ms.insert(ticket, now_ms);
        let (shared, own) = if is_long { (6_300, 2_890) } else { (198, 628) };
        Input::Request(Box::new(PlacementRequest {
            ticket,
            request_id: format!("request-{number}").into(),
            service: "engines".into(),
            zone: format!("zone-{}", ticket.entry % 5).into(),
            prompt: Prompt {
                model: MODEL.into(),
                adapter: Some(adapter(index)),
                prompt_tokens: shared + own,
                answer_tokens: 100,
                parts: vec![
                    PromptPart {
                        id: 7,
                        tokens: shared / 2,
                    },
                    PromptPart {
                        id: 8 + (index as u64 % 3),
                        tokens: shared / 2,
                    },
                    PromptPart {
                        id: 1_000 + number,
                        tokens: own,
                    },
                ],
            },
            charge: None,
            urgency: if is_long { 5 } else { 4 },
            left_ms: 5_000,
            target_ms: 1_000,
            excluded: Vec::new(),
            previous: None,
            stream: StreamPlacement::None,
            is_trial: false,
            request_hash: number,
        }))
    }

    fn answer(&mut self, ticket: Ticket, response: PlacementResponse, now_ms: u64) {
        let Some(sent_ms) = self.sent_ms.remove(&ticket) else {
            return;
        };
        match response {
            PlacementResponse::Granted {
                server,
                first_event_ms,
                ..
            } => {
                self.outcomes.waits_ms.push(now_ms - sent_ms);
                *self.outcomes.grants.entry(server).or_default() += 1;
                let ended = EndedRun {
                    ticket,
                    outcome: RunOutcome::Answered,
                    first_event_ms: Some(first_event_ms),
                    streamed_ms: STREAM_MS,
                };
                self.schedule(now_ms + first_event_ms + STREAM_MS, Event::Ended(ended));
            }
            PlacementResponse::Refused(_) => self.outcomes.refused += 1,
        }
    }

    fn execute(&mut self, order: &Order, now_ms: u64) {
        let engine = self.engines.get_mut(&order.server).expect("a known engine");
        let adapter = order.adapter.clone().expect("an order for an adapter");
        let answer = engine.answer(order, adapter, now_ms);
        let input = Input::OrderAnswered(order.server.clone(), answer);
        self.schedule(now_ms + 3, Event::Input(input));
    }

    fn report(&mut self, server: &Name, now_ms: u64) -> Report {
        let engine = self.engines.get_mut(server).expect("a known engine");
        let seen_ms = now_ms.saturating_sub(REPORT_AGE_MS);
        let done = engine
            .loading
            .extract_if(.., |(_, due_ms)| *due_ms <= seen_ms);
        engine.held.extend(done.map(|(adapter, _)| adapter));
        let held = engine.held.iter().map(|adapter| (adapter.clone(), 1));
        let loading = engine.loading.iter();
        Report {
            sequence: engine.sequence,
            is_busy: false,
            started_unix_ms: 1,
            loading: loading
                .map(|(adapter, _)| ((MODEL.into(), adapter.clone()), 1))
                .collect(),
            models: vec![HeldModel {
                name: MODEL.into(),
                adapters: held.collect(),
            }],
        }
    }
}

/// Passes an input to the placer.
pub(crate) fn handle(cell: &mut Cell, input: Input, now_ms: u64) {
    match input {
        Input::Request(request) => cell.request_placement(*request, now_ms),
        Input::Update { entry, ended } => {
            cell.record_contact(entry, now_ms);
            for ended in ended {
                cell.end_run(&ended, now_ms);
            }
        }
        Input::OrderAnswered(server, answer) => cell.handle_order_answer(&server, answer, now_ms),
        Input::Reported(server, report) => cell.handle_report(&server, Some(&report), now_ms),
    }
}

fn adapter(index: usize) -> Name {
    format!("a{index}").into()
}

fn backend(number: usize) -> Backend {
    let adapters = (0..ADAPTER_SLOTS).map(|slot| (adapter(number * ADAPTER_SLOTS + slot), 1));
    Backend {
        id: format!("i-{number:010x}").into(),
        service: "engines".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: format!("zone-{}", number % 5).into(),
        software_version: Some("v1".into()),
        slots: 32,
        state: ServerState::Ready,
        sequence: 0,
        cold_ms: 0,
        is_evacuated: false,
        started_unix_ms: 1,
        is_leaving: false,
        models: vec![HeldModel {
            name: MODEL.into(),
            adapters: adapters.collect(),
        }],
    }
}

fn site() -> Site {
    let service = Service {
        name: "engines".into(),
        max_connections: 1_400,
        engine: Some(Engine {
            slots: 32,
            kv_tokens: 233_778,
            adapter_slots: ADAPTER_SLOTS,
            model_loads_per_s: 44.0,
            tokens_per_event: 6,
            models: vec![EngineModel {
                name: MODEL.into(),
                load_ms: 2_900,
            }],
        }),
        cold_start: None,
    };
    Site::new(
        1,
        Vec::new(),
        vec![service],
        None,
        std::sync::Arc::default(),
    )
}
