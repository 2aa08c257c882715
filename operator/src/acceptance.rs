//! Decides whether the acceptor accepts a change of a specification.

use mimosabay_core::config::ConfigTable;
use mimosabay_core::resource::Kind;
use mimosabay_platform::Object;

use crate::field_error::FieldError;
use crate::store::{self, AcceptedRecord, SpecRecord, StatusRecord};
use crate::validate::{validate, validate_deletion};

/// Decision on one version of a specification.
#[derive(Clone, Debug, PartialEq)]
pub enum Acceptance {
    /// Nothing to write: that version or a newer one is already accepted, or the deleted resource
    /// has no accepted specification.
    UpToDate,
    /// The record to write as the accepted object.
    Accept(AcceptedRecord),
    /// The status to write; the accepted object stays unchanged.
    Reject(StatusRecord),
}

/// Decides on a version of a specification object, or on its deletion.
///
/// `accepted` is the value of the current accepted object and `table` holds all accepted
/// resources. The caller writes the result on the condition that the accepted object is still at
/// the version from which `accepted` was read, which resolves races between acceptors. A change of
/// `table` may turn a rejection into an acceptance, so rejected specifications are validated again
/// after each change.
pub fn decide(
    kind: Kind,
    object: &Object,
    accepted: Option<&AcceptedRecord>,
    table: &ConfigTable,
) -> Acceptance {
    let generation = object.version;
    if accepted.is_some_and(|record| record.generation >= generation) {
        return Acceptance::UpToDate;
    }
    if object.deleted {
        return decide_deletion(kind, object, accepted, table);
    }
    let record: SpecRecord = match store::read_record(object, "specification") {
        Ok(record) => record,
        Err(error) => return reject(generation, &error.to_string()),
    };
    match validate(kind, &object.name, &record.spec, table) {
        Ok(spec) => Acceptance::Accept(AcceptedRecord {
            generation,
            spec: Some(store::spec_value(&spec)),
        }),
        Err(errors) => reject(generation, &join(&errors)),
    }
}

fn decide_deletion(
    kind: Kind,
    object: &Object,
    accepted: Option<&AcceptedRecord>,
    table: &ConfigTable,
) -> Acceptance {
    let generation = object.version;
    if accepted.is_none_or(|record| record.spec.is_none()) {
        return Acceptance::UpToDate;
    }
    match validate_deletion(kind, &object.name, table) {
        Ok(()) => Acceptance::Accept(AcceptedRecord {
            generation,
            spec: None,
        }),
        Err(errors) => reject(generation, &join(&errors)),
    }
}

fn reject(generation: u64, reason: &str) -> Acceptance {
    Acceptance::Reject(StatusRecord {
        observed_generation: generation,
        accepted: false,
        reason: reason.into(),
        in_force: 0,
        instances: 0,
    })
}

fn join(errors: &[FieldError]) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
