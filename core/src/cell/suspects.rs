//! Requests that crash engines, kept apart and refused.

use std::collections::HashMap;

use super::message::{ObservedCrash, QuarantineSnapshot};
use crate::name::Name;
use crate::quarantine::{Crash, Fingerprint, Quarantine, Standing};

/// Time within which a crash follows the end of the requests that ran, in milliseconds.
const CRASH_WITHIN_MS: u64 = 3_000;
/// Requests of which instances are told.
const MAX_REPORTED_FINGERPRINTS: usize = 200;
/// Time for which a crash counts, in milliseconds.
const CRASH_RETENTION_MS: u64 = 600_000;

/// What is known of requests that ran on servers that crashed.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// Requests whose connection broke lately, by server, with the time.
    broken: HashMap<Name, Vec<(Fingerprint, u64)>>,
    quarantine: Quarantine,
    /// Whether instances have to be told again.
    is_changed: bool,
}

impl Suspects {
    /// The connection of a request at a server broke.
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

    /// This start of a server has ended, or seems to have.
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
        self.quarantine.crashed(&crash, fingerprints, now_ms);
        self.quarantine
            .expire(now_ms.saturating_sub(CRASH_RETENTION_MS));
    }

    /// This start of a server answers, so that it has not ended, whatever was thought before.
    pub(super) fn retract_crash(&mut self, server: &Name, boot: u64) {
        let crash = Crash {
            server: server.clone(),
            boot,
        };
        self.is_changed |= self.quarantine.disproved(&crash);
    }

    /// A request was answered, so it crashes nothing.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.is_changed |= self.quarantine.finished(fingerprint);
    }

    /// An instance has noticed that a server ended after a request broke there.
    pub(super) fn record_observed_crash(&mut self, observed: &ObservedCrash, now_ms: u64) {
        self.is_changed = true;
        self.quarantine
            .crashed(&observed.crash, [observed.fingerprint], now_ms);
    }

    /// What all instances have to know, if it has changed since the last call.
    pub(super) fn take_quarantine_changes(&mut self) -> Option<QuarantineSnapshot> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let suspected = self.quarantine.suspected().take(MAX_REPORTED_FINGERPRINTS);
        let refused = self
            .quarantine
            .quarantined()
            .take(MAX_REPORTED_FINGERPRINTS);
        Some(QuarantineSnapshot {
            suspected: suspected.collect(),
            refused: refused.collect(),
        })
    }

    /// Whether a request is refused because it crashed several servers.
    pub(super) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.standing(fingerprint) == Standing::Quarantined
    }
}
