//! Finds servers that begin slowly from the changes of their entries.
//!
//! A server is cold after its start, again whenever its entry says so, and perhaps when its
//! availability zone is taken back after an evacuation: its entry may then say so only later.

use std::collections::HashMap;

use crate::backend::Backend;
use crate::name::Name;
use crate::server_rates::ServerStart;
use crate::site::{ColdStart, Service};

/// Share of what a cold server takes that it is sent. Requests that wait for an adapter arrive closer
/// together than they were assigned.
const COLD_SHARE: f64 = 0.8;
/// Requests a second that an engine is sent at first, for each of its slots.
const ENGINE_PER_SLOT_S: f64 = 0.25;
/// Requests a second that a plain server is sent at first, for each of its slots.
const PLAIN_PER_SLOT_S: f64 = 1.0;

/// How the servers of a service begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartPolicy {
    cold_start: Option<ColdStart>,
    /// Whether servers begin slowly that are not cold.
    is_paced: bool,
    /// Requests a second that a server is sent at first, for each of its slots.
    per_slot_s: f64,
}

impl StartPolicy {
    /// Returns the policy of a service; `None` if its servers are sent as many requests after a start
    /// as at other times. `is_paced` tells whether servers begin slowly that are not cold.
    pub fn of(service: &Service, is_paced: bool) -> Option<Self> {
        let policy = Self {
            cold_start: service.cold_start,
            is_paced,
            per_slot_s: match service.engine {
                Some(_) => ENGINE_PER_SLOT_S,
                None => PLAIN_PER_SLOT_S,
            },
        };
        (is_paced || service.cold_start.is_some()).then_some(policy)
    }

    fn start<'a>(&self, backend: &'a Backend, cold_ms: u64, now_ms: u64) -> ServerStart<'a> {
        let first_per_s = match self.cold_start {
            Some(cold_start) => cold_start.requests_per_s * COLD_SHARE,
            None => f64::from(backend.slots.max(1)) * self.per_slot_s,
        };
        ServerStart {
            server: &backend.id,
            boot: backend.started_unix_ms,
            first_per_s,
            cold_until_ms: now_ms + cold_ms,
        }
    }
}

/// What is known of the servers of services with a policy.
#[derive(Clone, Debug, Default)]
pub struct ServerStarts {
    seen: HashMap<Name, Seen>,
    /// Whether a list was seen. The servers of the first one have been running.
    is_listed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    started_unix_ms: u64,
    cold_ms: u64,
    is_evacuated: bool,
}

impl ServerStarts {
    /// Observes a complete list of servers. Returns those that begin slowly from now on.
    pub fn observe<'a>(
        &mut self,
        backends: impl Iterator<Item = &'a Backend>,
        policy_of: impl Fn(&Name) -> Option<StartPolicy>,
        now_ms: u64,
    ) -> Vec<ServerStart<'a>> {
        let mut starts = Vec::new();
        let mut seen = HashMap::new();
        for backend in backends {
            let Some(policy) = policy_of(&backend.service) else {
                continue;
            };
            if let Some(cold_ms) = self.cold_ms(backend, &policy) {
                starts.push(policy.start(backend, cold_ms, now_ms));
            }
            seen.insert(backend.id.clone(), Seen::of(backend));
        }
        self.is_listed |= !seen.is_empty();
        self.seen = seen;
        starts
    }

    /// Returns for how long a server is cold that begins now, in milliseconds; `None` if it does not
    /// begin.
    fn cold_ms(&self, backend: &Backend, policy: &StartPolicy) -> Option<u64> {
        let duration_ms = policy.cold_start.map_or(0, |it| it.duration_ms);
        let stated_ms = policy.cold_start.map_or(0, |_| backend.cold_ms);
        let Some(seen) = self.seen.get(&backend.id) else {
            let is_start = self.is_listed || stated_ms > 0;
            let least_ms = if self.is_listed { duration_ms } else { 0 };
            return is_start.then_some(stated_ms.max(least_ms));
        };
        let has_restarted = seen.started_unix_ms < backend.started_unix_ms;
        let has_returned = seen.is_evacuated && !backend.is_evacuated;
        if has_restarted || has_returned {
            return Some(stated_ms.max(duration_ms));
        }
        (stated_ms > 0 && stated_ms != seen.cold_ms).then_some(stated_ms)
    }
}

impl Seen {
    fn of(backend: &Backend) -> Self {
        Self {
            started_unix_ms: backend.started_unix_ms,
            cold_ms: backend.cold_ms,
            is_evacuated: backend.is_evacuated,
        }
    }
}
