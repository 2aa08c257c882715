//! The store's record of the placer, what an instance knows of it, and the fencing numbers of placers.
//!
//! The store may come back from an older copy, with an older record or none, and give out revisions
//! again. The number of a placer's orders is larger than those of all placers before it nevertheless.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Distance between the fencing numbers of two eras of the store. Larger than any revision.
const NUMBERS_PER_ERA: u64 = 1 << 32;
/// Time that an election takes, in milliseconds.
const ELECTION_MS: u64 = 500;
/// Bounds of the retry delay of callers who cannot be served without a placer, in milliseconds.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u64> = 500..=2_000;
/// Era of a store that has never come back from an older copy.
const FIRST_ERA: u64 = 1;

/// The store's record of the placer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacerRecord {
    /// Address on which it listens for other instances.
    pub address: String,
    /// Name of the instance.
    pub instance: Name,
    /// Incarnation number of its process.
    pub incarnation: u64,
    /// Difference between the fencing number of its orders and the revision of the record; zero as long
    /// as the store has not come back from an older copy, and in records of earlier builds.
    #[serde(default)]
    pub fencing_offset: u64,
    /// Era of the store in which it was written, as far as its writer knew.
    #[serde(default)]
    pub store_era: Option<u64>,
    /// Revision of the record that it replaced; zero if there was none, and in records of earlier builds.
    /// Smaller than its own revision, so that no record equals the one that it replaces: the store would
    /// take such a write for no change and leave the revision as it is.
    #[serde(default)]
    pub replaced_revision: u64,
}

impl PlacerRecord {
    /// Fencing number of the placer's orders, if the record is at this revision. Of two records the one
    /// with the larger number is newer, whatever their revisions.
    pub fn fencing_number(&self, revision: u64) -> u64 {
        revision + self.fencing_offset
    }
}

/// What the store holds, at the last reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoredRecord {
    /// It was not read yet.
    #[default]
    Unread,
    /// There is no record.
    Absent,
    /// A record of another writer, which cannot be read.
    Unreadable {
        /// Revision of the object, the condition for replacing it.
        revision: u64,
    },
    /// A record, which may be older than the one that counts.
    Present {
        /// Revision of the object, the condition for replacing it.
        revision: u64,
        /// Fencing number of the record.
        fencing_number: u64,
        /// How its number was chosen.
        offset: Offset,
    },
}

impl StoredRecord {
    /// Revision of the object, the condition for replacing it; `None` without an object.
    pub fn revision(self) -> Option<u64> {
        match self {
            Self::Unread | Self::Absent => None,
            Self::Unreadable { revision } | Self::Present { revision, .. } => Some(revision),
        }
    }
}

/// Offset of fencing numbers from revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offset {
    /// The offset.
    pub offset: u64,
    /// Era of the store in which a record with it was written; `None` if its writer did not know.
    pub store_era: Option<u64>,
}

impl Offset {
    fn of(record: &PlacerRecord) -> Self {
        Self {
            offset: record.fencing_offset,
            store_era: record.store_era,
        }
    }

    /// Offset in a later era, with which numbers are larger than all before.
    fn in_era(self, store_era: u64) -> u64 {
        let written_in = self.store_era.unwrap_or(store_era);
        self.offset + store_era.saturating_sub(written_in) * NUMBERS_PER_ERA
    }
}

/// What this instance knows about the placer.
#[derive(Clone, Debug, Default)]
pub struct PlacerView {
    /// What the store holds.
    pub stored: StoredRecord,
    /// Fencing number and content of the record that counts.
    pub record: Option<(u64, PlacerRecord)>,
    /// Era of the store in which that record was last read.
    pub record_era: Option<u64>,
    /// Largest fencing number known; zero if none is. Invariant: at least that of the record.
    pub largest_number: u64,
    /// How the largest number was chosen.
    pub largest_offset: Offset,
    /// Time of the last contact with the placer, or when it became the placer, in milliseconds.
    pub last_seen_ms: u64,
    /// Since when its address has refused connections, in milliseconds.
    pub refused_since_ms: Option<u64>,
    /// Since when there is no record, in milliseconds.
    pub absent_since_ms: Option<u64>,
    /// Whether the record has to be read again before it is relied on.
    pub is_record_stale: bool,
}

/// A call to the placer that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedContact {
    /// Whether its address has begun to refuse connections.
    pub is_first_refusal: bool,
    /// Time since the last contact with it, in milliseconds.
    pub silent_ms: u64,
}

/// What a reading of the record means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The record names a newer placer.
    Newer,
    /// The store holds what was known.
    Known,
    /// The store holds an older record, or none, because it has come back from an older copy. What was
    /// known counts.
    Lost,
    /// The placer has removed its record.
    Removed,
}

impl PlacerView {
    /// Records that `record` was read at a revision in an era of the store.
    pub fn observe_record(
        &mut self,
        record: &PlacerRecord,
        revision: u64,
        store_era: Option<u64>,
        now_ms: u64,
    ) -> Reading {
        let fencing_number = record.fencing_number(revision);
        self.stored = StoredRecord::Present {
            revision,
            fencing_number,
            offset: Offset::of(record),
        };
        self.is_record_stale = false;
        self.absent_since_ms = None;
        if self.is_newer(fencing_number) {
            self.record = Some((fencing_number, record.clone()));
            self.record_era = store_era;
            self.largest_number = fencing_number;
            self.largest_offset = Offset::of(record);
            self.last_seen_ms = now_ms;
            self.refused_since_ms = None;
            return Reading::Newer;
        }
        if self.is_record_stored() {
            self.record_era = store_era;
            return Reading::Known;
        }
        Reading::Lost
    }

    /// Whether the record with a fencing number is newer than what is known. The newest one may have been
    /// taken for removed, by an answer of the store that came late.
    fn is_newer(&self, fencing_number: u64) -> bool {
        let is_forgotten = self.record.is_none() && fencing_number == self.largest_number;
        is_forgotten || fencing_number > self.largest_number
    }

    /// Records that the record at a revision cannot be read. What was known counts.
    pub fn observe_unreadable(&mut self, revision: u64) {
        self.stored = StoredRecord::Unreadable { revision };
        self.is_record_stale = false;
    }

    /// Records that there was no record in an era of the store. One that was there in an earlier era is
    /// lost, not removed: its placer goes on and writes it again.
    pub fn observe_absence(&mut self, store_era: Option<u64>) -> Reading {
        let was_absent = self.is_read() && self.record.is_none();
        self.stored = StoredRecord::Absent;
        self.is_record_stale = false;
        if was_absent {
            Reading::Known
        } else if self.record.is_some() && self.record_era != store_era {
            Reading::Lost
        } else {
            self.forget();
            Reading::Removed
        }
    }

    /// Fencing number of the placer, if there is one.
    pub fn number(&self) -> Option<u64> {
        self.record.as_ref().map(|(number, _)| *number)
    }

    /// Records a reply of the placer with a fencing number, unless another one has followed it. Returns
    /// whether its address has refused connections until now.
    pub fn record_reply(&mut self, number: Option<u64>, now_ms: u64) -> bool {
        if self.number() != number {
            return false;
        }
        self.last_seen_ms = now_ms;
        self.refused_since_ms.take().is_some()
    }

    /// Records that the placer with a fencing number did not reply. Returns what it means; `None` if
    /// another one has followed it.
    pub fn record_failure(
        &mut self,
        number: Option<u64>,
        is_refused: bool,
        now_ms: u64,
    ) -> Option<FailedContact> {
        if self.number() != number {
            return None;
        }
        let is_first_refusal = is_refused && self.refused_since_ms.is_none();
        if is_first_refusal {
            self.refused_since_ms = Some(now_ms);
        }
        Some(FailedContact {
            is_first_refusal,
            silent_ms: now_ms.saturating_sub(self.last_seen_ms),
        })
    }

    /// Returns the time after which a caller may retry who cannot be served without a placer, in milliseconds.
    /// A successor of a silent placer waits for the lease before it has adapters loaded; one of a placer whose process has
    /// ended does not.
    pub fn retry_after_ms(&self, lease_ms: u64, now_ms: u64) -> u64 {
        let is_silent = self.record.is_some() && self.refused_since_ms.is_none();
        let silent_ms = now_ms.saturating_sub(self.last_seen_ms);
        let orders_in_ms = if is_silent {
            (lease_ms + ELECTION_MS).saturating_sub(silent_ms)
        } else {
            ELECTION_MS
        };
        let (shortest_ms, longest_ms) = RETRY_AFTER_RANGE_MS.into_inner();
        orders_in_ms.clamp(shortest_ms, longest_ms)
    }

    /// Forgets the placer, which has resigned.
    pub fn forget(&mut self) {
        self.record = None;
        self.absent_since_ms = None;
    }

    /// Whether the store was read, with or without finding a record.
    pub fn is_read(&self) -> bool {
        self.stored != StoredRecord::Unread
    }

    /// Whether the store holds the record that counts.
    pub fn is_record_stored(&self) -> bool {
        let number = self.number();
        match self.stored {
            StoredRecord::Present { fencing_number, .. } => number == Some(fencing_number),
            StoredRecord::Unread | StoredRecord::Absent => number.is_none(),
            StoredRecord::Unreadable { .. } => false,
        }
    }

    /// Offset of a record that this instance writes in an era of the store. Its number lies above all
    /// that were used, also above those that the store has lost. `is_first_start` is whether the site
    /// starts for the first time, so that no number was used.
    pub fn next_offset(&self, store_era: u64, is_first_start: bool) -> u64 {
        let above_known = match self.largest_number {
            0 if is_first_start => 0,
            0 => store_era.saturating_sub(FIRST_ERA) * NUMBERS_PER_ERA,
            _ => self.largest_offset.in_era(store_era),
        };
        match self.stored {
            StoredRecord::Present { offset, .. } => above_known.max(offset.in_era(store_era)),
            StoredRecord::Absent | StoredRecord::Unread | StoredRecord::Unreadable { .. } => {
                above_known
            }
        }
    }

    /// Whether a placer may be at work that this instance does not know, because the store has lost its
    /// record, or another writer has replaced it.
    pub fn may_have_lost_record(&self, store_era: u64) -> bool {
        match self.stored {
            StoredRecord::Present { offset, .. } => offset
                .store_era
                .is_some_and(|written_in| written_in < store_era),
            StoredRecord::Absent => self.largest_number == 0 && store_era > FIRST_ERA,
            StoredRecord::Unreadable { .. } => true,
            StoredRecord::Unread => false,
        }
    }
}
