//! Requests that wait at the placer until a server with a limit may be sent another one.

use std::collections::BTreeMap;

use super::message::{PermitRequest, PermitResponse, PlacementRequest, Ticket};
use super::{Action, Cell, streams};
use crate::backend::Backend;
use crate::stated_limit::StatedLimit;

/// Time between two attempts to serve the waiting requests, in milliseconds.
const RETRY_PERIOD_MS: u64 = 25;
/// Bounds of the retry delay sent to a caller whose request would wait too long, in milliseconds.
pub(super) const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 200..=2_000;

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// A smaller one is more urgent.
    urgency: u8,
    /// Number in the order of arrival.
    number: u64,
}

/// A request to an engine that waits.
#[derive(Debug)]
struct WaitingPlacement {
    request: PlacementRequest,
    requested_ms: u64,
}

/// A request to a plain service that waits.
#[derive(Debug)]
struct WaitingPermit {
    request: PermitRequest,
    /// Time at which it is refused, in milliseconds.
    until_ms: u64,
}

/// The waiting requests.
#[derive(Debug, Default)]
pub(super) struct LimitedRequests {
    placements: BTreeMap<Rank, WaitingPlacement>,
    permits: BTreeMap<Rank, WaitingPermit>,
    /// Number of the next request.
    next_number: u64,
    /// Time of the next attempt to serve them, in milliseconds.
    due_ms: u64,
}

impl LimitedRequests {
    fn rank(&mut self, urgency: u8) -> Rank {
        self.next_number += 1;
        Rank {
            urgency,
            number: self.next_number,
        }
    }

    fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.permits.is_empty()
    }

    /// Returns when waiting requests are to be served next, in milliseconds.
    pub(super) fn due_ms(&self) -> Option<u64> {
        (!self.is_empty()).then_some(self.due_ms)
    }

    /// Returns the number of waiting requests to the same engines that are served before a new one.
    pub(super) fn placements_ahead(&self, request: &PlacementRequest) -> usize {
        let waiting = self.placements.iter().filter(|(rank, waiting)| {
            rank.urgency <= request.urgency && waiting.request.service == request.service
        });
        waiting.count()
    }

    /// Returns the number of waiting requests to the same plain servers that are served before a new
    /// one.
    fn permits_ahead(&self, request: &PermitRequest) -> usize {
        let waiting = self.permits.iter().filter(|(rank, waiting)| {
            let mut candidates = waiting.request.candidates.iter();
            rank.urgency <= request.urgency && candidates.any(|it| request.candidates.contains(it))
        });
        waiting.count()
    }

    /// Removes a request to an engine whose caller has left, or whose instance has ended.
    pub(super) fn remove(&mut self, is_gone: impl Fn(Ticket) -> bool) -> Vec<PlacementRequest> {
        let gone = self
            .placements
            .extract_if(.., |_, it| is_gone(it.request.ticket));
        gone.map(|(_, waiting)| waiting.request).collect()
    }

    pub(super) fn add_placement(
        &mut self,
        request: PlacementRequest,
        requested_ms: u64,
        now_ms: u64,
    ) {
        self.schedule(now_ms);
        let rank = self.rank(request.urgency);
        let waiting = WaitingPlacement {
            request,
            requested_ms,
        };
        self.placements.insert(rank, waiting);
    }

    fn add_permit(&mut self, request: PermitRequest, now_ms: u64) {
        self.schedule(now_ms);
        let rank = self.rank(request.urgency);
        let until_ms = now_ms + request.max_wait_ms;
        self.permits
            .insert(rank, WaitingPermit { request, until_ms });
    }

    fn schedule(&mut self, now_ms: u64) {
        if self.is_empty() {
            self.due_ms = now_ms + RETRY_PERIOD_MS;
        }
    }
}

impl Cell {
    /// Applies limits that servers have stated.
    pub fn apply_limits(&mut self, stated: &[StatedLimit], now_ms: u64) {
        for limit in stated {
            self.server_rates.apply(limit, now_ms);
        }
    }

    /// Permits a request to one of several plain servers with a limit, at once or later, or refuses
    /// it.
    pub fn request_permit(&mut self, request: PermitRequest, now_ms: u64) {
        let ahead = self.limited.permits_ahead(&request);
        if ahead == 0 && self.try_permit(&request, now_ms) {
            return;
        }
        let candidates = request.candidates.iter();
        let candidates = candidates.map(|(server, boot)| (&**server, *boot));
        let wait_ms = self.server_rates.wait_ms(candidates, ahead, now_ms);
        match wait_ms {
            Some(wait_ms) if wait_ms > request.max_wait_ms => {
                self.refuse_permit(request.ticket, wait_ms);
            }
            _ => self.limited.add_permit(request, now_ms),
        }
    }

    /// Takes a permit back that its instance does not use.
    pub fn return_permit(&mut self, server: &str, now_ms: u64) {
        self.server_rates.refund(server, now_ms);
    }

    fn try_permit(&mut self, request: &PermitRequest, now_ms: u64) -> bool {
        let mut candidates = request.candidates.iter();
        let permitted = candidates
            .find(|(server, boot)| self.server_rates.try_take(server, *boot, now_ms))
            .map(|(server, _)| server.clone());
        let Some(server) = permitted else {
            return false;
        };
        self.actions.push(Action::Permit {
            ticket: request.ticket,
            response: PermitResponse::Granted { server },
        });
        true
    }

    fn refuse_permit(&mut self, ticket: Ticket, wait_ms: u64) {
        let (least_ms, most_ms) = RETRY_AFTER_MS.into_inner();
        let retry_after_ms = wait_ms.clamp(least_ms, most_ms);
        self.actions.push(Action::Permit {
            ticket,
            response: PermitResponse::Refused { retry_after_ms },
        });
    }

    /// Serves the waiting requests as far as servers may be sent more.
    pub(super) fn serve_limited(&mut self, now_ms: u64) {
        if self.limited.due_ms().is_none_or(|due_ms| now_ms < due_ms) {
            return;
        }
        self.limited.due_ms = now_ms + RETRY_PERIOD_MS;
        for (rank, waiting) in std::mem::take(&mut self.limited.permits) {
            if self.try_permit(&waiting.request, now_ms) {
                continue;
            }
            if now_ms >= waiting.until_ms {
                self.refuse_permit(waiting.request.ticket, RETRY_PERIOD_MS);
            } else {
                self.limited.permits.insert(rank, waiting);
            }
        }
        for (rank, waiting) in std::mem::take(&mut self.limited.placements) {
            let WaitingPlacement {
                request,
                requested_ms,
            } = waiting;
            if self.refuse_quarantined(&request) {
                self.refund(&request, now_ms);
                continue;
            }
            if let Some(request) = self.try_place(request, requested_ms, now_ms) {
                let waiting = WaitingPlacement {
                    request,
                    requested_ms,
                };
                self.limited.placements.insert(rank, waiting);
            }
        }
    }

    /// Returns the time until a request can be placed at an engine that receives as much as its limit
    /// allows, in milliseconds; `None` if no such engine could run it.
    pub(super) fn limited_wait_ms(
        &self,
        request: &PlacementRequest,
        ahead: usize,
        now_ms: u64,
    ) -> Option<u64> {
        let engines = self.engines.values().filter(|engine| {
            streams::is_eligible(engine, request)
                && engine.serves(&request.prompt.model, now_ms)
                && !self.may_send_to(&engine.backend, now_ms)
        });
        let servers = engines.map(|engine| start_of(&engine.backend));
        self.server_rates.wait_ms(servers, ahead, now_ms)
    }
}

/// Returns the identifier of a server and the time of its start.
pub(super) fn start_of(backend: &Backend) -> (&str, u64) {
    (&*backend.id, backend.started_unix_ms)
}
