//! Replication of objects of the store between instances.

use std::collections::BTreeMap;

use arbtest::arbtest;
use mimosabay_core::name::Name;
use mimosabay_core::replica::{
    KnownRevision, MAX_UPDATE_BYTES, ReplicaChanges, ReplicaEvent, ReplicaKind, ReplicaLog,
    ReplicaUpdate,
};

const KIND: ReplicaKind = ReplicaKind::Servers;

fn event(number: u64) -> ReplicaEvent {
    ReplicaEvent {
        name: number.to_string().into(),
        object: number.to_string(),
        is_deleted: false,
    }
}

/// Change of an object that may change several times.
fn change(object: u64, number: u64) -> ReplicaEvent {
    ReplicaEvent {
        name: object.to_string().into(),
        object: number.to_string(),
        is_deleted: false,
    }
}

fn large(number: u64) -> ReplicaEvent {
    ReplicaEvent {
        name: number.to_string().into(),
        object: "x".repeat(MAX_UPDATE_BYTES),
        is_deleted: false,
    }
}

fn known(revision: u64) -> KnownRevision {
    KnownRevision {
        kind: KIND,
        revision,
        is_cut_off: false,
    }
}

fn since(log: &ReplicaLog, after: u64) -> Option<ReplicaUpdate> {
    match log.changes_since(&known(after)) {
        ReplicaChanges::Changes(update) => Some(update),
        ReplicaChanges::None | ReplicaChanges::TooLarge | ReplicaChanges::Uncovered => None,
    }
}

fn objects(log: &ReplicaLog, after: u64) -> Option<Vec<String>> {
    let events = since(log, after)?.events.into_iter();
    Some(events.map(|event| event.object).collect())
}

#[test]
fn copy_receives_the_changes_after_its_revision() {
    let mut log = ReplicaLog::default();
    log.reset(10);
    log.record(12, [event(1)]);
    log.record(15, [event(2), event(3)]);
    assert_eq!(objects(&log, 10).unwrap(), ["1", "2", "3"]);
    assert_eq!(objects(&log, 12).unwrap(), ["2", "3"]);
    assert_eq!(objects(&log, 15), None);
}

#[test]
fn copy_older_than_the_log_is_not_covered() {
    let mut log = ReplicaLog::default();
    log.reset(10);
    log.record(12, [event(1)]);
    assert_eq!(objects(&log, 9), None);
    assert_eq!(log.changes_since(&known(9)), ReplicaChanges::Uncovered);
    assert_eq!(log.changes_since(&known(12)), ReplicaChanges::None);
}

#[test]
fn full_log_drops_its_oldest_changes_and_no_longer_covers_them() {
    let mut log = ReplicaLog::default();
    log.reset(1);
    for number in 2..2_000 {
        log.record(number, [event(number)]);
    }
    assert_eq!(objects(&log, 1), None);
    assert_eq!(objects(&log, 1_997).unwrap(), ["1998", "1999"]);
}

#[test]
fn copy_receives_only_the_latest_change_of_an_object() {
    let mut log = ReplicaLog::default();
    log.reset(10);
    log.record(11, [change(1, 100), change(2, 200)]);
    log.record(12, [change(1, 101)]);
    log.record(13, [change(1, 102)]);
    assert_eq!(objects(&log, 10).unwrap(), ["200", "102"]);
    assert_eq!(objects(&log, 12).unwrap(), ["102"]);
}

#[test]
fn large_changes_are_sent_only_to_instances_without_the_store() {
    let mut log = ReplicaLog::default();
    log.reset(10);
    log.record(11, [large(1)]);
    assert!(since(&log, 10).is_some());
    log.record(12, [change(2, 200)]);
    assert_eq!(log.changes_since(&known(10)), ReplicaChanges::TooLarge);
    assert_eq!(objects(&log, 11).unwrap(), ["200"]);
    let cut_off = KnownRevision {
        is_cut_off: true,
        ..known(10)
    };
    let ReplicaChanges::Changes(update) = log.changes_since(&cut_off) else {
        panic!("the instance cannot read the changes from the store");
    };
    assert_eq!(update.events.len(), 2);
}

#[test]
fn changes_with_an_older_revision_are_ignored() {
    let mut log = ReplicaLog::default();
    log.reset(10);
    log.record(8, [event(1)]);
    assert_eq!(log.revision(), 10);
}

#[test]
fn update_for_another_revision_is_not_accepted() {
    let mut log = ReplicaLog::default();
    log.reset(10);
    log.record(12, [event(1)]);
    let update = since(&log, 10).unwrap();
    let mut copy = ReplicaLog::default();
    copy.reset(10);
    assert!(copy.accepts(&update));
    copy.record(11, []);
    assert!(!copy.accepts(&update));
}

/// In a chain of copies, each updated from the previous one at any time, all copies end with every
/// change in order.
#[test]
fn copies_of_copies_lose_nothing() {
    arbtest(|choices| {
        let mut logs = vec![ReplicaLog::default(); 4];
        let mut received: Vec<Vec<String>> = vec![Vec::new(); 4];
        for log in &mut logs {
            log.reset(1);
        }
        let mut expected = Vec::new();
        for number in 2..60 {
            if choices.ratio(1, 2)? {
                logs[0].record(number, [event(number)]);
                expected.push(number.to_string());
            }
            let to = choices.int_in_range(1..=3)?;
            update_from_previous(&mut logs, &mut received, to);
        }
        for to in 1..4 {
            update_from_previous(&mut logs, &mut received, to);
            assert_eq!(received[to], expected);
        }
        Ok(())
    });
}

/// Copies that are updated at any time, some from the store itself, end with the state of the store.
#[test]
fn copies_converge() {
    arbtest(|choices| {
        let mut logs = vec![ReplicaLog::default(); 3];
        let mut states = vec![BTreeMap::new(); 3];
        for log in &mut logs {
            log.reset(1);
        }
        for number in 2..60 {
            let event = change(choices.int_in_range(0..=4)?, number);
            states[0].insert(event.name.clone(), event.object.clone());
            logs[0].record(number, [event]);
            let to = choices.int_in_range(1..=2)?;
            let from = choices.int_in_range(0..=to - 1)?;
            update_copy(&mut logs, &mut states, from, to);
        }
        update_copy(&mut logs, &mut states, 0, 1);
        update_copy(&mut logs, &mut states, 1, 2);
        assert_eq!(states[1], states[0]);
        assert_eq!(states[2], states[0]);
        Ok(())
    });
}

fn update_copy(
    logs: &mut [ReplicaLog],
    states: &mut [BTreeMap<Name, String>],
    from: usize,
    to: usize,
) {
    if let Some(update) = since(&logs[from], logs[to].revision()) {
        let changes = update.events.iter();
        states[to].extend(changes.map(|event| (event.name.clone(), event.object.clone())));
        logs[to].record(update.revision, update.events);
    }
}

fn update_from_previous(logs: &mut [ReplicaLog], received: &mut [Vec<String>], to: usize) {
    let after = logs[to].revision();
    if let Some(update) = since(&logs[to - 1], after) {
        assert!(logs[to].accepts(&update));
        received[to].extend(update.events.iter().map(|event| event.object.clone()));
        logs[to].record(update.revision, update.events);
    }
}
