//! Speed of one engine against the others of its service, and the pauses that it makes in its streams.
//!
//! Answers the load of long prompts beside streams on engines of different speeds: while an engine
//! prefills, each step of the streams that run there takes longer.

use super::prefill_speed::PrefillSpeed;

/// Weight of a new sample in the moving average once there are several.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Number of samples from which an engine counts as faster or slower than others.
const MIN_SAMPLES: u32 = 3;
/// Bounds of the time that one sample shows, against that of the service.
const CREDIBLE_RATIO: std::ops::RangeInclusive<f64> = 0.3..=4.0;
/// Prompt tokens that an engine prefills in one step.
const TOKENS_PER_STEP: f64 = 2_048.0;
/// Time of a step without a prefill, in milliseconds.
const STEP_MS: f64 = 7.0;

/// Time that an engine takes for a prefill, against that of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EnginePace {
    /// Moving average; 1 for an engine as fast as the others.
    ratio: f64,
    /// Number of samples, at most [`MIN_SAMPLES`].
    samples: u32,
}

impl EnginePace {
    /// Adds a sample: a prefill took `took_ms` and was expected to take `expected_ms` at the speed of the
    /// service.
    pub(crate) fn add_sample(&mut self, took_ms: f64, expected_ms: f64) {
        if expected_ms <= 0.0 {
            return;
        }
        let (least, most) = CREDIBLE_RATIO.into_inner();
        let sample = (took_ms / expected_ms).clamp(least, most);
        self.samples = (self.samples + 1).min(MIN_SAMPLES);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        let weight = if self.samples < MIN_SAMPLES {
            weight
        } else {
            SAMPLE_WEIGHT
        };
        self.ratio += (sample - self.ratio) * weight;
    }

    /// Returns the time of a prefill that takes `service_ms` at the speed of the service, in milliseconds.
    pub(crate) fn prefill_ms(&self, service_ms: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            service_ms
        } else {
            service_ms * self.ratio
        }
    }
}

impl Default for EnginePace {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            samples: 0,
        }
    }
}

/// Pauses that callers accept between two events of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PauseLimit {
    /// Longest pause with which a stream is on time, in milliseconds.
    pub(crate) max_pause_ms: f64,
    /// Steps of an engine for one event.
    pub(crate) steps_per_event: f64,
}

impl PauseLimit {
    /// Returns the share of the limit that the longest pause of a stream takes while its engine prefills for
    /// `busy_ms` without a break.
    pub(crate) fn used_share(&self, busy_ms: f64, pace: &EnginePace, speed: &PrefillSpeed) -> f64 {
        let step_ms = pace.prefill_ms(speed.prefill_ms(TOKENS_PER_STEP));
        let prefill_ms = busy_ms.min(step_ms * self.steps_per_event);
        (prefill_ms + STEP_MS * self.steps_per_event) / self.max_pause_ms
    }
}
