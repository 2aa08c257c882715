//! Service-level outcomes of refusals.

use mimosabay_core::request::{Code, Ran, Refusal};

use crate::slo::Outcome;

/// Returns the outcome as which a refusal counts; `None` if the caller caused it.
pub fn refusal_outcome(refusal: &Refusal) -> Option<Outcome> {
    match refusal.code {
        Code::BadRequest
        | Code::TooLarge
        | Code::UnknownKey
        | Code::WithdrawnKey
        | Code::Forbidden
        | Code::UnknownModel
        | Code::UnknownVersion
        | Code::KeyReused
        | Code::Quarantined
        | Code::Cancelled
        | Code::Sunset => None,
        Code::OverRate => Some(Outcome::RefusedOverRate),
        Code::Overloaded
        | Code::NoServer
        | Code::NotOwner
        | Code::StoreUnavailable
        | Code::NotReady
        | Code::LoadFailed
        | Code::InDoubt
        | Code::BackendFailed
        | Code::InstanceFailed
        | Code::Timeout
        | Code::Internal => Some(match refusal.ran {
            Ran::No => Outcome::RefusedWithinRate,
            Ran::Unknown | Ran::Yes => Outcome::Failed,
        }),
    }
}
