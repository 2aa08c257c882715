//! Checks whether a request may crash servers before it is sent to its first one.

use mimosabay_core::crash_observer::Admission;
use mimosabay_core::work::{Fingerprint, Work};
use tracing::info;

use super::state::State;

/// A request that may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admitted {
    /// It is not under quarantine.
    Normally,
    /// It is, and may run once.
    ForTrial,
}

/// Decides whether a request with this identifier may be sent to its first server.
///
/// # Errors
///
/// The fingerprint for which the request is refused.
pub(super) async fn admit(state: &State, work: &Work, id: &str) -> Result<Admitted, Fingerprint> {
    let fingerprint = match state.suspects.admit(work) {
        Admission::Admitted => return Ok(Admitted::Normally),
        Admission::Refused(fingerprint) => return Err(fingerprint),
        Admission::NeedsTrial(fingerprint) => fingerprint,
    };
    if state.link.request_trial(state, work.clone()).await {
        info!(event = "trial_started", id, %fingerprint);
        return Ok(Admitted::ForTrial);
    }
    Err(fingerprint)
}
