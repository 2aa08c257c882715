//! Calls to the store and what they lead to.

use crate::name::Name;

use super::entry::{Claimant, JournalEntry};
use super::head::{Archive, ArchiveRef, Head};

crate::record! {
    /// A call that the driver makes to the store.
    pub enum StoreCall {
        /// Read the head.
        ReadHead,
        /// Read an archive.
        ReadArchive {
            /// Name of the object.
            name: Name,
        },
        /// Write the head if it is at `base_version`.
        WriteHead {
            /// Version that the head must have; `None` if it must not exist.
            base_version: Option<u64>,
            /// Its new content.
            head: Head,
        },
        /// Create an archive.
        WriteArchive {
            /// Name of the object, never used before.
            name: Name,
            /// Its content.
            archive: Archive,
        },
    }
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store did not take the call; nothing was written.
    Unavailable,
    /// The answer was lost; a write may have taken effect, or may still do so.
    Unknown,
    /// The precondition of a write does not hold; nothing was written by this call.
    Conflict,
}

/// What the journal learns about a claim.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ClaimResult {
    /// The claim is recorded.
    Granted {
        /// When its first write was sent.
        sent_ms: u64,
    },
    /// Another attempt holds the key.
    Held(JournalEntry),
    /// The shard has no room.
    Full,
    /// The store could not be asked.
    Unavailable,
}

/// What an instance has to do for a shard.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ShardAction {
    /// Make a call and report its end.
    Store(StoreCall),
    /// Delete an archive; the outcome does not matter.
    DeleteArchive(ArchiveRef),
    /// Tell the run of this claimant.
    ClaimAnswered(Claimant, ClaimResult),
}

/// Time and state of the store, as the journal knows them.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardContext {
    pub(super) now_ms: u64,
    /// The store's time, once an answer has told it.
    pub(super) unix_ms: Option<u64>,
    pub(super) expired_before_ms: u64,
    /// Whether the store failed so recently that it is not asked.
    pub(super) store_backing_off: bool,
    /// Size of settled entries at which they are moved into an archive.
    pub(super) rotate_bytes: usize,
}
