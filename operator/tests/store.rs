//! Stored objects of resources, hashes of keys, and the acceptor's decisions.

use mimosabay_core::cases;
use mimosabay_core::config::ConfigTable;
use mimosabay_core::resource::Kind;
use mimosabay_operator::acceptance::decide;
use mimosabay_operator::store::{self, ACCEPTED_KIND};
use mimosabay_operator::{Acceptance, AcceptedRecord, SpecRecord, key};
use mimosabay_platform::Object;
use serde_json::{Value, json};

fn object(kind: &str, name: &str, version: u64, value: Value) -> Object {
    Object {
        kind: kind.into(),
        name: name.into(),
        version,
        value,
        deleted: false,
    }
}

fn organisation(rate: u64) -> Value {
    json!({"rate_tokens_per_s": rate, "burst_tokens": 10, "weight": 1})
}

fn spec_object(version: u64, spec: Value) -> Object {
    let record = SpecRecord {
        spec,
        changed_by: "ann".into(),
        changed_at_ms: 1,
    };
    object(
        "spec-organisation",
        "clinics",
        version,
        store::to_value(&record),
    )
}

fn deletion(version: u64) -> Object {
    Object {
        deleted: true,
        value: Value::Null,
        ..spec_object(version, Value::Null)
    }
}

fn accepted(generation: u64, spec: Option<Value>) -> AcceptedRecord {
    AcceptedRecord { generation, spec }
}

fn decision_is(object: &Object, present: Option<&AcceptedRecord>, expected: &Acceptance) {
    let decision = decide(Kind::Organisation, object, present, &ConfigTable::default());
    assert_eq!(&decision, expected);
}

cases! {
    decision_is;
    first_version: (
        &spec_object(5, organisation(1)), None,
        &Acceptance::Accept(accepted(5, Some(organisation(1))))
    );
    newer_version: (
        &spec_object(5, organisation(2)), Some(&accepted(4, Some(organisation(1)))),
        &Acceptance::Accept(accepted(5, Some(organisation(2))))
    );
    version_decided_before: (
        &spec_object(5, organisation(2)), Some(&accepted(5, Some(organisation(2)))),
        &Acceptance::UpToDate
    );
    late_version: (
        &spec_object(5, organisation(2)), Some(&accepted(6, Some(organisation(1)))),
        &Acceptance::UpToDate
    );
    late_version_after_deletion: (
        &spec_object(5, organisation(2)), Some(&accepted(6, None)), &Acceptance::UpToDate
    );
    deletion_of_accepted: (
        &deletion(5), Some(&accepted(4, Some(organisation(1)))),
        &Acceptance::Accept(accepted(5, None))
    );
    deletion_of_never_accepted: (&deletion(5), None, &Acceptance::UpToDate);
}

#[test]
fn invalid_specification_is_rejected_with_reason() {
    let object = spec_object(5, organisation(0));
    let present = accepted(4, Some(organisation(1)));
    let decision = decide(
        Kind::Organisation,
        &object,
        Some(&present),
        &ConfigTable::default(),
    );
    let Acceptance::Reject(status) = decision else {
        panic!("the specification is invalid but was not rejected");
    };
    assert_eq!((status.observed_generation, status.accepted), (5, false));
    assert!(status.reason.contains("rate_tokens_per_s"));
}

#[test]
fn an_accepted_object_becomes_an_entry() {
    let record = accepted(5, Some(organisation(3)));
    let object = object(
        ACCEPTED_KIND,
        "organisation.a.b",
        9,
        store::to_value(&record),
    );
    let entry = store::accepted_entry(&object).expect("the object is readable");
    assert_eq!((&*entry.key.name, entry.revision), ("a.b", 9));
    let spec = entry.spec.expect("the resource is present");
    assert_eq!(store::spec_value(&spec), organisation(3));
}

#[test]
fn unreadable_object_leaves_old_entry_in_force() {
    let record = accepted(
        6,
        Some(json!({"rate_tokens_per_s": 1, "burst_tokens": 1, "new": 1})),
    );
    let newer = object(
        ACCEPTED_KIND,
        "organisation.clinics",
        9,
        store::to_value(&record),
    );
    assert_eq!(store::accepted_entry(&newer), None);
}

#[test]
fn spec_kinds_map_back_to_resource_kinds() {
    for kind in Kind::ALL {
        assert_eq!(store::resource_kind(&store::spec_kind(kind)), Some(kind));
    }
}

#[test]
fn a_key_is_looked_up_by_its_sha_256() {
    let secret = key::encode(&[7; key::KEY_BYTES]);
    assert_eq!(secret.reveal(), format!("mb_{}", "07".repeat(32)));
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(&*key::hash(""), empty);
}
