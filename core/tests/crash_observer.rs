//! Crashes that one instance observes, and the quarantine that it knows.

use mimosabay_core::crash_observer::CrashObserver;
use mimosabay_core::quarantine::{Crash, Fingerprint, Quarantine, QuarantineStatus};
use mimosabay_core::quarantine_log::QuarantineChanges;

const POISON: Fingerprint = 1;

fn crash(number: u64) -> Crash {
    Crash {
        server: format!("desk-{number}").into(),
        boot: 1,
    }
}

/// Evidence of as many crashes against a request.
fn evidence(crashes: u64, unix_ms: u64) -> Quarantine {
    let mut table = Quarantine::default();
    for number in 1..=crashes {
        table.record_crash(&crash(number), [POISON], unix_ms);
    }
    table
}

/// Changes as a placer with this fencing number reports them.
fn changes(fencing_number: u64, table: Quarantine) -> QuarantineChanges {
    QuarantineChanges {
        version: fencing_number << 20,
        table,
    }
}

/// An observer at which a request broke at a server that has ended.
fn observer_of_a_crash(number: u64) -> CrashObserver {
    let mut observer = CrashObserver::default();
    observer.record_broken(POISON, crash(number), 10, 1_010);
    let decisions = observer.check_servers(|_| None, 500);
    assert!(decisions[0].has_ended);
    observer
}

/// Guards against a new placer whose empty table makes instances forget what is refused.
#[test]
fn placer_that_knows_nothing_takes_nothing_away() {
    let mut observer = CrashObserver::default();
    observer.apply(&changes(5, evidence(2, 10)));
    assert!(observer.is_refused(POISON));
    observer.apply(&changes(6, Quarantine::default()));
    assert!(observer.is_refused(POISON));
}

/// Guards against evidence that is lost with the placer that had accepted it.
#[test]
fn new_placer_receives_evidence_that_its_predecessor_had_accepted() {
    let mut observer = observer_of_a_crash(1);
    let accepted = observer.take_evidence(false);
    assert_eq!(accepted.status(POISON), QuarantineStatus::Suspect);
    assert!(observer.take_evidence(false).is_empty());
    assert_eq!(observer.take_evidence(true), accepted);
    assert_eq!(observer.take_evidence(true), accepted);
}

#[test]
fn evidence_that_did_not_reach_the_placer_is_sent_again() {
    let mut observer = observer_of_a_crash(1);
    let lost = observer.take_evidence(false);
    observer.requeue(&lost);
    assert_eq!(observer.take_evidence(false), lost);
}

#[test]
fn crashes_observed_by_two_instances_count_together() {
    let mut table = observer_of_a_crash(1).take_evidence(false);
    table.merge(&observer_of_a_crash(2).take_evidence(false));
    assert_eq!(table.status(POISON), QuarantineStatus::Quarantined);
}

/// Guards against refusing work that ran beside others at two crashes, though it is answered.
#[test]
fn quarantined_work_that_this_instance_has_answered_is_cleared() {
    let mut observer = CrashObserver::default();
    observer.record_answer(POISON, 1_200);
    observer.apply(&changes(5, evidence(2, 1_000)));
    assert!(!observer.is_refused(POISON));
    let reported = observer.take_evidence(false);
    assert_eq!(reported.status(POISON), QuarantineStatus::Clear);
    assert!(!reported.is_empty());
}

#[test]
fn answer_before_the_crashes_clears_nothing() {
    let mut observer = CrashObserver::default();
    observer.record_answer(POISON, 900);
    observer.apply(&changes(5, evidence(2, 1_000)));
    assert!(observer.is_refused(POISON));
}

#[test]
fn answer_ends_the_observation_of_a_broken_request() {
    let mut observer = CrashObserver::default();
    observer.record_broken(POISON, crash(1), 10, 1_010);
    observer.record_answer(POISON, 1_050);
    assert_eq!(observer.check_servers(|_| None, 500), []);
    assert!(observer.take_evidence(false).is_empty());
}
