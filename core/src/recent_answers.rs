//! The work that was answered last, with the times up to which the answers count.

use std::collections::HashMap;

use crate::quarantine::{ANSWER_VALIDITY_MS, Quarantine};
use crate::recency::Recency;
use crate::work::{AnswerTimes, Fingerprint, Work};

/// Maximum number of requests whose answers are kept.
const MAX_REQUESTS: usize = 2_048;
/// Maximum number of parts of prompts whose answers are kept. Requests share them, so that they have
/// a bound of their own: there are more requests than parts.
const MAX_PARTS: usize = 32_768;

/// The latest answers to requests and to requests with a part in their prompts.
#[derive(Debug)]
pub(crate) struct RecentAnswers {
    requests: LatestAnswers,
    parts: LatestAnswers,
    /// Number of answers that were dropped while they proved work sound.
    dropped: usize,
}

/// The latest answers. Those that are the longest ago are dropped first.
#[derive(Debug)]
struct LatestAnswers {
    /// Maximum number of `answers`.
    max: usize,
    /// Times of the answers, in Unix milliseconds.
    answers: HashMap<Fingerprint, u64>,
    /// The keys of `answers`.
    recency: Recency<Fingerprint>,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self {
            requests: LatestAnswers::new(MAX_REQUESTS),
            parts: LatestAnswers::new(MAX_PARTS),
            dropped: 0,
        }
    }
}

impl RecentAnswers {
    /// Records an answer to work.
    pub(crate) fn record(&mut self, work: &Work, times: AnswerTimes) {
        for fingerprint in work.fingerprints() {
            let unix_ms = times.proven_unix_ms(fingerprint);
            let dropped_ms = match fingerprint {
                Fingerprint::Request(_) => self.requests.record(fingerprint, unix_ms),
                Fingerprint::PromptPart(_) => self.parts.record(fingerprint, unix_ms),
            };
            let is_valid = |it: u64| times.arrived_unix_ms < it + ANSWER_VALIDITY_MS;
            // Each request is new, so that their answers are dropped all the time.
            let is_part = matches!(fingerprint, Fingerprint::PromptPart(_));
            self.dropped += usize::from(is_part && dropped_ms.is_some_and(is_valid));
        }
    }

    /// Takes the number of answers to parts that were dropped while they proved them sound.
    pub(crate) fn take_dropped(&mut self) -> usize {
        std::mem::take(&mut self.dropped)
    }

    /// Adds the latest answer to work to the evidence against it.
    pub(crate) fn add_to(&self, quarantine: &mut Quarantine, fingerprint: Fingerprint) {
        if let Some(unix_ms) = self.last_unix_ms(fingerprint) {
            quarantine.record_answer(fingerprint, unix_ms);
        }
    }

    /// Returns the time of the latest answer, in Unix milliseconds.
    pub(crate) fn last_unix_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        let answers = match fingerprint {
            Fingerprint::Request(_) => &self.requests,
            Fingerprint::PromptPart(_) => &self.parts,
        };
        answers.answers.get(&fingerprint).copied()
    }
}

impl LatestAnswers {
    fn new(max: usize) -> Self {
        Self {
            max,
            answers: HashMap::new(),
            recency: Recency::default(),
        }
    }

    /// Records an answer. Returns the time of the one that is dropped for it, in Unix milliseconds.
    fn record(&mut self, fingerprint: Fingerprint, unix_ms: u64) -> Option<u64> {
        let latest_ms = self.answers.entry(fingerprint).or_default();
        *latest_ms = (*latest_ms).max(unix_ms);
        self.recency.touch(fingerprint);
        if self.recency.len() <= self.max {
            return None;
        }
        let oldest = self.recency.pop_oldest()?;
        self.answers.remove(&oldest)
    }
}
