//! Pauses after failures.

use std::collections::HashMap;
use std::hash::Hash;

/// Pause after the first failure in milliseconds; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 500;
/// Longest pause in milliseconds.
const LONGEST_PAUSE_MS: u64 = 30_000;
/// Time after the end of a pause at which its failures are forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 60_000;

#[derive(Debug)]
struct Pause {
    failures: u32,
    until_ms: u64,
}

/// What failed lately and is not to be tried for a while.
///
/// ```
/// use mimosabay_core::backoff::Backoff;
///
/// let mut backoff = Backoff::default();
/// let pause_ms = backoff.failed(&"engine-1", 0);
/// assert_eq!(backoff.rest_ms(&"engine-1", 0), Some(pause_ms));
/// assert_eq!(backoff.rest_ms(&"engine-1", pause_ms), None);
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
    /// Something failed; returns how long it is not to be tried, in milliseconds.
    pub fn failed(&mut self, key: &K, now_ms: u64) -> u64 {
        let pause = self.pauses.entry(key.clone()).or_insert(Pause {
            failures: 0,
            until_ms: now_ms,
        });
        let factor = 1_u64.checked_shl(pause.failures).unwrap_or(u64::MAX);
        let pause_ms = FIRST_PAUSE_MS.saturating_mul(factor).min(LONGEST_PAUSE_MS);
        pause.failures = pause.failures.saturating_add(1);
        pause.until_ms = now_ms + pause_ms;
        pause_ms
    }

    /// It worked again.
    pub fn succeeded(&mut self, key: &K) {
        self.pauses.remove(key);
    }

    /// Rest of the pause in milliseconds, or `None` if there is none.
    pub fn rest_ms(&self, key: &K, now_ms: u64) -> Option<u64> {
        let pause = self.pauses.get(key)?;
        let rest_ms = pause.until_ms.saturating_sub(now_ms);
        (rest_ms > 0).then_some(rest_ms)
    }

    /// Forgets failures of long ago.
    pub fn forget(&mut self, now_ms: u64) {
        self.pauses
            .retain(|_, pause| now_ms < pause.until_ms + FORGET_AFTER_MS);
    }
}
