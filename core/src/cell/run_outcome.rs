//! Handles the outcome of a request at its server.

use super::Cell;
use super::engine::AdapterPhase;
use super::message::{EndedRun, RunOutcome, Ticket};
use super::placed_request::PlacedRequest;
use super::prefill_speed::PrefillSpeed;
use crate::name::Name;
use crate::slow_start::AnswerSign;

/// Time for which a server gets no requests after a connection to it broke, in milliseconds.
const AVOID_AFTER_BREAK_MS: u64 = 300;
/// Minimum extension of a load that had not ended when it was due, in milliseconds.
const MIN_LATE_LOAD_DELAY_MS: u64 = 70;
/// Number of times that a load may be extended.
const MAX_LATE_COUNT: u32 = 12;
/// Time without contact after which an instance counts as terminated, in milliseconds.
const ENTRY_TIMEOUT_MS: u64 = 4_000;
/// Time for which a server gets no requests after it rejected one, in milliseconds.
const AVOID_AFTER_REJECTION_MS: u64 = 30;

impl Cell {
    /// Ends a request that has left its server or no longer waits.
    pub fn end_run(&mut self, ended: &EndedRun, now_ms: u64) {
        self.remove_waiting(|ticket| ticket == ended.ticket, now_ms);
        let waiting = self.waiting.remove(&ended.ticket);
        let was_waiting = waiting.is_some();
        let Some(placed) = waiting.or_else(|| self.running.remove(&ended.ticket)) else {
            return;
        };
        self.release(&placed, now_ms);
        if was_waiting {
            self.refund(&placed.request, now_ms);
        }
        self.record_timings(&placed, ended);
        self.record_pace(&placed, ended, now_ms);
        match ended.outcome {
            RunOutcome::NotHeld | RunOutcome::Rejected if self.is_load_late(&placed, now_ms) => {}
            RunOutcome::Answered => {
                let work = placed.request.work();
                self.suspects
                    .record_answer(&work, placed.requested_ms, now_ms);
            }
            RunOutcome::Failed | RunOutcome::Cancelled => {}
            RunOutcome::NotHeld => self.invalidate_engine(&placed.server, now_ms, now_ms),
            RunOutcome::Rejected => self.avoid(&placed.server, AVOID_AFTER_REJECTION_MS, now_ms),
            RunOutcome::Unreachable | RunOutcome::Broken => {
                if ended.outcome == RunOutcome::Broken {
                    let work = placed.request.work().interrupted_after(ended.streamed_ms);
                    self.suspects
                        .record_broken_connection(&placed.server, work, now_ms);
                }
                self.avoid(&placed.server, AVOID_AFTER_BREAK_MS, now_ms);
                self.invalidate_engine(&placed.server, now_ms, now_ms);
            }
        }
        self.advance(now_ms);
    }

    /// Cancels the requests of instances that have not been in contact for [`ENTRY_TIMEOUT_MS`].
    pub(super) fn remove_unresponsive_entries(&mut self, now_ms: u64) {
        let is_unresponsive =
            |last_seen_ms: u64| now_ms.saturating_sub(last_seen_ms) > ENTRY_TIMEOUT_MS;
        let unresponsive = self
            .entries_last_seen_ms
            .iter()
            .filter(|(_, last_seen_ms)| is_unresponsive(**last_seen_ms));
        let unresponsive: Vec<u64> = unresponsive.map(|(entry, _)| *entry).collect();
        for entry in unresponsive {
            self.entries_last_seen_ms.remove(&entry);
            self.remove_waiting(|ticket| ticket.entry == entry, now_ms);
            let tickets = self.running.keys().chain(self.waiting.keys());
            let tickets: Vec<Ticket> = tickets.filter(|it| it.entry == entry).copied().collect();
            for ticket in tickets {
                let ended = EndedRun {
                    ticket,
                    outcome: RunOutcome::Cancelled,
                    first_event_ms: None,
                    streamed_ms: 0,
                };
                self.end_run(&ended, now_ms);
            }
        }
    }

    /// Removes requests that wait for the limit of a server or for their version.
    fn remove_waiting(&mut self, is_gone: impl Fn(Ticket) -> bool, now_ms: u64) {
        let mut removed = self.limited.remove(&is_gone);
        removed.extend(self.streams.remove(&is_gone));
        removed.extend(self.unserved.remove(&is_gone));
        for request in removed {
            self.refund(&request, now_ms);
        }
    }

    /// Adapts the pace of an engine that has just started to the end of a run.
    fn record_pace(&mut self, placed: &PlacedRequest, ended: &EndedRun, now_ms: u64) {
        let sign = match (ended.outcome, ended.first_event_ms) {
            (RunOutcome::Answered, Some(first_event_ms))
                if first_event_ms <= placed.request.target_ms =>
            {
                AnswerSign::Timely
            }
            (RunOutcome::Answered | RunOutcome::Failed | RunOutcome::Broken, _) => AnswerSign::Late,
            (RunOutcome::Rejected, _) => AnswerSign::Rejected,
            (RunOutcome::NotHeld | RunOutcome::Unreachable | RunOutcome::Cancelled, _) => return,
        };
        if let Some(engine) = self.engines.get(&placed.server) {
            let boot = engine.backend.started_unix_ms;
            self.server_rates
                .record_answer(&placed.server, boot, sign, now_ms);
        }
    }

    fn record_timings(&mut self, placed: &PlacedRequest, ended: &EndedRun) {
        let Some(first_event_ms) = ended.first_event_ms else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&placed.server)
            && let Some(adapter) = engine.adapter_of(&placed.request.prompt)
            && let Some(load) = adapter.unconfirmed.take()
            && load.late_count == 0
        {
            self.load_speed.record_timely_load(load.concurrent_loads);
        }
        if placed.was_idle
            && let Some(service) = self.services.get_mut(&placed.request.service)
        {
            let tokens = placed.uncached_tokens as f64;
            let prefill_ms = PrefillSpeed::sample_ms(tokens, first_event_ms as f64);
            if let Some(prefill_ms) = prefill_ms
                && let Some(engine) = self.engines.get_mut(&placed.server)
            {
                let expected_ms = service.speed.prefill_ms(tokens);
                engine.pace.add_sample(prefill_ms, expected_ms);
            }
            service.speed.add_sample(tokens, first_event_ms as f64);
        }
    }

    /// Returns whether the server refused the request because the load of its adapter had not ended
    /// when due. The due time of the load is then extended.
    fn is_load_late(&mut self, placed: &PlacedRequest, now_ms: u64) -> bool {
        let Some(engine) = self.engines.get_mut(&placed.server) else {
            return false;
        };
        let Some(adapter) = engine.adapter_of(&placed.request.prompt) else {
            return false;
        };
        let Some(mut load) = adapter.unconfirmed.take() else {
            return matches!(adapter.phase, AdapterPhase::Loading { .. });
        };
        load.late_count += 1;
        if load.late_count > MAX_LATE_COUNT {
            return false;
        }
        load.due_ms = now_ms + MIN_LATE_LOAD_DELAY_MS.max(load.forecast_ms / 3);
        adapter.phase = AdapterPhase::Loading { load };
        engine.update_loads();
        if load.is_reload {
            if let Some(key) = placed.request.prompt.adapter_key() {
                engine.recently_held.remove(&key);
            }
        } else {
            self.load_speed
                .record_late_load(load.forecast_ms, load.concurrent_loads, now_ms);
        }
        true
    }

    fn avoid(&mut self, server: &Name, duration_ms: u64, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.avoided_until_ms = engine.avoided_until_ms.max(now_ms + duration_ms);
        }
    }
}
