//! For any order of events, no engine is ordered to hold more adapters than it can, and no adapter
//! in use is unloaded.

use std::collections::{BTreeMap, BTreeSet};

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::cell::{
    Action, Cell, Order, OrderAnswer, OrderKind, PlacementRequest, PlacementResponse, Report,
    RunOutcome,
};
use mimosabay_core::name::Name;

use crate::support::{MODEL, backend, confirmed, ended, placement_request, report};

const ADAPTER_LIMIT: usize = 3;
const SERVERS: [&str; 2] = ["one", "two"];
const STEPS: usize = 60;

/// The actual state of a server, which may differ from the placer's state.
#[derive(Default)]
struct SimulatedServer {
    sequence: u64,
    adapters: BTreeSet<Name>,
    /// Unanswered orders that may still be executed.
    late: Vec<Order>,
}

impl SimulatedServer {
    /// Executes an order unless others have been accepted since it was decided. Adapters `in_use`
    /// stay until their requests have ended.
    fn execute_order(&mut self, order: &Order, in_use: &BTreeSet<Name>) -> OrderAnswer {
        let Some(adapter) = &order.adapter else {
            return OrderAnswer::Started;
        };
        if order.precondition != self.sequence {
            return OrderAnswer::Conflict;
        }
        self.sequence += 1;
        match order.kind {
            OrderKind::Load => {
                self.adapters.insert(adapter.clone());
                assert!(
                    self.adapters.len() <= ADAPTER_LIMIT,
                    "ordered beyond its adapter limit"
                );
                OrderAnswer::Started
            }
            OrderKind::Unload if in_use.contains(adapter) => OrderAnswer::Started,
            OrderKind::Unload => {
                self.adapters.remove(adapter);
                OrderAnswer::Done
            }
        }
    }

    fn report(&self, server: &str) -> Report {
        let mut entry = backend(server, &[]);
        entry.models[0].adapters = self.adapters.iter().map(|name| (name.clone(), 1)).collect();
        entry.sequence = self.sequence;
        report(&entry)
    }
}

struct Simulation {
    cell: Cell,
    servers: BTreeMap<Name, SimulatedServer>,
    /// Running requests with their server and adapter.
    running: BTreeMap<u64, (Name, Name)>,
    adapter_of: BTreeMap<u64, Name>,
    next_number: u64,
    now_ms: u64,
}

impl Simulation {
    fn new(is_ranked: bool) -> Self {
        let backends: Vec<_> = SERVERS.iter().map(|id| backend(id, &[])).collect();
        let mut cell = confirmed(ADAPTER_LIMIT, &backends);
        if is_ranked {
            cell.rank_loads();
        }
        Self {
            cell,
            servers: SERVERS
                .iter()
                .map(|id| ((*id).into(), SimulatedServer::default()))
                .collect(),
            running: BTreeMap::new(),
            adapter_of: BTreeMap::new(),
            next_number: 1,
            now_ms: 10,
        }
    }

    fn step(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        self.now_ms += choices.int_in_range(0..=300)?;
        match choices.int_in_range(0..=9)? {
            0..=5 => self.send_request(choices.int_in_range(0..=9)?),
            6 | 7 => self.end_oldest_request(),
            8 => self.execute_late_orders(),
            _ => self.cell.tick(self.now_ms),
        }
        self.perform_actions(choices)
    }

    fn send_request(&mut self, adapter: u64) {
        let adapter = format!("a{adapter}");
        let number = self.next_number;
        self.next_number += 1;
        self.adapter_of.insert(number, adapter.as_str().into());
        let urgency = u8::try_from(number % 7).expect("a small number");
        let request = PlacementRequest {
            urgency,
            ..placement_request(number, &adapter)
        };
        self.cell.request_placement(request, self.now_ms);
    }

    fn end_oldest_request(&mut self) {
        if let Some((number, _)) = self.running.pop_first() {
            self.cell
                .end_run(&ended(number, RunOutcome::Answered), self.now_ms);
        }
    }

    fn execute_late_orders(&mut self) {
        let ids: Vec<Name> = self.servers.keys().cloned().collect();
        for id in ids {
            let in_use = self.in_use(&id);
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            for order in std::mem::take(&mut server.late) {
                server.execute_order(&order, &in_use);
            }
        }
    }

    /// Returns the adapters on which requests run at a server.
    fn in_use(&self, id: &Name) -> BTreeSet<Name> {
        let running = self.running.values().filter(|(server, _)| server == id);
        running.map(|(_, adapter)| adapter.clone()).collect()
    }

    fn perform_actions(&mut self, choices: &mut Unstructured<'_>) -> Result<()> {
        loop {
            let actions = self.cell.take_actions();
            if actions.is_empty() {
                return Ok(());
            }
            for action in actions {
                self.perform(action, choices)?;
            }
        }
    }

    fn perform(&mut self, action: Action, choices: &mut Unstructured<'_>) -> Result<()> {
        match action {
            Action::Answer {
                ticket,
                response: PlacementResponse::Granted { server, .. },
            } => {
                let adapter = self.adapter_of[&ticket.number].clone();
                self.running.insert(ticket.number, (server, adapter));
            }
            Action::Answer { .. } | Action::Permit { .. } | Action::StepDown => {}
            Action::Order(order) => self.answer_order(&order, choices.ratio(1, 5)?),
            Action::RequestReport(backend) => {
                let report = self.servers[&backend.id].report(&backend.id);
                self.cell
                    .handle_report(&backend.id, Some(&report), self.now_ms);
            }
        }
        Ok(())
    }

    fn answer_order(&mut self, order: &Order, is_answer_lost: bool) {
        if order.kind == OrderKind::Unload {
            let adapter = order.adapter.clone().expect("only adapters are unloaded");
            assert!(!self.in_use(&order.server).contains(&adapter), "in use");
        }
        assert_eq!(&*order.model, MODEL);
        let in_use = self.in_use(&order.server);
        let server = self.servers.get_mut(&order.server).expect("a known server");
        let answer = if is_answer_lost {
            server.late.push(order.clone());
            OrderAnswer::Unknown
        } else {
            server.execute_order(order, &in_use)
        };
        self.cell
            .handle_order_answer(&order.server, answer, self.now_ms);
    }
}

fn check_adapter_limit(is_ranked: bool) {
    arbtest(|choices| {
        let mut simulation = Simulation::new(is_ranked);
        for _ in 0..STEPS {
            simulation.step(choices)?;
        }
        Ok(())
    })
    .size_min(2_000)
    .budget_ms(3_000);
}

#[test]
fn adapter_limit_and_adapters_in_use_are_respected() {
    check_adapter_limit(false);
}

#[test]
fn adapter_limit_and_adapters_in_use_are_respected_with_ranked_loads() {
    check_adapter_limit(true);
}
