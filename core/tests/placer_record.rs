//! Fencing numbers of placers, while the store comes back from older copies.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use mimosabay_core::placer_record::{PlacerRecord, PlacerView, Reading, StoredRecord};

/// Number of instances.
const INSTANCES: usize = 3;
/// Number of steps of one history.
const STEPS: usize = 40;
/// Largest number of other changes of the store in one step.
const MAX_OTHER_CHANGES: u64 = 30;

/// The part of a store that holds the record.
#[derive(Clone, Debug)]
struct Store {
    era: u64,
    revision: u64,
    /// Revision and content of the record; no content if another writer has replaced it.
    record: Option<(u64, Option<PlacerRecord>)>,
}

/// An instance that takes part in the election.
#[derive(Clone, Debug, Default)]
struct Instance {
    /// Incarnation number of its process.
    incarnation: u64,
    view: PlacerView,
    /// Era of the store that it knows; `None` before its first call.
    era: Option<u64>,
}

/// A history of claims, readings, restarts and returns from older copies.
struct History {
    store: Store,
    copies: Vec<Store>,
    instances: Vec<Instance>,
    next_incarnation: u64,
    /// Fencing numbers in the order in which placers began to use them.
    used: Vec<u64>,
}

impl Instance {
    fn start(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    fn read(&mut self, store: &Store) -> Reading {
        self.era = Some(store.era);
        match &store.record {
            Some((revision, Some(record))) => {
                self.view.observe_record(record, *revision, self.era, 0)
            }
            Some((revision, None)) => {
                self.view.observe_unreadable(*revision);
                Reading::Lost
            }
            None => self.view.observe_absence(self.era),
        }
    }
}

impl Store {
    /// Writes the record. A write that changes nothing is no change.
    fn write(&mut self, record: PlacerRecord) {
        let stored = self.record.as_ref();
        let is_change = stored.is_none_or(|(_, stored)| stored.as_ref() != Some(&record));
        if is_change {
            self.revision += 1;
            self.record = Some((self.revision, Some(record)));
        }
    }
}

impl History {
    fn new() -> Self {
        let store = Store {
            era: 1,
            revision: 1,
            record: None,
        };
        Self {
            copies: vec![store.clone()],
            store,
            instances: (1..).take(INSTANCES).map(Instance::start).collect(),
            next_incarnation: 1 + INSTANCES as u64,
            used: Vec::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.choose_index(INSTANCES)?;
        match u.int_in_range(0..=7)? {
            0 | 1 => drop(self.instances[index].read(&self.store)),
            2 | 3 => self.claim(index),
            4 => self.restart(index, u)?,
            5 => self.copies.push(self.store.clone()),
            6 => self.replace_by_unreadable(),
            _ => self.come_back(u)?,
        }
        self.store.revision += u.int_in_range(0..=MAX_OTHER_CHANGES)?;
        Ok(())
    }

    /// Starts an instance again. Before that it may remove the record, if it is its own.
    fn restart(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let resigns = u.arbitrary()?;
        let started = Instance::start(self.next_incarnation);
        self.next_incarnation += 1;
        let instance = std::mem::replace(&mut self.instances[index], started);
        let stored = self.store.record.as_ref();
        let stored = stored.and_then(|(_, record)| record.as_ref());
        let known = instance.view.record.as_ref().map(|(_, record)| record);
        if resigns && stored.is_some() && stored == known {
            self.store.revision += 1;
            self.store.record = None;
        }
        Ok(())
    }

    fn replace_by_unreadable(&mut self) {
        self.store.revision += 1;
        self.store.record = Some((self.store.revision, None));
    }

    fn come_back(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let era = self.store.era + 1;
        self.store = u.choose(&self.copies)?.clone();
        self.store.era = era;
        Ok(())
    }

    /// Writes the record if the condition of the write holds. The writer uses the number of the record
    /// that the answer brings.
    fn claim(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let Some(era) = instance.era else {
            return;
        };
        let present = self.store.record.as_ref().map(|(revision, _)| *revision);
        let holds = match instance.view.stored {
            StoredRecord::Unread => false,
            StoredRecord::Absent => present.is_none(),
            StoredRecord::Present { revision, .. } | StoredRecord::Unreadable { revision } => {
                present == Some(revision)
            }
        };
        // The condition can only be relied on in the era in which the record was read.
        if !holds || era != self.store.era {
            return;
        }
        let record = PlacerRecord {
            address: format!("10.0.0.{index}:1"),
            instance: format!("instance-{index}").into(),
            incarnation: instance.incarnation,
            fencing_offset: instance.view.next_offset(era, false),
            store_era: Some(era),
            replaced_revision: instance.view.stored.revision().unwrap_or(0),
        };
        self.store.write(record);
        let reading = instance.read(&self.store);
        assert_eq!(reading, Reading::Newer, "its own record");
        self.used.push(instance.view.largest_number);
    }
}

#[test]
fn fencing_numbers_grow_although_the_store_forgets_them() {
    arbtest(|u| {
        let mut history = History::new();
        for _ in 0..STEPS {
            history.step(u)?;
        }
        for pair in history.used.windows(2) {
            assert!(pair[0] < pair[1], "{:?}", history.used);
        }
        Ok(())
    })
    .budget_ms(2_000);
}

#[test]
fn fencing_number_is_the_revision_without_an_older_copy() {
    let mut history = History::new();
    for index in [0, 1, 2, 0] {
        history.instances[index].read(&history.store);
        history.claim(index);
        history.store.revision += 7;
    }
    assert_eq!(history.used, [2, 10, 18, 26]);
}

#[test]
fn record_that_cannot_be_read_is_replaced_as_if_its_placer_were_silent() {
    let mut history = History::new();
    history.instances[0].read(&history.store);
    history.claim(0);
    history.replace_by_unreadable();
    history.instances[1].read(&history.store);
    let view = &history.instances[1].view;
    assert!(view.is_read() && !view.is_record_stored() && view.may_have_lost_record(1));
    history.claim(1);
    assert_eq!(history.used, [2, 4]);
}

#[test]
fn resignation_is_told_from_a_record_that_the_copy_lacks() {
    let mut history = History::new();
    history.instances[0].read(&history.store);
    history.claim(0);
    let without_record = history.copies[0].clone();
    let mut resigned = history.instances[0].clone();
    history.store.record = None;
    assert_eq!(resigned.read(&history.store), Reading::Removed);
    let later = Store {
        era: 2,
        ..without_record
    };
    assert_eq!(history.instances[0].read(&later), Reading::Lost);
}

/// Guards against an instance without a placer: an answer that comes late takes the record for removed, and the
/// record that is read next has no larger number.
#[test]
fn record_that_was_taken_for_removed_is_followed_again() {
    let mut view = view_of_a_placer();
    let (_, record) = view.record.clone().expect("a record");
    assert_eq!(view.observe_absence(None), Reading::Removed);
    assert_eq!(view.observe_record(&record, 7, None, 2_000), Reading::Newer);
    assert_eq!(view.number(), Some(7));
}

/// Guards against following a placer again that another one has replaced.
#[test]
fn record_before_one_that_was_removed_is_not_followed_again() {
    let mut view = view_of_a_placer();
    let (_, record) = view.record.clone().expect("a record");
    assert_eq!(view.observe_record(&record, 9, None, 2_000), Reading::Newer);
    view.forget();
    assert_eq!(view.observe_record(&record, 7, None, 3_000), Reading::Lost);
    assert_eq!(view.number(), None);
}

/// Guards against a record that a later one equals, which the store would not take for a change.
#[test]
fn records_that_follow_each_other_differ() {
    let mut history = History::new();
    history.instances[0].read(&history.store);
    history.claim(0);
    history.claim(0);
    history.claim(0);
    assert_eq!(history.used, [2, 3, 4]);
}

/// View of a placer with number 7, which was last seen at 1 s.
fn view_of_a_placer() -> PlacerView {
    let record = PlacerRecord {
        address: "10.0.0.1:7600".to_owned(),
        instance: "instance-1".into(),
        incarnation: 1,
        fencing_offset: 0,
        store_era: None,
        replaced_revision: 0,
    };
    let mut view = PlacerView::default();
    assert_eq!(view.observe_record(&record, 7, None, 1_000), Reading::Newer);
    view
}

#[test]
fn refusal_at_an_earlier_placer_does_not_count_against_its_successor() {
    let mut view = view_of_a_placer();
    assert_eq!(view.record_failure(Some(6), true, 1_100), None);
    assert_eq!(view.refused_since_ms, None);
}

#[test]
fn reply_of_an_earlier_placer_does_not_count_for_its_successor() {
    let mut view = view_of_a_placer();
    view.record_failure(Some(7), true, 1_100);
    assert!(!view.record_reply(Some(6), 1_200));
    assert_eq!(
        (view.last_seen_ms, view.refused_since_ms),
        (1_000, Some(1_100))
    );
}

#[test]
fn reply_ends_a_refusal() {
    let mut view = view_of_a_placer();
    let failed = view.record_failure(Some(7), true, 1_100);
    assert!(failed.is_some_and(|it| it.is_first_refusal && it.silent_ms == 100));
    assert!(view.record_reply(Some(7), 1_200));
    assert_eq!((view.last_seen_ms, view.refused_since_ms), (1_200, None));
}

/// Lease of the site, in milliseconds.
const LEASE_MS: u64 = 3_000;

#[test]
fn callers_return_once_a_successor_of_a_silent_placer_can_have_adapters_loaded() {
    let view = view_of_a_placer();
    assert_eq!(view.retry_after_ms(LEASE_MS, 1_600), 2_000);
    assert_eq!(view.retry_after_ms(LEASE_MS, 3_000), 1_500);
    assert_eq!(view.retry_after_ms(LEASE_MS, 9_000), 500);
}

#[test]
fn callers_return_soon_if_the_process_of_the_placer_has_ended() {
    let mut view = view_of_a_placer();
    view.record_failure(Some(7), true, 1_100);
    assert_eq!(view.retry_after_ms(LEASE_MS, 1_600), 500);
    view.forget();
    assert_eq!(view.retry_after_ms(LEASE_MS, 1_600), 500);
}
