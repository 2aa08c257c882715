//! Calls to the store, their results, and the actions of a shard.

use crate::name::Name;

use super::entry::{Claimant, JournalEntry};
use super::head::{Archive, ArchiveRef, Head};

crate::record! {
    /// A store call that the journal requests.
    pub enum StoreCall {
        /// Read the head.
        ReadHead,
        /// Read an archive.
        ReadArchive {
            /// Name of the archive object.
            name: Name,
        },
        /// Write the head on condition that its version is `base_version`.
        WriteHead {
            /// Version that the head must have; `None` if it must not exist.
            base_version: Option<u64>,
            /// New content of the head.
            head: Head,
        },
        /// Create an archive.
        WriteArchive {
            /// Name of the archive object. Invariant: never used before.
            name: Name,
            /// Content of the archive.
            archive: Archive,
        },
    }
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store did not accept the call; nothing was written.
    Unavailable,
    /// The response was lost. A write may have been applied, or may still be applied.
    Unknown,
    /// The precondition of a write failed; nothing was written by this call.
    Conflict,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ClaimResult {
    /// The claim is recorded.
    Granted {
        /// Monotonic time at which its first write was sent, in milliseconds.
        sent_ms: u64,
    },
    /// Another attempt holds the key.
    Held(JournalEntry),
    /// The shard has no space for another claim.
    Full,
    /// The store is unavailable.
    Unavailable,
}

/// What the journal has to do for a shard.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ShardAction {
    /// Make a store call and report its result.
    Store(StoreCall),
    /// Delete an archive. The result does not matter.
    DeleteArchive(ArchiveRef),
    /// Report the result of a claim to its run.
    ClaimAnswered(Claimant, ClaimResult),
}

/// Time, store state and settings for a step of a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardContext {
    pub(super) now_ms: u64,
    /// The store's time in milliseconds since 1970; `None` before the first response.
    pub(super) unix_ms: Option<u64>,
    pub(super) expired_before_ms: u64,
    /// Whether store calls are paused after a recent failure.
    pub(super) store_backing_off: bool,
    /// Size of the settled entries at which they are moved to an archive.
    pub(super) rotate_bytes: usize,
}
