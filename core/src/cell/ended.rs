//! What follows when a request has left its server.

use super::Cell;
use super::engine::AdapterPhase;
use super::message::{EndedRun, RunEnd, Ticket};
use super::placed::Placed;
use crate::name::Name;

/// Time for which a server is left out after a connection to it broke, in milliseconds.
const AVOID_AFTER_BREAK_MS: u64 = 300;
/// Shortest time after which a load that was not there as forecast is expected, in milliseconds.
const LATE_LOAD_MS: u64 = 70;
/// Times that a load may be expected again.
const MAX_LATE: u32 = 12;
/// Time after which an instance that is not heard is gone, in milliseconds.
const ENTRY_SILENT_MS: u64 = 4_000;
/// Time for which a server is left out after it refused a request, in milliseconds.
const AVOID_AFTER_REJECTION_MS: u64 = 30;

impl Cell {
    /// A request has left its server, or no longer waits.
    pub fn ended(&mut self, ended: &EndedRun, now_ms: u64) {
        let waiting = self.waiting.remove(&ended.ticket);
        let was_waiting = waiting.is_some();
        let Some(placed) = waiting.or_else(|| self.running.remove(&ended.ticket)) else {
            return;
        };
        self.release(&placed, now_ms);
        if was_waiting {
            self.refund(&placed.ask, now_ms);
        }
        self.learn(&placed, ended);
        match ended.end {
            RunEnd::NotHeld | RunEnd::Rejected if self.is_load_late(&placed, now_ms) => {}
            RunEnd::Answered => self.suspects.answered(placed.ask.fingerprint),
            RunEnd::Cancelled => {}
            RunEnd::NotHeld => self.doubt(&placed.server, now_ms, now_ms),
            RunEnd::Rejected => self.avoid(&placed.server, AVOID_AFTER_REJECTION_MS, now_ms),
            RunEnd::Unreachable | RunEnd::Broken => {
                if ended.end == RunEnd::Broken {
                    let fingerprint = placed.ask.fingerprint;
                    self.suspects.broke(&placed.server, fingerprint, now_ms);
                }
                self.avoid(&placed.server, AVOID_AFTER_BREAK_MS, now_ms);
                self.doubt(&placed.server, now_ms, now_ms);
            }
        }
        self.advance(now_ms);
    }

    /// The requests of an instance that is gone no longer run.
    pub(super) fn forget_silent_entries(&mut self, now_ms: u64) {
        let is_silent = |heard_ms: u64| now_ms.saturating_sub(heard_ms) > ENTRY_SILENT_MS;
        let silent = self
            .entries
            .iter()
            .filter(|(_, heard_ms)| is_silent(**heard_ms));
        let silent: Vec<u64> = silent.map(|(entry, _)| *entry).collect();
        for entry in silent {
            self.entries.remove(&entry);
            let tickets = self.running.keys().chain(self.waiting.keys());
            let tickets: Vec<Ticket> = tickets.filter(|it| it.entry == entry).copied().collect();
            for ticket in tickets {
                let ended = EndedRun {
                    ticket,
                    end: RunEnd::Cancelled,
                    first_event_ms: None,
                };
                self.ended(&ended, now_ms);
            }
        }
    }

    fn learn(&mut self, placed: &Placed, ended: &EndedRun) {
        let Some(first_event_ms) = ended.first_event_ms else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&placed.server)
            && let Some(adapter) = engine.adapter_of(&placed.ask.prompt)
            && let Some(load) = adapter.unconfirmed.take()
            && load.late == 0
        {
            self.load_speed.timely(load.beside);
        }
        if placed.was_idle
            && let Some(service) = self.services.get_mut(&placed.ask.service)
        {
            let tokens = placed.unread_tokens as f64;
            service.speed.learn(tokens, first_event_ms as f64);
        }
    }

    /// Whether the request was refused because its adapter had not arrived as forecast. It is then
    /// expected a little later.
    fn is_load_late(&mut self, placed: &Placed, now_ms: u64) -> bool {
        let Some(engine) = self.engines.get_mut(&placed.server) else {
            return false;
        };
        let Some(adapter) = engine.adapter_of(&placed.ask.prompt) else {
            return false;
        };
        let Some(mut load) = adapter.unconfirmed.take() else {
            return matches!(adapter.phase, AdapterPhase::Coming { .. });
        };
        load.late += 1;
        if load.late > MAX_LATE {
            return false;
        }
        load.due_ms = now_ms + LATE_LOAD_MS.max(load.forecast_ms / 3);
        adapter.phase = AdapterPhase::Coming { load };
        if load.is_reload {
            if let Some(key) = placed.ask.prompt.adapter_key() {
                engine.held_before.remove(&key);
            }
        } else {
            self.load_speed.late(now_ms);
        }
        true
    }

    fn avoid(&mut self, server: &Name, time_ms: u64, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.avoided_until_ms = engine.avoided_until_ms.max(now_ms + time_ms);
        }
    }
}
