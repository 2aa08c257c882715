//! Applies the store's objects to this instance, and logs the changes that are relayed to other
//! instances.

use mimosabay_core::name::Name;
use mimosabay_core::registrations::RegistrationChange;
use mimosabay_core::replica::{ReplicaChanges, ReplicaEvent, ReplicaKind, ReplicaUpdate};
use mimosabay_platform::store::{Changes, Event, Listing, StoredObject};
use mimosabay_platform::{configuration, discovery, wire_names};
use tracing::{info, warn};

use super::state::State;

/// Applies a complete listing.
pub(crate) fn apply_list(state: &State, kind: ReplicaKind, listing: &Listing) {
    state
        .replicas
        .with_log(kind, |log| log.reset(listing.revision));
    if kind == ReplicaKind::Servers {
        let entries = listing.objects.iter();
        let list: Vec<_> = entries.filter_map(discovery::decode_backend).collect();
        info!(
            event = "servers_listed",
            count = list.len(),
            revision = listing.revision
        );
        state.backends.reset(list, state.now_ms());
        state.mark_backends_listed();
        return;
    }
    for object in &listing.objects {
        apply_object(state, kind, object);
    }
}

/// Applies changes received from the store.
pub(crate) fn apply_changes(state: &State, kind: ReplicaKind, changes: &Changes) {
    let known_revision = state.replicas.revision(kind);
    if changes.revision <= known_revision {
        if !changes.events.is_empty() {
            let revision = changes.revision;
            info!(event = "changes_dropped", ?kind, revision, known_revision);
        }
        return;
    }
    let are_relevant = apply_events(state, kind, &changes.events);
    let events = changes.events.iter().zip(are_relevant);
    let events: Vec<ReplicaEvent> = events
        .filter(|(_, is_relevant)| *is_relevant)
        .filter_map(|(event, _)| replica_event(event))
        .collect();
    state
        .replicas
        .with_log(kind, |log| log.record(changes.revision, events));
}

/// Applies the changes of a kind received from another instance.
pub(crate) fn apply_replica_changes(state: &State, kind: ReplicaKind, changes: ReplicaChanges) {
    match changes {
        ReplicaChanges::None => {}
        ReplicaChanges::Changes(update) => apply_update(state, update),
        ReplicaChanges::TooLarge => state.replicas.mark_unread(kind),
        ReplicaChanges::Uncovered => state.replicas.reset(kind),
    }
}

fn apply_update(state: &State, update: ReplicaUpdate) {
    let is_accepted = state
        .replicas
        .with_log(update.kind, |log| log.accepts(&update));
    if !is_accepted {
        info!(
            event = "update_rejected",
            kind = ?update.kind,
            after = update.after,
            revision = update.revision,
            known_revision = state.replicas.revision(update.kind)
        );
        return;
    }
    let events: Vec<Event> = update.events.iter().filter_map(stored_event).collect();
    // All of them are kept for instances that follow this one.
    let _ = apply_events(state, update.kind, &events);
    state.replicas.with_log(update.kind, |log| {
        log.record(update.revision, update.events);
    });
    state.replicas.mark_read(update.kind);
}

/// Applies changes; returns for each whether it concerns other instances.
fn apply_events(state: &State, kind: ReplicaKind, events: &[Event]) -> Vec<bool> {
    if kind == ReplicaKind::Servers {
        let changes = events.iter().map(registration_change);
        return state.backends.apply_changes(changes, state.now_ms());
    }
    for event in events.iter().filter(|event| !event.deleted) {
        apply_object(state, kind, &event.object);
    }
    vec![true; events.len()]
}

fn replica_event(event: &Event) -> Option<ReplicaEvent> {
    let object = serde_json::to_string(&event.object).ok()?;
    Some(ReplicaEvent {
        name: event.object.metadata.name.clone(),
        object,
        is_deleted: event.deleted,
    })
}

fn stored_event(event: &ReplicaEvent) -> Option<Event> {
    let object = serde_json::from_str(&event.object).ok()?;
    Some(Event {
        object,
        deleted: event.is_deleted,
    })
}

fn registration_change(event: &Event) -> RegistrationChange {
    let name: Name = event.object.metadata.name.clone();
    if event.deleted {
        info!(event = "server_removed", server = %name);
        return RegistrationChange::Removed(name);
    }
    let Some(backend) = discovery::decode_backend(&event.object) else {
        // An entry that cannot be read names no server.
        warn!(event = "server_unreadable", server = %name);
        return RegistrationChange::Removed(name);
    };
    if !backend.is_ready() {
        info!(event = "server_leaving", server = %name, leaves_soon = backend.is_leaving);
    }
    RegistrationChange::Put(backend)
}

fn apply_object(state: &State, kind: ReplicaKind, object: &StoredObject) {
    match kind {
        ReplicaKind::Configuration => apply_configuration(state, object),
        ReplicaKind::Releases => apply_release(state, object),
        ReplicaKind::Servers => {}
    }
}

/// Puts a configuration in force that is newer than the one in force.
pub(super) fn apply_configuration(state: &State, object: &StoredObject) {
    if &*object.metadata.name != wire_names::CONFIGURATION_NAME {
        return;
    }
    let site = match configuration::decode_site(object) {
        Ok(site) => site,
        Err(cause) => {
            warn!(event = "configuration_unreadable", %cause);
            return;
        }
    };
    let is_newer = state
        .site()
        .is_none_or(|current| site.version > current.version);
    if is_newer {
        info!(
            event = "configuration_in_force",
            version = site.version,
            revision = object.metadata.revision
        );
        state.set_site(site);
    } else {
        info!(
            event = "configuration_dropped",
            version = site.version,
            in_force = state.site().map(|current| current.version),
            revision = object.metadata.revision
        );
    }
}

fn apply_release(state: &State, object: &StoredObject) {
    let Some(release) = discovery::decode_adapter_release(object) else {
        return;
    };
    info!(
        event = "adapter_released",
        adapter = %release.adapter,
        version = release.version
    );
    state.record_release((release.model, release.adapter), release.version);
}
