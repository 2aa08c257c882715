//! The coordinator's record of the tokens granted to one member.

use std::collections::VecDeque;

use super::message::TokenRequest;

/// Maximum number of unacknowledged token requests tracked separately; further ones share the mark
/// of the last.
const MAX_UNACKNOWLEDGED: usize = 16;

/// Tokens granted to one member, and its reported demand.
#[derive(Debug, Default)]
pub(super) struct Holding {
    /// Largest token request processed. Invariant: earlier and repeated ones are ignored.
    pub(super) last_request_number: u64,
    /// Upper bound of the tokens that the member can still spend.
    pub(super) tokens: f64,
    /// Local time after which the member can spend none of them.
    pub(super) end_ms: u64,
    /// Local time of the last token request.
    pub(super) last_request_ms: u64,
    /// Tokens that the member's first waiting request lacks, and since when.
    pub(super) shortage_tokens: f64,
    pub(super) shortage_since_ms: u64,
    /// Tokens that all of its waiting requests lack.
    pub(super) backlog_tokens: f64,
    /// Tokens that the member wants to prefetch for future requests.
    pub(super) prefetch_tokens: f64,
    /// Grants that the member may not have received, by request number.
    unacknowledged_grants: VecDeque<(u64, f64)>,
    /// Marks of the token requests whose responses the member may not have received. Invariant: the
    /// first mark belongs to the first token request after the acknowledged ones, so no charge was
    /// recorded as spent before it.
    unacknowledged_marks: VecDeque<(u64, u64)>,
}

impl Holding {
    /// Applies a member's report; returns the tokens that it no longer holds.
    pub(super) fn apply_report(&mut self, request: &TokenRequest, now_ms: u64) -> f64 {
        self.last_request_number = request.request_number;
        self.last_request_ms = now_ms;
        self.unacknowledged_grants
            .retain(|&(id, _)| id > request.acknowledged_request);
        self.unacknowledged_marks
            .retain(|&(id, _)| id > request.acknowledged_request);
        let unacknowledged: f64 = self
            .unacknowledged_grants
            .iter()
            .map(|&(_, tokens)| tokens)
            .sum();
        let tokens = (request.held_tokens.max(0.0) + unacknowledged).min(self.tokens);
        let removed = self.tokens - tokens;
        self.tokens = tokens;
        removed
    }

    /// Whether too many grants are unacknowledged to add another.
    pub(super) fn has_too_many_unacknowledged(&self) -> bool {
        self.unacknowledged_grants.len() >= MAX_UNACKNOWLEDGED
    }

    /// Records the demand reported by a token request.
    pub(super) fn record_demand(&mut self, request: &TokenRequest, now_ms: u64) {
        if self.shortage_tokens <= 0.0 {
            self.shortage_since_ms = now_ms;
        }
        self.shortage_tokens = request.shortage_tokens.max(0.0);
        self.backlog_tokens = request.backlog_tokens.max(0.0);
        self.prefetch_tokens = request.prefetch_tokens.max(0.0);
    }

    /// Records a grant in response to the last token request.
    pub(super) fn record_grant(&mut self, tokens: f64, end_ms: u64) {
        self.tokens += tokens;
        self.end_ms = end_ms;
        if tokens > 0.0 {
            self.unacknowledged_grants
                .push_back((self.last_request_number, tokens));
        }
        self.shortage_tokens = (self.shortage_tokens - tokens).max(0.0);
        self.backlog_tokens = (self.backlog_tokens - tokens).max(0.0);
    }

    /// Tokens that the member wants beyond the shortage of its first waiting request.
    pub(super) fn extra_tokens(&self) -> f64 {
        let queued = (self.backlog_tokens - self.shortage_tokens).max(0.0);
        queued + self.prefetch_tokens
    }

    /// Drops expired grants; returns their tokens.
    pub(super) fn expire(&mut self, now_ms: u64) -> f64 {
        if self.end_ms > now_ms {
            return 0.0;
        }
        self.unacknowledged_grants.clear();
        std::mem::take(&mut self.tokens)
    }

    /// Records that charges not yet reported are known as spent at `mark` at the latest.
    pub(super) fn add_mark(&mut self, mark: u64) {
        self.push_mark(self.last_request_number, mark);
    }

    /// Like [`Holding::add_mark`], for tokens that expired before a token request reported them.
    pub(super) fn add_expiry_mark(&mut self, mark: u64) {
        self.push_mark(self.last_request_number + 1, mark);
    }

    /// Mark to send with a response.
    pub(super) fn response_mark(&self) -> u64 {
        self.unacknowledged_marks
            .front()
            .map_or(0, |&(_, mark)| mark)
    }

    fn push_mark(&mut self, request_number: u64, mark: u64) {
        if self.unacknowledged_marks.len() < MAX_UNACKNOWLEDGED {
            self.unacknowledged_marks.push_back((request_number, mark));
        } else if let Some(last) = self.unacknowledged_marks.back_mut() {
            last.0 = request_number;
        }
    }
}
