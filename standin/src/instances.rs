//! The platform's list of instances, which lags behind what happens.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosabay_core::name::Name;
use mimosabay_platform::{Instance, InstanceList};

/// Instances as they are and as the list shows them.
#[derive(Debug, Default)]
pub(crate) struct Instances {
    registered: BTreeMap<Name, Instance>,
    listed: BTreeMap<Name, Instance>,
    /// Changes that the list does not show yet, oldest first.
    pending: Vec<Change>,
}

#[derive(Debug)]
struct Change {
    due: Instant,
    name: Name,
    /// `None` takes the instance off the list.
    instance: Option<Instance>,
}

impl Instances {
    /// Registers an instance or changes it; the list shows it after `lag_ms`.
    pub(crate) fn put(&mut self, instance: Instance, lag_ms: u64) {
        let name = instance.name.clone();
        self.registered.insert(name.clone(), instance.clone());
        self.show_later(name, Some(instance), lag_ms);
    }

    /// Removes an instance; the list shows it until `lag_ms` have passed.
    pub(crate) fn delete(&mut self, name: &str, lag_ms: u64) {
        self.registered.remove(name);
        self.show_later(name.into(), None, lag_ms);
    }

    /// Registered instances, for probing.
    pub(crate) fn registered(&self) -> Vec<Instance> {
        self.registered.values().cloned().collect()
    }

    /// Takes in whether a registered instance answered its probe.
    pub(crate) fn take_probe(&mut self, name: &str, healthy: bool, lag_ms: u64) {
        let Some(instance) = self.registered.get(name) else {
            return;
        };
        let shown = healthy.then(|| instance.clone());
        let name: Name = name.into();
        if self.last_shown(&name) != shown.as_ref() {
            self.show_later(name, shown, lag_ms);
        }
    }

    /// The list as the platform shows it now.
    pub(crate) fn list(&mut self) -> InstanceList {
        self.apply_due(Instant::now());
        InstanceList {
            instances: self.listed.values().cloned().collect(),
        }
    }

    fn last_shown(&self, name: &Name) -> Option<&Instance> {
        let pending = self
            .pending
            .iter()
            .rev()
            .find(|change| change.name == *name);
        match pending {
            Some(change) => change.instance.as_ref(),
            None => self.listed.get(name),
        }
    }

    fn show_later(&mut self, name: Name, instance: Option<Instance>, lag_ms: u64) {
        self.pending.push(Change {
            due: Instant::now() + Duration::from_millis(lag_ms),
            name,
            instance,
        });
    }

    fn apply_due(&mut self, now: Instant) {
        let (due, pending) = self
            .pending
            .drain(..)
            .partition(|change: &Change| change.due <= now);
        self.pending = pending;
        for Change { name, instance, .. } in due {
            match instance {
                Some(instance) => self.listed.insert(name, instance),
                None => self.listed.remove(&name),
            };
        }
    }
}
