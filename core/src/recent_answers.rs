//! The work that was answered last, with the times up to which the answers count.

use std::collections::{BTreeMap, HashMap};

use crate::quarantine::Quarantine;
use crate::work::{AnswerTimes, Fingerprint, Work};

/// Maximum number of requests whose answers are kept.
const MAX_REQUESTS: usize = 2_048;
/// Maximum number of parts of prompts whose answers are kept. Requests share them, so that they have
/// a bound of their own: there are more requests than parts.
const MAX_PARTS: usize = 8_192;

/// The latest answers to requests and to requests with a part in their prompts.
#[derive(Debug)]
pub(crate) struct RecentAnswers {
    requests: LatestAnswers,
    parts: LatestAnswers,
}

/// The latest answers. Those that are the longest ago are dropped first.
#[derive(Debug)]
struct LatestAnswers {
    /// Maximum number of `answers`.
    max: usize,
    answers: HashMap<Fingerprint, RecordedAnswer>,
    /// The keys of `answers` by the number of the record. Invariant: one entry for each of them.
    order: BTreeMap<u64, Fingerprint>,
    /// Number of the next record.
    next: u64,
}

#[derive(Clone, Copy, Debug)]
struct RecordedAnswer {
    unix_ms: u64,
    /// Number of the record, which orders records.
    number: u64,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self {
            requests: LatestAnswers::new(MAX_REQUESTS),
            parts: LatestAnswers::new(MAX_PARTS),
        }
    }
}

impl RecentAnswers {
    /// Records an answer to work.
    pub(crate) fn record(&mut self, work: &Work, times: AnswerTimes) {
        for fingerprint in work.fingerprints() {
            let unix_ms = times.proven_unix_ms(fingerprint);
            match fingerprint {
                Fingerprint::Request(_) => self.requests.record(fingerprint, unix_ms),
                Fingerprint::PromptPart(_) => self.parts.record(fingerprint, unix_ms),
            }
        }
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
        let answer = answers.answers.get(&fingerprint)?;
        Some(answer.unix_ms)
    }
}

impl LatestAnswers {
    fn new(max: usize) -> Self {
        Self {
            max,
            answers: HashMap::new(),
            order: BTreeMap::new(),
            next: 0,
        }
    }

    fn record(&mut self, fingerprint: Fingerprint, unix_ms: u64) {
        let number = self.next;
        self.next += 1;
        let known_ms = self.answers.get(&fingerprint).map_or(0, |it| it.unix_ms);
        let answer = RecordedAnswer {
            unix_ms: unix_ms.max(known_ms),
            number,
        };
        if let Some(before) = self.answers.insert(fingerprint, answer) {
            self.order.remove(&before.number);
        }
        self.order.insert(number, fingerprint);
        if self.order.len() > self.max
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.answers.remove(&oldest);
        }
    }
}
