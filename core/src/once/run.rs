//! Keyed runs at the instance that dispatches them.

use std::collections::HashMap;

use super::answer::RecordedAnswer;
use super::entry::{Claimant, KeyId};
use super::event::{KeyedRequest, Ticket};

/// State of a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunState {
    /// The claim is being recorded.
    Claiming,
    /// The claim is recorded, and the request may be dispatched until this monotonic time.
    Permitted { until_ms: u64 },
    /// The request was dispatched.
    Dispatched,
    /// The run has ended, and its outcome is not yet recorded; `None` if its answer is lost.
    Ended { answer: Option<RecordedAnswer> },
}

/// A run and the duplicate requests that wait for its answer.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The request that is run.
    pub(super) request: KeyedRequest,
    pub(super) claimant: Claimant,
    /// Monotonic time at which the claim was requested, in milliseconds.
    pub(super) started_ms: u64,
    pub(super) state: RunState,
    /// Waiting requests with the same key. Invariant: once the claim is recorded, all of them
    /// request the same work.
    pub(super) duplicates: Vec<KeyedRequest>,
}

/// Runs by key. Invariant: at most one run for each key.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    runs: HashMap<KeyId, Run>,
    /// Invariant: contains exactly the tickets of the runs that have not ended.
    keys: HashMap<Ticket, KeyId>,
}

impl RunTable {
    pub(super) fn insert(&mut self, key: KeyId, run: Run) {
        self.keys.insert(run.request.ticket, key.clone());
        self.runs.insert(key, run);
    }

    pub(super) fn get_mut(&mut self, key: &KeyId) -> Option<&mut Run> {
        self.runs.get_mut(key)
    }

    pub(super) fn key_of(&self, ticket: Ticket) -> Option<KeyId> {
        self.keys.get(&ticket).cloned()
    }

    /// Returns the run that dispatches the request with this ticket.
    pub(super) fn get_mut_by_ticket(&mut self, ticket: Ticket) -> Option<&mut Run> {
        let key = self.keys.get(&ticket)?;
        self.runs.get_mut(key)
    }

    pub(super) fn key_of_claimant(&self, claimant: &Claimant) -> Option<KeyId> {
        let mut runs = self.runs.iter();
        let (key, _) = runs.find(|(_, run)| run.claimant == *claimant)?;
        Some(key.clone())
    }

    /// Marks a run as ended and returns the duplicates that wait for its answer.
    pub(super) fn mark_ended(
        &mut self,
        ticket: Ticket,
        answer: Option<RecordedAnswer>,
    ) -> Vec<KeyedRequest> {
        let Some(run) = self.get_mut_by_ticket(ticket) else {
            return Vec::new();
        };
        run.state = RunState::Ended { answer };
        let duplicates = std::mem::take(&mut run.duplicates);
        self.keys.remove(&ticket);
        duplicates
    }

    pub(super) fn remove(&mut self, key: &KeyId) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.keys.remove(&run.request.ticket);
        Some(run)
    }

    /// Removes a waiting duplicate; returns whether the ticket belonged to one.
    pub(super) fn remove_duplicate(&mut self, ticket: Ticket) -> bool {
        for run in self.runs.values_mut() {
            let before = run.duplicates.len();
            run.duplicates.retain(|other| other.ticket != ticket);
            if run.duplicates.len() < before {
                return true;
            }
        }
        false
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&KeyId, &Run)> {
        self.runs.iter()
    }
}
