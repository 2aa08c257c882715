//! How fast engines read prompts, learnt from answers.

/// Speed before anything was learnt, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 30.0;
/// Shortest reading from which speed is learnt; less is mostly way and waiting.
const MIN_SAMPLE_TOKENS: f64 = 1_500.0;
/// Time of the way to the server and of the first step, in milliseconds.
const OVERHEAD_MS: f64 = 12.0;
/// Share of a new sample in the average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Bounds of a credible speed, in tokens per millisecond.
const CREDIBLE_TOKENS_PER_MS: std::ops::Range<f64> = 2.0..400.0;

/// Reading speed of the engines of a service.
#[derive(Clone, Debug)]
pub(crate) struct PrefillSpeed {
    tokens_per_ms: f64,
}

impl PrefillSpeed {
    /// Time to read `tokens`, in milliseconds.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms
    }

    /// A prompt with `tokens` to read, sent to an engine that read nothing else, had its first
    /// event after `first_event_ms`.
    pub(crate) fn add_sample(&mut self, tokens: f64, first_event_ms: f64) {
        if tokens < MIN_SAMPLE_TOKENS || first_event_ms <= OVERHEAD_MS {
            return;
        }
        let sample = tokens / (first_event_ms - OVERHEAD_MS);
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
