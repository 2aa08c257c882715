//! Recent demand of each adapter.

use std::collections::HashMap;

use super::digest::ModelKey;
use crate::demand::Demand;

/// Demand below which an adapter counts as idle.
const MIN_DEMAND: f64 = 0.01;
/// Minimum number of adapters before idle ones are removed.
const MIN_SWEEP_SIZE: usize = 1_024;

/// Demand by adapter.
#[derive(Debug)]
pub(super) struct Popularity {
    half_life_ms: u64,
    by_model: HashMap<ModelKey, Demand>,
    /// Number of adapters at which idle ones are removed. Invariant: at least twice the number left
    /// by the last removal, so that its amortised cost for each new adapter is constant.
    sweep_size: usize,
}

impl Popularity {
    pub(super) fn new(half_life_ms: u64) -> Self {
        Self {
            half_life_ms,
            by_model: HashMap::new(),
            sweep_size: MIN_SWEEP_SIZE,
        }
    }

    /// Counts a request and returns the adapter's demand including it.
    pub(super) fn record_request(&mut self, model: ModelKey, now_ms: u64) -> f64 {
        let half_life_ms = self.half_life_ms;
        let demand = self
            .by_model
            .entry(model)
            .or_insert_with(|| Demand::new(half_life_ms));
        demand.add(1.0, now_ms);
        demand.value(now_ms)
    }

    /// Removes idle adapters once there are `sweep_size` adapters, and returns them.
    pub(super) fn remove_idle(&mut self, now_ms: u64) -> Vec<ModelKey> {
        if self.by_model.len() < self.sweep_size {
            return Vec::new();
        }
        let idle: Vec<ModelKey> = self
            .by_model
            .iter()
            .filter(|(_, demand)| demand.value(now_ms) < MIN_DEMAND)
            .map(|(model, _)| *model)
            .collect();
        for model in &idle {
            self.by_model.remove(model);
        }
        self.sweep_size = MIN_SWEEP_SIZE.max(2 * self.by_model.len());
        idle
    }
}
