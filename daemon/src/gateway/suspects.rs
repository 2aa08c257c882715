//! Requests to plain services that may crash the servers that run them.
//!
//! This instance observes crashes that follow a broken request. The placer counts them over all
//! instances and reports which requests are refused.

use std::collections::HashSet;
use std::sync::Mutex;

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{ObservedCrash, Update};
use mimosabay_core::quarantine::{Crash, Fingerprint};

use mimosabay_peer::VersionedQuarantine;
use tracing::info;

use super::backends::Snapshot;

/// Time within which a crash is attributed to a broken request, in milliseconds. The entry of a
/// crashed server disappears only after some heartbeats.
const CRASH_ATTRIBUTION_MS: u64 = 6_000;
/// Largest number of broken requests that are kept; the oldest are dropped first.
const MAX_BROKEN_REQUESTS: usize = 512;

/// Requests that may crash servers, as known to this instance.
#[derive(Default)]
pub(crate) struct Suspects {
    broken: Mutex<Vec<BrokenRequest>>,
    crashes: Mutex<Vec<ObservedCrash>>,
    answered: Mutex<HashSet<Fingerprint>>,
    known: Mutex<KnownQuarantine>,
}

/// A request whose connection broke.
struct BrokenRequest {
    fingerprint: Fingerprint,
    crash: Crash,
    broke_ms: u64,
}

/// The quarantine received from the placer.
#[derive(Default)]
struct KnownQuarantine {
    version: u64,
    suspected: HashSet<Fingerprint>,
    refused: HashSet<Fingerprint>,
}

impl Suspects {
    /// Records that the connection of a request to a server broke.
    pub(crate) fn record_broken(&self, fingerprint: Fingerprint, backend: &Backend, now_ms: u64) {
        let mut broken = self.broken.lock().expect("broken lock");
        if broken.len() >= MAX_BROKEN_REQUESTS {
            broken.remove(0);
        }
        let crash = Crash {
            server: backend.id.clone(),
            boot: backend.started_unix_ms,
        };
        info!(
            event = "request_broken",
            fingerprint,
            server = %crash.server,
            boot = crash.boot
        );
        broken.push(BrokenRequest {
            fingerprint,
            crash,
            broke_ms: now_ms,
        });
    }

    /// Records that a request was answered; if the request is suspected, the placer is notified.
    pub(crate) fn record_answered(&self, fingerprint: Fingerprint) {
        let is_suspected = self
            .known
            .lock()
            .expect("known quarantine lock")
            .suspected
            .contains(&fingerprint);
        if is_suspected {
            self.answered
                .lock()
                .expect("answered lock")
                .insert(fingerprint);
        }
    }

    /// Records a crash for each server that has terminated or restarted since a request broke
    /// there.
    pub(crate) fn record_crashes(&self, snapshot: &Snapshot, now_ms: u64) {
        let mut observed = Vec::new();
        self.broken.lock().expect("broken lock").retain(|request| {
            let server = snapshot.get(&request.crash.server);
            let has_ended = server.is_none_or(|it| it.started_unix_ms != request.crash.boot);
            let age_ms = now_ms.saturating_sub(request.broke_ms);
            if has_ended {
                info!(
                    event = "crash_observed",
                    fingerprint = request.fingerprint,
                    server = %request.crash.server,
                    boot = request.crash.boot,
                    is_listed = server.is_some(),
                    age_ms
                );
                observed.push(ObservedCrash {
                    fingerprint: request.fingerprint,
                    crash: request.crash.clone(),
                });
            }
            let is_kept = age_ms <= CRASH_ATTRIBUTION_MS;
            if !has_ended && !is_kept {
                info!(
                    event = "crash_undecided",
                    fingerprint = request.fingerprint,
                    server = %request.crash.server,
                    boot = request.crash.boot,
                    age_ms
                );
            }
            !has_ended && is_kept
        });
        self.crashes.lock().expect("crashes lock").extend(observed);
    }

    /// Takes the crashes and the answered requests that the placer does not know yet.
    pub(crate) fn take_observations(&self) -> (Vec<ObservedCrash>, Vec<Fingerprint>) {
        let crashes = std::mem::take(&mut *self.crashes.lock().expect("crashes lock"));
        let answered = std::mem::take(&mut *self.answered.lock().expect("answered lock"));
        (crashes, answered.into_iter().collect())
    }

    /// Queues the observations of an update that did not reach the placer again.
    pub(crate) fn requeue(&self, update: &Update) {
        let mut crashes = self.crashes.lock().expect("crashes lock");
        crashes.extend(update.crashes.iter().cloned());
        drop(crashes);
        let mut answered = self.answered.lock().expect("answered lock");
        answered.extend(update.cleared.iter().copied());
    }

    /// Version of the quarantine received from the placer.
    pub(crate) fn version(&self) -> u64 {
        self.known.lock().expect("known quarantine lock").version
    }

    /// Replaces the known quarantine by the placer's.
    pub(crate) fn apply(&self, received: VersionedQuarantine) {
        let VersionedQuarantine { version, snapshot } = received;
        info!(
            event = "quarantine_received",
            version,
            suspected = snapshot.suspected.len(),
            refused = snapshot.refused.len()
        );
        *self.known.lock().expect("known quarantine lock") = KnownQuarantine {
            version,
            suspected: snapshot.suspected.into_iter().collect(),
            refused: snapshot.refused.into_iter().collect(),
        };
    }

    /// Whether a request is refused because it crashed several servers.
    pub(crate) fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.known
            .lock()
            .expect("known quarantine lock")
            .refused
            .contains(&fingerprint)
    }
}
