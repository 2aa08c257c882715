//! Recent demand, as an exponentially decaying average.

/// Time constant of the average.
const WINDOW_MS: f64 = 1_000.0;

/// Exponentially decaying sum of charged tokens.
#[derive(Debug)]
pub(super) struct Demand {
    /// Sum of the tokens, each decayed since it was charged.
    sum_tokens: f64,
    updated_ms: u64,
}

impl Demand {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            sum_tokens: 0.0,
            updated_ms: now_ms,
        }
    }

    pub(super) fn add(&mut self, tokens: f64, now_ms: u64) {
        self.sum_tokens = self.decayed(now_ms) + tokens;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    pub(super) fn per_s(&self, now_ms: u64) -> f64 {
        self.decayed(now_ms) * 1_000.0 / WINDOW_MS
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.sum_tokens * (-passed_ms / WINDOW_MS).exp()
    }
}
