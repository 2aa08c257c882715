//! Limits that backend servers have stated, as this instance knows them.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};

use http::HeaderMap;
use mimosabay_core::backend::Backend;
use mimosabay_core::name::Name;
use mimosabay_core::stated_limit::{StatedLimit, StatedLimits};
use mimosabay_platform::ingress;
use tracing::{info, warn};

use crate::clock::Clock;

/// The statements that this instance has seen or was sent.
pub(crate) struct ServerLimits {
    clock: Clock,
    known: Mutex<Known>,
}

#[derive(Default)]
struct Known {
    stated: StatedLimits,
    /// Servers whose statements the placer does not know yet.
    unsent: BTreeSet<Name>,
}

impl ServerLimits {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            known: Mutex::default(),
        }
    }

    /// Records what a response of a server states. `may_lift` tells whether a response without a limit
    /// lifts it. Returns whether the limit has changed.
    pub(crate) fn observe(&self, backend: &Backend, headers: &HeaderMap, may_lift: bool) -> bool {
        let requests_per_s = match ingress::request_limit_per_s(headers) {
            Ok(None) if !may_lift => return false,
            Ok(requests_per_s) => requests_per_s,
            Err(text) => {
                warn!(event = "limit_unreadable", server = %backend.id, text);
                return false;
            }
        };
        let stated = StatedLimit {
            server: backend.id.clone(),
            boot: backend.started_unix_ms,
            requests_per_s,
            stated_unix_ms: self.clock.unix_ms(),
        };
        let mut known = self.known();
        let is_changed = known.stated.apply(&stated);
        if is_changed {
            known.unsent.insert(backend.id.clone());
        }
        drop(known);
        if is_changed {
            info!(
                event = "limit_stated",
                server = %stated.server,
                boot = stated.boot,
                requests_per_s
            );
        }
        is_changed
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("limits lock")
    }
}
