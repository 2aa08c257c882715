//! Gives a request a place at an engine, or refuses it.
//!
//! Answers demand beyond what the engines can read in time: bursts, and engines that are gone.

use super::choice::{self, Choice, Situation};
use super::engine::Engine;
use super::message::{Ask, Grant, Refusal, RefusalReason, Ticket};
use super::placed::Placed;
use super::reading::Reading;
use super::{Action, Cell};
use crate::name::Name;
use crate::rounding::floor_ms;

/// Share of the time left that a request may wait for its server to begin. What would wait longer
/// is refused at once, so that its caller can come back while there is time.
const MAX_WAIT_SHARE: f64 = 0.3;
/// Share of the time to the target that it may wait, while there is such time: the rest is for reading
/// its prompt. If more waited, all of them would be late.
const MAX_WAIT_SHARE_OF_TARGET: f64 = 0.6;
/// Share of the time left within which the first event must be forecast.
const MAX_FIRST_EVENT_SHARE: f64 = 0.9;
/// Time after which a caller is told to come back if no server is there, in milliseconds.
const NO_SERVER_RETRY_MS: u64 = 400;
/// Bounds of the time after which a caller is told to come back from an overload.
const OVERLOAD_RETRY_MS: std::ops::RangeInclusive<u64> = 200..=2_000;

impl Cell {
    pub(super) fn place(&mut self, ask: Ask, asked_ms: u64, now_ms: u64) {
        for engine in self.engines.values_mut() {
            engine.reading.advance(now_ms as f64);
        }
        match self.choose(&ask, now_ms) {
            None => {
                self.refund(&ask, now_ms);
                let refusal = Refusal {
                    reason: RefusalReason::NoServer,
                    retry_after_ms: NO_SERVER_RETRY_MS,
                };
                self.refuse(ask.ticket, refusal);
            }
            Some(choice) if is_too_late(&choice, &ask, now_ms - asked_ms) => {
                self.refund(&ask, now_ms);
                let refusal = Refusal {
                    reason: RefusalReason::Overloaded,
                    retry_after_ms: overload_retry_ms(&choice),
                };
                self.refuse(ask.ticket, refusal);
            }
            Some(choice) => self.take(ask, asked_ms, &choice, now_ms),
        }
    }

    fn choose(&self, ask: &Ask, now_ms: u64) -> Option<Choice> {
        let service = self.services.get(&ask.service)?;
        let situation = Situation {
            now_ms,
            may_order: now_ms >= self.orders_from_ms,
            loads_under_way: self.loads_under_way(),
            adapter_places: service.spec.adapter_slots,
            kv_tokens: service.spec.kv_tokens,
            slots: service.spec.slots as usize,
            load_speed: &self.load_speed,
            speed: &service.speed,
            newest: self.newest_of(&ask.prompt),
            zone: &ask.zone,
            urgency: ask.urgency,
        };
        let engines = self.engines.values().filter(|engine| {
            engine.backend.service == ask.service && !ask.excluded.contains(&engine.backend.id)
        });
        choice::choose(engines, &ask.prompt, &situation)
    }

    fn take(&mut self, ask: Ask, asked_ms: u64, choice: &Choice, now_ms: u64) {
        let newest = self.newest_of(&ask.prompt);
        if choice.needs_load {
            self.plan_load(&choice.server, &ask.prompt, newest, now_ms);
        }
        let Some(engine) = self.engines.get_mut(&choice.server) else {
            return;
        };
        let placed = Placed {
            asked_ms,
            server: choice.server.clone(),
            version: newest,
            first_event_ms: choice.wait_ms + choice.read_ms,
            unread_tokens: choice.unread_tokens,
            was_idle: engine.reading.is_empty(),
            ask,
        };
        let kv_tokens = self
            .services
            .get(&engine.backend.service)
            .map_or(0, |service| service.spec.kv_tokens);
        engine.take(&placed, now_ms);
        engine.reading.push(Reading {
            ticket: placed.ask.ticket,
            ready_ms: now_ms as f64 + choice.adapter_ms,
            urgency: placed.ask.urgency,
            left_ms: choice.read_ms,
        });
        let capacity = kv_tokens.saturating_sub(engine.running_tokens);
        engine
            .cache
            .read(&placed.ask.prompt, newest.unwrap_or(0), capacity);
        if engine.holds(&placed.ask.prompt) {
            self.go(placed);
        } else {
            self.waiting.insert(placed.ask.ticket, placed);
        }
    }

    pub(super) fn go(&mut self, placed: Placed) {
        let grant = Grant::Go {
            server: placed.server.clone(),
            version: placed.version,
            first_event_ms: floor_ms(placed.first_event_ms),
        };
        self.actions.push(Action::Answer {
            ticket: placed.ask.ticket,
            grant,
        });
        self.running.insert(placed.ask.ticket, placed);
    }

    /// Places the requests again that wait at a server for an adapter which will not come there.
    pub(super) fn replace_waiting(&mut self, server: &Name, now_ms: u64) {
        let is_lost = |placed: &Placed, engine: Option<&Engine>| {
            &placed.server == server
                && engine.is_none_or(|engine| {
                    !engine.backend.is_ready() || !engine.expects(&placed.ask.prompt)
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
                self.place(placed.ask, placed.asked_ms, now_ms);
            }
        }
    }
}

/// Whether the request is better refused now: it would wait too long, or begin too late. What it
/// reads itself does not count as waiting, so that long prompts are not refused before short ones.
fn is_too_late(choice: &Choice, ask: &Ask, waited_ms: u64) -> bool {
    let left_ms = ask.left_ms.saturating_sub(waited_ms) as f64;
    let first_event_ms = choice.wait_ms + choice.read_ms;
    choice.wait_ms > most_wait_ms(ask, waited_ms)
        || first_event_ms > left_ms * MAX_FIRST_EVENT_SHARE
}

/// The longest that a request may wait for its server to begin.
fn most_wait_ms(ask: &Ask, waited_ms: u64) -> f64 {
    let left_ms = ask.left_ms.saturating_sub(waited_ms) as f64;
    let target_ms = ask.target_ms.saturating_sub(waited_ms) as f64;
    let most_ms = left_ms * MAX_WAIT_SHARE;
    if target_ms > 0.0 {
        most_ms.min(target_ms * MAX_WAIT_SHARE_OF_TARGET)
    } else {
        most_ms
    }
}

fn overload_retry_ms(choice: &Choice) -> u64 {
    let (least, most) = OVERLOAD_RETRY_MS.into_inner();
    floor_ms(choice.wait_ms).clamp(least, most)
}
