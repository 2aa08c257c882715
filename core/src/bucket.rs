//! A token bucket on a monotonic clock.

use crate::rounding::seconds_to_ms;

/// A token bucket that refills at a rate up to a burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    rate_per_s: f64,
    burst: f64,
    /// Tokens that may be spent now. Invariant: at most `burst`; negative after a settlement that
    /// cost more than was charged.
    level: f64,
    /// Time of the last refill in milliseconds. Invariant: never decreases.
    refilled_ms: u64,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn empty(rate_per_s: f64, burst: f64, now_ms: u64) -> Self {
        Self {
            rate_per_s,
            burst,
            level: 0.0,
            refilled_ms: now_ms,
        }
    }

    /// Creates a full bucket.
    pub fn full(rate_per_s: f64, burst: f64, now_ms: u64) -> Self {
        Self {
            level: burst,
            ..Self::empty(rate_per_s, burst, now_ms)
        }
    }

    /// Changes rate and burst; tokens above the new burst are lost.
    pub fn reconfigure(&mut self, rate_per_s: f64, burst: f64, now_ms: u64) {
        self.refill(now_ms);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes `tokens` if all of them are available, and returns whether it did.
    pub fn try_take(&mut self, tokens: f64, now_ms: u64) -> bool {
        self.refill(now_ms);
        if self.level < tokens {
            return false;
        }
        self.level -= tokens;
        true
    }

    /// Takes `tokens` even if the level becomes negative.
    pub fn take_with_debt(&mut self, tokens: f64, now_ms: u64) {
        self.refill(now_ms);
        self.level -= tokens;
    }

    /// Adds `tokens`; those above the burst are lost.
    pub fn refund(&mut self, tokens: f64, now_ms: u64) {
        self.refill(now_ms);
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Tokens that may be spent at once after a pause.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Tokens that may be spent now; negative while a debt is being refilled.
    pub fn level(&mut self, now_ms: u64) -> f64 {
        self.refill(now_ms);
        self.level
    }

    /// Tokens that may be spent at a time that is not before the last change.
    pub fn level_at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms);
        let refilled = self.level + self.rate_per_s * passed_ms as f64 / 1_000.0;
        refilled.min(self.burst)
    }

    /// Tokens that are added each second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Time until `tokens` are available, in milliseconds; `None` if they never will be.
    pub fn wait_ms(&mut self, tokens: f64, now_ms: u64) -> Option<u64> {
        self.refill(now_ms);
        let missing = tokens - self.level;
        if missing <= 0.0 {
            return Some(0);
        }
        if tokens > self.burst || self.rate_per_s <= 0.0 {
            return None;
        }
        Some(seconds_to_ms(missing / self.rate_per_s))
    }

    fn refill(&mut self, now_ms: u64) {
        self.level = self.level_at(now_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }
}
