//! Requests, actions and settings of the journal.

use crate::name::Name;
use crate::request::Refusal;

use super::answer::RecordedAnswer;
use super::duplicate_response::DuplicateResponse;
use super::entry::KeyId;
use super::head::ArchiveRef;
use super::store_call::StoreCall;
use super::{ROTATE_BYTES, WINDOW_MS};

/// Number of a request at this instance. Invariant: never reused by the process.
pub type Ticket = u64;

/// A request with an idempotency key that is to be dispatched.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// Number of the request.
    pub ticket: Ticket,
    /// Idempotency key of the request.
    pub key: KeyId,
    /// Hash of the request's work.
    pub fingerprint: u64,
    /// Id of the request, for operators.
    pub request_id: Name,
    /// Monotonic time after which the request is refused, in milliseconds.
    pub deadline_ms: u64,
}

/// Settings that must be the same at all instances.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time for which a key is remembered, in the store's time.
    pub window_ms: u64,
    /// Size of the settled entries in a head at which they are moved to an archive.
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

/// What the caller of the journal has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call to the store and report its result.
    Store {
        /// Number of the shard.
        shard: u32,
        /// The call to make.
        call: StoreCall,
    },
    /// Delete an archive. The result does not matter.
    DeleteArchive(ArchiveRef),
    /// Call [`Journal::confirm_dispatch`](super::Journal::confirm_dispatch) for the request, and
    /// send it only if that returns [`DispatchDecision::Send`].
    Permit {
        /// Number of the permitted request.
        ticket: Ticket,
    },
    /// Answer the request without dispatching it.
    Answer {
        /// Number of the request to answer.
        ticket: Ticket,
        /// Its response.
        response: DuplicateResponse,
    },
}

/// Whether a request may be sent to its backend server now.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Send the request immediately.
    Send,
    /// Do not send the request. These actions answer it.
    Reject(Vec<Action>),
}

/// How a dispatched run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// The run ended with a complete answer.
    Finished(RecordedAnswer),
    /// The backend server may have run the request, and its answer is lost.
    Unknown,
    /// The backend server did not run the request.
    NotRun(Refusal),
}
