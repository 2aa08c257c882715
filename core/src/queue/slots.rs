//! Adapters in a server's memory.
//!
//! A server has few slots, so iterating over all of them is cheap.

use std::collections::HashMap;

use super::settings::Eviction;
use crate::demand::Demand;
use crate::name::AdapterVersion;

/// State of an adapter in memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Residency {
    /// The server is loading the adapter.
    Loading {
        /// Monotonic time at which the load started, in milliseconds.
        since_ms: u64,
    },
    /// Requests can run on the adapter.
    Loaded,
    /// Running requests finish and no further ones start, so that the adapter can be evicted.
    Draining,
}

/// An adapter in memory.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) residency: Residency,
    /// Number of requests that run on the adapter. Invariant: an adapter with running requests is
    /// never evicted.
    pub(super) running: usize,
    /// Whether the adapter must not be evicted because another owner may still use it.
    is_pinned: bool,
    last_used_ms: u64,
    demand: Demand,
}

impl Slot {
    fn is_evictable(&self) -> bool {
        self.residency == Residency::Loaded && self.running == 0 && !self.is_pinned
    }
}

/// All adapters in memory.
#[derive(Debug)]
pub(super) struct Slots {
    capacity: usize,
    eviction: Eviction,
    half_life_ms: u64,
    /// Invariant: contains at most `capacity` adapters.
    by_model: HashMap<AdapterVersion, Slot>,
    /// Number of slots that are occupied by adapters of other owners.
    reserved: usize,
}

impl Slots {
    pub(super) fn new(capacity: usize, eviction: Eviction, half_life_ms: u64) -> Self {
        Self {
            capacity,
            eviction,
            half_life_ms,
            by_model: HashMap::new(),
            reserved: 0,
        }
    }

    pub(super) fn get(&self, model: &AdapterVersion) -> Option<&Slot> {
        self.by_model.get(model)
    }

    pub(super) fn residents(&self) -> impl Iterator<Item = (&AdapterVersion, Residency)> {
        self.by_model
            .iter()
            .map(|(model, slot)| (model, slot.residency))
    }

    pub(super) fn has_free(&self) -> bool {
        self.by_model.len() + self.reserved < self.capacity
    }

    /// Returns the number of slots that are free or hold an evictable adapter.
    pub(super) fn available(&self) -> usize {
        let is_busy = |slot: &&Slot| !slot.is_evictable();
        let busy = self.by_model.values().filter(is_busy).count();
        self.capacity.saturating_sub(busy + self.reserved)
    }

    /// Adds an adapter whose load starts; `demand` requests wait for it.
    pub(super) fn start_load(&mut self, model: &AdapterVersion, demand: usize, now_ms: u64) {
        let residency = Residency::Loading { since_ms: now_ms };
        let mut slot = self.new_slot(residency, now_ms);
        slot.demand.add(demand as f64, now_ms);
        self.by_model.insert(model.clone(), slot);
    }

    /// Adds an adapter that was found loaded.
    pub(super) fn adopt(&mut self, model: &AdapterVersion, now_ms: u64) {
        let mut slot = self.new_slot(Residency::Loaded, now_ms);
        slot.is_pinned = true;
        self.by_model.insert(model.clone(), slot);
    }

    pub(super) fn unpin(&mut self, model: &AdapterVersion) {
        if let Some(slot) = self.by_model.get_mut(model) {
            slot.is_pinned = false;
        }
    }

    pub(super) fn set_reserved(&mut self, slots: usize) {
        self.reserved = slots;
    }

    pub(super) fn remove(&mut self, model: &AdapterVersion) -> Option<Slot> {
        self.by_model.remove(model)
    }

    pub(super) fn set_residency(&mut self, model: &AdapterVersion, residency: Residency) {
        if let Some(slot) = self.by_model.get_mut(model) {
            slot.residency = residency;
        }
    }

    /// Counts an arrived request in the adapter's demand.
    pub(super) fn count_arrival(&mut self, model: &AdapterVersion, now_ms: u64) {
        if let Some(slot) = self.by_model.get_mut(model) {
            slot.demand.add(1.0, now_ms);
        }
    }

    /// Counts the start of a request on the adapter.
    pub(super) fn start_run(&mut self, model: &AdapterVersion, now_ms: u64) {
        if let Some(slot) = self.by_model.get_mut(model) {
            slot.running += 1;
            slot.last_used_ms = now_ms;
        }
    }

    /// Counts the end of a request on the adapter.
    pub(super) fn end_run(&mut self, model: &AdapterVersion, now_ms: u64) {
        if let Some(slot) = self.by_model.get_mut(model) {
            slot.running = slot.running.saturating_sub(1);
            slot.last_used_ms = now_ms;
        }
    }

    /// Removes and returns all adapters except those that are being loaded.
    pub(super) fn clear_loaded(&mut self) -> Vec<AdapterVersion> {
        let loaded: Vec<AdapterVersion> = self
            .by_model
            .iter()
            .filter(|(_, slot)| !matches!(slot.residency, Residency::Loading { .. }))
            .map(|(model, _)| model.clone())
            .collect();
        for model in &loaded {
            self.by_model.remove(model);
        }
        loaded
    }

    /// Returns the adapter that is draining, if there is one.
    pub(super) fn draining(&self) -> Option<&AdapterVersion> {
        self.by_model
            .iter()
            .find(|(_, slot)| slot.residency == Residency::Draining)
            .map(|(model, _)| model)
    }

    /// Returns the adapter to evict. `is_wanted` returns whether requests wait for an adapter.
    pub(super) fn eviction_candidate(
        &self,
        is_wanted: impl Fn(&AdapterVersion) -> bool,
        now_ms: u64,
    ) -> Option<AdapterVersion> {
        let drained = self.draining().filter(|model| self.is_idle(model));
        if let Some(model) = drained {
            return Some(model.clone());
        }
        let idle = |model: &AdapterVersion, slot: &Slot| slot.is_evictable() && !is_wanted(model);
        self.least_valued(idle, now_ms)
    }

    /// Returns the adapter to drain when none can be evicted.
    pub(super) fn drain_candidate(&self, now_ms: u64) -> Option<AdapterVersion> {
        let loaded = |_: &AdapterVersion, slot: &Slot| {
            slot.residency == Residency::Loaded && !slot.is_pinned
        };
        self.least_valued(loaded, now_ms)
    }

    fn is_idle(&self, model: &AdapterVersion) -> bool {
        self.by_model
            .get(model)
            .is_some_and(|slot| slot.running == 0)
    }

    fn new_slot(&self, residency: Residency, now_ms: u64) -> Slot {
        let demand = Demand::new(self.half_life_ms);
        Slot {
            residency,
            running: 0,
            is_pinned: false,
            last_used_ms: now_ms,
            demand,
        }
    }

    /// Returns the candidate with the lowest value. All loads cost the same, so the value of an
    /// adapter is its expected demand, or its last use under [`Eviction::Lru`].
    fn least_valued(
        &self,
        is_candidate: impl Fn(&AdapterVersion, &Slot) -> bool,
        now_ms: u64,
    ) -> Option<AdapterVersion> {
        let value = |slot: &Slot| match self.eviction {
            Eviction::Product => slot.demand.value(now_ms),
            Eviction::Lru => slot.last_used_ms as f64,
        };
        self.by_model
            .iter()
            .filter(|(model, slot)| is_candidate(model, slot))
            .min_by(|(left_model, left), (right_model, right)| {
                let by_value = value(left).total_cmp(&value(right));
                by_value.then_with(|| left_model.cmp(right_model))
            })
            .map(|(model, _)| model.clone())
    }
}
