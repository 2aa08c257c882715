//! Crashes that one instance observes, and the quarantine that it knows.

use mimosabay_core::crash_observer::{
    Admission, CrashObserver, Decision, MAX_SENT, ServerList, Verdict,
};
use mimosabay_core::name::Name;
use mimosabay_core::prompt::{Prompt, PromptPart};
use mimosabay_core::quarantine::{ANSWER_VALIDITY_MS, Crash, Quarantine, QuarantineStatus};
use mimosabay_core::quarantine_log::QuarantineChanges;
use mimosabay_core::work::{AnswerTimes, Fingerprint, Work};

const POISON_HASH: u64 = 1;
const POISON: Fingerprint = Fingerprint::Request(POISON_HASH);

fn poison() -> Work {
    Work::new(POISON_HASH, None)
}

/// The work of a request with one shared part.
fn work_with_part(request_hash: u64, part: u64) -> Work {
    let ids = [part, 1_000_000 + request_hash];
    let prompt = Prompt {
        model: "base".into(),
        adapter: None,
        prompt_tokens: 100,
        answer_tokens: 10,
        parts: ids.map(|id| PromptPart { id, tokens: 10 }).to_vec(),
    };
    Work::new(request_hash, Some(&prompt))
}

fn crash(number: u64) -> Crash {
    Crash {
        server: format!("desk-{number}").into(),
        boot: 1,
    }
}

/// The times of an answer that took no time.
fn at(unix_ms: u64) -> AnswerTimes {
    AnswerTimes {
        sent_unix_ms: unix_ms,
        arrived_unix_ms: unix_ms,
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

/// Checks the servers against a current list. `boot` is the start of each registered server, `None` if
/// none is registered.
fn check(observer: &mut CrashObserver, boot: Option<u64>, now_ms: u64) -> Vec<Decision> {
    check_list(observer, boot, true, now_ms)
}

fn check_list(
    observer: &mut CrashObserver,
    boot: Option<u64>,
    is_current: bool,
    now_ms: u64,
) -> Vec<Decision> {
    let list = ServerList {
        start_of: |_: &Name| boot,
        is_current,
        heartbeat_ms: 1_200,
    };
    observer.check_servers(&list, now_ms)
}

/// An observer at which a request broke at a server that has ended.
fn observer_of_a_crash(number: u64) -> CrashObserver {
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(number), 10, 1_010);
    let decisions = check(&mut observer, None, 500);
    assert_eq!(decisions[0].verdict, Verdict::Unregistered);
    observer
}

/// Guards against a new placer whose empty table makes instances forget what is refused.
#[test]
fn placer_that_knows_nothing_takes_nothing_away() {
    let mut observer = CrashObserver::default();
    observer.apply(&changes(5, evidence(2, 10)));
    assert_eq!(observer.refused_by(&poison()), Some(POISON));
    observer.apply(&changes(6, Quarantine::default()));
    assert_eq!(observer.refused_by(&poison()), Some(POISON));
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
    observer.record_answer(&poison(), at(1_200));
    observer.apply(&changes(5, evidence(2, 1_000)));
    assert_eq!(observer.refused_by(&poison()), None);
    let reported = observer.take_evidence(false);
    assert_eq!(reported.status(POISON), QuarantineStatus::Clear);
    assert!(!reported.is_empty());
}

#[test]
fn answer_long_before_the_crashes_clears_nothing() {
    let mut observer = CrashObserver::default();
    observer.record_answer(&poison(), at(900));
    observer.apply(&changes(5, evidence(2, 901 + ANSWER_VALIDITY_MS)));
    assert_eq!(observer.refused_by(&poison()), Some(POISON));
}

/// Guards against refusing work that was answered before it ran beside others at two crashes.
#[test]
fn answer_shortly_before_the_crashes_clears_them() {
    let mut observer = CrashObserver::default();
    observer.record_answer(&poison(), at(900));
    observer.record_broken(poison(), crash(1), 10, 1_000);
    observer.record_broken(poison(), crash(2), 20, 1_010);
    check(&mut observer, None, 500);
    assert_eq!(observer.refused_by(&poison()), None);
    let evidence = observer.take_evidence(false);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Clear);
}

#[test]
fn answer_ends_the_observation_of_a_broken_request() {
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(1), 10, 1_010);
    observer.record_answer(&poison(), at(1_050));
    assert_eq!(check(&mut observer, None, 500), []);
    assert!(observer.take_evidence(false).is_empty());
}

#[test]
fn request_that_broke_at_a_live_server_is_given_up() {
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(1), 0, 1_000);
    assert_eq!(check(&mut observer, Some(1), 5_000), []);
    let decisions = check(&mut observer, Some(1), 7_000);
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].verdict, Verdict::Registered);
    assert!(observer.take_evidence(false).is_empty());
}

/// Guards against giving up while the list of servers is outdated, because the store is away.
#[test]
fn crash_is_decided_after_an_outage_of_the_store() {
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(1), 0, 1_000);
    for now_ms in (500..=20_000).step_by(500) {
        assert_eq!(check_list(&mut observer, Some(1), false, now_ms), []);
    }
    let decisions = check(&mut observer, None, 20_500);
    assert_eq!(decisions[0].verdict, Verdict::Unregistered);
    assert!(!observer.take_evidence(false).is_empty());
}

/// Guards against waiting for the list of servers while the server refuses connections.
#[test]
fn refused_connections_decide_a_crash_at_once() {
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(1), 0, 1_000);
    let decisions = observer.record_refused_connections(&crash(1), 300);
    assert_eq!(decisions[0].verdict, Verdict::RefusesConnections);
    let evidence = observer.take_evidence(false);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Suspect);
}

/// Guards against refusing a request whose servers only refused connections for a time.
#[test]
fn crash_of_a_server_that_stays_registered_is_retracted() {
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(1), 0, 1_000);
    observer.record_refused_connections(&crash(1), 300);
    for now_ms in (500..=10_000).step_by(500) {
        check(&mut observer, Some(1), now_ms);
    }
    let evidence = observer.take_evidence(false);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Clear);
    assert!(!evidence.is_empty());
}

/// Guards against refusing a request whose servers were only cut off from the store for a time.
#[test]
fn crash_of_a_server_that_returns_to_the_list_is_retracted() {
    let mut observer = observer_of_a_crash(1);
    check(&mut observer, None, 1_000);
    check(&mut observer, Some(1), 1_500);
    let evidence = observer.take_evidence(false);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Clear);
}

#[test]
fn crash_of_a_server_that_restarted_is_not_retracted() {
    let mut observer = observer_of_a_crash(1);
    check(&mut observer, Some(2), 1_000);
    for now_ms in (1_500..=20_000).step_by(500) {
        check(&mut observer, Some(2), now_ms);
    }
    let evidence = observer.take_evidence(false);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Suspect);
}

/// Guards against giving up before the entries of crashed servers expire.
#[test]
fn crash_is_decided_where_heartbeats_are_rare() {
    const HEARTBEAT_MS: u64 = 5_000;
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(1), 0, 1_000);
    let list = |boot: Option<u64>| ServerList {
        start_of: move |_: &Name| boot,
        is_current: true,
        heartbeat_ms: HEARTBEAT_MS,
    };
    for now_ms in (500..3 * HEARTBEAT_MS).step_by(500) {
        assert_eq!(observer.check_servers(&list(Some(1)), now_ms), []);
    }
    let decisions = observer.check_servers(&list(None), 3 * HEARTBEAT_MS);
    assert_eq!(decisions[0].verdict, Verdict::Unregistered);
}

/// Guards against evidence that is kept against whole requests alone, of which no two are alike.
#[test]
fn crashes_under_requests_with_one_part_count_together() {
    let mut observer = CrashObserver::default();
    for number in 1..=3 {
        assert_eq!(observer.refused_by(&work_with_part(100, 7)), None);
        let now_ms = 1_000 * number;
        observer.record_broken(work_with_part(number, 7), crash(number), now_ms, now_ms);
        observer.record_refused_connections(&crash(number), now_ms + 300);
    }
    let part = Fingerprint::PromptPart(7);
    assert_eq!(observer.refused_by(&work_with_part(100, 7)), Some(part));
    assert_eq!(observer.refused_by(&work_with_part(100, 8)), None);
}

/// Guards against forgetting the latest answer to work because its first one is long ago.
#[test]
fn work_that_was_answered_again_is_remembered() {
    for others in (0..10_000).step_by(100) {
        let mut observer = CrashObserver::default();
        observer.record_answer(&poison(), at(1_000));
        for number in 0..others {
            observer.record_answer(&Work::new(100 + number, None), at(1_000));
        }
        observer.record_answer(&poison(), at(1_000));
        for number in 0..200 {
            observer.record_answer(&Work::new(100_000 + number, None), at(1_000));
        }
        observer.apply(&changes(5, evidence(2, 1_010)));
        assert_eq!(observer.refused_by(&poison()), None, "{others} others");
    }
}

/// Guards against counting a crash against the parts of other work that was answered meanwhile.
#[test]
fn answer_ends_the_observation_of_the_parts_that_it_shares() {
    let mut observer = CrashObserver::default();
    observer.record_broken(work_with_part(1, 7), crash(1), 10, 1_010);
    observer.record_answer(&work_with_part(2, 7), at(1_050));
    let decisions = observer.record_refused_connections(&crash(1), 300);
    assert_eq!(decisions[0].work, Work::new(1, None));
    let evidence = observer.take_evidence(false);
    let expected = [Fingerprint::Request(1)];
    assert_eq!(evidence.fingerprints().collect::<Vec<_>>(), expected);
}

/// Guards against forgetting work that crashes servers again and again, because it was first seen long ago.
#[test]
fn evidence_that_was_added_to_lately_is_kept_for_a_new_placer() {
    let mut observer = CrashObserver::default();
    let mut number = 100;
    for first in [1, 2_000] {
        observer.record_broken(poison(), crash(first), 10, 1_010);
        observer.record_refused_connections(&crash(first), 310);
        for server in first + 1..first + 1_500 {
            number += 1;
            observer.record_broken(Work::new(number, None), crash(server), 10, 1_010);
            observer.record_refused_connections(&crash(server), 310);
        }
    }
    let evidence = observer.take_evidence(true);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Quarantined);
}

/// Guards against keeping crashes of servers that live on, because many requests broke at another one.
#[test]
fn crash_is_retracted_though_many_requests_broke_at_another_server() {
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(1), 0, 1_000);
    observer.record_refused_connections(&crash(1), 300);
    for burst in 0..3 {
        for number in 0..300 {
            let work = Work::new(1_000 * burst + number + 100, None);
            observer.record_broken(work, crash(2), 0, 1_000);
        }
        observer.record_refused_connections(&crash(2), 300);
    }
    for now_ms in (500..=10_000).step_by(500) {
        check(&mut observer, Some(1), now_ms);
    }
    let evidence = observer.take_evidence(false);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Clear);
    assert_eq!(evidence.quarantined().count(), 0);
}

/// An observer that knows two crashes at which a request ran beside another one.
fn observer_of_two_suspects() -> CrashObserver {
    let mut table = Quarantine::default();
    for number in 1..=2 {
        table.record_crash(&crash(number), [POISON, Fingerprint::Request(2)], 10);
    }
    let mut observer = CrashObserver::default();
    observer.apply(&changes(5, table));
    observer
}

/// Guards against refusing a request for an hour that only ran beside the one which crashes servers.
#[test]
fn request_that_only_ran_beside_the_one_that_crashes_servers_may_be_tried() {
    let mut observer = observer_of_two_suspects();
    let needs_trial = Admission::NeedsTrial(POISON);
    assert_eq!(observer.admit(&poison(), 0), needs_trial);
    assert_eq!(observer.admit(&poison(), 999), Admission::Refused(POISON));
    assert_eq!(observer.admit(&poison(), 1_000), needs_trial);
    observer.record_answer(&poison(), at(20_000));
    assert_eq!(observer.admit(&poison(), 1_001), Admission::Admitted);
    let evidence = observer.take_evidence(false);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Clear);
}

/// Guards against a trial of a request that alone ran at all crashes and was never answered.
#[test]
fn request_that_certainly_crashes_servers_has_no_trial() {
    let mut observer = CrashObserver::default();
    observer.apply(&changes(5, evidence(3, 10)));
    assert_eq!(observer.admit(&poison(), 0), Admission::Refused(POISON));
}

/// Guards against an answer that clears a crash, though its request was sent before the work began to
/// crash servers.
#[test]
fn answer_to_a_run_that_began_before_a_crash_does_not_clear_it() {
    let late_answer = AnswerTimes {
        sent_unix_ms: 1_000,
        arrived_unix_ms: 1_400,
    };
    let mut observer = CrashObserver::default();
    observer.record_broken(poison(), crash(1), 10, 1_010);
    observer.record_broken(poison(), crash(2), 20, 1_020);
    observer.record_answer(&poison(), late_answer);
    check(&mut observer, None, 500);
    assert_eq!(observer.refused_by(&poison()), None);
    observer.record_broken(poison(), crash(3), 510, 1_510);
    check(&mut observer, None, 600);
    assert_eq!(observer.refused_by(&poison()), Some(POISON));
}

/// The work of a request with a prompt of many parts that no other request has.
fn long_work(request_hash: u64, parts: u64) -> Work {
    let first = 10_000_000 * request_hash;
    let part = |index| PromptPart {
        id: first + index,
        tokens: 1,
    };
    let prompt = Prompt {
        model: "base".into(),
        adapter: None,
        prompt_tokens: 100,
        answer_tokens: 10,
        parts: (0..=parts).map(part).collect(),
    };
    Work::new(request_hash, Some(&prompt))
}

/// Guards against evidence that the placer never receives, because one crash brings more than an update holds.
#[test]
fn evidence_beyond_one_update_is_part_of_the_next_ones() {
    let mut observer = CrashObserver::default();
    let works: Vec<Work> = (1..=5).map(|number| long_work(number, 1_200)).collect();
    for work in &works {
        observer.record_broken(work.clone(), crash(1), 0, 0);
    }
    observer.record_refused_connections(&crash(1), 300);
    let mut received = Quarantine::default();
    for is_new_placer in [false, true] {
        received = Quarantine::default();
        let mut is_new_placer = is_new_placer;
        for _ in 0..10 {
            let update = observer.take_evidence(is_new_placer);
            assert!(update.fingerprints().count() <= MAX_SENT);
            received.merge(&update);
            is_new_placer = false;
        }
        let mut fingerprints = works.iter().flat_map(Work::fingerprints);
        assert!(fingerprints.all(|it| received.contains(it)));
    }
    assert!(received.fingerprints().count() > 2 * MAX_SENT);
    assert!(observer.take_dropped().is_empty());
}

/// Guards against evidence that is dropped without a word.
#[test]
fn what_is_dropped_is_counted() {
    let mut observer = CrashObserver::default();
    for number in 1..=1_000 {
        observer.record_broken(long_work(number, 1_200), crash(1), 0, 0);
    }
    let dropped = observer.take_dropped();
    assert!(dropped.broken_requests > 0);
    observer.record_refused_connections(&crash(1), 300);
    let dropped = observer.take_dropped();
    assert!(
        dropped.fingerprints > 0 && dropped.own_fingerprints > 0,
        "{dropped:?}"
    );
    assert!(observer.take_dropped().is_empty());
}
