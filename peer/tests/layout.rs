//! Layout of messages between instances, which other builds read. The bytes are those of build d39ddef.

use std::fmt::Write;

use mimosabay_core::cell::{EndedRun, RunOutcome, Ticket, Update};
use mimosabay_core::name::InstanceId;
use mimosabay_core::quarantine::Quarantine;
use mimosabay_core::replica::{
    KnownRevision, ReplicaChanges, ReplicaEvent, ReplicaKind, ReplicaUpdate,
};
use mimosabay_core::slow_start::{AnswerSign, ServerAnswer};
use mimosabay_core::stream_log::StreamLogPosition;
use mimosabay_peer::{Envelope, Members, Message, NotConnected, Reply};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn envelope(message: Message) -> Envelope {
    Envelope {
        from: InstanceId::new("one", 7),
        message,
    }
}

fn update() -> Update {
    Update {
        entry: 7,
        ended: vec![EndedRun {
            ticket: Ticket {
                entry: 7,
                number: 300,
            },
            outcome: RunOutcome::Rejected,
            first_event_ms: Some(12),
            streamed_ms: 40,
        }],
        charges: Vec::new(),
        evidence: Quarantine::default(),
        quarantine_version: 2,
        runs: None,
        streams: Vec::new(),
        stream_position: StreamLogPosition::default(),
        limits: Vec::new(),
        known: vec![KnownRevision {
            kind: ReplicaKind::Servers,
            revision: 500,
            is_cut_off: true,
        }],
        address: "10.0.0.1:1".into(),
        members_version: 9,
    }
}

fn updated() -> Reply {
    let event = ReplicaEvent {
        name: "s".into(),
        object: "{}".to_owned(),
        is_deleted: true,
    };
    let changes = ReplicaChanges::Changes(ReplicaUpdate {
        kind: ReplicaKind::Configuration,
        after: 4,
        revision: 5,
        events: vec![event],
    });
    Reply::Updated {
        reaches_store: true,
        changes: vec![(ReplicaKind::Configuration, changes)],
        limits: Vec::new(),
        streams: None,
        members: Some(Members {
            version: 9,
            addresses: vec!["10.0.0.1:1".into()],
        }),
        quarantine: None,
    }
}

/// Encodes a value, compares the bytes, and decodes them again.
fn check<T: Serialize + DeserializeOwned>(value: &T, expected: &str) {
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(value, config).unwrap();
    let mut text = String::new();
    for byte in &bytes {
        write!(text, "{byte:02x}").unwrap();
    }
    assert_eq!(text, expected);
    let (decoded, _): (T, usize) = bincode::serde::decode_from_slice(&bytes, config).unwrap();
    assert_eq!(
        bincode::serde::encode_to_vec(&decoded, config).unwrap(),
        bytes
    );
}

#[test]
fn messages_keep_their_layout() {
    let open = Message::OpenConnection {
        server: "s".into(),
        boot: 3,
    };
    check(&envelope(Message::Leave), "036f6e650702");
    check(&envelope(Message::GetPlacerLastSeen), "036f6e650707");
    check(&envelope(open), "036f6e650708017303");
    let answers = vec![ServerAnswer {
        server: "s".into(),
        boot: 3,
        sign: AnswerSign::Rejected,
    }];
    check(
        &envelope(Message::RecordServerAnswers(answers)),
        "036f6e65070c0101730302",
    );
    check(
        &envelope(Message::Update(Box::new(update()))),
        "036f6e650706070107fb2c0103010c2800000200000000000101fbf401010a31302e302e302e313a3109",
    );
}

#[test]
fn replies_keep_their_layout() {
    check(
        &updated(),
        "0801010001000405010173027b7d0100000109010a31302e302e302e313a3100",
    );
    check(&Reply::NotPlacer, "07");
    check(&Reply::PlacerLastSeen { age_ms: 300 }, "09fb2c01");
    check(&Reply::NotConnected(NotConnected::Unknown), "0b02");
    check(&Reply::Trial { is_permitted: true }, "0601");
    check(&Reply::Done, "0d");
}
