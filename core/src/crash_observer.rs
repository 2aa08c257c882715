//! Crashes that one instance observes, and the quarantine that it knows.
//!
//! An instance sends its evidence to the placer, which counts crashes over all instances. It keeps
//! the evidence, because a new placer knows only what instances send to it. What an instance knows
//! grows by merging: a placer that knows less takes nothing away.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::dropped_evidence::DroppedEvidence;
use crate::name::Name;
use crate::quarantine::{Assessment, Crash, Quarantine, QuarantineStatus};
use crate::quarantine_log::QuarantineChanges;
use crate::recency::Recency;
use crate::recent_answers::RecentAnswers;
use crate::work::{AnswerTimes, Fingerprint, Work};

/// Time after which a server that is still registered counts as running, in heartbeats of the
/// servers. The entry of a crashed server expires after three. Only time in which the list of servers
/// was current counts.
const ATTRIBUTION_HEARTBEATS: u64 = 5;
/// Time after which a broken request is given up, and a crash no longer retracted, even if the list
/// of servers was never current, in milliseconds.
const MAX_UNDECIDED_MS: u64 = 120_000;
/// Time after which a server that was taken for ended by refused connections, and is still
/// registered, counts as running, in heartbeats of the servers.
const STILL_REGISTERED_HEARTBEATS: u64 = 7;
/// Largest number of decided crashes that may still be retracted; the oldest are dropped first.
const MAX_RETRACTABLE: usize = 512;
/// Largest number of broken requests that are kept; the oldest are dropped first.
const MAX_BROKEN: usize = 4_096;
/// Largest number of fingerprints of broken requests that are kept.
const MAX_BROKEN_FINGERPRINTS: usize = 524_288;
/// Largest number of fingerprints of own evidence that are kept; those whose evidence changed the
/// longest ago are dropped first.
const MAX_OWN: usize = 16_384;
/// Largest number of fingerprints in one update of the placer. More are part of the next ones.
pub const MAX_SENT: usize = 2_048;

/// Shortest time between two requests for a trial run of the same request, in milliseconds.
const TRIAL_REQUEST_PERIOD_MS: u64 = 1_000;

/// The crashes, answers and quarantine that one instance knows.
#[derive(Debug, Default)]
pub struct CrashObserver {
    /// Requests that broke at servers of which it is not known yet whether they have ended.
    broken: VecDeque<BrokenRequest>,
    /// Crashes that this instance recorded and may still retract, one entry each.
    retractable: VecDeque<RetractableCrash>,
    /// All evidence that this instance knows, its own and that received from placers.
    known: Quarantine,
    /// Work to whose evidence in `known` this instance has added, the latest last.
    own: Recency<Fingerprint>,
    /// Work whose evidence the placer does not know yet.
    unsent: BTreeSet<Fingerprint>,
    /// The latest answers of this instance.
    answers: RecentAnswers,
    /// When this instance last asked the placer for a trial run of a request, in milliseconds.
    trial_requested_ms: HashMap<u64, u64>,
    /// Version of the quarantine received last.
    version: u64,
    /// Time of the last call of [`CrashObserver::check_servers`], in milliseconds.
    checked_ms: u64,
    /// What was dropped since the last call of [`CrashObserver::take_dropped`].
    dropped: DroppedEvidence,
}

/// A request that a server may have begun to run and did not answer.
#[derive(Clone, Debug)]
struct BrokenRequest {
    work: Work,
    crash: Crash,
    broke_ms: u64,
    broke_unix_ms: u64,
    /// Time since then in which the list of servers was current, in milliseconds.
    listed_ms: u64,
}

/// A crash that is retracted if the server turns out to be running.
#[derive(Clone, Debug)]
struct RetractableCrash {
    crash: Crash,
    /// Whether the server has been registered ever since the crash was recorded.
    was_registered: bool,
    recorded_ms: u64,
    /// Time since then in which the list of servers was current, in milliseconds.
    listed_ms: u64,
}

/// The registered servers, as an instance knows them.
pub struct ServerList<F> {
    /// Returns the start time of a registered server in Unix milliseconds.
    pub start_of: F,
    /// Whether the list is current. Without contact with the store it becomes outdated.
    pub is_current: bool,
    /// Interval at which servers renew their entries, in milliseconds.
    pub heartbeat_ms: u64,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// It is under quarantine for this fingerprint, and may only have run beside other work that
    /// crashes servers. It may run once if the placer permits it.
    NeedsTrial(Fingerprint),
    /// It is refused for this fingerprint.
    Refused(Fingerprint),
}

/// A decision about a broken request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Work of the request.
    pub work: Work,
    /// The server and the start of it at which the request broke.
    pub crash: Crash,
    /// What became of that start of the server.
    pub verdict: Verdict,
    /// Time since the request broke, in milliseconds.
    pub age_ms: u64,
}

/// What became of a server at which a request broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It refuses connections.
    RefusesConnections,
    /// It is no longer registered, or has started again.
    Unregistered,
    /// It is still registered.
    Registered,
}

impl CrashObserver {
    /// Records that a request ended without an answer at a server that may have begun to run it.
    pub fn record_broken(&mut self, work: Work, crash: Crash, now_ms: u64, unix_ms: u64) {
        self.broken.push_back(BrokenRequest {
            work,
            crash,
            broke_ms: now_ms,
            broke_unix_ms: unix_ms,
            listed_ms: 0,
        });
        self.drop_excess_broken();
    }

    fn drop_excess_broken(&mut self) {
        let sizes = self.broken.iter().map(|request| request.work.size());
        let mut fingerprints: usize = sizes.sum();
        while self.broken.len() > MAX_BROKEN || fingerprints > MAX_BROKEN_FINGERPRINTS {
            let Some(oldest) = self.broken.pop_front() else {
                return;
            };
            fingerprints -= oldest.work.size();
            self.dropped.broken_requests += 1;
        }
    }

    /// Takes the counts of what was dropped since the last call.
    pub fn take_dropped(&mut self) -> DroppedEvidence {
        let mut dropped = std::mem::take(&mut self.dropped);
        dropped.answers += self.answers.take_dropped();
        dropped
    }

    /// Records that a server answered a request, which proves that neither the request nor the parts
    /// of its prompt crashed servers by then. Returns the work against which no crash counts any more.
    pub fn record_answer(&mut self, work: &Work, times: AnswerTimes) -> Vec<Fingerprint> {
        self.broken.retain(|request| {
            request.work.request() != work.request() || request.broke_unix_ms > times.sent_unix_ms
        });
        for request in &mut self.broken {
            request.work.remove_parts_of(work);
        }
        self.answers.record(work, times);
        let fingerprints = work.fingerprints();
        fingerprints
            .filter(|it| self.report_answer(*it, times.proven_unix_ms(*it)))
            .collect()
    }

    /// Decides which broken requests ran on servers that have ended.
    pub fn check_servers(
        &mut self,
        list: &ServerList<impl Fn(&Name) -> Option<u64>>,
        now_ms: u64,
    ) -> Vec<Decision> {
        let elapsed_ms = now_ms.saturating_sub(std::mem::replace(&mut self.checked_ms, now_ms));
        let is_registered = |crash: &Crash| (list.start_of)(&crash.server) == Some(crash.boot);
        let attribution_ms = ATTRIBUTION_HEARTBEATS * list.heartbeat_ms;
        let mut decisions = Vec::new();
        for mut request in std::mem::take(&mut self.broken) {
            let age_ms = now_ms.saturating_sub(request.broke_ms);
            if list.is_current {
                request.listed_ms += elapsed_ms.min(age_ms);
            }
            let is_expired = request.listed_ms > attribution_ms || age_ms > MAX_UNDECIDED_MS;
            if !is_registered(&request.crash) {
                decisions.push(request.decision(Verdict::Unregistered, now_ms));
                self.record_crash(&request, false, now_ms);
            } else if is_expired {
                decisions.push(request.decision(Verdict::Registered, now_ms));
            } else {
                self.broken.push_back(request);
            }
        }
        if list.is_current {
            let lived_on_ms = STILL_REGISTERED_HEARTBEATS * list.heartbeat_ms;
            self.add_listed_time(elapsed_ms, now_ms);
            self.retract_crashes_of_live_servers(is_registered, lived_on_ms);
        }
        decisions
    }

    /// Records that a server refuses connections, so that it has ended: the requests that broke there
    /// ran at its crash.
    pub fn record_refused_connections(&mut self, crash: &Crash, now_ms: u64) -> Vec<Decision> {
        let broken = std::mem::take(&mut self.broken).into_iter();
        let (ended, kept): (Vec<_>, Vec<_>) = broken.partition(|request| request.crash == *crash);
        self.broken = kept.into();
        for request in &ended {
            self.record_crash(request, true, now_ms);
        }
        let decisions = ended.iter();
        decisions
            .map(|request| request.decision(Verdict::RefusesConnections, now_ms))
            .collect()
    }

    /// Takes the own evidence that the placer does not know yet, at most [`MAX_SENT`] fingerprints, those with
    /// the most crashes first. A new placer knows none.
    pub fn take_evidence(&mut self, is_new_placer: bool) -> Quarantine {
        if is_new_placer {
            self.unsent.extend(self.own.keys());
        }
        let mut unsent: Vec<Fingerprint> = std::mem::take(&mut self.unsent).into_iter().collect();
        if unsent.len() > MAX_SENT {
            unsent.sort_by_cached_key(|it| Reverse(self.known.assessment(*it).crashes));
            self.unsent.extend(unsent.drain(MAX_SENT..));
        }
        self.known.part(unsent)
    }

    /// Adds evidence that did not reach the placer to what is sent next.
    pub fn requeue(&mut self, evidence: &Quarantine) {
        self.unsent.extend(evidence.fingerprints());
    }

    /// Version of the quarantine received last.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Merges changes received from a placer.
    pub fn apply(&mut self, changes: &QuarantineChanges) {
        self.version = changes.version;
        self.dropped.fingerprints += self.known.merge(&changes.table).evicted;
        for fingerprint in changes.table.fingerprints() {
            if let Some(unix_ms) = self.answers.last_unix_ms(fingerprint) {
                self.report_answer(fingerprint, unix_ms);
            }
        }
    }

    /// Returns the fingerprint for which a request is refused, because such work crashed several
    /// servers; `None` if it may run.
    pub fn refused_by(&self, work: &Work) -> Option<Fingerprint> {
        self.known.refused_by(work)
    }

    /// Decides whether a request may be sent to its first server.
    pub fn admit(&mut self, work: &Work, now_ms: u64) -> Admission {
        let Some(fingerprint) = self.known.refused_by(work) else {
            return Admission::Admitted;
        };
        if self.known.may_be_tried(work) && self.may_request_trial(work.request_hash(), now_ms) {
            Admission::NeedsTrial(fingerprint)
        } else {
            Admission::Refused(fingerprint)
        }
    }

    /// Returns whether the placer may be asked for a trial run now, and records that it is.
    fn may_request_trial(&mut self, request_hash: u64, now_ms: u64) -> bool {
        let requested_ms = self.trial_requested_ms.get(&request_hash);
        let is_due = requested_ms.is_none_or(|it| now_ms >= it + TRIAL_REQUEST_PERIOD_MS);
        if is_due {
            self.trial_requested_ms.insert(request_hash, now_ms);
        }
        is_due
    }

    /// Returns what this instance knows against the work.
    pub fn assessment(&self, fingerprint: Fingerprint) -> Assessment {
        self.known.assessment(fingerprint)
    }

    /// Returns the crashes that this instance knows, for a placer that starts in its process.
    pub fn known(&self) -> &Quarantine {
        &self.known
    }

    /// Removes what has expired.
    pub fn expire(&mut self, unix_ms: u64) {
        self.known.expire(unix_ms);
        self.own.retain(|it| self.known.contains(it));
        let known = &self.known;
        self.trial_requested_ms.retain(|request_hash, _| {
            known.status(Fingerprint::Request(*request_hash)) == QuarantineStatus::Quarantined
        });
    }

    fn record_crash(&mut self, request: &BrokenRequest, was_registered: bool, now_ms: u64) {
        let running = request.work.fingerprints();
        self.dropped.fingerprints +=
            self.known
                .record_crash(&request.crash, running, request.broke_unix_ms);
        for fingerprint in request.work.fingerprints() {
            self.answers.add_to(&mut self.known, fingerprint);
            self.mark_own(fingerprint);
        }
        self.watch_crash(RetractableCrash {
            crash: request.crash.clone(),
            was_registered,
            recorded_ms: now_ms,
            listed_ms: 0,
        });
    }

    /// Adds a crash to those that may be retracted, or renews it.
    fn watch_crash(&mut self, mut crash: RetractableCrash) {
        let mut watched = self.retractable.iter();
        let index = watched.position(|it| it.crash == crash.crash);
        if let Some(index) = index
            && let Some(before) = self.retractable.remove(index)
        {
            crash.was_registered &= before.was_registered;
        }
        self.retractable.push_back(crash);
        while self.retractable.len() > MAX_RETRACTABLE {
            self.retractable.pop_front();
            self.dropped.retractable_crashes += 1;
        }
    }

    /// Adds time in which the list of servers was current to the crashes that may be retracted, and
    /// forgets the oldest of them.
    fn add_listed_time(&mut self, elapsed_ms: u64, now_ms: u64) {
        for crash in &mut self.retractable {
            let age_ms = now_ms.saturating_sub(crash.recorded_ms);
            crash.listed_ms += elapsed_ms.min(age_ms);
        }
        self.retractable
            .retain(|crash| now_ms.saturating_sub(crash.recorded_ms) <= MAX_UNDECIDED_MS);
    }

    /// Retracts the crashes of servers that returned to the list with the start of before, or that
    /// did not leave it for `lived_on_ms`.
    fn retract_crashes_of_live_servers(
        &mut self,
        is_registered: impl Fn(&Crash) -> bool,
        lived_on_ms: u64,
    ) {
        for mut crash in std::mem::take(&mut self.retractable) {
            let is_registered = is_registered(&crash.crash);
            crash.was_registered &= is_registered;
            let has_lived_on = !crash.was_registered || crash.listed_ms > lived_on_ms;
            if !(is_registered && has_lived_on) {
                self.retractable.push_back(crash);
                continue;
            }
            for fingerprint in self.known.retract_crash(&crash.crash) {
                self.mark_own(fingerprint);
            }
        }
    }

    /// Adds an answer to the evidence if a crash counts against the work. Returns whether none counts
    /// any more.
    fn report_answer(&mut self, fingerprint: Fingerprint, unix_ms: u64) -> bool {
        let status = self.known.status(fingerprint);
        let is_newer = self.known.record_answer(fingerprint, unix_ms);
        if !is_newer || status == QuarantineStatus::Clear {
            return false;
        }
        self.mark_own(fingerprint);
        self.known.status(fingerprint) == QuarantineStatus::Clear
    }

    fn mark_own(&mut self, fingerprint: Fingerprint) {
        self.unsent.insert(fingerprint);
        self.own.touch(fingerprint);
        while self.own.len() > MAX_OWN {
            self.own.pop_oldest();
            self.dropped.own_fingerprints += 1;
        }
    }
}

impl BrokenRequest {
    fn decision(&self, verdict: Verdict, now_ms: u64) -> Decision {
        Decision {
            work: self.work.clone(),
            crash: self.crash.clone(),
            verdict,
            age_ms: now_ms.saturating_sub(self.broke_ms),
        }
    }
}
