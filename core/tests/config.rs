//! The configuration in force never reverts, whatever order entries arrive in.

use arbtest::arbitrary::{Result, Unstructured};
use mimosabay_core::config::{Accepted, ConfigTable, ObjectKey};
use mimosabay_core::resource::{Kind, Organisation, Spec};

const NAMES: [&str; 3] = ["clinics", "markets", "schools"];

fn entry(name: &str, revision: u64, deleted: bool) -> Accepted {
    let spec = Organisation {
        rate_tokens_per_s: revision,
        burst_tokens: 1,
        weight: 1,
    };
    Accepted {
        key: ObjectKey {
            kind: Kind::Organisation,
            name: name.into(),
        },
        revision,
        spec: (!deleted).then_some(Spec::Organisation(spec)),
    }
}

fn history(u: &mut Unstructured<'_>) -> Result<Vec<Accepted>> {
    let length = u.int_in_range(1..=20)?;
    (1..=length)
        .map(|revision| Ok(entry(u.choose(&NAMES)?, revision, u.ratio(1, 4)?)))
        .collect()
}

fn rate(table: &ConfigTable, name: &str) -> Option<u64> {
    table.organisation(name).map(|spec| spec.rate_tokens_per_s)
}

fn newest(history: &[Accepted], name: &str) -> Option<u64> {
    let newest = history
        .iter()
        .rev()
        .find(|entry| &*entry.key.name == name)?;
    newest.spec.as_ref().map(|_| newest.revision)
}

#[test]
fn any_order_with_repeats_ends_alike() {
    arbtest::arbtest(|u| {
        let history = history(u)?;
        let mut table = ConfigTable::default();
        let mut arrivals = history.clone();
        for _ in 0..u.int_in_range(0..=10)? {
            arrivals.push(u.choose(&history)?.clone());
        }
        while !arrivals.is_empty() {
            let next = u.choose_index(arrivals.len())?;
            table.apply(arrivals.swap_remove(next));
        }
        for name in NAMES {
            assert_eq!(rate(&table, name), newest(&history, name));
        }
        Ok(())
    });
}

#[test]
fn a_revision_in_force_never_falls() {
    arbtest::arbtest(|u| {
        let history = history(u)?;
        let mut table = ConfigTable::default();
        for _ in 0..30 {
            let name = *u.choose(&NAMES)?;
            let before = table
                .entry(Kind::Organisation, name)
                .map(|entry| entry.revision);
            table.apply(u.choose(&history)?.clone());
            let after = table
                .entry(Kind::Organisation, name)
                .map(|entry| entry.revision);
            assert!(after >= before);
        }
        Ok(())
    });
}

#[test]
fn pulls_in_pieces_bring_everything() {
    arbtest::arbtest(|u| {
        let history = history(u)?;
        let mut source = ConfigTable::default();
        let mut target = ConfigTable::default();
        for entry in &history {
            source.apply(entry.clone());
        }
        let limit = u.int_in_range(1..=3)?;
        while target.revision() < source.revision() {
            let pulled = source.newer_than(target.revision(), limit);
            assert!(!pulled.is_empty());
            for entry in pulled {
                target.apply(entry);
            }
        }
        for name in NAMES {
            assert_eq!(rate(&target, name), rate(&source, name));
        }
        Ok(())
    });
}

#[test]
fn a_deleted_resource_does_not_come_back() {
    let mut table = ConfigTable::default();
    table.apply(entry("clinics", 2, true));
    assert!(!table.apply(entry("clinics", 1, false)));
    assert_eq!(rate(&table, "clinics"), None);
}
