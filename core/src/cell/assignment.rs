//! Assigns a request to an engine, or refuses it if the engines cannot prefill it in time.
//!
//! Handles demand beyond the prefill capacity: bursts, and removed engines.

use super::choice::{self, Choice, ChoiceContext};
use super::engine::Engine;
use super::load_queue::LoadRank;
use super::message::{PlacementRequest, PlacementResponse, Refusal, RefusalReason, Ticket};
use super::placed_request::PlacedRequest;
use super::prefill_queue::PendingPrefill;
use super::{Action, Cell, limited, streams};
use crate::backend::Backend;
use crate::name::Name;
use crate::rounding::floor_ms;

/// Maximum share of the remaining time that a request may wait for its prefill to start. A request
/// that would wait longer is refused at once, while its caller still has time to retry.
const MAX_WAIT_SHARE: f64 = 0.3;
/// Maximum share of the time to the target that a request may wait while the target has not passed.
/// The rest is reserved for its own prefill; with a longer wait, all waiting requests would miss
/// their targets.
const MAX_WAIT_SHARE_OF_TARGET: f64 = 0.6;
/// Share of the remaining time within which the first event must be forecast.
const MAX_FIRST_EVENT_SHARE: f64 = 0.9;
/// Shortest retry delay sent to a caller if no server is available, in milliseconds.
const NO_SERVER_RETRY_MS: u64 = 400;

impl Cell {
    /// Assigns a request, lets it wait for the limit of an engine, or refuses it.
    pub(super) fn place(&mut self, request: PlacementRequest, requested_ms: u64, now_ms: u64) {
        if let Some(request) = self.try_place(request, requested_ms, now_ms) {
            self.limited.add_placement(request, requested_ms, now_ms);
        }
    }

    /// Assigns a request or refuses it. Returns it if it has to wait for the limit of an engine.
    pub(super) fn try_place(
        &mut self,
        request: PlacementRequest,
        requested_ms: u64,
        now_ms: u64,
    ) -> Option<PlacementRequest> {
        for engine in self.engines.values_mut() {
            engine.prefills.advance(now_ms as f64);
        }
        let waited_ms = now_ms - requested_ms;
        let choice = self.choose(&request, waited_ms, now_ms);
        if let Some(choice) = &choice
            && !choice.is_late
        {
            self.assign(request, requested_ms, choice, now_ms);
            return None;
        }
        let ahead = self.limited.placements_ahead(&request);
        let limited_wait_ms = self.limited_wait_ms(&request, ahead, now_ms);
        if limited_wait_ms.is_some_and(|it| it as f64 <= max_wait_ms(&request, waited_ms)) {
            return Some(request);
        }
        if choice.is_none() && self.may_wait_for_version(&request, requested_ms, now_ms) {
            self.add_waiting_stream(request, requested_ms);
            return None;
        }
        let request = match choice {
            Some(_) => request,
            None => self.wait_unserved(request, requested_ms, now_ms)?,
        };
        self.refund(&request, now_ms);
        let refusal = match (limited_wait_ms, choice) {
            (Some(wait_ms), _) => overload_refusal(wait_ms),
            (None, Some(choice)) => overload_refusal(floor_ms(choice.wait_ms)),
            (None, None) => Refusal {
                reason: RefusalReason::NoServer,
                retry_after_ms: self.no_server_retry_ms(&request, now_ms),
            },
        };
        self.refuse(request.ticket, refusal);
        None
    }

    /// Returns the time after which a caller may retry whom no engine can serve now, in milliseconds.
    fn no_server_retry_ms(&self, request: &PlacementRequest, now_ms: u64) -> u64 {
        let (_, most_ms) = limited::RETRY_AFTER_MS.into_inner();
        let wait_ms = self.service_wait_ms(request, now_ms);
        let wait_ms = wait_ms.filter(|wait_ms| *wait_ms <= most_ms);
        wait_ms.unwrap_or(0).max(NO_SERVER_RETRY_MS)
    }

    fn choose(&self, request: &PlacementRequest, waited_ms: u64, now_ms: u64) -> Option<Choice> {
        let service = self.services.get(&request.service)?;
        let context = ChoiceContext {
            now_ms,
            may_send_orders: now_ms >= self.orders_from_ms,
            loads_under_way: self.loads_ahead(request, now_ms),
            adapter_slots: service.spec.adapter_slots,
            kv_tokens: service.spec.kv_tokens,
            slots: service.spec.slots as usize,
            load_speed: &self.load_speed,
            speed: &service.speed,
            is_uneven: service.is_uneven,
            pause_limit: service.pause_limit.filter(|_| service.is_uneven),
            newest: self.newest_of(&request.prompt),
            zone: &request.zone,
            urgency: request.urgency,
            prefers_timely: self.load_queue.is_ranked,
            max_wait_ms: max_wait_ms(request, waited_ms),
            max_first_event_ms: max_first_event_ms(request, waited_ms),
        };
        let engines = self.engines.values().filter(|engine| {
            streams::is_eligible(engine, request) && self.may_send_to(&engine.backend, now_ms)
        });
        choice::choose(engines, &request.prompt, &context)
    }

    pub(super) fn may_send_to(&self, backend: &Backend, now_ms: u64) -> bool {
        let (server, boot) = limited::start_of(backend);
        self.server_rates.may_send(server, boot, now_ms)
    }

    fn assign(
        &mut self,
        request: PlacementRequest,
        requested_ms: u64,
        choice: &Choice,
        now_ms: u64,
    ) {
        let newest = self.newest_of(&request.prompt);
        if choice.needs_load {
            let rank = LoadRank::of(&request, requested_ms);
            self.record_planned_load(&rank, now_ms);
            self.plan_load(&choice.server, &request.prompt, newest, rank, now_ms);
        }
        let Some(engine) = self.engines.get_mut(&choice.server) else {
            return;
        };
        let (server, boot) = limited::start_of(&engine.backend);
        // The choice is among engines that may be sent a request.
        let _ = self.server_rates.try_take(server, boot, now_ms);
        let placed = PlacedRequest {
            requested_ms,
            server: choice.server.clone(),
            version: newest,
            first_event_ms: choice.wait_ms + choice.prefill_ms,
            uncached_tokens: choice.uncached_tokens,
            was_idle: engine.prefills.is_empty(),
            request,
        };
        let kv_tokens = self
            .services
            .get(&engine.backend.service)
            .map_or(0, |service| service.spec.kv_tokens);
        engine.add_request(&placed, now_ms);
        engine.prefills.push(PendingPrefill {
            ticket: placed.request.ticket,
            ready_ms: now_ms as f64 + choice.adapter_ms,
            urgency: placed.request.urgency,
            left_ms: choice.prefill_ms,
        });
        let capacity = kv_tokens.saturating_sub(engine.running_tokens);
        engine
            .cache
            .insert(&placed.request.prompt, newest.unwrap_or(0), capacity);
        if engine.holds(&placed.request.prompt) {
            self.grant(placed, now_ms);
        } else {
            self.waiting.insert(placed.request.ticket, placed);
        }
    }

    pub(super) fn grant(&mut self, placed: PlacedRequest, now_ms: u64) {
        let engine = self.engines.get(&placed.server);
        let software_version = engine.and_then(|engine| engine.backend.software_version.clone());
        self.record_assigned_stream(&placed.request, software_version.clone(), now_ms);
        let response = PlacementResponse::Granted {
            server: placed.server.clone(),
            software_version,
            version: placed.version,
            first_event_ms: floor_ms(placed.first_event_ms),
        };
        self.actions.push(Action::Answer {
            ticket: placed.request.ticket,
            response,
        });
        self.running.insert(placed.request.ticket, placed);
    }

    /// Assigns the requests again that wait at a server for an adapter which will not be loaded
    /// there.
    pub(super) fn reassign_waiting(&mut self, server: &Name, now_ms: u64) {
        let is_lost = |placed: &PlacedRequest, engine: Option<&Engine>| {
            &placed.server == server
                && engine.is_none_or(|engine| {
                    !engine.backend.is_ready() || !engine.holds_or_expects(&placed.request.prompt)
                })
        };
        let engine = self.engines.get(server);
        let lost: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, placed)| is_lost(placed, engine))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in lost {
            if let Some(placed) = self.waiting.remove(&ticket) {
                self.release(&placed, now_ms);
                self.place(placed.request, placed.requested_ms, now_ms);
            }
        }
    }
}

/// Returns the longest time until the first event of a request.
fn max_first_event_ms(request: &PlacementRequest, waited_ms: u64) -> f64 {
    let left_ms = request.left_ms.saturating_sub(waited_ms) as f64;
    left_ms * MAX_FIRST_EVENT_SHARE
}

/// Returns the longest time that a request may wait for its prefill to start.
pub(super) fn max_wait_ms(request: &PlacementRequest, waited_ms: u64) -> f64 {
    let left_ms = request.left_ms.saturating_sub(waited_ms) as f64;
    let target_ms = request.target_ms.saturating_sub(waited_ms) as f64;
    let max_ms = left_ms * MAX_WAIT_SHARE;
    if target_ms > 0.0 {
        max_ms.min(target_ms * MAX_WAIT_SHARE_OF_TARGET)
    } else {
        max_ms
    }
}

fn overload_refusal(wait_ms: u64) -> Refusal {
    let (least_ms, most_ms) = limited::RETRY_AFTER_MS.into_inner();
    Refusal {
        reason: RefusalReason::Overloaded,
        retry_after_ms: wait_ms.clamp(least_ms, most_ms),
    }
}
