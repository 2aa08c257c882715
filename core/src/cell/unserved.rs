//! Requests that no engine can take now, although one can soon.
//!
//! Handles the first seconds of a placer, in which it may not send orders yet, and engines whose content is
//! unknown until their next report. A refusal would send callers away who can be served.

use std::collections::BTreeMap;

use super::message::{PlacementRequest, Ticket};
use super::{Cell, assignment, streams};

/// Time between two attempts to serve the waiting requests, in milliseconds.
const RETRY_PERIOD_MS: u64 = 50;
/// Longest time for which the report of an engine is waited for, in milliseconds.
const MAX_REPORT_WAIT_MS: u64 = 1_000;

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// A smaller one is more urgent.
    urgency: u8,
    /// Time of the request, in milliseconds.
    requested_ms: u64,
    ticket: Ticket,
}

/// The waiting requests.
#[derive(Debug, Default)]
pub(super) struct Unserved {
    waiting: BTreeMap<Rank, PlacementRequest>,
    /// Time of the next attempt to serve them, in milliseconds.
    due_ms: u64,
}

impl Unserved {
    /// Returns when waiting requests are to be served next, in milliseconds.
    pub(super) fn due_ms(&self) -> Option<u64> {
        (!self.waiting.is_empty()).then_some(self.due_ms)
    }

    /// Removes requests whose callers have left, or whose instances have ended.
    pub(super) fn remove(&mut self, is_gone: impl Fn(Ticket) -> bool) -> Vec<PlacementRequest> {
        let gone = self.waiting.extract_if(.., |rank, _| is_gone(rank.ticket));
        gone.map(|(_, request)| request).collect()
    }

    fn add(&mut self, request: PlacementRequest, requested_ms: u64, now_ms: u64) {
        if self.waiting.is_empty() {
            self.due_ms = now_ms + RETRY_PERIOD_MS;
        }
        let rank = Rank {
            urgency: request.urgency,
            requested_ms,
            ticket: request.ticket,
        };
        self.waiting.insert(rank, request);
    }
}

impl Cell {
    /// Lets a request wait that no engine can take now, if one can soon. Returns it if none can.
    pub(super) fn wait_unserved(
        &mut self,
        request: PlacementRequest,
        requested_ms: u64,
        now_ms: u64,
    ) -> Option<PlacementRequest> {
        let waited_ms = now_ms - requested_ms;
        let max_wait_ms = assignment::max_wait_ms(&request, 0);
        let is_soon = self
            .service_wait_ms(&request, now_ms)
            .is_some_and(|wait_ms| (waited_ms + wait_ms) as f64 <= max_wait_ms);
        if !is_soon || waited_ms > MAX_REPORT_WAIT_MS {
            return Some(request);
        }
        self.unserved.add(request, requested_ms, now_ms);
        None
    }

    /// Returns the shortest time until an engine that cannot take a request now may be able to, in
    /// milliseconds; `None` if there is no such engine.
    pub(super) fn service_wait_ms(&self, request: &PlacementRequest, now_ms: u64) -> Option<u64> {
        let orders_wait_ms = self.orders_from_ms.saturating_sub(now_ms);
        let mut engines = self.engines.values().filter(|engine| {
            engine.serves(&request.prompt.model, now_ms) && streams::is_eligible(engine, request)
        });
        if orders_wait_ms > 0 {
            return engines.next().map(|_| orders_wait_ms);
        }
        let unconfirmed = engines.filter_map(|engine| engine.report_wait_ms(now_ms));
        unconfirmed.min()
    }

    /// Tries again to serve the waiting requests.
    pub(super) fn serve_unserved(&mut self, now_ms: u64) {
        if self.unserved.due_ms().is_none_or(|due_ms| now_ms < due_ms) {
            return;
        }
        self.unserved.due_ms = now_ms + RETRY_PERIOD_MS;
        for (rank, request) in std::mem::take(&mut self.unserved.waiting) {
            if self.refuse_quarantined(&request) {
                self.refund(&request, now_ms);
                continue;
            }
            self.place(request, rank.requested_ms, now_ms);
        }
    }
}
