//! Backend servers that have refused a request of this instance and want no other for some time.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use http::HeaderMap;
use mimosabay_core::backend::Backend;
use mimosabay_core::name::Name;
use mimosabay_platform::ingress;
use tracing::{info, warn};

use crate::clock::Clock;

/// Longest pause that a server gets, in milliseconds.
const MAX_PAUSE_MS: u64 = 600_000;

/// The servers that pause for this instance. Other instances may send them requests.
pub(crate) struct ServerPauses {
    clock: Clock,
    pauses: Mutex<HashMap<Name, Pause>>,
}

/// Pause of one start of a server.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// Start of the server in Unix milliseconds.
    boot: u64,
    /// End of the pause, in milliseconds.
    until_ms: u64,
}

impl ServerPauses {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            pauses: Mutex::default(),
        }
    }

    /// Records the pause that a server's refusal asks for.
    pub(crate) fn observe_refusal(&self, backend: &Backend, headers: &HeaderMap) {
        let pause_ms = match ingress::retry_after_ms(headers) {
            Ok(None) => return,
            Ok(Some(pause_ms)) => pause_ms.min(MAX_PAUSE_MS),
            Err(text) => {
                warn!(event = "retry_after_unreadable", server = %backend.id, text);
                return;
            }
        };
        let now_ms = self.clock.now_ms();
        let pause = Pause {
            boot: backend.started_unix_ms,
            until_ms: now_ms + pause_ms,
        };
        info!(event = "server_paused", server = %backend.id, boot = pause.boot, pause_ms);
        let mut pauses = self.pauses();
        pauses.retain(|_, pause| pause.until_ms > now_ms);
        let known = pauses.entry(backend.id.clone()).or_insert(pause);
        if known.boot != pause.boot || known.until_ms < pause.until_ms {
            *known = pause;
        }
    }

    /// Time for which a server wants no request of this instance, in milliseconds; zero if it takes some.
    pub(crate) fn left_ms(&self, backend: &Backend) -> u64 {
        let pauses = self.pauses();
        let pause = pauses.get(&backend.id);
        let pause = pause.filter(|pause| pause.boot == backend.started_unix_ms);
        pause.map_or(0, |pause| {
            pause.until_ms.saturating_sub(self.clock.now_ms())
        })
    }

    /// Whether a server wants no request of this instance now.
    pub(crate) fn is_paused(&self, backend: &Backend) -> bool {
        self.left_ms(backend) > 0
    }

    fn pauses(&self) -> MutexGuard<'_, HashMap<Name, Pause>> {
        self.pauses.lock().expect("pauses lock")
    }
}
