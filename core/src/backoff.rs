//! Exponential backoff after failures.

use std::collections::HashMap;
use std::hash::Hash;

/// Pause after the first failure, in milliseconds. It doubles with each further failure.
const INITIAL_PAUSE_MS: u64 = 500;
/// Maximum pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 30_000;
/// Time after the end of a pause until its failures are removed, in milliseconds.
const EXPIRE_AFTER_MS: u64 = 60_000;

#[derive(Debug)]
struct Pause {
    failures: u32,
    until_ms: u64,
}

/// Pauses by key.
///
/// ```
/// use mimosabay_core::backoff::Backoff;
///
/// let mut backoff = Backoff::default();
/// let pause_ms = backoff.record_failure(&"engine-1", 0);
/// assert_eq!(backoff.remaining_ms(&"engine-1", 0), Some(pause_ms));
/// assert_eq!(backoff.remaining_ms(&"engine-1", pause_ms), None);
/// ```
#[derive(Debug)]
pub struct Backoff<K> {
    pauses: HashMap<K, Pause>,
}

impl<K> Default for Backoff<K> {
    fn default() -> Self {
        Self {
            pauses: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Backoff<K> {
    /// Records a failure. Returns the time until the next attempt, in milliseconds.
    pub fn record_failure(&mut self, key: &K, now_ms: u64) -> u64 {
        let pause = self.pauses.entry(key.clone()).or_insert(Pause {
            failures: 0,
            until_ms: now_ms,
        });
        let factor = 1_u64.checked_shl(pause.failures).unwrap_or(u64::MAX);
        let pause_ms = INITIAL_PAUSE_MS.saturating_mul(factor).min(MAX_PAUSE_MS);
        pause.failures = pause.failures.saturating_add(1);
        pause.until_ms = now_ms + pause_ms;
        pause_ms
    }

    /// Records a success, which ends the pause and resets the failures.
    pub fn record_success(&mut self, key: &K) {
        self.pauses.remove(key);
    }

    /// Returns the remaining pause in milliseconds, or `None` if there is none.
    pub fn remaining_ms(&self, key: &K, now_ms: u64) -> Option<u64> {
        let pause = self.pauses.get(key)?;
        let remaining_ms = pause.until_ms.saturating_sub(now_ms);
        (remaining_ms > 0).then_some(remaining_ms)
    }

    /// Removes failures whose pause ended at least `EXPIRE_AFTER_MS` ago.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.pauses
            .retain(|_, pause| now_ms < pause.until_ms + EXPIRE_AFTER_MS);
    }
}
