//! Changes of servers' entries, and which of them concern other instances.

use mimosabay_core::backend::{Backend, HeldModel, ServerState};
use mimosabay_core::registrations::{RegistrationChange, Registrations};

fn server() -> Backend {
    Backend {
        id: "engine-1".into(),
        service: "engines".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "zone-1".into(),
        software_version: Some("v1".into()),
        slots: 8,
        state: ServerState::Ready,
        sequence: 0,
        cold_ms: 0,
        is_evacuated: false,
        started_unix_ms: 1,
        is_leaving: false,
        models: Vec::new(),
    }
}

fn put(backend: Backend) -> RegistrationChange {
    RegistrationChange::Put(backend)
}

fn removed() -> RegistrationChange {
    RegistrationChange::Removed("engine-1".into())
}

/// Applies changes after the entry of [`server`]; returns which of them concern other instances.
fn relevant(changes: impl IntoIterator<Item = RegistrationChange>) -> Vec<bool> {
    let mut entries = Registrations::default();
    entries.reset([server()]);
    let changes = changes.into_iter();
    changes.map(|change| entries.apply(&change)).collect()
}

/// Guards against instances that forget a live server whose entry lapsed: they are told that it was
/// removed, and not that it was written again.
#[test]
fn entry_that_returns_concerns_other_instances() {
    assert_eq!(relevant([removed(), put(server())]), [true, true]);
}

#[test]
fn unchanged_entry_concerns_none() {
    assert_eq!(relevant([put(server()), put(server())]), [false, false]);
}

#[test]
fn entry_that_is_removed_twice_concerns_others_once() {
    assert_eq!(relevant([removed(), removed()]), [true, false]);
}

mod changed_field_concerns_other_instances {
    use mimosabay_core::backend::{Backend, ServerState};
    use mimosabay_core::cases;

    use super::{put, relevant, server};

    fn is_relevant(changed: Backend) {
        assert_eq!(relevant([put(changed), put(server())]), [true, true]);
    }

    cases! {
        is_relevant;
        state: (Backend { state: ServerState::Draining, ..server() });
        leaving: (Backend { is_leaving: true, ..server() });
        start: (Backend { started_unix_ms: 2, ..server() });
        address: (Backend { address: "127.0.0.1:10".parse().unwrap(), ..server() });
        zone: (Backend { zone: "zone-2".into(), ..server() });
        software_version: (Backend { software_version: Some("v2".into()), ..server() });
        slots: (Backend { slots: 9, ..server() });
        cold: (Backend { cold_ms: 1, ..server() });
    }
}

#[test]
fn held_models_and_orders_concern_none() {
    let model = HeldModel {
        name: "base".into(),
        adapters: Vec::new(),
    };
    let changed = Backend {
        sequence: 1,
        models: vec![model],
        ..server()
    };
    assert_eq!(relevant([put(changed)]), [false]);
}
