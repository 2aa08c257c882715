//! Responses to keyed requests that are not dispatched.

use crate::name::InstanceId;
use crate::request::{Code, Ran, Refusal};

use super::RETRY_AFTER_MS;
use super::answer::RecordedAnswer;
use super::entry::{JournalEntry, Outcome};

/// Response to a keyed request that is not dispatched.
#[derive(Clone, Debug, PartialEq)]
pub enum DuplicateResponse {
    /// The recorded answer of the run with the same key.
    Recorded(RecordedAnswer),
    /// A refusal, which states whether the work may have run.
    Refused(Refusal),
    /// This process holds the key's claim and may still be running the work.
    Running(InstanceId),
}

/// Returns the refusal of a request whose work may be running at another instance.
pub fn running_elsewhere_refusal() -> Refusal {
    Refusal::in_doubt(
        Code::InDoubt,
        "a request with this idempotency key was already dispatched",
    )
    .retry_after_ms(RETRY_AFTER_MS)
}

/// Returns the response to a request whose key is recorded in `entry`.
pub(super) fn duplicate_response(entry: &JournalEntry, fingerprint: u64) -> DuplicateResponse {
    if entry.fingerprint != fingerprint {
        return DuplicateResponse::Refused(key_reused_refusal());
    }
    match &entry.outcome {
        Some(Outcome::Finished {
            answer: Some(answer),
        }) => DuplicateResponse::Recorded(answer.clone()),
        Some(Outcome::Finished { answer: None }) => DuplicateResponse::Refused(Refusal {
            ran: Ran::Yes,
            ..Refusal::in_doubt(
                Code::InDoubt,
                "the request ran, but its answer was too large to record",
            )
        }),
        Some(Outcome::Unknown) => DuplicateResponse::Refused(outcome_lost_refusal()),
        None => DuplicateResponse::Running(entry.claimant.dispatcher.clone()),
    }
}

pub(super) fn key_reused_refusal() -> Refusal {
    Refusal::not_run(
        Code::KeyReused,
        "the idempotency key was used with a different body",
    )
}

pub(super) fn outcome_lost_refusal() -> Refusal {
    Refusal::in_doubt(
        Code::InDoubt,
        "the request was dispatched, but its answer was lost",
    )
}

pub(super) fn store_unavailable_refusal(message: &'static str) -> Refusal {
    Refusal::not_run(Code::StoreUnavailable, message).retry_after_ms(RETRY_AFTER_MS)
}
