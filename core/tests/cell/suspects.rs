//! Requests that crash the engines that run them.

use mimosabay_core::cell::{AdoptedRun, Cell, EndedRun, RefusalReason, RunOutcome};
use mimosabay_core::name::Name;
use mimosabay_core::quarantine::{
    ANSWER_VALIDITY_MS, CRASH_TTL_MS, Crash, Quarantine, QuarantineStatus,
};
use mimosabay_core::quarantine_log::QuarantineLog;
use mimosabay_core::work::{Fingerprint, Work};

use crate::support::{
    ADAPTER_LIMIT, backend, confirmed, ended, granted, placement_request, refused, report,
};

const POISON: Fingerprint = Fingerprint::Request(77);
const SERVERS: [&str; 4] = ["one", "two", "three", "four"];

fn confirmed_cell() -> Cell {
    let backends: Vec<_> = SERVERS.iter().map(|id| backend(id, &["a1"])).collect();
    confirmed(ADAPTER_LIMIT, &backends)
}

/// Runs a request whose server crashes; returns the server.
fn run_until_crash(
    cell: &mut Cell,
    number: u64,
    request_hash: u64,
    now_ms: u64,
    crashed: &[Name],
) -> Name {
    let mut request = placement_request(number, "a1");
    request.request_hash = request_hash;
    request.excluded = crashed.to_vec();
    cell.request_placement(request, now_ms);
    let server = granted(&cell.take_actions())[0].1.clone();
    cell.end_run(&ended(number, RunOutcome::Broken), now_ms + 10);
    cell.take_actions();
    cell.handle_report(&server, None, now_ms + 400);
    server
}

#[test]
fn request_that_crashed_several_servers_is_refused() {
    let mut cell = confirmed_cell();
    let first = run_until_crash(&mut cell, 1, 77, 10, &[]);
    run_until_crash(&mut cell, 2, 77, 1_000, &[first]);
    let mut again = placement_request(3, "a1");
    again.request_hash = 77;
    cell.request_placement(again, 2_000);
    let actions = cell.take_actions();
    assert_eq!(refused(&actions), [(3, RefusalReason::Quarantined(POISON))]);
    cell.request_placement(placement_request(4, "a1"), 2_000);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

/// Guards against an instance's trial run of a request under quarantine that the placer refuses.
#[test]
fn trial_run_is_placed_though_the_request_is_under_quarantine() {
    let mut cell = confirmed_cell();
    let first = run_until_crash(&mut cell, 1, 77, 10, &[]);
    run_until_crash(&mut cell, 2, 77, 1_000, &[first]);
    let mut trial = placement_request(3, "a1");
    trial.request_hash = 77;
    trial.is_trial = true;
    cell.request_placement(trial, 2_000);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

#[test]
fn request_whose_connection_broke_at_a_live_server_is_not_suspected() {
    let mut cell = confirmed_cell();
    for number in 1..=5 {
        let mut request = placement_request(number, "a1");
        request.request_hash = 77;
        let now_ms = number * 1_000;
        cell.request_placement(request, now_ms);
        let server = granted(&cell.take_actions())[0].1.clone();
        cell.end_run(&ended(number, RunOutcome::Broken), now_ms + 10);
        cell.take_actions();
        let live_report = report(&backend(&server, &["a1"]));
        cell.handle_report(&server, Some(&live_report), now_ms + 400);
    }
}

#[test]
fn answered_request_is_no_longer_suspected() {
    let mut cell = confirmed_cell();
    let first = run_until_crash(&mut cell, 1, 77, 10, &[]);
    let mut request = placement_request(2, "a1");
    request.request_hash = 77;
    cell.request_placement(request, 500);
    cell.end_run(&ended(2, RunOutcome::Answered), 600);
    cell.take_actions();
    run_until_crash(&mut cell, 3, 77, 1_000, &[first]);
    let mut again = placement_request(4, "a1");
    again.request_hash = 77;
    cell.request_placement(again, 2_000);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

/// Guards against taking a server's error for proof that a request does not crash servers.
#[test]
fn server_error_does_not_clear_a_suspect() {
    let mut cell = confirmed_cell();
    let first = run_until_crash(&mut cell, 1, 77, 10, &[]);
    let mut request = placement_request(2, "a1");
    request.request_hash = 77;
    cell.request_placement(request, 500);
    cell.end_run(&ended(2, RunOutcome::Failed), 600);
    cell.take_actions();
    run_until_crash(&mut cell, 3, 77, 1_000, &[first]);
    let mut again = placement_request(4, "a1");
    again.request_hash = 77;
    cell.request_placement(again, 2_000);
    assert_eq!(
        refused(&cell.take_actions()),
        [(4, RefusalReason::Quarantined(POISON))]
    );
}

/// Guards against quarantining a request whose servers did not crash: the links to two servers are
/// cut while it runs there, and both servers stay live.
#[test]
fn request_whose_servers_were_only_disconnected_is_granted_again() {
    let mut cell = confirmed_cell();
    let first = run_until_crash(&mut cell, 1, 77, 10, &[]);
    let second = run_until_crash(&mut cell, 2, 77, 1_000, std::slice::from_ref(&first));
    let mut again = placement_request(3, "a1");
    again.request_hash = 77;
    cell.request_placement(again.clone(), 2_000);
    assert_eq!(
        refused(&cell.take_actions()),
        [(3, RefusalReason::Quarantined(POISON))]
    );
    cell.tick(3_000);
    cell.take_actions();
    for server in [&first, &second] {
        cell.handle_report(server, Some(&report(&backend(server, &["a1"]))), 3_000);
    }
    cell.request_placement(again, 3_100);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

/// Guards against leaving refused requests out of what instances receive, because there are many.
#[test]
fn every_refused_request_is_reported_to_instances() {
    const REFUSED: u64 = 1_000;
    let mut cell = confirmed_cell();
    let mut evidence = Quarantine::default();
    for server in ["one", "two"] {
        let crash = Crash {
            server: server.into(),
            boot: 1,
        };
        evidence.record_crash(&crash, (0..REFUSED).map(Fingerprint::Request), 10);
    }
    cell.merge_quarantine(&evidence);
    let mut log = QuarantineLog::new(1);
    log.record(&cell.take_quarantine_changes().expect("changes"));
    let reported = log.changes_since(0).expect("changes").table;
    let refused: Vec<_> = (0..REFUSED).map(Fingerprint::Request).collect();
    assert_eq!(reported.quarantined().collect::<Vec<_>>(), refused);
}

/// Guards against instances that refuse work by their own evidence and never hear of the answer that
/// clears it.
#[test]
fn answer_that_only_the_placer_knows_is_reported() {
    let mut cell = confirmed_cell();
    let mut request = placement_request(1, "a1");
    request.request_hash = 77;
    cell.request_placement(request, 100);
    let mut evidence = Quarantine::default();
    evidence.record_crash(&Crash::new(&"one".into(), 1), [POISON], 10);
    cell.merge_quarantine(&evidence);
    cell.end_run(&ended(1, RunOutcome::Answered), 200);
    evidence.record_crash(&Crash::new(&"two".into(), 1), [POISON], 20);
    cell.merge_quarantine(&evidence);
    assert_eq!(evidence.status(POISON), QuarantineStatus::Quarantined);
    evidence.merge(&cell.take_quarantine_changes().expect("changes"));
    assert_eq!(evidence.status(POISON), QuarantineStatus::Clear);
}

/// Guards against a new placer that forgets what its predecessor refused.
#[test]
fn new_placer_refuses_what_the_previous_one_refused() {
    let mut cell = confirmed_cell();
    let first = run_until_crash(&mut cell, 1, 77, 10, &[]);
    run_until_crash(&mut cell, 2, 77, 1_000, &[first]);
    let reported = cell.take_quarantine_changes().expect("changes");
    let mut successor = confirmed_cell();
    successor.merge_quarantine(&reported);
    let mut again = placement_request(3, "a1");
    again.request_hash = 77;
    successor.request_placement(again, 2_000);
    assert_eq!(
        refused(&successor.take_actions()),
        [(3, RefusalReason::Quarantined(POISON))]
    );
    assert_eq!(successor.take_quarantine_changes(), Some(reported));
}

/// Guards against a placer that does not know which request broke, because its predecessor placed it.
#[test]
fn crash_under_a_request_of_the_previous_placer_counts() {
    let mut cell = confirmed_cell();
    for (number, server) in [(1, "one"), (2, "two")] {
        let request = placement_request(number, "a1");
        let run = AdoptedRun {
            ticket: request.ticket,
            server: server.into(),
            prompt: request.prompt,
            request_hash: 77,
        };
        cell.adopt_runs(vec![run], "zone-1", 10);
        cell.end_run(&ended(number, RunOutcome::Broken), 20);
        cell.take_actions();
        cell.handle_report(&server.into(), None, 400);
    }
    let mut again = placement_request(3, "a1");
    again.request_hash = 77;
    cell.request_placement(again, 2_000);
    assert_eq!(
        refused(&cell.take_actions()),
        [(3, RefusalReason::Quarantined(POISON))]
    );
}

/// Guards against placing requests that share a part with others that crashed engines.
#[test]
fn requests_with_a_part_that_crashed_several_engines_are_refused() {
    let mut cell = confirmed_cell();
    let mut crashed = Vec::new();
    for number in 1..=3 {
        let server = run_until_crash(&mut cell, number, number, 1_000 * number, &crashed);
        crashed.push(server);
    }
    cell.request_placement(placement_request(4, "a1"), 5_000);
    let reason = RefusalReason::Quarantined(Fingerprint::PromptPart(7));
    assert_eq!(refused(&cell.take_actions()), [(4, reason)]);
    let mut other = placement_request(5, "a1");
    other.prompt.parts[0].id = 8;
    cell.request_placement(other, 5_000);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

/// Guards against counting crashes against a part that one instance answers all the time, because
/// another instance reports the crashes.
#[test]
fn part_that_was_answered_before_its_crashes_are_reported_is_served() {
    let mut cell = confirmed_cell();
    cell.request_placement(placement_request(1, "a1"), 100);
    cell.end_run(&ended(1, RunOutcome::Answered), 200);
    let part = Fingerprint::PromptPart(7);
    let mut evidence = Quarantine::default();
    for server in ["one", "two", "three"] {
        evidence.record_crash(&Crash::new(&server.into(), 1), [part], 300);
    }
    assert_eq!(evidence.status(part), QuarantineStatus::Quarantined);
    cell.merge_quarantine(&evidence);
    cell.take_actions();
    cell.request_placement(placement_request(2, "a1"), 400);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
    evidence.merge(&cell.take_quarantine_changes().expect("changes"));
    assert_eq!(evidence.status(part), QuarantineStatus::Clear);
}

/// Guards against refusing the parts of streams that had run for long when others crashed their engines.
#[test]
fn part_of_streams_that_had_been_running_is_served() {
    let mut cell = confirmed_cell();
    let mut crashed = Vec::new();
    for number in 1..=3 {
        let mut request = placement_request(number, "a1");
        request.excluded = crashed.clone();
        cell.request_placement(request, 10_000 * number);
        let server = granted(&cell.take_actions())[0].1.clone();
        let broken = EndedRun {
            streamed_ms: 4_000,
            ..ended(number, RunOutcome::Broken)
        };
        cell.end_run(&broken, 10_000 * number + 5_000);
        cell.take_actions();
        cell.handle_report(&server, None, 10_000 * number + 5_400);
        crashed.push(server);
    }
    let mut next = placement_request(4, "a1");
    next.excluded = crashed;
    cell.request_placement(next, 40_000);
    assert_eq!(granted(&cell.take_actions()).len(), 1);
}

/// Reports as many crashes against a part, an answer after each, and what the placer reports in turn to
/// an instance that observed all the crashes. Returns the number of reports.
fn report_crashes_of_an_answered_part(crashes: u64, crash_every_ms: u64) -> usize {
    let part = Fingerprint::PromptPart(7);
    let mut cell = confirmed_cell();
    let mut known = Quarantine::default();
    let mut reports = 0;
    for number in 1..=crashes {
        let now_ms = number * crash_every_ms;
        cell.request_placement(placement_request(number, "a1"), now_ms);
        assert_eq!(granted(&cell.take_actions()).len(), 1);
        let crash = Crash::new(&"one".into(), number);
        known.record_crash(&crash, [part], now_ms);
        cell.merge_quarantine(&known);
        cell.end_run(&ended(number, RunOutcome::Answered), now_ms + 100);
        cell.take_actions();
        if let Some(changes) = cell.take_quarantine_changes() {
            known.merge(&changes);
            reports += 1;
        }
        assert_ne!(known.status(part), QuarantineStatus::Quarantined);
    }
    reports
}

/// Guards against sending the evidence against popular parts to all instances at each crash.
#[test]
fn part_that_is_answered_between_crashes_is_seldom_reported() {
    assert!(report_crashes_of_an_answered_part(100, 1_000) <= 100 / 5 + 1);
}

/// Guards against instances that refuse a part by their own evidence, because the placer keeps the
/// answers to itself.
#[test]
fn answers_are_reported_before_an_instance_refuses_a_part_by_its_own_evidence() {
    for crash_every_ms in [
        1_000,
        ANSWER_VALIDITY_MS - 1_000,
        ANSWER_VALIDITY_MS + 1_000,
    ] {
        report_crashes_of_an_answered_part(50, crash_every_ms);
    }
}

/// Guards against refusing work for ever, because the placer observes no crash itself.
#[test]
fn crashes_that_instances_reported_expire_at_the_placer() {
    let mut cell = confirmed_cell();
    let mut evidence = Quarantine::default();
    for server in ["one", "two"] {
        evidence.record_crash(&Crash::new(&server.into(), 1), [POISON], 1_000);
    }
    cell.merge_quarantine(&evidence);
    for (now_ms, expected) in [(CRASH_TTL_MS, 0), (CRASH_TTL_MS + 2_000, 1)] {
        cell.tick(now_ms);
        cell.take_actions();
        for server in SERVERS {
            let entry = backend(server, &["a1"]);
            cell.handle_report(&entry.id, Some(&report(&entry)), now_ms);
        }
        let mut request = placement_request(now_ms, "a1");
        request.request_hash = 77;
        cell.request_placement(request, now_ms);
        assert_eq!(granted(&cell.take_actions()).len(), expected, "{now_ms}");
    }
}

/// A cell that knows two crashes at which the requests 77, 78 and 79 ran, the later one at 1,000 ms.
fn cell_with_suspects() -> Cell {
    let mut table = Quarantine::default();
    for (number, unix_ms) in [(1, 500), (2, 1_000)] {
        let running = [77, 78, 79].map(Fingerprint::Request);
        table.record_crash(&Crash::new(&"one".into(), number), running, unix_ms);
    }
    let mut cell = confirmed_cell();
    cell.merge_quarantine(&table);
    cell
}

/// Asks for a trial of a request every 100 ms; returns the times of those permitted.
fn trials(cell: &mut Cell, request_hash: u64, until_ms: u64) -> Vec<u64> {
    let times = (1_000..until_ms).step_by(100);
    let work = Work::new(request_hash, None);
    times
        .filter(|now_ms| cell.try_start_trial(&work, *now_ms))
        .collect()
}

/// Guards against trials that crash one server after the other.
#[test]
fn request_that_crashes_servers_has_few_trials() {
    assert_eq!(
        trials(&mut cell_with_suspects(), 77, 60_000),
        [4_000, 40_000]
    );
    assert_eq!(trials(&mut cell_with_suspects(), 77, 3_600_000).len(), 3);
}

/// Guards against a new placer that tries a request again which failed a trial of its predecessor.
#[test]
fn crash_of_a_trial_delays_the_trials_of_the_next_placer() {
    let mut cell = cell_with_suspects();
    let mut table = Quarantine::default();
    table.record_crash(&Crash::new(&"two".into(), 1), [POISON], 4_100);
    cell.merge_quarantine(&table);
    assert_eq!(trials(&mut cell, 77, 60_000), [40_100]);
}

/// Guards against a trial of a sound request on a server that the trial of another one crashes.
#[test]
fn requests_are_tried_one_after_the_other() {
    let mut cell = cell_with_suspects();
    let [poison, sound] = [77, 78].map(|hash| Work::new(hash, None));
    assert!(cell.try_start_trial(&poison, 4_000));
    assert!(!cell.try_start_trial(&sound, 10_900));
    assert!(cell.try_start_trial(&sound, 11_000));
}

/// Guards against waiting for the end of a trial that was answered.
#[test]
fn trial_follows_at_once_on_one_that_was_answered() {
    let mut cell = cell_with_suspects();
    let [poison, sound] = [77, 78].map(|hash| Work::new(hash, None));
    assert!(cell.try_start_trial(&sound, 4_000));
    let mut table = Quarantine::default();
    table.record_crash(&Crash::new(&"one".into(), 1), [sound.request()], 500);
    table.record_answer(sound.request(), 4_050);
    cell.merge_quarantine(&table);
    assert!(!cell.try_start_trial(&sound, 4_100));
    assert!(cell.try_start_trial(&poison, 4_100));
}
