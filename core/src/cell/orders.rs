//! Decides which orders are sent to the engines of a cell, and handles their answers.

use std::collections::BTreeSet;

use super::engine::{
    AdapterKey, AdapterLoad, AdapterPhase, AdapterState, Engine, ModelPhase, PlannedOrder,
    REPORT_LAG_MS, ReportState, is_current,
};
use super::load_queue::LoadRank;
use super::load_speed::LoadSpeed;
use super::{Action, Cell, EngineService, Order, OrderAnswer, OrderKind, Report};
use crate::name::Name;
use crate::prompt::Prompt;

/// Interval between reports of a server that loads a base model or does not answer, in
/// milliseconds.
const REPORT_PERIOD_MS: u64 = 400;
/// Window over which base model loads are counted, in milliseconds.
const MODEL_LOAD_WINDOW_MS: u64 = 5_000;
/// Share of the allowed rate of base model loads that is used.
const MODEL_LOAD_SHARE: f64 = 0.8;

impl Cell {
    /// Handles a server's answer to an order.
    pub fn handle_order_answer(&mut self, server: &Name, answer: OrderAnswer, now_ms: u64) {
        self.finish_due_loads(now_ms);
        let loads_under_way = self.concurrent_loads();
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let Some(order) = engine.in_flight.take() else {
            return;
        };
        match answer {
            OrderAnswer::Started => {
                // The load that has just started is still counted as planned.
                let concurrent_loads = loads_under_way.saturating_sub(1);
                engine.record_order_started(&order, concurrent_loads, &self.load_speed, now_ms);
            }
            OrderAnswer::Done if order.kind == OrderKind::Unload => engine.record_unload(&order),
            OrderAnswer::Fenced => {
                self.actions.push(Action::StepDown);
                self.invalidate_engine(server, now_ms + REPORT_LAG_MS, now_ms);
            }
            // It is not known whether the server counts an order whose result already holds, so a
            // report is needed.
            OrderAnswer::Done
            | OrderAnswer::Conflict
            | OrderAnswer::NotSent
            | OrderAnswer::Unknown
            | OrderAnswer::Rejected => {
                engine.record_rejected_load(&order);
                self.invalidate_engine(server, now_ms + REPORT_LAG_MS, now_ms);
            }
        }
        self.advance(now_ms);
    }

    /// Handles a requested report; `None` if the server did not answer.
    pub fn handle_report(&mut self, server: &Name, report: Option<&Report>, now_ms: u64) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        if engine.report_state != ReportState::Requested {
            return;
        }
        let Some(report) = report else {
            engine.report_state = ReportState::RequestAt(now_ms + REPORT_PERIOD_MS);
            engine.avoided_until_ms = now_ms + REPORT_PERIOD_MS;
            let boot = engine.backend.started_unix_ms;
            self.suspects.record_crash(server, boot, now_ms);
            self.reassign_waiting(server, now_ms);
            self.advance(now_ms);
            return;
        };
        let is_restarted = report.started_unix_ms > engine.backend.started_unix_ms;
        if is_restarted {
            let mut backend = engine.backend.clone();
            backend.started_unix_ms = report.started_unix_ms;
            backend.models.clear();
            backend.software_version = None;
            self.replace_restarted_engine(backend, now_ms);
        } else {
            let boot = engine.backend.started_unix_ms;
            self.suspects.retract_crash(server, boot);
        }
        if let Some(engine) = self.engines.get_mut(server) {
            let load_ms = self.load_speed.load_ms(false, 0);
            engine.apply_report(report, load_ms, now_ms);
            if report.is_busy {
                engine.report_state = ReportState::RequestAt(now_ms + REPORT_PERIOD_MS);
            }
        }
        self.recount_adapter_uses(server);
        self.reassign_waiting(server, now_ms);
        self.serve_waiting_streams(now_ms);
        self.advance(now_ms);
    }

    /// Requests a report later, because the placer did not reach the server though others do.
    pub fn delay_report(&mut self, server: &Name, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(server)
            && engine.report_state == ReportState::Requested
        {
            engine.report_state = ReportState::RequestAt(now_ms + REPORT_PERIOD_MS);
        }
    }

    /// Marks the content of a server as unconfirmed.
    pub(super) fn invalidate_engine(&mut self, server: &Name, report_at_ms: u64, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.invalidate(report_at_ms);
        }
        self.reassign_waiting(server, now_ms);
    }

    pub(super) fn plan_load(
        &mut self,
        server: &Name,
        prompt: &Prompt,
        version: Option<u64>,
        rank: LoadRank,
        now_ms: u64,
    ) {
        let Some(key) = prompt.adapter_key() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let adapter_slots = self
            .services
            .get(&engine.backend.service)
            .map_or(0, |service| service.spec.adapter_slots);
        let newest = &self.newest;
        let is_stale = |key: &AdapterKey, held: &AdapterState| {
            !is_current(held.version, newest.get(key).copied())
        };
        if !engine.adapters.contains_key(&key)
            && engine.adapters.len() >= adapter_slots
            && let Some(eviction_candidate) = engine.eviction_candidate(is_stale)
        {
            engine.plan_unload(&eviction_candidate);
        }
        engine.plan_load(key, version, rank, now_ms);
        // Requests may still run on an adapter that the server reported as removed.
        self.recount_adapter_uses(server);
    }

    /// Advances all engines to `now_ms`: ends due loads, sends orders and requests due reports.
    pub(super) fn advance(&mut self, now_ms: u64) {
        self.finish_due_loads(now_ms);
        self.serve_limited(now_ms);
        self.serve_unserved(now_ms);
        self.plan_model_loads(now_ms);
        let may_send_orders = now_ms >= self.orders_from_ms;
        for engine in self.engines.values_mut() {
            if let ReportState::RequestAt(at_ms) = engine.report_state
                && at_ms <= now_ms
                && engine.in_flight.is_none()
            {
                engine.report_state = ReportState::Requested;
                self.actions
                    .push(Action::RequestReport(engine.backend.clone()));
            }
            if may_send_orders
                && !self.load_queue.is_ranked
                && let Some(order) = engine.next_order()
            {
                self.actions.push(Action::Order(order));
            }
        }
        if may_send_orders && self.load_queue.is_ranked {
            self.send_ranked_orders(now_ms);
        }
    }

    /// Marks due loads as ended and grants the requests that waited for them.
    fn finish_due_loads(&mut self, now_ms: u64) {
        let waiting = &self.waiting;
        let mut due = BTreeSet::new();
        for engine in self.engines.values_mut() {
            if !engine.finish_due_loads(now_ms) {
                continue;
            }
            let tickets = engine.tickets.iter().filter(|ticket| {
                let placed = waiting.get(ticket);
                placed.is_some_and(|placed| engine.holds(&placed.request.prompt))
            });
            due.extend(tickets.copied());
        }
        for ticket in due {
            if let Some(placed) = self.waiting.remove(&ticket) {
                self.grant(placed, now_ms);
            }
        }
    }

    /// Plans base model loads for engines that hold none, within the rate of the weight store.
    fn plan_model_loads(&mut self, now_ms: u64) {
        if now_ms < self.orders_from_ms {
            return;
        }
        let empty = self.engines.values().filter(|engine| engine.needs_model());
        let empty: Vec<(Name, Name)> = empty
            .map(|engine| (engine.backend.id.clone(), engine.backend.service.clone()))
            .collect();
        for (server, service) in empty {
            let Some(model) = self.model_to_load(&service) else {
                continue;
            };
            let service = self.services.get_mut(&service);
            let may_load = service.is_some_and(|service| service.try_record_model_load(now_ms));
            if may_load && let Some(engine) = self.engines.get_mut(&server) {
                engine.planned.push_back(PlannedOrder {
                    kind: OrderKind::Load,
                    model,
                    adapter: None,
                    version: None,
                    rank: None,
                });
            }
        }
    }

    /// Returns the model to load on an empty engine: one that no engine holds, or else the one with
    /// the most requests per engine.
    fn model_to_load(&self, service: &Name) -> Option<Name> {
        let models = &self.services.get(service)?.spec.models;
        let busiest = models.iter().rev().max_by(|one, other| {
            let one = self.requests_per_holder(service, &one.name);
            one.total_cmp(&self.requests_per_holder(service, &other.name))
        });
        busiest.map(|model| model.name.clone())
    }

    fn requests_per_holder(&self, service: &Name, model: &Name) -> f64 {
        let engines = self.engines.values();
        let holders = engines
            .filter(|engine| engine.backend.service == *service && engine.has_or_plans(model))
            .count();
        if holders == 0 {
            return f64::INFINITY;
        }
        let placed = self.running.values().chain(self.waiting.values());
        let requests = placed.filter(|placed| placed.request.prompt.model == *model);
        requests.count() as f64 / holders as f64
    }

    /// Recounts the uses of the server's adapters from the requests assigned to it.
    fn recount_adapter_uses(&mut self, server: &Name) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        for adapter in engine.adapters.values_mut() {
            adapter.uses = 0;
        }
        for ticket in &engine.tickets {
            let placed = self
                .running
                .get(ticket)
                .or_else(|| self.waiting.get(ticket));
            let key = placed.and_then(|placed| placed.request.prompt.adapter_key());
            if let Some(adapter) = key.and_then(|key| engine.adapters.get_mut(&key)) {
                adapter.uses += 1;
            }
        }
    }
}

impl EngineService {
    /// Counts a base model load if the rate of the weight store allows it.
    fn try_record_model_load(&mut self, now_ms: u64) -> bool {
        let oldest_ms = now_ms.saturating_sub(MODEL_LOAD_WINDOW_MS);
        self.model_loads_ms.retain(|at_ms| *at_ms >= oldest_ms);
        let window_s = MODEL_LOAD_WINDOW_MS as f64 / 1_000.0;
        let allowed = self.spec.model_loads_per_s * window_s * MODEL_LOAD_SHARE;
        let has_room = (self.model_loads_ms.len() as f64) < allowed.max(1.0);
        if has_room {
            self.model_loads_ms.push_back(now_ms);
        }
        has_room
    }
}

impl Engine {
    /// Marks due loads as ended; returns whether any has ended since the last call.
    fn finish_due_loads(&mut self, now_ms: u64) -> bool {
        let has_reported = std::mem::take(&mut self.has_reported_loads);
        let is_due = |due_ms: u64| due_ms <= now_ms;
        if !self.loads.next_due_ms.is_some_and(is_due) {
            return has_reported;
        }
        for adapter in self.adapters.values_mut() {
            if let AdapterPhase::Loading { load } = adapter.phase
                && is_due(load.due_ms)
            {
                adapter.unconfirmed = Some(load);
                adapter.phase = AdapterPhase::Loaded;
            }
        }
        self.update_loads();
        true
    }

    /// Returns whether the engine holds no base model and can be ordered to load one.
    fn needs_model(&self) -> bool {
        let is_empty = self.models.is_empty() && self.planned.is_empty();
        let is_free = self.report_state == ReportState::Confirmed && self.in_flight.is_none();
        is_empty && is_free && self.backend.is_ready()
    }

    /// Returns whether the engine holds, loads or is planned to load a base model.
    fn has_or_plans(&self, model: &Name) -> bool {
        let is_planned = |order: &PlannedOrder| order.adapter.is_none() && order.model == *model;
        self.models.contains_key(model) || self.planned.iter().any(is_planned)
    }

    /// Returns the next order if one may be sent now.
    pub(super) fn next_order(&mut self) -> Option<Order> {
        if self.report_state != ReportState::Confirmed || self.in_flight.is_some() {
            return None;
        }
        let planned = self.planned.pop_front()?;
        self.in_flight = Some(planned.clone());
        Some(Order {
            server: self.backend.id.clone(),
            address: self.backend.address,
            kind: planned.kind,
            model: planned.model,
            adapter: planned.adapter,
            version: planned.version,
            precondition: self.sequence,
        })
    }

    fn plan_unload(&mut self, key: &AdapterKey) {
        if let Some(adapter) = self.adapters.get_mut(key) {
            adapter.phase = AdapterPhase::Unloading;
        }
        self.update_loads();
        self.planned.push_back(PlannedOrder {
            kind: OrderKind::Unload,
            model: key.0.clone(),
            adapter: Some(key.1.clone()),
            version: None,
            rank: None,
        });
    }

    fn plan_load(&mut self, key: AdapterKey, version: Option<u64>, rank: LoadRank, now_ms: u64) {
        self.planned.push_back(PlannedOrder {
            kind: OrderKind::Load,
            model: key.0.clone(),
            adapter: Some(key.1.clone()),
            version,
            rank: Some(rank),
        });
        let held = AdapterState::new(version.unwrap_or(0), AdapterPhase::Planned, now_ms);
        self.adapters.insert(key, held);
        self.update_loads();
    }

    fn record_order_started(
        &mut self,
        order: &PlannedOrder,
        concurrent_loads: usize,
        speed: &LoadSpeed,
        now_ms: u64,
    ) {
        self.sequence += 1;
        let Some(adapter) = order.adapter.clone() else {
            self.models.insert(order.model.clone(), ModelPhase::Loading);
            self.invalidate(now_ms + REPORT_PERIOD_MS);
            return;
        };
        let key = (order.model.clone(), adapter);
        if order.kind == OrderKind::Unload {
            // Requests that this placer does not know still use the adapter.
            self.invalidate(now_ms + REPORT_PERIOD_MS);
            return;
        }
        let is_reload = self.recently_held.contains(&key, order.version);
        if let Some(held) = self.adapters.get_mut(&key) {
            let forecast_ms = speed.load_ms(is_reload, concurrent_loads);
            let load = AdapterLoad {
                due_ms: now_ms + forecast_ms,
                forecast_ms,
                concurrent_loads,
                is_reload,
                late_count: 0,
            };
            held.phase = AdapterPhase::Loading { load };
        }
        self.update_loads();
        self.recently_held.insert(key, order.version.unwrap_or(0));
    }

    fn record_unload(&mut self, order: &PlannedOrder) {
        self.sequence += 1;
        if let Some(adapter) = &order.adapter {
            let key = (order.model.clone(), adapter.clone());
            if let Some(held) = self.adapters.remove(&key) {
                self.recently_held.insert(key, held.version);
            }
            self.update_loads();
            self.cache.remove_adapter(adapter);
        }
    }

    /// Drops an adapter whose load order was not accepted.
    fn record_rejected_load(&mut self, order: &PlannedOrder) {
        if let Some(adapter) = &order.adapter
            && order.kind == OrderKind::Load
        {
            self.adapters
                .remove(&(order.model.clone(), adapter.clone()));
            self.update_loads();
        }
    }
}
