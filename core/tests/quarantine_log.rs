//! The quarantine as a placer reports it.

use mimosabay_core::quarantine::{Crash, Fingerprint, Quarantine};
use mimosabay_core::quarantine_log::QuarantineLog;

fn crashed(fingerprint: Fingerprint) -> Quarantine {
    let mut table = Quarantine::default();
    for boot in 1..=2 {
        let crash = Crash {
            server: "engine".into(),
            boot,
        };
        table.record_crash(&crash, [fingerprint], boot);
    }
    table
}

fn changed_since(log: &QuarantineLog, version: u64) -> Vec<Fingerprint> {
    let changes = log.changes_since(version).expect("changes");
    changes.table.fingerprints().collect()
}

#[test]
fn instance_receives_only_what_it_does_not_know() {
    let mut log = QuarantineLog::new(7);
    log.record(&crashed(1));
    let first = log.changes_since(0).expect("changes");
    assert_eq!(log.changes_since(first.version), None);
    log.record(&crashed(2));
    assert_eq!(changed_since(&log, first.version), [2]);
}

#[test]
fn instance_of_another_placer_receives_everything() {
    let mut log = QuarantineLog::new(7);
    log.record(&crashed(1));
    log.record(&crashed(2));
    let known = log.changes_since(0).expect("changes");
    let mut other = QuarantineLog::new(8);
    other.record(&crashed(3));
    assert_eq!(changed_since(&other, known.version), [3]);
    let newer = other.changes_since(0).expect("changes");
    assert_eq!(changed_since(&log, newer.version), [1, 2]);
}
