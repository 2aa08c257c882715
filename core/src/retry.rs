//! What to do when an attempt at a request has ended without a whole answer.

use crate::request::{Code, Ran, Refusal, Repeat};

/// Attempts for one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 12;

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Try again, leaving out the backend server that failed.
    Retry,
    /// Give the final answer.
    GiveUp(Refusal),
}

/// Retries that the instance may make, as a share of the requests it takes in.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that may be made now. Invariant: at most [`RetryBudget::MAX_STORED`].
    stored: f64,
}

impl RetryBudget {
    /// Retries that one request adds.
    const PER_REQUEST: f64 = 0.2;
    /// Retries that can be saved up.
    pub const MAX_STORED: f64 = 500.0;

    /// Starts with all retries that can be saved up.
    pub fn new() -> Self {
        Self {
            stored: Self::MAX_STORED,
        }
    }

    /// Counts a request.
    pub fn request(&mut self) {
        self.stored = (self.stored + Self::PER_REQUEST).min(Self::MAX_STORED);
    }

    /// Takes a retry if one is left.
    pub fn take(&mut self) -> bool {
        let left = self.stored >= 1.0;
        if left {
            self.stored -= 1.0;
        }
        left
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Decides after attempt number `attempt` (from 1) ended in `refusal`.
///
/// A request that may have run is tried again only if it is idempotent. One that has not run is
/// tried again unless another attempt would end alike.
pub fn decide(repeat: Repeat, refusal: Refusal, attempt: u32, budget: &mut RetryBudget) -> Next {
    let may_repeat = refusal.ran == Ran::No || repeat == Repeat::Idempotent;
    if may_repeat && attempt < MAX_ATTEMPTS && is_transient(refusal.code) && budget.take() {
        return Next::Retry;
    }
    Next::GiveUp(refusal)
}

fn is_transient(code: Code) -> bool {
    match code {
        Code::NoServer
        | Code::NotOwner
        | Code::LoadFailed
        | Code::BackendFailed
        | Code::InstanceFailed
        | Code::NotReady => true,
        Code::BadRequest
        | Code::TooLarge
        | Code::UnknownKey
        | Code::WithdrawnKey
        | Code::Forbidden
        | Code::UnknownModel
        | Code::UnknownVersion
        | Code::OverRate
        | Code::Overloaded
        | Code::StoreUnavailable
        | Code::KeyReused
        | Code::InDoubt
        | Code::Quarantined
        | Code::Timeout
        | Code::Cancelled
        | Code::Sunset
        | Code::Internal => false,
    }
}
