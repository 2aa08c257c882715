//! The store's time, as an instance knows it.

use super::SKEW_ALLOWANCE_MS;

/// Longest call whose answer tells the time.
const MAX_OBSERVED_CALL_MS: u64 = 5_000;
/// Time without expiry after the store's time was seen to jump.
const EXPIRY_PAUSE_MS: u64 = 60_000;

/// Derives the store's time from the times that its answers carry and from the monotonic clock.
///
/// The instance's own wall clock plays no part, so it may be wrong. The derived time lags behind
/// the store's by at most the time of a call, which delays expiry and is covered by
/// [`SKEW_ALLOWANCE_MS`].
#[derive(Clone, Debug, Default)]
pub struct StoreClock {
    last_observation: Option<Observation>,
    /// Monotonic time until which nothing counts as expired, in milliseconds.
    expiry_paused_until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    unix_ms: u64,
    observed_ms: u64,
}

impl StoreClock {
    /// The answer to a call that was sent at `sent_ms` arrived at `now_ms` and carried `unix_ms`.
    pub fn observe(&mut self, unix_ms: u64, sent_ms: u64, now_ms: u64) {
        if now_ms.saturating_sub(sent_ms) > MAX_OBSERVED_CALL_MS {
            // The process was paused, so the time in the answer is old.
            return;
        }
        let expected_ms = self.unix_ms(now_ms).unwrap_or(unix_ms);
        let jumped = expected_ms.abs_diff(unix_ms) > SKEW_ALLOWANCE_MS;
        if jumped {
            self.expiry_paused_until_ms = now_ms + EXPIRY_PAUSE_MS;
        }
        // Both are lower bounds of the store's time, so the larger is nearer to it.
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

    /// The store's time at `now_ms`, in milliseconds since 1970; `None` before the first answer.
    pub fn unix_ms(&self, now_ms: u64) -> Option<u64> {
        let last = self.last_observation?;
        Some(last.unix_ms + now_ms.saturating_sub(last.observed_ms))
    }

    /// Records made before this time have expired; 0 while the store's time is uncertain.
    pub fn expired_before_ms(&self, now_ms: u64, window_ms: u64) -> u64 {
        if now_ms < self.expiry_paused_until_ms {
            return 0;
        }
        self.unix_ms(now_ms)
            .unwrap_or_default()
            .saturating_sub(window_ms + SKEW_ALLOWANCE_MS)
    }
}
