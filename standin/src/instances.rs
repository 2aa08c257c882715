//! The platform's list of instances, which lags behind the actual state.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosabay_core::name::Name;
use mimosabay_platform::{Instance, InstanceList};

/// The registered instances and the list that the platform reports.
#[derive(Debug, Default)]
pub(crate) struct Instances {
    registered: BTreeMap<Name, Instance>,
    listed: BTreeMap<Name, Instance>,
    /// Changes not yet applied to the list, oldest first.
    pending: Vec<PendingChange>,
}

#[derive(Debug)]
struct PendingChange {
    due: Instant,
    name: Name,
    /// `None` removes the instance from the list.
    instance: Option<Instance>,
}

impl Instances {
    /// Registers or updates an instance; the list changes after `lag_ms`.
    pub(crate) fn put(&mut self, instance: Instance, lag_ms: u64) {
        let name = instance.name.clone();
        self.registered.insert(name.clone(), instance.clone());
        self.schedule_change(name, Some(instance), lag_ms);
    }

    /// Removes an instance; the list changes after `lag_ms`.
    pub(crate) fn delete(&mut self, name: &str, lag_ms: u64) {
        self.registered.remove(name);
        self.schedule_change(name.into(), None, lag_ms);
    }

    /// Returns the registered instances, for probing.
    pub(crate) fn registered(&self) -> Vec<Instance> {
        self.registered.values().cloned().collect()
    }

    /// Records whether a registered instance answered its probe; the list changes after `lag_ms`.
    pub(crate) fn record_probe(&mut self, name: &str, is_healthy: bool, lag_ms: u64) {
        let Some(instance) = self.registered.get(name) else {
            return;
        };
        let listed = is_healthy.then(|| instance.clone());
        let name: Name = name.into();
        if self.latest_scheduled(&name) != listed.as_ref() {
            self.schedule_change(name, listed, lag_ms);
        }
    }

    /// Returns the current list, after applying the changes that are due.
    pub(crate) fn list(&mut self) -> InstanceList {
        self.apply_due(Instant::now());
        InstanceList {
            instances: self.listed.values().cloned().collect(),
        }
    }

    fn latest_scheduled(&self, name: &Name) -> Option<&Instance> {
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

    fn schedule_change(&mut self, name: Name, instance: Option<Instance>, lag_ms: u64) {
        self.pending.push(PendingChange {
            due: Instant::now() + Duration::from_millis(lag_ms),
            name,
            instance,
        });
    }

    fn apply_due(&mut self, now: Instant) {
        let (due, pending) = self
            .pending
            .drain(..)
            .partition(|change: &PendingChange| change.due <= now);
        self.pending = pending;
        for PendingChange { name, instance, .. } in due {
            match instance {
                Some(instance) => self.listed.insert(name, instance),
                None => self.listed.remove(&name),
            };
        }
    }
}
