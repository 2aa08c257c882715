//! Order of adapter loads while the weight store cannot deliver all of them at full speed.
//!
//! Answers the load of many adapters that are requested at once, after a start or when demand moves:
//! loads beyond the number at full speed only slow each other, so the others wait. The most urgent
//! request is loaded for first; among equals, the organisation for which least was loaded lately.

use std::collections::HashMap;

use super::engine::{AdapterKey, AdapterPhase, Engine, PlannedOrder, ReportState};
use super::message::{PlacementRequest, Ticket};
use super::order::OrderKind;
use super::{Action, Cell, assignment};
use crate::name::Name;

/// Loads in progress beyond the number at full speed. Without them it would never show that the number
/// has grown.
const EXTRA_LOADS: usize = 1;
/// Half-life of the loads that count for an organisation, in milliseconds.
const USE_HALF_LIFE_MS: f64 = 2_000.0;
/// Time between two checks of requests that wait for a load, in milliseconds.
const CHECK_PERIOD_MS: u64 = 50;

/// For whom a load is ordered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LoadRank {
    /// Rank of the request; a smaller one is more urgent.
    pub(crate) urgency: u8,
    /// Organisation of the caller, if it is known.
    pub(crate) organisation: Option<Name>,
    /// Time of the request, in milliseconds.
    pub(crate) requested_ms: u64,
}

impl LoadRank {
    pub(crate) fn of(request: &PlacementRequest, requested_ms: u64) -> Self {
        let charge = request.charge.as_ref();
        Self {
            urgency: request.urgency,
            organisation: charge.map(|charge| charge.organisation.clone()),
            requested_ms,
        }
    }
}

/// Loads planned for each organisation lately.
#[derive(Debug, Default)]
pub(crate) struct LoadQueue {
    /// Whether loads wait for each other.
    pub(crate) is_ranked: bool,
    uses: HashMap<Name, (f64, u64)>,
    /// Time of the next check of waiting requests, in milliseconds.
    due_ms: u64,
}

impl LoadQueue {
    fn use_of(&self, organisation: Option<&Name>, now_ms: u64) -> f64 {
        let known = organisation.and_then(|it| self.uses.get(it));
        known.map_or(0.0, |(count, at_ms)| {
            let age_ms = now_ms.saturating_sub(*at_ms) as f64;
            count * 0.5_f64.powf(age_ms / USE_HALF_LIFE_MS)
        })
    }

    fn record_use(&mut self, organisation: Option<&Name>, now_ms: u64) {
        let count = self.use_of(organisation, now_ms) + 1.0;
        if let Some(organisation) = organisation {
            self.uses.insert(organisation.clone(), (count, now_ms));
        }
    }
}

impl Cell {
    /// Lets loads wait for each other from now on.
    pub fn rank_loads(&mut self) {
        self.load_queue.is_ranked = true;
    }

    /// Returns the loads that share the weight store with one that has just been accepted, with that one.
    pub(super) fn concurrent_loads(&self) -> usize {
        if !self.load_queue.is_ranked {
            return self.loads_under_way();
        }
        let engines = self.engines.values();
        engines.map(Engine::loads_in_progress).sum()
    }

    /// Returns the loads that a new one for a request shares the weight store with, or waits for.
    pub(super) fn loads_ahead(&self, request: &PlacementRequest, now_ms: u64) -> usize {
        if !self.load_queue.is_ranked {
            return self.loads_under_way();
        }
        let rank = LoadRank::of(request, now_ms);
        let queue = &self.load_queue;
        let use_of = |rank: &LoadRank| queue.use_of(rank.organisation.as_ref(), now_ms);
        let own_use = use_of(&rank);
        let is_ahead = |other: &LoadRank| {
            other.urgency < rank.urgency
                || (other.urgency == rank.urgency && use_of(other) <= own_use)
        };
        let engines = self.engines.values();
        engines.map(|engine| engine.loads_ahead(is_ahead)).sum()
    }

    /// Counts a planned load for an organisation.
    pub(super) fn record_planned_load(&mut self, rank: &LoadRank, now_ms: u64) {
        if self.load_queue.is_ranked {
            self.load_queue
                .record_use(rank.organisation.as_ref(), now_ms);
        }
    }

    /// Sends the orders that are due: all that need no load from the weight store, and the most urgent
    /// loads up to the number at full speed.
    pub(super) fn send_ranked_orders(&mut self, now_ms: u64) {
        let engines = self.engines.values();
        let loading: usize = engines.map(Engine::loads_in_progress).sum();
        let full_speed = usize::try_from(self.load_speed.full_speed_loads());
        let most = full_speed.unwrap_or(usize::MAX).saturating_add(EXTRA_LOADS);
        let mut free = most.saturating_sub(loading);
        let ranked = self.ranked_engines(now_ms);
        let queue = &self.load_queue;
        for server in ranked {
            let Some(engine) = self.engines.get_mut(&server) else {
                continue;
            };
            engine.advance_most_urgent(|rank| queue.use_of(rank.organisation.as_ref(), now_ms));
            let is_load = engine.is_next_a_load();
            if is_load && free == 0 {
                continue;
            }
            let Some(order) = engine.next_order() else {
                continue;
            };
            if is_load {
                free -= 1;
            }
            self.actions.push(Action::Order(order));
        }
    }

    /// Returns the engines with an order to send, the one with the most urgent load first.
    fn ranked_engines(&self, now_ms: u64) -> Vec<Name> {
        let engines = self
            .engines
            .values()
            .filter(|engine| engine.may_send_order());
        let mut ranked: Vec<_> = engines
            .map(|engine| {
                let rank = engine
                    .most_urgent(|rank| self.load_queue.use_of(rank.organisation.as_ref(), now_ms));
                (rank, &engine.backend.id)
            })
            .collect();
        ranked.sort_by(|(one, _), (other, _)| one.partial_cmp(other).expect("finite uses"));
        ranked.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Places requests again whose load has not begun in the time that they may wait. They are refused
    /// unless another engine can serve them.
    pub(super) fn check_waiting_loads(&mut self, now_ms: u64) {
        if !self.load_queue.is_ranked || now_ms < self.load_queue.due_ms {
            return;
        }
        self.load_queue.due_ms = now_ms + CHECK_PERIOD_MS;
        let waiting = self.waiting.iter().filter(|(_, placed)| {
            let waited_ms = now_ms.saturating_sub(placed.requested_ms);
            let max_wait_ms = assignment::max_wait_ms(&placed.request, 0);
            let engine = self.engines.get(&placed.server);
            let key = placed.request.prompt.adapter_key();
            waited_ms as f64 > max_wait_ms
                && key.is_some_and(|key| engine.is_some_and(|engine| engine.has_planned(&key)))
        });
        let waiting: Vec<Ticket> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            if let Some(placed) = self.waiting.remove(&ticket) {
                self.release(&placed, now_ms);
                self.place(placed.request, placed.requested_ms, now_ms);
            }
        }
    }
}

impl Engine {
    /// Returns the loads from the weight store that are in progress, or whose order is not answered yet.
    fn loads_in_progress(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        let is_ordered = in_flight.is_some_and(|order| self.is_store_load(order));
        self.loads.from_store + usize::from(is_ordered)
    }

    fn loads_ahead(&self, is_ahead: impl Fn(&LoadRank) -> bool) -> usize {
        let planned = self.planned.iter().filter(|order| {
            let rank = order.rank.as_ref();
            rank.is_none_or(&is_ahead) && self.is_store_load(order)
        });
        self.loads_in_progress() + planned.count()
    }

    /// Whether an order loads an adapter from the weight store.
    fn is_store_load(&self, order: &PlannedOrder) -> bool {
        let Some(adapter) = &order.adapter else {
            return false;
        };
        let key = (order.model.clone(), adapter.clone());
        order.kind == OrderKind::Load && !self.recently_held.contains(&key, order.version)
    }

    fn may_send_order(&self) -> bool {
        let is_free = self.report_state == ReportState::Confirmed && self.in_flight.is_none();
        is_free && !self.planned.is_empty()
    }

    fn is_next_a_load(&self) -> bool {
        let next = self.planned.front();
        next.is_some_and(|order| self.is_store_load(order))
    }

    /// Moves the most urgent load to the front of the planned orders, with the unload that makes room for
    /// it. As each load keeps its unload before it, the adapters fit whatever the order is.
    fn advance_most_urgent(&mut self, use_of: impl Fn(&LoadRank) -> f64) {
        let ranked = self
            .planned
            .iter()
            .enumerate()
            .filter_map(|(index, order)| {
                let rank = order.rank.as_ref()?;
                Some((rank.urgency, use_of(rank), rank.requested_ms, index))
            });
        let first = ranked.reduce(|one, other| if other < one { other } else { one });
        let Some((_, _, _, index)) = first else {
            return;
        };
        let load = self.planned.remove(index);
        let is_unload = |order: &PlannedOrder| order.kind == OrderKind::Unload;
        let makes_room = index > 0 && is_unload(&self.planned[index - 1]);
        let unload = makes_room.then(|| self.planned.remove(index - 1)).flatten();
        for order in load.into_iter().chain(unload) {
            self.planned.push_front(order);
        }
    }

    /// Returns the rank of the most urgent planned load, as a key by which engines are sorted.
    fn most_urgent(&self, use_of: impl Fn(&LoadRank) -> f64) -> (u8, f64, u64) {
        let ranks = self.planned.iter().filter_map(|order| order.rank.as_ref());
        let keys = ranks.map(|rank| (rank.urgency, use_of(rank), rank.requested_ms));
        let first = |one: (u8, f64, u64), other| if other < one { other } else { one };
        keys.reduce(first).unwrap_or((0, 0.0, 0))
    }

    /// Whether the load of an adapter has not been accepted yet.
    fn has_planned(&self, key: &AdapterKey) -> bool {
        let adapter = self.adapters.get(key);
        adapter.is_some_and(|adapter| adapter.phase == AdapterPhase::Planned)
    }
}
