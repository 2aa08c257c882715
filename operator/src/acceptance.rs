//! The decision of the acceptor about one change of a specification.

use mimosabay_core::config::ConfigTable;
use mimosabay_core::resource::Kind;
use mimosabay_platform::Object;

use crate::field_error::FieldError;
use crate::store::{self, AcceptedRecord, SpecRecord, StatusRecord};
use crate::validate::{validate, validate_deletion};

/// What becomes of one version of a specification.
#[derive(Clone, Debug, PartialEq)]
pub enum Acceptance {
    /// That version, or a newer one, is accepted already.
    UpToDate,
    /// It is to be written as the accepted object.
    Accept(AcceptedRecord),
    /// It is to be reported; the accepted object stays as it is.
    Reject(StatusRecord),
}

/// Judges a version of a specification object, or its deletion.
///
/// `accepted` is the present accepted object's value and `table` all accepted resources. The
/// caller writes the result on condition that the accepted object still is at the version that
/// `accepted` was read from, which settles races between acceptors. A rejection may become an
/// acceptance when `table` changes, so that rejected specifications are judged again then.
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
