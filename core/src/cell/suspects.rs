//! Tracks requests that may crash engines, and refuses those that crashed several.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::dropped_evidence::DroppedEvidence;
use crate::name::Name;
use crate::quarantine::{Crash, Quarantine, QuarantineStatus};
use crate::recent_answers::RecentAnswers;
use crate::trial::Trials;
use crate::work::{AnswerTimes, Fingerprint, Work};

/// Time within which a crash is attributed to a request whose connection broke, in milliseconds.
const CRASH_WITHIN_MS: u64 = 3_000;
/// Time between two removals of expired crashes, in milliseconds.
const EXPIRY_PERIOD_MS: u64 = 1_000;

/// Crash evidence against requests.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// Requests whose connection broke recently, by server.
    broken: HashMap<Name, Vec<BrokenRequest>>,
    quarantine: Quarantine,
    /// The latest answers of all instances. An instance that observes a crash need not have answered
    /// the work that ran there.
    answers: RecentAnswers,
    /// Work whose evidence has changed since the last call of [`Suspects::take_changes`].
    changed: BTreeSet<Fingerprint>,
    /// Times of the answers to the work that was reported, as the instances know them, in Unix
    /// milliseconds.
    reported_answers: BTreeMap<Fingerprint, Option<u64>>,
    /// Trial runs of requests under quarantine.
    trials: Trials,
    /// What was dropped since the last call of [`Suspects::take_dropped`].
    dropped: DroppedEvidence,
    /// Time from which on [`Suspects::expire`] has something to do, in milliseconds.
    expiry_due_ms: u64,
    /// Unix time at time 0 of `now_ms`, in milliseconds.
    epoch_unix_ms: u64,
}

#[derive(Clone, Debug)]
struct BrokenRequest {
    work: Work,
    broke_ms: u64,
}

impl Suspects {
    /// Sets the Unix time at time 0 of the times given as `now_ms`, in milliseconds.
    pub(super) fn set_epoch(&mut self, epoch_unix_ms: u64) {
        self.epoch_unix_ms = epoch_unix_ms;
    }

    /// Records that the connection of a request at a server broke.
    pub(super) fn record_broken_connection(&mut self, server: &Name, work: Work, now_ms: u64) {
        let broken = self.broken.entry(server.clone()).or_default();
        broken.retain(|request| is_recent(request, now_ms));
        broken.push(BrokenRequest {
            work,
            broke_ms: now_ms,
        });
    }

    /// Records that this start of a server has ended, or appears to have.
    pub(super) fn record_crash(&mut self, server: &Name, boot: u64, now_ms: u64) {
        let Some(broken) = self.broken.remove(server) else {
            return;
        };
        let crash = Crash::new(server, boot);
        let recent = broken.iter().filter(|request| is_recent(request, now_ms));
        for request in recent {
            let unix_ms = self.epoch_unix_ms + request.broke_ms;
            self.dropped.fingerprints +=
                self.quarantine
                    .record_crash(&crash, request.work.fingerprints(), unix_ms);
            for fingerprint in request.work.fingerprints() {
                self.answers.add_to(&mut self.quarantine, fingerprint);
                self.changed.insert(fingerprint);
            }
        }
    }

    /// Takes the counts of what was dropped since the last call.
    pub(super) fn take_dropped(&mut self) -> DroppedEvidence {
        let mut dropped = std::mem::take(&mut self.dropped);
        dropped.answers += self.answers.take_dropped();
        dropped
    }

    /// Removes crashes that have expired.
    pub(super) fn expire(&mut self, now_ms: u64) {
        if now_ms < self.expiry_due_ms {
            return;
        }
        self.expiry_due_ms = now_ms + EXPIRY_PERIOD_MS;
        self.quarantine.expire(self.epoch_unix_ms + now_ms);
    }

    /// Retracts a crash: this start of the server answers, so it has not ended.
    pub(super) fn retract_crash(&mut self, server: &Name, boot: u64) {
        let crash = Crash::new(server, boot);
        self.changed.extend(self.quarantine.retract_crash(&crash));
    }

    /// Records that a request was answered, which was sent to its server after `sent_ms`.
    pub(super) fn record_answer(&mut self, work: &Work, sent_ms: u64, now_ms: u64) {
        let times = AnswerTimes {
            sent_unix_ms: self.epoch_unix_ms + sent_ms,
            arrived_unix_ms: self.epoch_unix_ms + now_ms,
        };
        self.answers.record(work, times);
        for fingerprint in work.fingerprints() {
            let unix_ms = times.proven_unix_ms(fingerprint);
            if self.quarantine.record_answer(fingerprint, unix_ms) {
                self.changed.insert(fingerprint);
            }
        }
    }

    /// Merges evidence of an instance or of an earlier placer.
    pub(super) fn merge(&mut self, quarantine: &Quarantine) {
        self.dropped.fingerprints += self.quarantine.merge(quarantine).evicted;
        for fingerprint in quarantine.fingerprints() {
            self.answers.add_to(&mut self.quarantine, fingerprint);
            self.changed.insert(fingerprint);
        }
    }

    /// Returns the evidence that has changed since the last call, of work that is refused or that an
    /// instance may refuse by the crashes that it knows, because it does not know the latest answer.
    pub(super) fn take_changes(&mut self) -> Option<Quarantine> {
        let mut fingerprints = std::mem::take(&mut self.changed);
        fingerprints.retain(|it| {
            let reported_unix_ms = self.reported_answers.get(it).copied().flatten();
            self.quarantine.may_be_refused(*it, reported_unix_ms)
        });
        if fingerprints.is_empty() {
            return None;
        }
        for fingerprint in &fingerprints {
            let answered_unix_ms = self.quarantine.answered_unix_ms(*fingerprint);
            self.reported_answers.insert(*fingerprint, answered_unix_ms);
        }
        let quarantine = &self.quarantine;
        self.reported_answers
            .retain(|it, _| quarantine.contains(*it));
        Some(self.quarantine.part(fingerprints))
    }

    /// Permits one run of a request under quarantine if a trial is due; returns whether it is.
    pub(super) fn try_start_trial(&mut self, work: &Work, now_ms: u64) -> bool {
        let quarantine = &self.quarantine;
        self.trials.retain(|request_hash| {
            let status = quarantine.status(Fingerprint::Request(request_hash));
            status == QuarantineStatus::Quarantined
        });
        let crashes = quarantine.crash_history(work.request());
        let unix_ms = self.epoch_unix_ms + now_ms;
        quarantine.may_be_tried(work)
            && self.trials.try_start(work.request_hash(), crashes, unix_ms)
    }

    /// Returns the fingerprint for which a request is refused, because such work crashed several
    /// servers; `None` if it may run. A trial run is refused for a part of its prompt only.
    pub(super) fn refused_by(&self, work: &Work, is_trial: bool) -> Option<Fingerprint> {
        if is_trial {
            self.quarantine.refused_by_part(work)
        } else {
            self.quarantine.refused_by(work)
        }
    }
}

fn is_recent(request: &BrokenRequest, now_ms: u64) -> bool {
    now_ms.saturating_sub(request.broke_ms) <= CRASH_WITHIN_MS
}
