//! Work that crashes backend servers is refused after its second crash.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::quarantine::{
    CRASH_TTL_MS, Crash, Fingerprint, MAX_FINGERPRINTS, Quarantine, Standing,
};

const POISON: Fingerprint = 1;
const NEIGHBOUR: Fingerprint = 2;
const HISTORY_BYTES: u64 = 600;
const HISTORIES: u64 = 500;

fn crash(number: u64) -> Crash {
    Crash {
        server: format!("engine-{}", number % 3).into(),
        boot: number,
    }
}

#[test]
fn second_crash_puts_work_under_quarantine() {
    let mut table = Quarantine::default();
    table.crashed(&crash(1), [POISON, NEIGHBOUR], 0);
    assert_eq!(table.standing(POISON), Standing::Suspect);
    assert!(!table.may_join(POISON, [NEIGHBOUR]));
    assert!(table.finished(NEIGHBOUR));
    table.crashed(&crash(2), [POISON, 3], 0);
    assert_eq!(table.standing(POISON), Standing::Quarantined);
    assert_eq!(table.standing(NEIGHBOUR), Standing::Clear);
    assert_eq!(table.quarantined().collect::<Vec<_>>(), [POISON]);
    assert!(!table.may_join(POISON, []));
}

#[test]
fn crash_that_two_instances_saw_counts_once() {
    let mut table = Quarantine::default();
    table.crashed(&crash(1), [POISON], 5);
    table.crashed(&crash(1), [POISON], 9);
    assert_eq!(table.standing(POISON), Standing::Suspect);
}

#[test]
fn cleared_crash_does_not_come_back_by_a_late_message() {
    let mut table = Quarantine::default();
    table.crashed(&crash(1), [NEIGHBOUR], 0);
    let late = table.clone();
    table.finished(NEIGHBOUR);
    assert!(!table.merge(&late));
    assert_eq!(table.standing(NEIGHBOUR), Standing::Clear);
}

#[test]
fn quarantine_ends_after_its_time() {
    let mut table = Quarantine::default();
    table.crashed(&crash(1), [POISON], 0);
    table.crashed(&crash(2), [POISON], 10);
    table.expire(CRASH_TTL_MS);
    assert_eq!(table.standing(POISON), Standing::Quarantined);
    table.expire(CRASH_TTL_MS + 1);
    assert_eq!(table.standing(POISON), Standing::Suspect);
    table.expire(CRASH_TTL_MS + 11);
    assert!(table.is_empty());
}

#[test]
fn table_stays_bounded_and_keeps_what_is_refused() {
    let mut table = Quarantine::default();
    table.crashed(&crash(1), [POISON], 0);
    table.crashed(&crash(2), [POISON], 0);
    table.crashed(&crash(3), 10..10 + MAX_FINGERPRINTS as u64, 1);
    assert_eq!(table.standing(POISON), Standing::Quarantined);
}

/// Instances see crashes, exchange tables in any order, repeat messages and are replaced.
#[test]
fn tables_agree_and_poison_stops_after_two_crashes() {
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
    while !u.is_empty() {
        let instance = u.choose_index(INSTANCES)?;
        match u.int_in_range(0..=5)? {
            0 if tables[instance].standing(POISON) != Standing::Quarantined => {
                crashes += 1;
                let neighbour = u.int_in_range(2..=9)?;
                let joins = tables[instance].may_join(neighbour, [POISON]);
                let running = [Some(POISON), joins.then_some(neighbour)];
                let running = running.into_iter().flatten();
                tables[instance].crashed(&crash(crashes), running, crashes);
                // The table is passed on before the caller hears of the failure.
                store.merge(&tables[instance]);
                messages.push(tables[instance].clone());
            }
            1 => {
                let neighbour = u.int_in_range(2..=9)?;
                tables[instance].finished(neighbour);
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
    let expected = match crashes {
        0 => Standing::Clear,
        1 => Standing::Suspect,
        _ => Standing::Quarantined,
    };
    assert_eq!(store.standing(POISON), expected);
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
