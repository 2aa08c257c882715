//! Builds cells with a few engines, and requests for them.

use std::sync::Arc;

use mimosabay_core::backend::{Backend, HeldModel, ServerState};
use mimosabay_core::cell::{
    Action, Cell, Charge, EndedRun, Order, OrderAnswer, PlacementRequest, PlacementResponse,
    RefusalReason, Report, RunOutcome, Ticket,
};
use mimosabay_core::name::Name;
use mimosabay_core::prompt::{Prompt, PromptPart};
use mimosabay_core::site::{Engine, EngineModel, Organisation, Service, Site};
use mimosabay_core::stream_placement::StreamPlacement;

pub(crate) const MODEL: &str = "base";
pub(crate) const ADAPTER_LIMIT: usize = 3;
/// Time after which any adapter load has ended, in milliseconds.
pub(crate) const LOADED_MS: u64 = 1_000;

pub(crate) fn service(adapter_slots: usize) -> Service {
    Service {
        name: "engines".into(),
        max_connections: 100,
        engine: Some(Engine {
            slots: 64,
            kv_tokens: 200_000,
            adapter_slots,
            model_loads_per_s: 4.0,
            tokens_per_event: 6,
            models: vec![EngineModel {
                name: MODEL.into(),
                load_ms: 1_000,
            }],
        }),
        cold_start: None,
    }
}

pub(crate) fn site(adapter_slots: usize, rate_per_s: f64, burst: f64) -> Site {
    let organisation = Organisation {
        name: "clinics".into(),
        priority: None,
        rate_per_s,
        burst,
        counts_tokens: true,
        default_cost: 100,
        home_regions: Vec::new(),
    };
    let organisations = vec![(organisation, vec!["key".into()])];
    let services = vec![service(adapter_slots)];
    Site::new(1, Vec::new(), services, Some(organisations), Arc::default())
}

pub(crate) fn backend(id: &str, adapters: &[&str]) -> Backend {
    let adapters = adapters.iter().map(|name| (Name::from(*name), 1));
    Backend {
        id: id.into(),
        service: "engines".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "zone-1".into(),
        software_version: Some("v1".into()),
        slots: 64,
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

/// Returns the report of a server with this entry.
pub(crate) fn report(backend: &Backend) -> Report {
    Report {
        sequence: backend.sequence,
        is_busy: false,
        started_unix_ms: backend.started_unix_ms,
        loading: Vec::new(),
        models: backend.models.clone(),
    }
}

/// Returns a cell whose servers have all been confirmed by reports.
pub(crate) fn confirmed(adapter_slots: usize, backends: &[Backend]) -> Cell {
    let mut cell = Cell::new(0);
    cell.configure(&site(adapter_slots, 0.0, 0.0), 0);
    cell.set_backends(backends.iter(), 0);
    for backend in backends {
        cell.handle_report(&backend.id, Some(&report(backend)), 0);
    }
    cell.take_actions();
    cell
}

pub(crate) fn placement_request(number: u64, adapter: &str) -> PlacementRequest {
    PlacementRequest {
        ticket: Ticket { entry: 1, number },
        request_id: format!("request-{number}").into(),
        service: "engines".into(),
        zone: "zone-1".into(),
        prompt: Prompt {
            model: MODEL.into(),
            adapter: (!adapter.is_empty()).then(|| adapter.into()),
            prompt_tokens: 3_000,
            answer_tokens: 100,
            parts: vec![
                PromptPart {
                    id: 7,
                    tokens: 2_000,
                },
                PromptPart {
                    id: 1_000 + number,
                    tokens: 1_000,
                },
            ],
        },
        charge: None,
        urgency: 4,
        left_ms: 5_000,
        target_ms: 1_000,
        excluded: Vec::new(),
        previous: None,
        stream: StreamPlacement::None,
        is_trial: false,
        request_hash: number,
    }
}

pub(crate) fn charged(number: u64, cost: u64) -> PlacementRequest {
    let charge = Charge {
        organisation: "clinics".into(),
        cost,
    };
    PlacementRequest {
        charge: Some(charge),
        ..placement_request(number, "")
    }
}

pub(crate) fn ended(number: u64, outcome: RunOutcome) -> EndedRun {
    EndedRun {
        ticket: Ticket { entry: 1, number },
        outcome,
        first_event_ms: None,
        streamed_ms: 0,
    }
}

/// Returns the server of each grant among the actions, by request.
pub(crate) fn granted(actions: &[Action]) -> Vec<(u64, Name)> {
    let granted = actions.iter().filter_map(|action| match action {
        Action::Answer {
            ticket,
            response: PlacementResponse::Granted { server, .. },
        } => Some((ticket.number, server.clone())),
        _ => None,
    });
    granted.collect()
}

/// Returns the reason of each refusal among the actions, by request.
pub(crate) fn refused(actions: &[Action]) -> Vec<(u64, RefusalReason)> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Answer {
            ticket,
            response: PlacementResponse::Refused(refusal),
        } => Some((ticket.number, refusal.reason)),
        _ => None,
    });
    refused.collect()
}

/// Returns the orders among the actions.
pub(crate) fn orders(actions: &[Action]) -> Vec<Order> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Order(order) => Some(order.clone()),
        _ => None,
    });
    orders.collect()
}

/// Returns the servers from which a report is requested.
pub(crate) fn requested_reports(actions: &[Action]) -> Vec<Name> {
    let requested = actions.iter().filter_map(|action| match action {
        Action::RequestReport(backend) => Some(backend.id.clone()),
        _ => None,
    });
    requested.collect()
}

/// Executes every order as a server would, until none is left; returns the orders.
pub(crate) fn execute_orders(
    cell: &mut Cell,
    mut actions: Vec<Action>,
    now_ms: u64,
) -> (Vec<Order>, Vec<Action>) {
    let mut executed = Vec::new();
    let mut others = Vec::new();
    while !actions.is_empty() {
        let new = orders(&actions);
        others.extend(actions);
        for order in &new {
            let answer = match order.kind {
                mimosabay_core::cell::OrderKind::Load => OrderAnswer::Started,
                mimosabay_core::cell::OrderKind::Unload => OrderAnswer::Done,
            };
            cell.handle_order_answer(&order.server, answer, now_ms);
        }
        executed.extend(new);
        actions = cell.take_actions();
    }
    (executed, others)
}
