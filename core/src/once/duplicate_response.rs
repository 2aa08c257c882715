//! Answers to requests that do not run themselves.

use crate::name::InstanceId;
use crate::request::{Code, Ran, Refusal};

use super::RETRY_AFTER_MS;
use super::answer::RecordedAnswer;
use super::entry::{JournalEntry, Outcome};

/// The answer to a request that does not run itself.
#[derive(Clone, Debug, PartialEq)]
pub enum DuplicateResponse {
    /// The answer of the run with the same key.
    Recorded(RecordedAnswer),
    /// Why there is no answer, and whether the work may have run.
    Refused(Refusal),
    /// Another process may be running the work, and it may be over soon.
    Running(InstanceId),
}

/// The refusal of a request whose work may be running elsewhere.
pub fn running_elsewhere_refusal() -> Refusal {
    Refusal::in_doubt(Code::InDoubt, "a request with this key was dispatched")
        .retry_after_ms(RETRY_AFTER_MS)
}

/// What a request with the key of `entry` is told.
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
            ..Refusal::in_doubt(Code::InDoubt, "it ran; the answer was too large to record")
        }),
        Some(Outcome::Unknown) => DuplicateResponse::Refused(outcome_lost_refusal()),
        None => DuplicateResponse::Running(entry.claimant.dispatcher.clone()),
    }
}

pub(super) fn key_reused_refusal() -> Refusal {
    Refusal::not_run(
        Code::KeyReused,
        "the idempotency key was used with another body",
    )
}

pub(super) fn outcome_lost_refusal() -> Refusal {
    Refusal::in_doubt(Code::InDoubt, "it was dispatched and its answer is lost")
}

pub(super) fn store_unavailable_refusal(message: &'static str) -> Refusal {
    Refusal::not_run(Code::StoreUnavailable, message).retry_after_ms(RETRY_AFTER_MS)
}
