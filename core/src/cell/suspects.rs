//! Tracks requests that may crash engines, and refuses those that crashed several.

use std::collections::HashMap;

use super::message::{ObservedCrash, QuarantineSnapshot};
use crate::name::Name;
use crate::quarantine::{Crash, Fingerprint, Quarantine, QuarantineStatus};

/// Time within which a crash is attributed to a request whose connection broke, in milliseconds.
const CRASH_WITHIN_MS: u64 = 3_000;
/// Maximum number of fingerprints of suspects sent to instances. Refused requests are all sent.
const MAX_REPORTED_SUSPECTS: usize = 200;
/// Time for which a crash counts, in milliseconds.
const CRASH_RETENTION_MS: u64 = 600_000;

/// Crash evidence against requests.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// Requests whose connection broke recently, by server, with the time in milliseconds.
    broken: HashMap<Name, Vec<(Fingerprint, u64)>>,
    quarantine: Quarantine,
    /// Whether instances need a new snapshot.
    is_changed: bool,
}

impl Suspects {
    /// Records that the connection of a request at a server broke.
    pub(super) fn record_broken_connection(
        &mut self,
        server: &Name,
        fingerprint: Fingerprint,
        now_ms: u64,
    ) {
        let broken = self.broken.entry(server.clone()).or_default();
        broken.retain(|(_, at_ms)| now_ms.saturating_sub(*at_ms) <= CRASH_WITHIN_MS);
        broken.push((fingerprint, now_ms));
    }

    /// Records that this start of a server has ended, or appears to have.
    pub(super) fn record_crash(&mut self, server: &Name, boot: u64, now_ms: u64) {
        let Some(broken) = self.broken.remove(server) else {
            return;
        };
        let crash = Crash {
            server: server.clone(),
            boot,
        };
        let recent = broken
            .into_iter()
            .filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) <= CRASH_WITHIN_MS);
        let fingerprints = recent.map(|(fingerprint, _)| fingerprint);
        self.is_changed = true;
        self.quarantine.record_crash(&crash, fingerprints, now_ms);
        self.quarantine
            .expire(now_ms.saturating_sub(CRASH_RETENTION_MS));
    }

    /// Retracts a crash: this start of the server answers, so it has not ended.
    pub(super) fn retract_crash(&mut self, server: &Name, boot: u64) {
        let crash = Crash {
            server: server.clone(),
            boot,
        };
        self.is_changed |= self.quarantine.retract_crash(&crash);
    }

    /// Records that a request was answered, so that it does not crash servers.
    pub(super) fn record_answer(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.is_changed |= self.quarantine.record_answer(fingerprint, now_ms);
    }

    /// Records a server crash that an instance observed after a request broke there.
    pub(super) fn record_observed_crash(&mut self, observed: &ObservedCrash, now_ms: u64) {
        self.is_changed = true;
        self.quarantine
            .record_crash(&observed.crash, [observed.fingerprint], now_ms);
    }

    /// Returns the snapshot for all instances if it has changed since the last call.
    pub(super) fn take_quarantine_changes(&mut self) -> Option<QuarantineSnapshot> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let suspected = self.quarantine.suspected().take(MAX_REPORTED_SUSPECTS);
        Some(QuarantineSnapshot {
            suspected: suspected.collect(),
            refused: self.quarantine.quarantined().collect(),
        })
    }

    /// Returns whether a request is refused because it crashed several servers.
    pub(super) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.status(fingerprint) == QuarantineStatus::Quarantined
    }
}
