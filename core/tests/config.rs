//! The configuration in force never reverts, whatever the order in which entries arrive.

use arbtest::arbitrary::{Result, Unstructured};
use mimosabay_core::config::{ConfigEntry, ConfigTable, ObjectKey};
use mimosabay_core::resource::{Kind, Organisation, Spec};

const NAMES: [&str; 3] = ["clinics", "markets", "schools"];

fn entry(name: &str, revision: u64, deleted: bool) -> ConfigEntry {
    let spec = Organisation {
        rate_tokens_per_s: revision,
        burst_tokens: 1,
        weight: 1,
    };
    ConfigEntry {
        key: ObjectKey {
            kind: Kind::Organisation,
            name: name.into(),
        },
        revision,
        spec: (!deleted).then_some(Spec::Organisation(spec)),
    }
}

fn history(u: &mut Unstructured<'_>) -> Result<Vec<ConfigEntry>> {
    let length = u.int_in_range(1..=20)?;
    (1..=length)
        .map(|revision| Ok(entry(u.choose(&NAMES)?, revision, u.ratio(1, 4)?)))
        .collect()
}

fn rate(table: &ConfigTable, name: &str) -> Option<u64> {
    table.organisation(name).map(|spec| spec.rate_tokens_per_s)
}

fn newest(history: &[ConfigEntry], name: &str) -> Option<u64> {
    let newest = history
        .iter()
        .rev()
        .find(|entry| &*entry.key.name == name)?;
    newest.spec.as_ref().map(|_| newest.revision)
}

#[test]
fn any_order_with_duplicates_gives_the_same_table() {
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
fn revision_in_force_never_decreases() {
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
fn pulls_with_a_limit_transfer_all_entries() {
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
fn older_entry_does_not_restore_a_deleted_resource() {
    let mut table = ConfigTable::default();
    table.apply(entry("clinics", 2, true));
    assert!(!table.apply(entry("clinics", 1, false)));
    assert_eq!(rate(&table, "clinics"), None);
}

#[test]
fn digests_are_equal_exactly_if_entries_are() {
    arbtest::arbtest(|u| {
        let history = history(u)?;
        let missing = u.choose_index(history.len())?;
        let (mut complete, mut other) = (ConfigTable::default(), ConfigTable::default());
        for entry in &history {
            complete.apply(entry.clone());
        }
        for (index, entry) in history.iter().enumerate().rev() {
            if index != missing {
                other.apply(entry.clone());
            }
        }
        let is_replaced = history[missing + 1..]
            .iter()
            .any(|later| later.key == history[missing].key);
        assert_eq!(complete.digest() == other.digest(), is_replaced);
        other.apply(history[missing].clone());
        assert_eq!(complete.digest(), other.digest());
        Ok(())
    });
}
