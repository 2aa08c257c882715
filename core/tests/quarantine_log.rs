//! The quarantine as a placer reports it.

use mimosabay_core::quarantine::{Crash, Quarantine};
use mimosabay_core::quarantine_log::QuarantineLog;
use mimosabay_core::work::Fingerprint;

const FIRST: Fingerprint = Fingerprint::Request(1);
const SECOND: Fingerprint = Fingerprint::Request(2);
const THIRD: Fingerprint = Fingerprint::PromptPart(3);

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
    log.record(&crashed(FIRST));
    let first = log.changes_since(0).expect("changes");
    assert_eq!(log.changes_since(first.version), None);
    log.record(&crashed(SECOND));
    assert_eq!(changed_since(&log, first.version), [SECOND]);
}

#[test]
fn instance_of_another_placer_receives_everything() {
    let mut log = QuarantineLog::new(7);
    log.record(&crashed(FIRST));
    log.record(&crashed(SECOND));
    let known = log.changes_since(0).expect("changes");
    let mut other = QuarantineLog::new(8);
    other.record(&crashed(THIRD));
    assert_eq!(changed_since(&other, known.version), [THIRD]);
    let newer = other.changes_since(0).expect("changes");
    assert_eq!(changed_since(&log, newer.version), [FIRST, SECOND]);
}
