//! What an engine has to read, and when a prompt will have been read.
//!
//! Answers bursts of long prompts beside short urgent ones, while adapters are on their way: an engine
//! reads the most urgent prompt first, and only prompts whose adapter is there.

use super::message::Ticket;

/// Longest step of an engine, in milliseconds: a more urgent prompt waits for the end of the step in
/// which less urgent ones are read.
const LONGEST_STEP_MS: f64 = 250.0;

/// A prompt that is to be read.
#[derive(Clone, Debug)]
pub(crate) struct PendingPrefill {
    /// The request.
    pub(crate) ticket: Ticket,
    /// When its adapter is there, in milliseconds.
    pub(crate) ready_ms: f64,
    /// Rank of the request; a smaller one is read first.
    pub(crate) urgency: u8,
    /// Time that the rest of it takes, in milliseconds.
    pub(crate) left_ms: f64,
}

/// Prompts that an engine has to read.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillQueue {
    /// Those that are not read yet. Invariant: sorted by `ready_ms`, the first to come first among
    /// equals.
    waiting: Vec<PendingPrefill>,
    /// Time up to which reading was counted, in milliseconds.
    counted_ms: f64,
}

impl PrefillQueue {
    /// Counts what was read up to `now_ms`.
    pub(crate) fn advance(&mut self, now_ms: f64) {
        while self.counted_ms < now_ms {
            let Some(index) = self.next_prefill() else {
                self.counted_ms = self.next_ready_ms().unwrap_or(now_ms).min(now_ms);
                continue;
            };
            let until_ms = self.next_ready_ms().unwrap_or(now_ms).min(now_ms);
            let prefill = &mut self.waiting[index];
            let prefill_ms = prefill.left_ms.min(until_ms - self.counted_ms);
            prefill.left_ms -= prefill_ms;
            self.counted_ms += prefill_ms;
            if prefill.left_ms <= f64::EPSILON {
                self.waiting.remove(index);
            }
        }
    }

    /// Adds a prompt. Call after [`PrefillQueue::advance`].
    pub(crate) fn push(&mut self, prefill: PendingPrefill) {
        let later = |other: &PendingPrefill| other.ready_ms > prefill.ready_ms;
        let index = self.waiting.iter().position(later);
        let index = index.unwrap_or(self.waiting.len());
        self.waiting.insert(index, prefill);
    }

    /// A request has left the engine.
    pub(crate) fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|prefill| prefill.ticket != ticket);
    }

    /// Whether nothing is to be read.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When the engine would begin to read a prompt whose adapter is there at `ready_ms`. Call after
    /// [`PrefillQueue::advance`].
    pub(crate) fn start_ms(&self, ready_ms: f64, urgency: u8, now_ms: f64) -> f64 {
        let mut free_ms = now_ms;
        let mut less_urgent_ms = 0.0;
        let before = self.waiting.iter();
        for prefill in before.take_while(|prefill| prefill.ready_ms <= ready_ms) {
            if prefill.urgency <= urgency {
                free_ms = free_ms.max(prefill.ready_ms) + prefill.left_ms;
            } else {
                less_urgent_ms += prefill.left_ms;
            }
        }
        free_ms.max(ready_ms) + less_urgent_ms.min(LONGEST_STEP_MS)
    }

    /// The most urgent prompt whose adapter is there.
    fn next_prefill(&self) -> Option<usize> {
        let ready = self.waiting.iter().enumerate();
        ready
            .take_while(|(_, prefill)| prefill.ready_ms <= self.counted_ms)
            .min_by_key(|(_, prefill)| prefill.urgency)
            .map(|(index, _)| index)
    }

    /// When the next adapter arrives for which a prompt waits, in milliseconds.
    fn next_ready_ms(&self) -> Option<f64> {
        let mut waiting = self.waiting.iter();
        let next = waiting.find(|prefill| prefill.ready_ms > self.counted_ms);
        next.map(|prefill| prefill.ready_ms)
    }
}
