//! Tokens that a coordinator has granted to a member.

use std::collections::VecDeque;

use super::message::TokenResponse;
use super::settings::BudgetSettings;
use crate::name::InstanceId;

/// Maximum number of token requests whose response is still accepted.
const MAX_PENDING: usize = 16;
/// Time after which a record without tokens is dropped.
const RETENTION_MS: u64 = 60_000;

/// Tokens granted by one coordinator.
#[derive(Debug)]
pub(super) struct GrantedTokens {
    pub(super) coordinator: InstanceId,
    /// Unspent tokens. Invariant: 0 from `end_ms` on.
    tokens: f64,
    /// Local time at which the tokens expire. Invariant: `grant_ms` after a token request that the
    /// coordinator has answered.
    end_ms: u64,
    /// Largest token request whose response was processed.
    pub(super) acknowledged_request: u64,
    /// Unanswered token requests with their local send times, oldest first. Invariant: all are
    /// later than `acknowledged_request`, so no response counts twice.
    pending: VecDeque<(u64, u64)>,
}

impl GrantedTokens {
    pub(super) fn new(coordinator: InstanceId) -> Self {
        Self {
            coordinator,
            tokens: 0.0,
            end_ms: 0,
            acknowledged_request: 0,
            pending: VecDeque::new(),
        }
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        if self.end_ms <= now_ms {
            self.tokens = 0.0;
        }
    }

    pub(super) fn is_stale(&self, now_ms: u64) -> bool {
        let last_sent_ms = self
            .pending
            .back()
            .map_or(0, |&(_, requested_ms)| requested_ms);
        self.end_ms.max(last_sent_ms) + RETENTION_MS <= now_ms
    }

    pub(super) fn record_request(&mut self, request_number: u64, now_ms: u64) {
        self.pending.push_back((request_number, now_ms));
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    /// Local time of the last unanswered token request.
    pub(super) fn pending_since_ms(&self) -> Option<u64> {
        self.pending.back().map(|&(_, requested_ms)| requested_ms)
    }

    /// Applies a response; returns the local time of its token request, or `None` if the response
    /// is late or repeated. Call after [`GrantedTokens::expire`].
    pub(super) fn apply_response(
        &mut self,
        response: &TokenResponse,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> Option<u64> {
        let mut pending = self.pending.iter();
        let &(request_number, requested_ms) =
            pending.find(|(request_number, _)| *request_number == response.request_number)?;
        self.pending.retain(|&(other, _)| other > request_number);
        self.acknowledged_request = request_number;
        if response.extends_grants {
            self.tokens += response.granted_tokens;
            self.end_ms = requested_ms + settings.grant_ms;
            self.expire(now_ms);
        }
        Some(requested_ms)
    }

    /// Takes up to `tokens`; returns the amount taken.
    pub(super) fn take_up_to(&mut self, tokens: f64) -> f64 {
        let taken = tokens.min(self.tokens).max(0.0);
        self.tokens -= taken;
        taken
    }
}
