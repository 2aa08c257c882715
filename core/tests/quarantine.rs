//! Quarantine of work that crashes backend servers.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::prompt::{Prompt, PromptPart};
use mimosabay_core::quarantine::{
    ANSWER_VALIDITY_MS, CRASH_TTL_MS, Crash, MAX_FINGERPRINTS, Quarantine, QuarantineStatus,
};
use mimosabay_core::work::{Fingerprint, Work};

const POISON: Fingerprint = Fingerprint::Request(1);
const NEIGHBOUR: Fingerprint = Fingerprint::Request(2);
const PART: Fingerprint = Fingerprint::PromptPart(1);
const HISTORY_BYTES: u64 = 600;
const HISTORIES: u64 = 500;

fn crash(number: u64) -> Crash {
    Crash {
        server: format!("engine-{}", number % 3).into(),
        boot: number,
    }
}

/// The work of a request with these shared parts.
fn work(request_hash: u64, shared_parts: &[u64]) -> Work {
    let ids = shared_parts.iter().copied().chain([request_hash]);
    let prompt = Prompt {
        model: "base".into(),
        adapter: None,
        prompt_tokens: 100,
        answer_tokens: 10,
        parts: ids.map(|id| PromptPart { id, tokens: 10 }).collect(),
    };
    Work::new(request_hash, Some(&prompt))
}

#[test]
fn second_crash_puts_work_under_quarantine() {
    let mut table = Quarantine::default();
    table.record_crash(&crash(1), [POISON, NEIGHBOUR], 0);
    assert_eq!(table.status(POISON), QuarantineStatus::Suspect);
    assert!(!table.may_run_beside(POISON, [NEIGHBOUR]));
    assert!(table.record_answer(NEIGHBOUR, 1));
    table.record_crash(&crash(2), [POISON, Fingerprint::Request(3)], 0);
    assert_eq!(table.status(POISON), QuarantineStatus::Quarantined);
    assert_eq!(table.status(NEIGHBOUR), QuarantineStatus::Clear);
    assert_eq!(table.quarantined().collect::<Vec<_>>(), [POISON]);
    assert!(!table.may_run_beside(POISON, []));
}

#[test]
fn crash_observed_by_two_instances_counts_once() {
    let mut table = Quarantine::default();
    table.record_crash(&crash(1), [POISON], 5);
    table.record_crash(&crash(1), [POISON], 9);
    assert_eq!(table.status(POISON), QuarantineStatus::Suspect);
}

#[test]
fn late_message_does_not_restore_a_cleared_crash() {
    let mut table = Quarantine::default();
    table.record_crash(&crash(1), [NEIGHBOUR], 0);
    let late = table.clone();
    table.record_answer(NEIGHBOUR, 1);
    assert!(!table.merge(&late).is_changed);
    assert_eq!(table.status(NEIGHBOUR), QuarantineStatus::Clear);
}

/// Guards against refusing work that only ran beside others at two crashes and is answered since.
#[test]
fn answer_ends_the_quarantine_of_work_that_does_not_crash_servers() {
    let mut table = Quarantine::default();
    table.record_crash(&crash(1), [NEIGHBOUR], 5);
    table.record_crash(&crash(2), [NEIGHBOUR], 6);
    assert_eq!(table.status(NEIGHBOUR), QuarantineStatus::Quarantined);
    table.record_answer(NEIGHBOUR, 7);
    assert_eq!(table.status(NEIGHBOUR), QuarantineStatus::Clear);
    table.record_crash(&crash(3), [NEIGHBOUR], 6);
    assert_eq!(table.status(NEIGHBOUR), QuarantineStatus::Clear);
    table.record_crash(&crash(4), [NEIGHBOUR], 7 + ANSWER_VALIDITY_MS);
    assert_eq!(table.status(NEIGHBOUR), QuarantineStatus::Clear);
    table.record_crash(&crash(5), [NEIGHBOUR], 8 + ANSWER_VALIDITY_MS);
    assert_eq!(table.status(NEIGHBOUR), QuarantineStatus::Suspect);
}

/// Guards against evidence that is kept against whole requests alone, of which no two are alike.
#[test]
fn third_crash_under_requests_with_one_part_puts_the_part_under_quarantine() {
    let mut table = Quarantine::default();
    for number in 1..=3 {
        assert_eq!(table.refused_by(&work(100, &[1, 2])), None);
        let running = work(number, &[1, 10 + number]);
        table.record_crash(&crash(number), running.fingerprints(), number);
    }
    assert_eq!(table.refused_by(&work(100, &[2, 1])), Some(PART));
    assert_eq!(table.refused_by(&work(100, &[2, 11])), None);
}

/// Guards against refusing the sound requests that share a part with those that crash servers.
#[test]
fn part_that_is_answered_between_crashes_stays_clear() {
    let mut table = Quarantine::default();
    for number in 1..=100 {
        table.record_crash(&crash(number), [PART], 10 * number);
        if number % 4 == 1 {
            table.record_answer(PART, 10 * number + 1);
        }
        assert_eq!(table.status(PART), QuarantineStatus::Clear);
    }
}

/// Guards against refusing a part that was never answered, because it is in all requests with the one
/// that crashes servers.
#[test]
fn part_that_only_ran_beside_the_one_that_crashes_servers_is_refused_with_it_alone() {
    let mut table = Quarantine::default();
    for number in 1..=3 {
        table.record_crash(&crash(number), work(number, &[1, 2]).fingerprints(), number);
    }
    assert_eq!(table.refused_by(&work(100, &[1, 2])), Some(PART));
    assert_eq!(table.refused_by(&work(100, &[1, 3])), None);
    table.record_answer(PART, 3);
    let other_part = Fingerprint::PromptPart(2);
    assert_eq!(table.refused_by(&work(100, &[1, 2])), Some(other_part));
    assert_eq!(table.refused_by(&work(100, &[3, 2])), Some(other_part));
}

/// Guards against refusing all requests of a route, because one request with its part crashes servers.
#[test]
fn part_that_only_ran_with_the_request_that_crashes_servers_is_served_without_it() {
    let mut table = Quarantine::default();
    for number in 1..=10 {
        table.record_crash(&crash(number), work(1, &[1]).fingerprints(), number);
    }
    assert_eq!(table.refused_by(&work(1, &[1])), Some(POISON));
    assert_eq!(table.refused_by(&work(100, &[1])), None);
}

/// Guards against excusing a part that crashes servers, because one request with it was sent again.
#[test]
fn part_is_refused_though_a_request_with_it_crashed_several_servers() {
    let mut table = Quarantine::default();
    for number in 1..=2 {
        table.record_crash(&crash(number), work(1, &[1]).fingerprints(), number);
    }
    for number in 3..=4 {
        assert_eq!(table.refused_by(&work(100, &[1])), None);
        table.record_crash(&crash(number), work(number, &[1]).fingerprints(), number);
    }
    assert_eq!(table.refused_by(&work(100, &[1])), Some(PART));
}

/// Guards against excusing a part for ever, because other parts ran at its crashes.
#[test]
fn part_that_goes_on_crashing_servers_is_refused_whatever_ran_beside_it() {
    let mut table = Quarantine::default();
    let mut crashes = 0;
    for beside in 2..=4 {
        for _ in 0..3 {
            if table.refused_by(&work(100, &[1, beside])).is_some() {
                break;
            }
            crashes += 1;
            let running = work(crashes, &[1, beside]);
            table.record_crash(&crash(crashes), running.fingerprints(), crashes);
        }
    }
    assert_eq!(crashes, 5);
    assert_eq!(table.refused_by(&work(100, &[1, 9])), Some(PART));
}

/// Guards against taking the answers of earlier requests for proof that a part never crashes servers.
#[test]
fn fifth_crash_after_the_latest_answer_puts_a_part_under_quarantine() {
    let mut table = Quarantine::default();
    table.record_crash(&crash(1), [PART, POISON], 5);
    table.record_answer(PART, 10);
    table.record_answer(POISON, 10);
    for number in 2..=5 {
        table.record_crash(&crash(number), [PART, POISON], 10 * number);
        assert_eq!(table.status(PART), QuarantineStatus::Clear);
    }
    table.record_crash(&crash(6), [PART, POISON], 60);
    assert_eq!(table.status(PART), QuarantineStatus::Quarantined);
    assert_eq!(table.status(POISON), QuarantineStatus::Quarantined);
    table.record_answer(PART, 60);
    assert_eq!(table.status(PART), QuarantineStatus::Clear);
}

#[test]
fn quarantine_ends_when_its_crashes_expire() {
    let mut table = Quarantine::default();
    table.record_crash(&crash(1), [POISON], 0);
    table.record_crash(&crash(2), [POISON], 10);
    table.expire(CRASH_TTL_MS);
    assert_eq!(table.status(POISON), QuarantineStatus::Quarantined);
    table.expire(CRASH_TTL_MS + 1);
    assert_eq!(table.status(POISON), QuarantineStatus::Suspect);
    table.expire(CRASH_TTL_MS + 11);
    assert!(table.is_empty());
}

#[test]
fn eviction_keeps_quarantined_work() {
    let mut table = Quarantine::default();
    table.record_crash(&crash(1), [POISON], 0);
    table.record_crash(&crash(2), [POISON], 0);
    let others = (10..10 + MAX_FINGERPRINTS as u64).map(Fingerprint::Request);
    table.record_crash(&crash(3), others, 1);
    assert_eq!(table.status(POISON), QuarantineStatus::Quarantined);
}

/// Guards against a bound that lets requests, of which no two are alike, push out a shared part.
#[test]
fn eviction_keeps_the_part_under_quarantine() {
    let mut table = Quarantine::default();
    for number in 1..=3 {
        table.record_crash(&crash(number), [PART], 0);
    }
    let others = (10..10 + MAX_FINGERPRINTS as u64).map(Fingerprint::Request);
    table.record_crash(&crash(4), others, 1);
    assert_eq!(table.status(PART), QuarantineStatus::Quarantined);
}

/// Instances observe crashes, exchange tables in any order, repeat messages and are replaced.
#[test]
fn tables_converge_and_poison_is_refused_after_two_crashes() {
    for history in 0..HISTORIES {
        arbtest(check_history).seed(history << 32 | HISTORY_BYTES);
    }
}

fn check_history(u: &mut Unstructured) -> Result<()> {
    const INSTANCES: usize = 3;
    let mut tables = vec![Quarantine::default(); INSTANCES];
    let mut store = Quarantine::default();
    let mut messages: Vec<Quarantine> = Vec::new();
    let mut crashes = 0;
    let mut poison_crashes = 0;
    while !u.is_empty() {
        let instance = u.choose_index(INSTANCES)?;
        match u.int_in_range(0..=6)? {
            0 if tables[instance].refused_by(&work(1, &[1])).is_none() => {
                crashes += 1;
                poison_crashes += 1;
                let neighbour = Fingerprint::Request(u.int_in_range(2..=9)?);
                let may_run = tables[instance].may_run_beside(neighbour, [POISON]);
                let running = [Some(POISON), may_run.then_some(neighbour)];
                let shared = [PART, Fingerprint::PromptPart(u.int_in_range(2..=4)?)];
                let running = running.into_iter().flatten().chain(shared);
                tables[instance].record_crash(&crash(crashes), running, crashes);
                // The table is stored and sent before the caller receives the failure.
                store.merge(&tables[instance]);
                messages.push(tables[instance].clone());
            }
            // No two of these requests are alike.
            6 if tables[instance].refused_by(&work(2, &[1])).is_none() => {
                crashes += 1;
                let shared = [PART, Fingerprint::PromptPart(u.int_in_range(2..=4)?)];
                tables[instance].record_crash(&crash(crashes), shared, crashes);
                store.merge(&tables[instance]);
                messages.push(tables[instance].clone());
            }
            1 => {
                let neighbour = Fingerprint::Request(u.int_in_range(2..=9)?);
                let sound_part = Fingerprint::PromptPart(u.int_in_range(2..=4)?);
                tables[instance].record_answer(neighbour, crashes);
                tables[instance].record_answer(sound_part, crashes);
                store.merge(&tables[instance]);
            }
            2 if !messages.is_empty() => {
                let message = u.choose_index(messages.len())?;
                tables[instance].merge(&messages[message].clone());
            }
            3 => {
                tables[instance].merge(&store);
            }
            4 => tables[instance] = store.clone(),
            _ => messages.push(tables[instance].clone()),
        }
    }
    for message in messages.iter().rev() {
        store.merge(message);
    }
    let expected = match poison_crashes {
        0 => QuarantineStatus::Clear,
        1 => QuarantineStatus::Suspect,
        _ => QuarantineStatus::Quarantined,
    };
    assert_eq!(store.status(POISON), expected);
    let expected = match crashes {
        0 => QuarantineStatus::Clear,
        1..3 => QuarantineStatus::Suspect,
        _ => QuarantineStatus::Quarantined,
    };
    assert_eq!(store.status(PART), expected);
    for table in &mut tables {
        table.merge(&store);
        store.merge(table);
    }
    for table in &mut tables {
        table.merge(&store);
        assert_eq!(*table, store);
    }
    Ok(())
}

/// Guards against an answer that excuses a request, however many servers it crashes afterwards.
#[test]
fn request_that_was_answered_before_is_refused_after_its_third_crash() {
    let mut table = Quarantine::default();
    table.record_crash(&crash(1), [POISON], 10);
    table.record_answer(POISON, 20);
    for number in 2..=3 {
        table.record_crash(&crash(number), [POISON], 20 + number);
        assert_eq!(table.status(POISON), QuarantineStatus::Clear);
    }
    table.record_crash(&crash(4), [POISON], 24);
    assert_eq!(table.status(POISON), QuarantineStatus::Quarantined);
}
