//! Estimates the prefill speed of engines from the time to first event.

/// Speed before the first sample, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 30.0;
/// Minimum prompt length of a sample; the time of a shorter prefill is mostly network time and
/// waiting.
const MIN_SAMPLE_TOKENS: f64 = 1_500.0;
/// Network time to the server plus the time of the first step, in milliseconds.
const OVERHEAD_MS: f64 = 12.0;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Range of plausible samples, in tokens per millisecond.
const CREDIBLE_TOKENS_PER_MS: std::ops::Range<f64> = 2.0..400.0;

/// Prefill speed of the engines of a service.
#[derive(Clone, Debug)]
pub(crate) struct PrefillSpeed {
    tokens_per_ms: f64,
}

impl PrefillSpeed {
    /// Returns the time to prefill `tokens`, in milliseconds.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms
    }

    /// Returns the time of the prefill of a sample, in milliseconds; `None` if the sample shows little of
    /// the speed.
    pub(crate) fn sample_ms(tokens: f64, first_event_ms: f64) -> Option<f64> {
        let is_long = tokens >= MIN_SAMPLE_TOKENS && first_event_ms > OVERHEAD_MS;
        is_long.then_some(first_event_ms - OVERHEAD_MS)
    }

    /// Adds a sample: the first event came `first_event_ms` after a prompt with `tokens` to prefill
    /// was sent to an engine that had no other prefill.
    pub(crate) fn add_sample(&mut self, tokens: f64, first_event_ms: f64) {
        let Some(prefill_ms) = Self::sample_ms(tokens, first_event_ms) else {
            return;
        };
        let sample = tokens / prefill_ms;
        if CREDIBLE_TOKENS_PER_MS.contains(&sample) {
            self.tokens_per_ms += (sample - self.tokens_per_ms) * SAMPLE_WEIGHT;
        }
    }
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
        }
    }
}
