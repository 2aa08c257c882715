//! Reports what was dropped of the evidence of crashes because a bound was reached.

use mimosabay_core::dropped_evidence::DroppedEvidence;
use tracing::warn;

use super::state::State;

/// Whose evidence it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Holder {
    /// The instance.
    Instance,
    /// The placer in its process.
    Placer,
}

/// Logs and counts what was dropped, if there is something.
pub(super) fn report(state: &State, holder: Holder, dropped: DroppedEvidence) {
    if dropped.is_empty() {
        return;
    }
    state.metrics.count_dropped_evidence(dropped.count());
    warn!(
        event = "evidence_dropped",
        ?holder,
        broken_requests = dropped.broken_requests,
        fingerprints = dropped.fingerprints,
        own_fingerprints = dropped.own_fingerprints,
        retractable_crashes = dropped.retractable_crashes,
        answers = dropped.answers
    );
}
