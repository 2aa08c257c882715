//! Services whose servers say how long work takes there, because they share their machines.

use std::collections::HashSet;
use std::sync::RwLock;

use http::HeaderMap;
use mimosabay_core::name::Name;
use mimosabay_platform::ingress;
use tokio::sync::watch;
use tracing::info;

/// The services, as far as answers to this instance have shown.
#[derive(Default)]
pub(crate) struct UnevenServices {
    known: RwLock<HashSet<Name>>,
    changes: watch::Sender<()>,
}

impl UnevenServices {
    /// Records what an answer of one of the service's servers shows.
    pub(super) fn observe(&self, service: &Name, headers: &HeaderMap) {
        if self.contains(service) {
            return;
        }
        let sample = ingress::load_sample(headers);
        if sample.is_none_or(|sample| sample.work_percent.is_none()) {
            return;
        }
        let mut known = self.known.write().expect("uneven services lock");
        let is_new = known.insert(service.clone());
        drop(known);
        if is_new {
            info!(event = "service_uneven", %service);
            self.changes.send_replace(());
        }
    }

    /// Returns whether the servers of a service say how long work takes there.
    pub(super) fn contains(&self, service: &Name) -> bool {
        let known = self.known.read().expect("uneven services lock");
        known.contains(service)
    }

    /// Returns all of them.
    pub(super) fn all(&self) -> Vec<Name> {
        let known = self.known.read().expect("uneven services lock");
        known.iter().cloned().collect()
    }

    /// Notifies of changes.
    pub(super) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}
