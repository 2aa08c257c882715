//! A request assigned to an engine, and the engine's request counts.

use super::engine::{AdapterPhase, AdapterState, Engine, ReportState, rank_index};
use super::message::{AdoptedRun, PlacementRequest};
use crate::name::Name;
use crate::prompt::Prompt;
use crate::stream_placement::StreamPlacement;

/// A request that waits or runs at a server.
#[derive(Clone, Debug)]
pub(super) struct PlacedRequest {
    pub(super) request: PlacementRequest,
    pub(super) requested_ms: u64,
    pub(super) server: Name,
    pub(super) version: Option<u64>,
    pub(super) first_event_ms: f64,
    pub(super) uncached_tokens: u64,
    /// Whether the server had no other prefill when the request was assigned.
    pub(super) was_idle: bool,
}

impl PlacedRequest {
    pub(super) fn from_adopted(run: AdoptedRun, zone: &str, now_ms: u64) -> Self {
        let request = PlacementRequest {
            ticket: run.ticket,
            request_id: "".into(),
            service: "".into(),
            zone: zone.into(),
            prompt: run.prompt,
            charge: None,
            urgency: 0,
            left_ms: 0,
            target_ms: 0,
            excluded: Vec::new(),
            previous: None,
            stream: StreamPlacement::None,
            request_hash: run.request_hash,
            is_trial: false,
        };
        Self {
            request,
            requested_ms: now_ms,
            server: run.server,
            version: None,
            first_event_ms: 0.0,
            uncached_tokens: 0,
            was_idle: false,
        }
    }
}

impl Engine {
    /// Adds a request to the counts.
    pub(super) fn add_request(&mut self, placed: &PlacedRequest, now_ms: u64) {
        self.running += 1;
        self.running_by_urgency[rank_index(placed.request.urgency)] += 1;
        self.tickets.insert(placed.request.ticket);
        self.running_tokens += placed.request.prompt.charged_tokens();
        if let Some(adapter) = self.adapter_of(&placed.request.prompt) {
            adapter.uses += 1;
            adapter.last_used_ms = now_ms;
        }
    }

    /// Removes a request from the counts and from the prefill queue.
    pub(super) fn remove_request(&mut self, placed: &PlacedRequest, now_ms: u64) {
        self.running = self.running.saturating_sub(1);
        let of_rank = &mut self.running_by_urgency[rank_index(placed.request.urgency)];
        *of_rank = of_rank.saturating_sub(1);
        self.tickets.remove(&placed.request.ticket);
        let tokens = placed.request.prompt.charged_tokens();
        self.running_tokens = self.running_tokens.saturating_sub(tokens);
        self.prefills.remove(placed.request.ticket);
        if let Some(adapter) = self.adapter_of(&placed.request.prompt) {
            adapter.uses = adapter.uses.saturating_sub(1);
            adapter.last_used_ms = now_ms;
        }
    }

    pub(super) fn adapter_of(&mut self, prompt: &Prompt) -> Option<&mut AdapterState> {
        self.adapters.get_mut(&prompt.adapter_key()?)
    }

    /// Returns whether the adapter is loaded, or none is needed.
    pub(super) fn holds(&self, prompt: &Prompt) -> bool {
        self.is_adapter_in_phase(prompt, |phase| phase == AdapterPhase::Loaded)
    }

    /// Returns whether the adapter is loaded or will be, or none is needed.
    pub(super) fn holds_or_expects(&self, prompt: &Prompt) -> bool {
        self.is_adapter_in_phase(prompt, |phase| phase != AdapterPhase::Unloading)
    }

    fn is_adapter_in_phase(
        &self,
        prompt: &Prompt,
        is_accepted: impl Fn(AdapterPhase) -> bool,
    ) -> bool {
        let Some(key) = prompt.adapter_key() else {
            return true;
        };
        let held = self.adapters.get(&key);
        held.is_some_and(|held| is_accepted(held.phase))
    }

    /// Returns when a report has to be requested, in milliseconds.
    pub(super) fn report_due_ms(&self) -> Option<u64> {
        match self.report_state {
            ReportState::RequestAt(at_ms) => Some(at_ms),
            ReportState::Confirmed | ReportState::Requested => None,
        }
    }
}
