//! What goes into the journal and what comes out of it.

use crate::name::Name;
use crate::request::Refusal;

use super::answer::RecordedAnswer;
use super::duplicate_response::DuplicateResponse;
use super::entry::KeyId;
use super::head::ArchiveRef;
use super::store_call::StoreCall;
use super::{ROTATE_BYTES, WINDOW_MS};

/// Number of a request at this instance, never used again in the life of the process.
pub type Ticket = u64;

/// A keyed request that is about to be dispatched.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// Its number.
    pub ticket: Ticket,
    /// Its key.
    pub key: KeyId,
    /// Hash of its work.
    pub fingerprint: u64,
    /// Request id, for operators.
    pub request_id: Name,
    /// Monotonic time at which it is given up, in milliseconds.
    pub deadline_ms: u64,
}

/// What all instances have to agree on.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time for which a key is remembered, in the store's time.
    pub window_ms: u64,
    /// Size of settled entries at which they are moved from a head into an archive.
    pub rotate_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window_ms: WINDOW_MS,
            rotate_bytes: ROTATE_BYTES,
        }
    }
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call to the store and report its end.
    Store {
        /// Number of the shard.
        shard: u32,
        /// The call.
        call: StoreCall,
    },
    /// Delete an archive; the outcome does not matter.
    DeleteArchive(ArchiveRef),
    /// Call [`Journal::confirm_dispatch`](super::Journal::confirm_dispatch) for the request, and send it only if that
    /// says so.
    Permit {
        /// The request.
        ticket: Ticket,
    },
    /// The request is answered without a run of its own.
    Answer {
        /// The request.
        ticket: Ticket,
        /// Its answer.
        response: DuplicateResponse,
    },
}

/// Whether a request may be sent to its backend server now.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Send it at once.
    Send,
    /// Do not send it; it is answered by these actions.
    Reject(Vec<Action>),
}

/// How a dispatched run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// With a whole answer.
    Finished(RecordedAnswer),
    /// The backend server may have run it, and the answer is lost.
    Unknown,
    /// The backend server certainly did not run it.
    NotRun(Refusal),
}
