//! Requests that crash backend servers.
//!
//! The work of a request is known by its fingerprint. Each crash of a server is evidence against
//! everything that ran on it. The second crash with the same work running puts the work under
//! quarantine. So that an innocent neighbour does not meet two crashes, suspects are kept apart:
//! at most one runs on a server at a time, and one that finishes is no longer a suspect.
//!
//! The table is a join of facts that are never taken back before they expire: crashes, and crashes
//! that were cleared. Merging two tables gives the same result in any order and any number of
//! times, so that a lost answer of the store or a repeated message between instances is harmless.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;

/// Time for which a crash counts, in the store's time.
pub const CRASH_TTL_MS: u64 = 3_600_000;
/// Time after which a caller is told to come back with work that is refused, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 30_000;
/// Crashes with the same work running after which it is refused.
pub const MAX_CRASHES: usize = 2;
/// Most fingerprints in a table; those seen longest ago go first.
pub const MAX_FINGERPRINTS: usize = 5_000;

/// Hash of the work of a request.
pub type Fingerprint = u64;

crate::key_record! {
    /// One crash of one backend server. Two instances that saw the same crash name it alike.
    pub struct Crash {
        /// Name of the server.
        pub server: Name,
        /// Number of the start of the server that ended in the crash.
        pub boot: u64,
    }

    /// What is known about work that has run on a crashed server.
    pub enum Standing {
        /// Nothing speaks against it.
        Clear,
        /// It ran on one server that crashed. It is retried where no other suspect runs.
        Suspect,
        /// It ran on several servers that crashed. It is refused.
        Quarantined,
    }
}

crate::record! {
    /// Crashes of one fingerprint.
    #[derive(Default)]
    pub struct Evidence {
        /// Crashes and when they were seen, in the store's time in milliseconds.
        pub crashes: BTreeMap<Crash, u64>,
        /// Crashes that do not count, because the work has finished since or the server lives.
        pub cleared: BTreeSet<Crash>,
    }

    /// The evidence against all work, as it is stored and sent between instances.
    #[derive(Default)]
    pub struct Quarantine {
        /// Evidence by fingerprint.
        #[serde(with = "crate::quarantine::as_rows")]
        evidence: BTreeMap<Fingerprint, Evidence>,
    }
}

impl Evidence {
    /// Crashes that count.
    fn counted(&self) -> usize {
        let counts = |crash: &&Crash| !self.cleared.contains(*crash);
        self.crashes.keys().filter(counts).count()
    }

    fn last_unix_ms(&self) -> u64 {
        self.crashes.values().copied().max().unwrap_or_default()
    }
}

impl Quarantine {
    /// A server crashed while the work of `running` ran on it.
    pub fn crashed(
        &mut self,
        crash: &Crash,
        running: impl IntoIterator<Item = Fingerprint>,
        unix_ms: u64,
    ) {
        for fingerprint in running {
            let evidence = self.evidence.entry(fingerprint).or_default();
            evidence.crashes.entry(crash.clone()).or_insert(unix_ms);
        }
        self.limit();
    }

    /// The work has finished, so the crashes known here were not its own. Returns whether that
    /// changed anything. Work under quarantine stays there.
    pub fn finished(&mut self, fingerprint: Fingerprint) -> bool {
        if self.standing(fingerprint) != Standing::Suspect {
            return false;
        }
        let Some(evidence) = self.evidence.get_mut(&fingerprint) else {
            return false;
        };
        evidence.cleared.extend(evidence.crashes.keys().cloned());
        true
    }

    /// The server has not ended after all. Returns whether that changed anything; work under
    /// quarantine may leave it.
    pub fn disproved(&mut self, crash: &Crash) -> bool {
        let mut is_changed = false;
        for evidence in self.evidence.values_mut() {
            if evidence.crashes.contains_key(crash) {
                is_changed |= evidence.cleared.insert(crash.clone());
            }
        }
        is_changed
    }

    /// What is known about the work.
    pub fn standing(&self, fingerprint: Fingerprint) -> Standing {
        let counted = self.evidence.get(&fingerprint).map_or(0, Evidence::counted);
        match counted {
            0 => Standing::Clear,
            counted if counted < MAX_CRASHES => Standing::Suspect,
            _ => Standing::Quarantined,
        }
    }

    /// Whether the work may start on a server that runs `running`: two suspects never share one.
    pub fn may_join(
        &self,
        fingerprint: Fingerprint,
        running: impl IntoIterator<Item = Fingerprint>,
    ) -> bool {
        let is_suspect = |other| self.standing(other) == Standing::Suspect;
        match self.standing(fingerprint) {
            Standing::Clear => true,
            Standing::Suspect => !running.into_iter().any(is_suspect),
            Standing::Quarantined => false,
        }
    }

    /// Takes in what another instance or the store knows; returns whether anything was new.
    pub fn merge(&mut self, other: &Quarantine) -> bool {
        let before = self.clone();
        for (fingerprint, theirs) in &other.evidence {
            let ours = self.evidence.entry(*fingerprint).or_default();
            for (crash, unix_ms) in &theirs.crashes {
                let seen_ms = ours.crashes.entry(crash.clone()).or_insert(*unix_ms);
                *seen_ms = (*seen_ms).min(*unix_ms);
            }
            ours.cleared.extend(theirs.cleared.iter().cloned());
        }
        self.limit();
        *self != before
    }

    /// Drops crashes that were seen longer ago than [`CRASH_TTL_MS`].
    pub fn expire(&mut self, unix_ms: u64) {
        let oldest_ms = unix_ms.saturating_sub(CRASH_TTL_MS);
        for evidence in self.evidence.values_mut() {
            evidence.crashes.retain(|_, seen_ms| *seen_ms >= oldest_ms);
            let crashes = &evidence.crashes;
            evidence.cleared.retain(|crash| crashes.contains_key(crash));
        }
        self.evidence
            .retain(|_, evidence| !evidence.crashes.is_empty());
    }

    /// Fingerprints that are refused.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.evidence
            .keys()
            .copied()
            .filter(|fingerprint| self.standing(*fingerprint) == Standing::Quarantined)
    }

    /// Fingerprints against which there is evidence, but too little to refuse them.
    pub fn suspected(&self) -> impl Iterator<Item = Fingerprint> {
        self.evidence
            .keys()
            .copied()
            .filter(|fingerprint| self.standing(*fingerprint) == Standing::Suspect)
    }

    /// Whether there is no evidence against anything.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    fn limit(&mut self) {
        while self.evidence.len() > MAX_FINGERPRINTS {
            let oldest = self
                .evidence
                .iter()
                .min_by_key(|(_, evidence)| (evidence.counted(), evidence.last_unix_ms()))
                .map(|(fingerprint, _)| *fingerprint);
            let Some(oldest) = oldest else {
                return;
            };
            self.evidence.remove(&oldest);
        }
    }
}

/// A map in a form that JSON and binary codecs can hold: a list of pairs.
mod as_rows {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{Crash, Evidence, Fingerprint};

    #[derive(Serialize, Deserialize)]
    struct Row {
        fingerprint: Fingerprint,
        crashes: Vec<(Crash, u64)>,
        cleared: Vec<Crash>,
    }

    pub(super) fn serialize<S: Serializer>(
        evidence: &BTreeMap<Fingerprint, Evidence>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let row = |(fingerprint, evidence): (&Fingerprint, &Evidence)| Row {
            fingerprint: *fingerprint,
            crashes: evidence.crashes.clone().into_iter().collect(),
            cleared: evidence.cleared.iter().cloned().collect(),
        };
        let rows: Vec<Row> = evidence.iter().map(row).collect();
        rows.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<Fingerprint, Evidence>, D::Error> {
        let rows = Vec::<Row>::deserialize(deserializer)?;
        let pair = |row: Row| {
            let evidence = Evidence {
                crashes: row.crashes.into_iter().collect(),
                cleared: row.cleared.into_iter().collect(),
            };
            (row.fingerprint, evidence)
        };
        Ok(rows.into_iter().map(pair).collect())
    }
}
