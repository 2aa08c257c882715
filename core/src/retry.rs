//! Retry decision after an attempt that ended without a complete answer.

use crate::request::{Code, Ran, Refusal, RetrySafety};

/// Maximum number of attempts of one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 12;

/// Decision after a failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// Retry without the backend server that failed.
    Retry,
    /// Return the refusal as the final answer.
    GiveUp(Refusal),
}

/// Bounds the retries of an instance to a share of the requests that it accepts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Number of retries available now. Invariant: at most [`RetryBudget::MAX_STORED`].
    stored: f64,
}

impl RetryBudget {
    /// Number of retries that one request adds.
    const PER_REQUEST: f64 = 0.2;
    /// Maximum number of stored retries.
    pub const MAX_STORED: f64 = 500.0;

    /// Creates a budget with [`RetryBudget::MAX_STORED`] retries.
    pub fn new() -> Self {
        Self {
            stored: Self::MAX_STORED,
        }
    }

    /// Adds the retries for one accepted request.
    pub fn count_request(&mut self) {
        self.stored = (self.stored + Self::PER_REQUEST).min(Self::MAX_STORED);
    }

    /// Takes one retry if available. Returns whether it was taken.
    pub fn try_take_retry(&mut self) -> bool {
        let is_available = self.stored >= 1.0;
        if is_available {
            self.stored -= 1.0;
        }
        is_available
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Decides whether to retry after attempt number `attempt` (from 1) ended with `refusal`.
///
/// A request that may have run is retried only if it is idempotent, or if it has an idempotency key
/// and the instance that dispatched it failed. A request that has not run is retried unless another
/// attempt would end with the same refusal.
pub fn decide(
    retry_safety: RetrySafety,
    refusal: Refusal,
    attempt: u32,
    budget: &mut RetryBudget,
) -> RetryDecision {
    // The journal records whether the work of a key ran, so that a retry cannot run it twice.
    let is_checked_by_journal =
        retry_safety == RetrySafety::Keyed && refusal.code == Code::InstanceFailed;
    let may_retry =
        refusal.ran == Ran::No || retry_safety == RetrySafety::Idempotent || is_checked_by_journal;
    if may_retry && attempt < MAX_ATTEMPTS && is_transient(refusal.code) && budget.try_take_retry()
    {
        return RetryDecision::Retry;
    }
    RetryDecision::GiveUp(refusal)
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
