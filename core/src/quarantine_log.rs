//! The quarantine as a placer reports it to the instances.
//!
//! Only work with several crashes is reported: an instance refuses by it, and the next placer starts
//! from it. Each instance receives the changes since the version that it knows.

use std::collections::BTreeMap;

use crate::quarantine::Quarantine;
use crate::work::Fingerprint;

/// Low bits of a version, which count the changes made by one placer. The bits above hold its
/// fencing number.
const CHANGE_BITS: u32 = 20;

crate::record! {
    /// Changes of the quarantine up to a version.
    pub struct QuarantineChanges {
        /// Version up to which the changes reach. Versions of different placers differ.
        pub version: u64,
        /// The changed part of the table, to be merged into the receiver's.
        pub table: Quarantine,
    }
}

/// The reported table of one placer, with the version of the last change of each fingerprint.
#[derive(Clone, Debug, Default)]
pub struct QuarantineLog {
    /// Version before the first change of this placer.
    first_version: u64,
    /// Version of the last change. Invariant: at least `first_version`.
    version: u64,
    /// Version of the last change of each fingerprint in `table`.
    changed: BTreeMap<Fingerprint, u64>,
    table: Quarantine,
}

impl QuarantineLog {
    /// Creates the log of the placer with this fencing number.
    pub fn new(fencing_number: u64) -> Self {
        let first_version = fencing_number << CHANGE_BITS;
        Self {
            first_version,
            version: first_version,
            ..Self::default()
        }
    }

    /// Records changes of the table.
    pub fn record(&mut self, changes: &Quarantine) {
        self.version += 1;
        for fingerprint in changes.fingerprints() {
            self.changed.insert(fingerprint, self.version);
        }
        self.table.merge(changes);
    }

    /// Returns the changes for an instance that knows `known_version`, `None` if it knows them all.
    /// An instance that knows the version of another placer receives the whole table.
    pub fn changes_since(&self, known_version: u64) -> Option<QuarantineChanges> {
        if known_version == self.version {
            return None;
        }
        let is_own = (self.first_version..self.version).contains(&known_version);
        let after = if is_own { known_version } else { 0 };
        let changed = self.changed.iter();
        let changed = changed.filter(|(_, version)| **version > after);
        let fingerprints = changed.map(|(fingerprint, _)| *fingerprint);
        Some(QuarantineChanges {
            version: self.version,
            table: self.table.part(fingerprints),
        })
    }

    /// Returns the whole reported table.
    pub fn table(&self) -> &Quarantine {
        &self.table
    }
}
