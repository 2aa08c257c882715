//! Admission of requests that may crash servers, and trial runs of those under quarantine.

use std::sync::Arc;

use mimosabay_core::crash_observer::Admission;
use mimosabay_core::rendezvous;
use mimosabay_core::trial::TrialOutcome;
use mimosabay_core::work::{Fingerprint, Work};
use tracing::info;

use super::state::State;

/// A trial run of a request under quarantine. Dropping it records its end.
pub(crate) struct TrialRun {
    state: Arc<State>,
    request_hash: u64,
    outcome: TrialOutcome,
}

impl TrialRun {
    /// Decides whether the request with this identifier may be sent to its first server; returns its
    /// trial run if it is one.
    ///
    /// # Errors
    ///
    /// The fingerprint for which the request is refused.
    pub(super) fn admit(
        state: &Arc<State>,
        work: &Work,
        id: &str,
    ) -> Result<Option<Self>, Fingerprint> {
        let request_hash = work.request_hash();
        let makes_trials = || makes_trials_of(state, request_hash);
        match state.suspects.admit(work, makes_trials) {
            Admission::Admitted => Ok(None),
            Admission::Refused(fingerprint) => Err(fingerprint),
            Admission::Trial => {
                info!(event = "trial_started", id, fingerprint = request_hash);
                Ok(Some(Self {
                    state: state.clone(),
                    request_hash,
                    outcome: TrialOutcome::Failed,
                }))
            }
        }
    }

    /// Records that no server ran the request.
    pub(super) fn mark_not_run(&mut self) {
        self.outcome = TrialOutcome::NotRun;
    }
}

impl Drop for TrialRun {
    fn drop(&mut self) {
        let suspects = &self.state.suspects;
        let request_hash = self.request_hash;
        if !suspects.is_quarantined(Fingerprint::Request(request_hash)) {
            self.outcome = TrialOutcome::Answered;
        }
        suspects.finish_trial(request_hash, self.outcome);
        info!(event = "trial_ended", fingerprint = request_hash, outcome = ?self.outcome);
    }
}

/// Whether this instance makes the trial runs of a request. The instances with the same list of
/// members agree on one.
fn makes_trials_of(state: &State, request_hash: u64) -> bool {
    let addresses = state.members.addresses();
    let candidates = addresses.iter().map(|address| &**address);
    let chosen = rendezvous::choose(&format!("{request_hash:x}"), candidates);
    chosen == Some(&**state.link.own_address())
}
