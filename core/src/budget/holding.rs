//! What a coordinator knows of the tokens that one member holds.

use std::collections::VecDeque;

use super::message::TokenRequest;

/// Unanswered asks that are told apart; more share the mark of the last one.
const MAX_UNACKNOWLEDGED: usize = 16;

/// Tokens granted to one member.
#[derive(Debug, Default)]
pub(super) struct Holding {
    /// Largest ask taken in. Invariant: earlier and repeated ones are ignored.
    pub(super) last_request_number: u64,
    /// Upper bound of what the member can still spend.
    pub(super) tokens: f64,
    /// Own time after which none of it can be spent.
    pub(super) end_ms: u64,
    /// Own time of the last ask.
    pub(super) last_request_ms: u64,
    /// What the member's first waiting request lacks, and since when.
    pub(super) shortage_tokens: f64,
    pub(super) shortage_since_ms: u64,
    /// What its waiting requests lack together.
    pub(super) backlog_tokens: f64,
    /// What it would like to hold for requests to come.
    pub(super) prefetch_tokens: f64,
    /// Grants that the member may not have received, by ask.
    unacknowledged_grants: VecDeque<(u64, f64)>,
    /// Marks of the asks whose answers the member may not have received. Invariant: the first is
    /// that of the first ask after those, so that no charge was known as spent before it.
    unacknowledged_marks: VecDeque<(u64, u64)>,
}

impl Holding {
    /// Takes in what the member reports; returns the tokens that it no longer holds.
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

    /// Whether so many grants are on their way that none should be added.
    pub(super) fn has_too_many_unacknowledged(&self) -> bool {
        self.unacknowledged_grants.len() >= MAX_UNACKNOWLEDGED
    }

    /// Notes the shortage of the last ask.
    pub(super) fn record_demand(&mut self, request: &TokenRequest, now_ms: u64) {
        if self.shortage_tokens <= 0.0 {
            self.shortage_since_ms = now_ms;
        }
        self.shortage_tokens = request.shortage_tokens.max(0.0);
        self.backlog_tokens = request.backlog_tokens.max(0.0);
        self.prefetch_tokens = request.prefetch_tokens.max(0.0);
    }

    /// Notes a grant that answers the last ask.
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

    /// What the member wants beyond the shortage of its first waiting request.
    pub(super) fn extra_tokens(&self) -> f64 {
        let queued = (self.backlog_tokens - self.shortage_tokens).max(0.0);
        queued + self.prefetch_tokens
    }

    /// Drops what has expired; returns the tokens.
    pub(super) fn expire(&mut self, now_ms: u64) -> f64 {
        if self.end_ms > now_ms {
            return 0.0;
        }
        self.unacknowledged_grants.clear();
        std::mem::take(&mut self.tokens)
    }

    /// Notes that charges not yet reported were known as spent at `mark` at the latest.
    pub(super) fn add_mark(&mut self, mark: u64) {
        self.push_mark(self.last_request_number, mark);
    }

    /// As [`Holding::mark`], when tokens expired before any ask reported them.
    pub(super) fn add_expiry_mark(&mut self, mark: u64) {
        self.push_mark(self.last_request_number + 1, mark);
    }

    /// The mark that an answer carries.
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
