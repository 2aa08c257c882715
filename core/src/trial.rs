//! Trial runs of requests under quarantine, as a half-open circuit breaker makes them.
//!
//! A request that does not crash servers can be under quarantine, because it ran beside one that does. Only
//! an answer ends the quarantine, and a request that is refused has no answer. The placer therefore
//! permits a single run of it from time to time, until one is answered.

use std::collections::HashMap;

/// Time from the latest crash to the first trial of a request, in milliseconds.
const FIRST_DELAY_MS: u64 = 3_000;
/// Factor by which the time to the next trial grows with each that was not answered.
const DELAY_FACTOR: u64 = 12;
/// Number of trials after which there are no more.
const MAX_TRIALS: u32 = 3;
/// Time between trials of different requests, in milliseconds: a server that the first one crashes must
/// be known as crashed by then.
const SPACING_MS: u64 = 7_000;
/// Largest number of requests with trials.
const MAX_REQUESTS: usize = 2_000;

/// The trials that a placer has permitted.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    by_request: HashMap<u64, RequestTrials>,
    /// Hash of the request that was permitted last, until it is answered or [`SPACING_MS`] have passed.
    running: Option<u64>,
    /// Earliest time of the next trial of another request, in milliseconds.
    next_ms: u64,
}

#[derive(Debug)]
struct RequestTrials {
    /// Number of trials. Invariant: at most [`MAX_TRIALS`].
    count: u32,
    /// Earliest time of the next one, in milliseconds.
    due_ms: u64,
}

/// The crashes of a request under quarantine, as far as they decide when it is tried.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashHistory {
    /// Time of the latest crash, in milliseconds.
    pub(crate) last_ms: u64,
    /// Number of times that no crash had followed for [`FIRST_DELAY_MS`], so that the next one may have
    /// been that of a trial.
    pub(crate) pauses: u32,
}

impl CrashHistory {
    /// Summarises the times of crashes in milliseconds, which need not be sorted.
    pub(crate) fn new(times_ms: impl IntoIterator<Item = u64>) -> Self {
        let mut times_ms: Vec<u64> = times_ms.into_iter().collect();
        times_ms.sort_unstable();
        let pauses = times_ms
            .windows(2)
            .filter(|pair| pair[1] - pair[0] >= FIRST_DELAY_MS);
        Self {
            pauses: u32::try_from(pauses.count()).unwrap_or(u32::MAX),
            last_ms: times_ms.last().copied().unwrap_or_default(),
        }
    }
}

impl Trials {
    /// Permits a trial of a request under quarantine if one is due; returns whether it is.
    pub(crate) fn try_start(
        &mut self,
        request_hash: u64,
        crashes: CrashHistory,
        now_ms: u64,
    ) -> bool {
        let is_known = self.by_request.contains_key(&request_hash);
        if now_ms < self.next_ms || (!is_known && self.by_request.len() >= MAX_REQUESTS) {
            return false;
        }
        let trials = self
            .by_request
            .entry(request_hash)
            .or_insert_with(|| RequestTrials::after(crashes));
        if trials.count >= MAX_TRIALS || now_ms < trials.due_ms {
            return false;
        }
        trials.count += 1;
        trials.due_ms = now_ms + delay_ms(trials.count);
        self.running = Some(request_hash);
        self.next_ms = now_ms + SPACING_MS;
        true
    }

    /// Removes the requests that are no longer under quarantine.
    pub(crate) fn retain(&mut self, is_quarantined: impl Fn(u64) -> bool) {
        if self.running.is_some_and(|hash| !is_quarantined(hash)) {
            self.running = None;
            self.next_ms = 0;
        }
        self.by_request.retain(|hash, _| is_quarantined(*hash));
    }
}

impl RequestTrials {
    fn after(crashes: CrashHistory) -> Self {
        let count = crashes.pauses.min(MAX_TRIALS);
        Self {
            count,
            due_ms: crashes.last_ms + delay_ms(count),
        }
    }
}

/// Returns the time to the trial that follows `count` others, in milliseconds.
fn delay_ms(count: u32) -> u64 {
    FIRST_DELAY_MS * DELAY_FACTOR.pow(count)
}
