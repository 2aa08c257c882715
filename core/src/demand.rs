//! Exponentially decaying counter of demand.

/// Counter whose value halves in each half-life.
///
/// ```
/// use mimosabay_core::demand::Demand;
///
/// let mut demand = Demand::new(1_000);
/// demand.add(8.0, 0);
/// assert_eq!(demand.value(1_000), 4.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    half_life_ms: u64,
    /// Value at `counted_ms`. Invariant: not negative.
    counted: f64,
    /// Time of the last change in milliseconds. Invariant: never decreases.
    counted_ms: u64,
}

impl Demand {
    /// Creates a counter with the value 0. A half-life of 0 counts as 1 ms.
    pub fn new(half_life_ms: u64) -> Self {
        Self {
            half_life_ms: half_life_ms.max(1),
            counted: 0.0,
            counted_ms: 0,
        }
    }

    /// Adds `amount` at `now_ms`.
    pub fn add(&mut self, amount: f64, now_ms: u64) {
        self.counted = self.value(now_ms) + amount;
        self.counted_ms = self.counted_ms.max(now_ms);
    }

    /// Returns the decayed sum of all added amounts.
    pub fn value(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.counted_ms);
        let half_lives = passed_ms as f64 / self.half_life_ms as f64;
        self.counted * (-half_lives).exp2()
    }

    /// Returns the estimated arrival rate per second, assuming a constant rate.
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        let mean_life_s = self.half_life_ms as f64 / 1_000.0 / std::f64::consts::LN_2;
        self.value(now_ms) / mean_life_s
    }
}
