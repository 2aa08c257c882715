//! An instance's estimate of the store's time.

use super::SKEW_ALLOWANCE_MS;

/// Longest call whose response is used as a time sample.
const MAX_OBSERVED_CALL_MS: u64 = 5_000;
/// Time for which nothing expires after the store's time jumped.
const EXPIRY_PAUSE_MS: u64 = 60_000;

/// Estimates the store's time from the times in its responses and the local monotonic clock.
///
/// The instance's wall clock is not used, so it may be wrong. The estimate lags behind the store's
/// time by at most the duration of a call. The lag delays expiry and is covered by
/// [`SKEW_ALLOWANCE_MS`].
#[derive(Clone, Debug, Default)]
pub struct StoreClock {
    last_observation: Option<Observation>,
    /// Monotonic time until which nothing expires, in milliseconds.
    expiry_paused_until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    unix_ms: u64,
    observed_ms: u64,
}

impl StoreClock {
    /// Records that a response to a call sent at `sent_ms` was received at `now_ms` with the
    /// store's time `unix_ms`.
    pub fn observe(&mut self, unix_ms: u64, sent_ms: u64, now_ms: u64) {
        if now_ms.saturating_sub(sent_ms) > MAX_OBSERVED_CALL_MS {
            // The process was paused during the call, so the time in the response is outdated.
            return;
        }
        let expected_ms = self.unix_ms(now_ms).unwrap_or(unix_ms);
        let jumped = expected_ms.abs_diff(unix_ms) > SKEW_ALLOWANCE_MS;
        if jumped {
            self.expiry_paused_until_ms = now_ms + EXPIRY_PAUSE_MS;
        }
        // Both values are lower bounds of the store's time, so the larger one is more accurate.
        let unix_ms = if jumped {
            unix_ms
        } else {
            unix_ms.max(expected_ms)
        };
        self.last_observation = Some(Observation {
            unix_ms,
            observed_ms: now_ms,
        });
    }

    /// Returns the store's time at `now_ms`, in milliseconds since 1970; `None` before the first
    /// response.
    pub fn unix_ms(&self, now_ms: u64) -> Option<u64> {
        let last = self.last_observation?;
        Some(last.unix_ms + now_ms.saturating_sub(last.observed_ms))
    }

    /// Returns the store's time before which entries have expired, in milliseconds since 1970; 0
    /// while the store's time is uncertain.
    pub fn expired_before_ms(&self, now_ms: u64, window_ms: u64) -> u64 {
        if now_ms < self.expiry_paused_until_ms {
            return 0;
        }
        self.unix_ms(now_ms)
            .unwrap_or_default()
            .saturating_sub(window_ms + SKEW_ALLOWANCE_MS)
    }
}
