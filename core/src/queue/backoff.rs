//! Pauses after failed loads.

use std::collections::HashMap;

use crate::name::AdapterVersion;

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

/// Adapters whose loads failed lately.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    pauses: HashMap<AdapterVersion, Pause>,
}

impl Backoff {
    /// A load failed; returns how long the adapter is not loaded again, in milliseconds.
    pub(super) fn failed(&mut self, model: &AdapterVersion, now_ms: u64) -> u64 {
        let pause = self.pauses.entry(model.clone()).or_insert(Pause {
            failures: 0,
            until_ms: now_ms,
        });
        let factor = 1_u64.checked_shl(pause.failures).unwrap_or(u64::MAX);
        let pause_ms = FIRST_PAUSE_MS.saturating_mul(factor).min(LONGEST_PAUSE_MS);
        pause.failures = pause.failures.saturating_add(1);
        pause.until_ms = now_ms + pause_ms;
        pause_ms
    }

    /// A load succeeded.
    pub(super) fn succeeded(&mut self, model: &AdapterVersion) {
        self.pauses.remove(model);
    }

    /// Rest of the adapter's pause in milliseconds, or `None` if it may be loaded.
    pub(super) fn rest_ms(&self, model: &AdapterVersion, now_ms: u64) -> Option<u64> {
        let pause = self.pauses.get(model)?;
        let rest_ms = pause.until_ms.saturating_sub(now_ms);
        (rest_ms > 0).then_some(rest_ms)
    }

    /// Forgets failures of long ago.
    pub(super) fn forget(&mut self, now_ms: u64) {
        self.pauses
            .retain(|_, pause| now_ms < pause.until_ms + FORGET_AFTER_MS);
    }
}
