//! A token bucket that tracks the tokens granted out of it.

use super::suffix_minimum::SuffixMinimum;
use crate::rounding::seconds_to_ms;

/// Difference up to which two amounts of tokens count as equal.
pub(super) const EPSILON_TOKENS: f64 = 1e-6;

/// Wait reported when no time can be estimated.
pub(super) const UNKNOWN_WAIT_MS: u64 = 1_000;

/// A token bucket that also counts the tokens granted out of it.
#[derive(Clone, Debug)]
pub(super) struct Reserve {
    rate_per_s: f64,
    burst_tokens: f64,
    /// Tokens that may be spent or granted here. Invariant: together with `outstanding_tokens` at
    /// most `burst_tokens` whenever a token is created, granted or refunded.
    level_tokens: f64,
    /// Upper bound of the tokens that were granted and may still be spent elsewhere.
    outstanding_tokens: f64,
    /// Time of the last refill. Invariant: never decreases.
    refilled_ms: u64,
    deficits: SuffixMinimum,
}

impl Reserve {
    pub(super) fn empty(rate_per_s: f64, burst_tokens: f64, now_ms: u64) -> Self {
        let mut reserve = Self {
            rate_per_s,
            burst_tokens,
            level_tokens: 0.0,
            outstanding_tokens: 0.0,
            refilled_ms: now_ms,
            deficits: SuffixMinimum::starting_at(now_ms),
        };
        reserve.record();
        reserve
    }

    pub(super) fn level_tokens(&self) -> f64 {
        self.level_tokens
    }

    /// Time until `missing` tokens above the current level are available.
    pub(super) fn wait_ms(&self, missing: f64) -> u64 {
        let fits = self.level_tokens + missing <= self.burst_tokens + EPSILON_TOKENS;
        if !fits || self.rate_per_s <= 0.0 {
            return UNKNOWN_WAIT_MS.max(seconds_to_ms(missing / self.rate_per_s.max(1.0)));
        }
        seconds_to_ms(missing / self.rate_per_s)
    }

    /// Whether the outstanding tokens fit within the burst.
    pub(super) fn covers_outstanding(&self) -> bool {
        self.outstanding_tokens <= self.burst_tokens + EPSILON_TOKENS
    }

    /// Whether the outstanding tokens would fit within a burst of `burst_tokens`.
    pub(super) fn would_cover_outstanding(&self, burst_tokens: f64) -> bool {
        self.outstanding_tokens <= burst_tokens + EPSILON_TOKENS
    }

    /// Refills up to `now_ms`.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms);
        let created = self.rate_per_s * passed_ms as f64 / 1_000.0;
        self.level_tokens += created.min(self.deficit_tokens().max(0.0));
        self.refilled_ms = self.refilled_ms.max(now_ms);
        self.record();
    }

    /// Changes rate and burst; tokens above the new burst are lost. Call after
    /// [`Reserve::advance`].
    pub(super) fn resize(&mut self, rate_per_s: f64, burst_tokens: f64) {
        self.rate_per_s = rate_per_s;
        self.burst_tokens = burst_tokens;
        let room = (burst_tokens - self.outstanding_tokens).max(0.0);
        self.level_tokens = self.level_tokens.min(room);
        self.record();
    }

    /// Adds tokens that arrive from another process together with their burst.
    pub(super) fn add_tokens(&mut self, tokens: f64) {
        self.level_tokens += tokens.min(self.deficit_tokens()).max(0.0);
        self.record();
    }

    /// Takes up to `tokens`; returns the amount taken and a mark for a later refund.
    pub(super) fn take_up_to(&mut self, tokens: f64) -> (f64, u64) {
        let taken = tokens.min(self.level_tokens).max(0.0);
        self.level_tokens -= taken;
        (taken, self.record())
    }

    /// Moves tokens from the level to the outstanding ones.
    pub(super) fn grant(&mut self, tokens: f64) {
        self.level_tokens -= tokens;
        self.outstanding_tokens += tokens;
    }

    /// Removes `spent` and `returned` tokens from the outstanding ones, adds `returned` to the
    /// level, and returns a mark for refunds.
    pub(super) fn reduce_outstanding(&mut self, spent: f64, returned: f64) -> u64 {
        self.outstanding_tokens = (self.outstanding_tokens - spent - returned).max(0.0);
        self.level_tokens += returned;
        self.record()
    }

    /// Returns a mark for charges that are known as spent by now.
    pub(super) fn mark(&mut self) -> u64 {
        self.record()
    }

    /// Returns the part of a charge of `tokens` that [`Reserve::refund`] would give back, and
    /// reserves it for the process that takes over this reserve. No other charge can be refunded
    /// that part.
    pub(super) fn set_aside(&mut self, mark: u64, tokens: f64) -> f64 {
        let refundable = tokens.min(self.deficits.min_since(mark)).max(0.0);
        self.deficits.lower(refundable);
        refundable
    }

    /// Refunds a part of a charge that was known as spent at `mark`.
    ///
    /// If the tokens had never been charged, the reserve would have held them since then and lost
    /// those that did not fit below the burst. So a refund is limited to what has fitted at every
    /// moment since the mark.
    pub(super) fn refund(&mut self, mark: u64, tokens: f64) {
        let refunded = tokens.min(self.deficits.min_since(mark)).max(0.0);
        self.level_tokens += refunded;
        self.deficits.lower(refunded);
        self.record();
    }

    fn deficit_tokens(&self) -> f64 {
        self.burst_tokens - self.level_tokens - self.outstanding_tokens
    }

    fn record(&mut self) -> u64 {
        let deficit_tokens = self.deficit_tokens();
        self.deficits.record(deficit_tokens)
    }
}
