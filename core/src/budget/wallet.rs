//! Granted tokens that a member holds.

use std::collections::VecDeque;

use super::message::Answer;
use super::settings::BudgetSettings;
use crate::name::InstanceId;

/// Asks whose answer may still be taken in.
const MAX_SENT: usize = 16;
/// Time after which a wallet that holds nothing is forgotten.
const FORGET_MS: u64 = 60_000;

/// Tokens granted by one coordinator.
#[derive(Debug)]
pub(super) struct Wallet {
    pub(super) coordinator: InstanceId,
    /// Unspent tokens. Invariant: 0 from `end_ms` on.
    tokens: f64,
    /// Invariant: `grant_ms` after an own ask that the coordinator has answered.
    end_ms: u64,
    /// Largest ask whose answer was taken in.
    pub(super) seen_ask: u64,
    /// Asks without an answer, with their own time, oldest first. Invariant: all are later than
    /// `seen_ask`, so that no answer counts twice.
    sent: VecDeque<(u64, u64)>,
}

impl Wallet {
    pub(super) fn new(coordinator: InstanceId) -> Self {
        Self {
            coordinator,
            tokens: 0.0,
            end_ms: 0,
            seen_ask: 0,
            sent: VecDeque::new(),
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

    pub(super) fn is_forgotten(&self, now_ms: u64) -> bool {
        let last_sent_ms = self.sent.back().map_or(0, |&(_, sent_ms)| sent_ms);
        self.end_ms.max(last_sent_ms) + FORGET_MS <= now_ms
    }

    pub(super) fn sent(&mut self, ask: u64, now_ms: u64) {
        self.sent.push_back((ask, now_ms));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    /// Own time of the last ask that has no answer.
    pub(super) fn unanswered_ms(&self) -> Option<u64> {
        self.sent.back().map(|&(_, sent_ms)| sent_ms)
    }

    /// Takes in an answer; returns the own time of the ask unless it is late or repeated. Call
    /// after [`Wallet::expire`].
    pub(super) fn accept(
        &mut self,
        answer: &Answer,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> Option<u64> {
        let mut sent = self.sent.iter();
        let &(ask, sent_ms) = sent.find(|(ask, _)| *ask == answer.ask)?;
        self.sent.retain(|&(other, _)| other > ask);
        self.seen_ask = ask;
        if answer.extended {
            self.tokens += answer.granted_tokens;
            self.end_ms = sent_ms + settings.grant_ms;
            self.expire(now_ms);
        }
        Some(sent_ms)
    }

    /// Takes up to `tokens`; returns what was taken.
    pub(super) fn take(&mut self, tokens: f64) -> f64 {
        let taken = tokens.min(self.tokens).max(0.0);
        self.tokens -= taken;
        taken
    }
}
