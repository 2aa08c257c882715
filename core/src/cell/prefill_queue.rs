//! Simulates the prefill queue of an engine to forecast when a prompt will be prefilled.
//!
//! Models bursts of long prompts next to short urgent ones while adapters load: an engine prefills
//! the most urgent prompt first, and only prompts whose adapter is loaded.

use super::message::Ticket;

/// Maximum duration of an engine step, in milliseconds: a more urgent prompt waits until the step
/// ends in which less urgent ones are prefilled.
const LONGEST_STEP_MS: f64 = 250.0;

/// A prompt that waits for its prefill.
#[derive(Clone, Debug)]
pub(crate) struct PendingPrefill {
    /// The attempt that it belongs to.
    pub(crate) ticket: Ticket,
    /// Time at which its adapter is loaded, in milliseconds.
    pub(crate) ready_ms: f64,
    /// Rank of the request; a smaller one is prefilled first.
    pub(crate) urgency: u8,
    /// Remaining prefill time, in milliseconds.
    pub(crate) left_ms: f64,
}

/// Prompts that an engine has to prefill.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillQueue {
    /// Prompts that are not fully prefilled. Invariant: sorted by `ready_ms`, ties in order of
    /// arrival.
    waiting: Vec<PendingPrefill>,
    /// Time up to which the simulation has advanced, in milliseconds.
    counted_ms: f64,
}

impl PrefillQueue {
    /// Advances the simulation to `now_ms`.
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

    /// Adds a prompt. Must be called after [`PrefillQueue::advance`].
    pub(crate) fn push(&mut self, prefill: PendingPrefill) {
        let later = |other: &PendingPrefill| other.ready_ms > prefill.ready_ms;
        let index = self.waiting.iter().position(later);
        let index = index.unwrap_or(self.waiting.len());
        self.waiting.insert(index, prefill);
    }

    /// Removes the prompt of a request that has left the engine.
    pub(crate) fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|prefill| prefill.ticket != ticket);
    }

    /// Returns whether no prompt waits for its prefill.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the time that the engine needs for all prompts, in milliseconds.
    pub(crate) fn total_ms(&self) -> f64 {
        self.waiting.iter().map(|prefill| prefill.left_ms).sum()
    }

    /// Returns the number of prompts.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns when the engine would start to prefill a prompt whose adapter is loaded at
    /// `ready_ms`. Must be called after [`PrefillQueue::advance`].
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

    /// Returns the index of the most urgent prompt whose adapter is loaded.
    fn next_prefill(&self) -> Option<usize> {
        let ready = self.waiting.iter().enumerate();
        ready
            .take_while(|(_, prefill)| prefill.ready_ms <= self.counted_ms)
            .min_by_key(|(_, prefill)| prefill.urgency)
            .map(|(index, _)| index)
    }

    /// Returns when the next adapter that a prompt waits for is loaded, in milliseconds.
    fn next_ready_ms(&self) -> Option<f64> {
        let mut waiting = self.waiting.iter();
        let next = waiting.find(|prefill| prefill.ready_ms > self.counted_ms);
        next.map(|prefill| prefill.ready_ms)
    }
}
