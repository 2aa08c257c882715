//! Requests that may crash the servers that run them, as this instance knows them.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard};

use mimosabay_core::backend::Backend;
use mimosabay_core::crash_observer::{Admission, CrashObserver, Decision, ServerList, Verdict};
use mimosabay_core::dropped_evidence::DroppedEvidence;
use mimosabay_core::name::Name;
use mimosabay_core::quarantine::{Crash, Quarantine};
use mimosabay_core::quarantine_log::QuarantineChanges;
use mimosabay_core::work::{AnswerTimes, Fingerprint, Work};
use tracing::info;

use super::backends::Snapshot;
use crate::clock::Clock;

/// The crash observer of this instance.
pub(crate) struct Suspects {
    clock: Clock,
    observer: Mutex<CrashObserver>,
    /// Servers that are being probed.
    probed: Mutex<HashSet<Crash>>,
}

impl Suspects {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            observer: Mutex::default(),
            probed: Mutex::default(),
        }
    }

    /// Records that a request ended without an answer at a server that may have begun to run it.
    pub(crate) fn record_broken(&self, work: Work, backend: &Backend) {
        let crash = Crash::new(&backend.id, backend.started_unix_ms);
        info!(
            event = "request_broken",
            fingerprint = work.request_hash(),
            parts = work.parts_text(),
            server = %crash.server,
            boot = crash.boot
        );
        let (now_ms, unix_ms) = (self.clock.now_ms(), self.clock.unix_ms());
        self.observer().record_broken(work, crash, now_ms, unix_ms);
    }

    /// Records that a server answered a request that it was sent at `sent_ms`.
    pub(crate) fn record_answer(&self, work: &Work, sent_ms: u64) {
        let times = AnswerTimes {
            sent_unix_ms: self.clock.start_unix_ms() + sent_ms,
            arrived_unix_ms: self.clock.unix_ms(),
        };
        let cleared = self.observer().record_answer(work, times);
        for fingerprint in cleared {
            info!(event = "evidence_cleared", %fingerprint);
        }
    }

    /// Decides which broken requests ran on servers that have ended since, and removes what has
    /// expired. `is_current` tells whether the snapshot is; servers renew their entries every
    /// `heartbeat_ms` milliseconds.
    pub(crate) fn check_servers(&self, snapshot: &Snapshot, is_current: bool, heartbeat_ms: u64) {
        let list = ServerList {
            start_of: |server: &Name| Some(snapshot.get(server)?.started_unix_ms),
            is_current,
            heartbeat_ms,
        };
        let mut observer = self.observer();
        observer.expire(self.clock.unix_ms());
        let decisions = observer.check_servers(&list, self.clock.now_ms());
        log_decisions(&decisions, &observer, self.clock.unix_ms());
    }

    /// Begins a probe of a server; returns whether there was none.
    pub(crate) fn start_probe(&self, crash: &Crash) -> bool {
        let mut probed = self.probed.lock().expect("probed lock");
        probed.insert(crash.clone())
    }

    /// Ends a probe of a server.
    pub(crate) fn finish_probe(&self, crash: &Crash, has_ended: bool) {
        self.probed.lock().expect("probed lock").remove(crash);
        if has_ended {
            let now_ms = self.clock.now_ms();
            let mut observer = self.observer();
            let decisions = observer.record_refused_connections(crash, now_ms);
            log_decisions(&decisions, &observer, self.clock.unix_ms());
        }
    }

    /// Takes the own evidence that the placer does not know yet.
    pub(crate) fn take_evidence(&self, is_new_placer: bool) -> Quarantine {
        self.observer().take_evidence(is_new_placer)
    }

    /// Adds evidence that did not reach the placer to what is sent next.
    pub(crate) fn requeue(&self, evidence: &Quarantine) {
        self.observer().requeue(evidence);
    }

    /// Version of the quarantine received from the placer.
    pub(crate) fn version(&self) -> u64 {
        self.observer().version()
    }

    /// Merges changes received from the placer.
    pub(crate) fn apply(&self, changes: &QuarantineChanges) {
        let version = changes.version;
        let received = changes.table.fingerprints().count();
        let mut observer = self.observer();
        observer.apply(changes);
        let refused = observer.known().quarantined().count();
        drop(observer);
        info!(event = "quarantine_received", version, received, refused);
    }

    /// The fingerprint for which a request is refused, because such work crashed several servers;
    /// `None` if it may run.
    pub(crate) fn refused_by(&self, work: &Work) -> Option<Fingerprint> {
        self.observer().refused_by(work)
    }

    /// Decides whether a request may be sent to its first server.
    pub(crate) fn admit(&self, work: &Work) -> Admission {
        let now_ms = self.clock.now_ms();
        self.observer().admit(work, now_ms)
    }

    /// Takes the counts of what was dropped since the last call.
    pub(crate) fn take_dropped(&self) -> DroppedEvidence {
        self.observer().take_dropped()
    }

    /// All evidence that this instance knows.
    pub(crate) fn known(&self) -> Quarantine {
        self.observer().known().clone()
    }

    fn observer(&self) -> MutexGuard<'_, CrashObserver> {
        self.observer.lock().expect("crash observer lock")
    }
}

fn log_decisions(decisions: &[Decision], observer: &CrashObserver, unix_ms: u64) {
    for decision in decisions {
        let assessment = observer.assessment(decision.work.request());
        let answered_unix_ms = assessment.answered_unix_ms;
        let event = match decision.verdict {
            Verdict::RefusesConnections | Verdict::Unregistered => "crash_observed",
            Verdict::Registered => "crash_undecided",
        };
        info!(
            event,
            fingerprint = decision.work.request_hash(),
            parts = decision.work.parts_text(),
            server = %decision.crash.server,
            boot = decision.crash.boot,
            verdict = ?decision.verdict,
            age_ms = decision.age_ms,
            crashes = assessment.crashes,
            counted_crashes = assessment.counted_crashes,
            answer_age_ms = answered_unix_ms.map(|it| unix_ms.saturating_sub(it))
        );
    }
}
