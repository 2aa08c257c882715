//! Quarantine of requests that crash backend servers.
//!
//! The work of a request is identified by the fingerprints of the request and of the parts of its
//! prompt. Each crash of a server is evidence against all work that was running on it. The second
//! crash with the same request running puts the request under quarantine, and the third with the
//! same part puts the part. At most one suspect runs on a server at a time, so that work that does
//! not cause crashes is not present at several of them. Work that a server answers does not crash
//! servers, so crashes before the answer and for some time after it do not count against it. It
//! may begin to crash servers later, so that several crashes without an answer count in any case.
//!
//! A part that was at the crashes of another part or of a request, and has not been answered, is under
//! quarantine as well. Requests with both are refused, and requests with the part alone run until it
//! was at several crashes without the other or is answered.
//!
//! The table is a join of facts that are not removed before they expire: crashes, answers and
//! retracted crashes. Merging is commutative, associative and idempotent, so that a lost answer of
//! the store or a repeated message between instances is harmless.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;
use crate::trial::CrashHistory;
use crate::work::{Fingerprint, Work};

/// Time after which a crash expires, on the store's clock.
pub const CRASH_TTL_MS: u64 = 3_600_000;
/// `Retry-After` for quarantined work, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 30_000;
/// Number of crashes with the same request running after which the request is refused.
pub const MAX_REQUEST_CRASHES: usize = 2;
/// Number of crashes with the same part of a prompt running after which requests with it are refused.
/// Parts are shared, so that they run beside others at more crashes than requests do.
pub const MAX_PART_CRASHES: usize = 3;
/// Number of crashes after the latest answer to a request from which on they count, although the
/// answer is still valid.
pub const MAX_REQUEST_CRASHES_AFTER_ANSWER: usize = 3;
/// The same for a part of a prompt.
pub const MAX_PART_CRASHES_AFTER_ANSWER: usize = 5;
/// Number of crashes without other work under quarantine from which on requests with a part are
/// refused, although the other work ran at the rest of its crashes.
pub const MIN_CRASHES_WITHOUT_OTHER: usize = 2;
/// Time for which an answer to work proves that the work does not crash servers, in milliseconds.
pub const ANSWER_VALIDITY_MS: u64 = 600_000;
/// Maximum number of fingerprints in a table. Those with the fewest counted crashes are evicted
/// first, and among these the ones whose last crash is the oldest.
pub const MAX_FINGERPRINTS: usize = 20_000;

crate::key_record! {
    /// One crash of one backend server. All instances that observe the crash build an equal value.
    pub struct Crash {
        /// Name of the backend server.
        pub server: Name,
        /// Number of the server's start that ended in the crash.
        pub boot: u64,
    }

    /// Quarantine status of work.
    pub enum QuarantineStatus {
        /// No crash counts against it.
        Clear,
        /// It was running at a crash. It is retried on a server where no other suspect runs.
        Suspect,
        /// It was running at several crashes: at [`MAX_REQUEST_CRASHES`] or more if it is a request,
        /// at [`MAX_PART_CRASHES`] or more if it is a part of a prompt. It is refused, but see
        /// [`Quarantine::refused_by`] for parts.
        Quarantined,
    }
}

crate::record! {
    /// What the table holds against work, for logs.
    #[derive(Copy, Default)]
    pub struct Assessment {
        /// Number of crashes that are not retracted.
        pub crashes: usize,
        /// Number of these that count.
        pub counted_crashes: usize,
        /// Time of the latest answer, in Unix milliseconds.
        pub answered_unix_ms: Option<u64>,
    }

    /// Crashes during which work with one fingerprint was running.
    #[derive(Default)]
    pub struct Evidence {
        /// Crashes, with the earliest time at which the work was interrupted, in Unix milliseconds.
        pub crashes: BTreeMap<Crash, u64>,
        /// Crashes that do not count, because the server turned out to be running.
        pub retracted: BTreeSet<Crash>,
        /// Time of the latest answer to the work, in Unix milliseconds. Crashes up to
        /// [`ANSWER_VALIDITY_MS`] later do not count.
        pub answered_unix_ms: Option<u64>,
    }

    /// The evidence against all work, as it is stored and sent between instances.
    #[derive(Default)]
    pub struct Quarantine {
        /// Crashes by fingerprint.
        #[serde(with = "crate::quarantine_rows")]
        evidence: BTreeMap<Fingerprint, Evidence>,
    }
}

/// What came of merging a table into another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Merged {
    /// Whether the table has changed.
    pub is_changed: bool,
    /// Number of fingerprints that were evicted although crashes count against them.
    pub evicted: usize,
}

impl Crash {
    /// Names the end of one start of a backend server.
    pub fn new(server: &Name, boot: u64) -> Self {
        Self {
            server: server.clone(),
            boot,
        }
    }
}

impl Evidence {
    /// Returns the crashes that count against the work with this fingerprint.
    fn counted_crashes(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Crash> {
        let valid_until_ms = self.answered_unix_ms.map(|it| it + ANSWER_VALIDITY_MS);
        let after_answer = self.crashes_after(self.answered_unix_ms).count();
        if after_answer >= max_crashes_after_answer(fingerprint) {
            self.crashes_after(self.answered_unix_ms)
        } else {
            self.crashes_after(valid_until_ms)
        }
    }

    /// Returns the crashes after a time that are not retracted; all of them if it is `None`.
    fn crashes_after(&self, unix_ms: Option<u64>) -> impl Iterator<Item = &Crash> {
        let later = self
            .crashes
            .iter()
            .filter(move |(_, crashed_ms)| Some(**crashed_ms) > unix_ms);
        later
            .map(|(crash, _)| crash)
            .filter(|crash| !self.retracted.contains(*crash))
    }

    fn last_unix_ms(&self) -> u64 {
        self.crashes.values().copied().max().unwrap_or_default()
    }

    /// Adds the evidence of another table; returns whether that has changed this one.
    fn merge(&mut self, other: &Evidence) -> bool {
        let mut is_changed = self.answered_unix_ms < other.answered_unix_ms;
        for (crash, unix_ms) in &other.crashes {
            let known_ms = self.crashes.get(crash);
            if known_ms.is_none_or(|known_ms| unix_ms < known_ms) {
                self.crashes.insert(crash.clone(), *unix_ms);
                is_changed = true;
            }
        }
        for crash in &other.retracted {
            is_changed |= self.retracted.insert(crash.clone());
        }
        self.answered_unix_ms = self.answered_unix_ms.max(other.answered_unix_ms);
        is_changed
    }

    /// Returns the number of crashes that count in a table that holds any of these, no retraction, and
    /// `answered_unix_ms` as the time of the latest answer, in Unix milliseconds.
    fn most_counted(&self, fingerprint: Fingerprint, answered_unix_ms: Option<u64>) -> usize {
        let after = |unix_ms: Option<u64>| {
            let times = self.crashes.values();
            times.filter(|at| Some(**at) > unix_ms).count()
        };
        let after_answer = after(answered_unix_ms);
        if after_answer >= max_crashes_after_answer(fingerprint) {
            after_answer
        } else {
            after(answered_unix_ms.map(|it| it + ANSWER_VALIDITY_MS))
        }
    }
}

impl Quarantine {
    /// Records a crash of a server while the work in `running` ran on it. Returns the number of fingerprints
    /// that were evicted although crashes count against them.
    pub fn record_crash(
        &mut self,
        crash: &Crash,
        running: impl IntoIterator<Item = Fingerprint>,
        unix_ms: u64,
    ) -> usize {
        for fingerprint in running {
            let evidence = self.evidence.entry(fingerprint).or_default();
            let known_ms = evidence.crashes.entry(crash.clone()).or_insert(unix_ms);
            *known_ms = (*known_ms).min(unix_ms);
        }
        self.evict_excess()
    }

    /// Records that a server answered work of which the table holds a crash. Returns whether the table has changed.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, unix_ms: u64) -> bool {
        let Some(evidence) = self.evidence.get_mut(&fingerprint) else {
            return false;
        };
        let is_newer = evidence.answered_unix_ms < Some(unix_ms);
        evidence.answered_unix_ms = evidence.answered_unix_ms.max(Some(unix_ms));
        is_newer
    }

    /// Retracts a crash of a server that turns out to be running. Returns the work for which this
    /// changes the table. Quarantined work may become a suspect or clear.
    pub fn retract_crash(&mut self, crash: &Crash) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for (fingerprint, evidence) in &mut self.evidence {
            let is_known = evidence.crashes.contains_key(crash);
            if is_known && evidence.retracted.insert(crash.clone()) {
                changed.push(*fingerprint);
            }
        }
        changed
    }

    /// Returns the quarantine status of the work.
    pub fn status(&self, fingerprint: Fingerprint) -> QuarantineStatus {
        match self.counted_crashes(fingerprint).count() {
            0 => QuarantineStatus::Clear,
            counted if counted < max_crashes(fingerprint) => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }

    /// Returns what the table holds against the work.
    pub fn assessment(&self, fingerprint: Fingerprint) -> Assessment {
        let Some(evidence) = self.evidence.get(&fingerprint) else {
            return Assessment::default();
        };
        Assessment {
            crashes: evidence.crashes_after(None).count(),
            counted_crashes: evidence.counted_crashes(fingerprint).count(),
            answered_unix_ms: evidence.answered_unix_ms,
        }
    }

    /// Returns the fingerprint for which a request is refused, `None` if it may run. A part under
    /// quarantine is no reason if other work, which the request does not have, is under quarantine
    /// and ran at nearly all its crashes.
    pub fn refused_by(&self, work: &Work) -> Option<Fingerprint> {
        let request = work.request();
        if self.status(request) == QuarantineStatus::Quarantined {
            return Some(request);
        }
        self.refused_by_part(work)
    }

    /// Returns the part of a prompt for which a request is refused, `None` if no part is a reason.
    pub fn refused_by_part(&self, work: &Work) -> Option<Fingerprint> {
        let quarantined = |it: &Fingerprint| self.status(*it) == QuarantineStatus::Quarantined;
        let mut parts = work.parts().filter(quarantined).peekable();
        parts.peek()?;
        let others = self.quarantined().filter(|it| !work.contains(*it));
        let others: Vec<BTreeSet<&Crash>> = others
            .map(|other| self.counted_crashes(other).collect())
            .collect();
        parts.find(|part| {
            let without = |other: &BTreeSet<&Crash>| {
                let crashes = self.counted_crashes(*part);
                crashes.filter(|crash| !other.contains(crash)).count()
            };
            others
                .iter()
                .all(|other| without(other) >= MIN_CRASHES_WITHOUT_OTHER)
        })
    }

    /// Returns whether a request under quarantine may be run once to find out whether it crashes
    /// servers: no part of its prompt is a reason to refuse it, and there is doubt. It was answered
    /// before, or other work under quarantine ran at nearly all its crashes.
    pub fn may_be_tried(&self, work: &Work) -> bool {
        let fingerprint = work.request();
        self.status(fingerprint) == QuarantineStatus::Quarantined
            && self.refused_by_part(work).is_none()
            && self.is_doubtful(fingerprint)
    }

    fn is_doubtful(&self, fingerprint: Fingerprint) -> bool {
        let is_explained_by = |other: Fingerprint| {
            other != fingerprint
                && self.counted_crashes_without(fingerprint, other) < MIN_CRASHES_WITHOUT_OTHER
        };
        self.answered_unix_ms(fingerprint).is_some() || self.quarantined().any(is_explained_by)
    }

    /// Returns when the crashes were that count against the work, in Unix milliseconds.
    pub(crate) fn crash_history(&self, fingerprint: Fingerprint) -> CrashHistory {
        let evidence = self.evidence.get(&fingerprint);
        let time_of = |crash: &Crash| evidence.and_then(|it| it.crashes.get(crash)).copied();
        CrashHistory::new(self.counted_crashes(fingerprint).filter_map(time_of))
    }

    /// Returns the number of crashes that count against work and not against the other.
    fn counted_crashes_without(&self, fingerprint: Fingerprint, other: Fingerprint) -> usize {
        let counted: BTreeSet<&Crash> = self.counted_crashes(fingerprint).collect();
        let beside: BTreeSet<&Crash> = self.counted_crashes(other).collect();
        counted.difference(&beside).count()
    }

    /// Returns the crashes that count against work.
    fn counted_crashes(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Crash> {
        let evidence = self.evidence.get(&fingerprint);
        evidence
            .into_iter()
            .flat_map(move |it| it.counted_crashes(fingerprint))
    }

    /// Returns whether the work may start on a server that runs `running`. Two suspects never run on
    /// the same server.
    pub fn may_run_beside(
        &self,
        fingerprint: Fingerprint,
        running: impl IntoIterator<Item = Fingerprint>,
    ) -> bool {
        let is_suspect = |other| self.status(other) == QuarantineStatus::Suspect;
        match self.status(fingerprint) {
            QuarantineStatus::Clear => true,
            QuarantineStatus::Suspect => !running.into_iter().any(is_suspect),
            QuarantineStatus::Quarantined => false,
        }
    }

    /// Merges the table of another instance or of the store.
    pub fn merge(&mut self, other: &Quarantine) -> Merged {
        let mut is_changed = false;
        for (fingerprint, theirs) in &other.evidence {
            let evidence = self.evidence.entry(*fingerprint).or_default();
            is_changed |= evidence.merge(theirs);
        }
        Merged {
            is_changed,
            evicted: self.evict_excess(),
        }
    }

    /// Removes crashes that were observed longer ago than [`CRASH_TTL_MS`].
    pub fn expire(&mut self, unix_ms: u64) {
        let oldest_ms = unix_ms.saturating_sub(CRASH_TTL_MS);
        for evidence in self.evidence.values_mut() {
            evidence.crashes.retain(|_, seen_ms| *seen_ms >= oldest_ms);
            let crashes = &evidence.crashes;
            evidence
                .retracted
                .retain(|crash| crashes.contains_key(crash));
        }
        self.evidence
            .retain(|_, evidence| !evidence.crashes.is_empty());
    }

    /// Returns the fingerprints of quarantined work.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        let with_enough = self
            .evidence
            .iter()
            .filter(|(fingerprint, evidence)| evidence.crashes.len() >= max_crashes(**fingerprint));
        with_enough
            .map(|(fingerprint, _)| *fingerprint)
            .filter(|it| self.status(*it) == QuarantineStatus::Quarantined)
    }

    /// Returns the fingerprints of all work of which the table holds a crash.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.evidence.keys().copied()
    }

    /// Returns whether the table holds a crash of some work.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.evidence.contains_key(&fingerprint)
    }

    /// Returns the time of the latest answer to work of which the table holds a crash, in Unix
    /// milliseconds.
    pub fn answered_unix_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        self.evidence.get(&fingerprint)?.answered_unix_ms
    }

    /// Returns whether the work may be under quarantine in a table that holds any of these crashes, no
    /// retraction, and `answered_unix_ms` as the time of the latest answer, in Unix milliseconds.
    pub fn may_be_refused(&self, fingerprint: Fingerprint, answered_unix_ms: Option<u64>) -> bool {
        let Some(evidence) = self.evidence.get(&fingerprint) else {
            return false;
        };
        evidence.most_counted(fingerprint, answered_unix_ms) >= max_crashes(fingerprint)
    }

    /// Returns the part of the table that concerns some work.
    #[must_use]
    pub fn part(&self, fingerprints: impl IntoIterator<Item = Fingerprint>) -> Quarantine {
        let rows = fingerprints.into_iter().filter_map(|fingerprint| {
            let evidence = self.evidence.get(&fingerprint)?;
            Some((fingerprint, evidence.clone()))
        });
        Quarantine {
            evidence: rows.collect(),
        }
    }

    /// Returns the part of the table that concerns quarantined work: at most `max` fingerprints, those with the
    /// most crashes, and among these the ones whose last crash is the latest.
    #[must_use]
    pub fn most_quarantined(&self, max: usize) -> Quarantine {
        let mut fingerprints: Vec<Fingerprint> = self.quarantined().collect();
        fingerprints.sort_by_cached_key(|it| Reverse(Self::rank(*it, &self.evidence[it])));
        fingerprints.truncate(max);
        self.part(fingerprints)
    }

    /// Returns whether the table holds no crashes.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Returns the number of crashes that count against work, and the time of its last one in Unix
    /// milliseconds.
    fn rank(fingerprint: Fingerprint, evidence: &Evidence) -> (usize, u64) {
        let counted = evidence.counted_crashes(fingerprint).count();
        (counted, evidence.last_unix_ms())
    }

    /// Evicts fingerprints above [`MAX_FINGERPRINTS`]. Returns the number of those against which crashes count.
    fn evict_excess(&mut self) -> usize {
        let excess = self.evidence.len().saturating_sub(MAX_FINGERPRINTS);
        if excess == 0 {
            return 0;
        }
        let rows = self.evidence.iter();
        let mut ranked: Vec<((usize, u64), Fingerprint)> = rows
            .map(|(fingerprint, evidence)| (Self::rank(*fingerprint, evidence), *fingerprint))
            .collect();
        ranked.select_nth_unstable(excess - 1);
        ranked.truncate(excess);
        for (_, fingerprint) in &ranked {
            self.evidence.remove(fingerprint);
        }
        let counted = ranked.iter().filter(|((counted, _), _)| *counted > 0);
        counted.count()
    }
}

/// Returns the number of crashes from which on work is refused.
fn max_crashes(fingerprint: Fingerprint) -> usize {
    match fingerprint {
        Fingerprint::Request(_) => MAX_REQUEST_CRASHES,
        Fingerprint::PromptPart(_) => MAX_PART_CRASHES,
    }
}

/// Returns the number of crashes after the latest answer from which on they count.
fn max_crashes_after_answer(fingerprint: Fingerprint) -> usize {
    match fingerprint {
        Fingerprint::Request(_) => MAX_REQUEST_CRASHES_AFTER_ANSWER,
        Fingerprint::PromptPart(_) => MAX_PART_CRASHES_AFTER_ANSWER,
    }
}
