//! Applies the operators' evacuations of availability zones to the servers in use.

use std::collections::BTreeSet;

use mimosabay_core::evacuations::Evacuations;
use mimosabay_core::name::Name;
use mimosabay_platform::store::{Changes, Listing};
use tracing::info;

use super::state::State;

/// Applies a complete listing.
pub(super) fn apply_list(state: &State, listing: &Listing) {
    let zones = listing.objects.iter().filter(|it| !it.metadata.deleting);
    let zones: Vec<Name> = zones.map(|it| it.metadata.name.clone()).collect();
    let now_ms = state.now_ms();
    update(state, |evacuations| evacuations.reset(zones, now_ms));
}

/// Applies changes received from the store.
pub(super) fn apply_changes(state: &State, changes: &Changes) {
    update(state, |evacuations| {
        for event in &changes.events {
            let metadata = &event.object.metadata;
            let is_evacuated = !event.deleted && !metadata.deleting;
            evacuations.apply(metadata.name.clone(), is_evacuated);
        }
    });
}

fn update(state: &State, update: impl FnOnce(&mut Evacuations)) {
    let changed = state.backends.update_evacuations(update, state.now_ms());
    if let Some(zones) = changed {
        log_change(state, &zones);
    }
}

fn log_change(state: &State, zones: &BTreeSet<Name>) {
    info!(event = "zones_evacuated", ?zones);
    state.metrics.set_evacuated_zones(zones.len());
}
