//! Backend servers as the entries of the platform's store name them.
//!
//! The entries are kept apart from what an instance has observed of the servers itself, such as an
//! answer that says that a server leaves. Instances relay changes of entries to each other, and only a
//! comparison of entries with entries shows what the others lack.

use std::collections::BTreeMap;

use crate::backend::Backend;
use crate::name::Name;

/// One change of the entries.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistrationChange {
    /// An entry is new or has changed.
    Put(Backend),
    /// An entry was removed, or names no server any more.
    Removed(Name),
}

/// The servers that the store's entries name, at the revision that was read last.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    servers: BTreeMap<Name, Backend>,
}

impl Registrations {
    /// Returns the entry of a server.
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.servers.get(id)
    }

    /// Replaces all entries by a complete list.
    pub fn reset(&mut self, list: impl IntoIterator<Item = Backend>) {
        let servers = list.into_iter().map(|it| (it.id.clone(), it));
        self.servers = servers.collect();
    }

    /// Applies a change; returns whether it concerns other instances.
    ///
    /// A change that concerns none leaves all but the held models and the number of orders as they
    /// were: the placer requests these from the servers.
    pub fn apply(&mut self, change: &RegistrationChange) -> bool {
        match change {
            RegistrationChange::Put(backend) => {
                let before = self.servers.insert(backend.id.clone(), backend.clone());
                before.is_none_or(|before| !is_same_registration(&before, backend))
            }
            RegistrationChange::Removed(id) => self.servers.remove(id).is_some(),
        }
    }
}

fn is_same_registration(one: &Backend, other: &Backend) -> bool {
    let one = Backend {
        sequence: other.sequence,
        models: other.models.clone(),
        ..one.clone()
    };
    one == *other
}
