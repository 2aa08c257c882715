//! Limits that backend servers have stated, as this instance knows them.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard};

use http::HeaderMap;
use mimosabay_core::backend::Backend;
use mimosabay_core::name::Name;
use mimosabay_core::server_rates::{ServerRates, ServerStart};
use mimosabay_core::server_starts::{ServerStarts, StartPolicy};
use mimosabay_core::slow_start::{AnswerSign, ServerAnswer};
use mimosabay_core::stated_limit::StatedLimit;
use mimosabay_platform::ingress;
use tracing::{info, warn};

use crate::clock::Clock;

/// Largest number of answers that are kept for the placer. A slow start does not need more at once.
const MAX_UNSENT_ANSWERS: usize = 200;

/// The statements that this instance has seen or was sent, and its own share of the limits, which
/// it uses while no placer answers.
pub(crate) struct ServerLimits {
    clock: Clock,
    known: Mutex<Known>,
}

struct Known {
    rates: ServerRates,
    /// Servers whose statements the placer does not know yet.
    unsent: BTreeSet<Name>,
    starts: ServerStarts,
    /// How the servers of each service begin.
    start_policies: HashMap<Name, StartPolicy>,
    /// Answers of servers that have just started which the placer does not know yet.
    unsent_answers: Vec<ServerAnswer>,
}

impl ServerLimits {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            known: Mutex::new(Known {
                rates: ServerRates::for_entry(),
                unsent: BTreeSet::new(),
                starts: ServerStarts::default(),
                start_policies: HashMap::new(),
                unsent_answers: Vec::new(),
            }),
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
        let is_changed = known.rates.apply(&stated, self.clock.now_ms());
        // A limit that is stated again corrects a placer that holds it for lifted.
        if is_changed || requests_per_s.is_some() {
            known.unsent.insert(backend.id.clone());
        }
        drop(known);
        if is_changed {
            log_change(&stated, "answer");
        }
        is_changed
    }

    /// Applies statements that the placer sent.
    pub(crate) fn apply(&self, stated: &[StatedLimit]) {
        let now_ms = self.clock.now_ms();
        let mut known = self.known();
        let changed: Vec<&StatedLimit> = stated
            .iter()
            .filter(|limit| known.rates.apply(limit, now_ms))
            .collect();
        drop(known);
        for limit in changed {
            log_change(limit, "placer");
        }
    }

    /// Returns all known statements.
    pub(crate) fn all(&self) -> Vec<StatedLimit> {
        self.known().rates.stated().iter().cloned().collect()
    }

    /// Takes the statements that the placer does not know yet: all of them if it is new.
    pub(crate) fn take_unsent(&self, is_new_placer: bool) -> Vec<StatedLimit> {
        let mut known = self.known();
        let unsent = std::mem::take(&mut known.unsent);
        let stated = known.rates.stated().iter();
        let unsent = stated.filter(|limit| is_new_placer || unsent.contains(&limit.server));
        unsent.cloned().collect()
    }

    /// Adds statements that did not reach the placer to what is sent next.
    pub(crate) fn requeue(&self, stated: &[StatedLimit]) {
        let servers = stated.iter().map(|limit| limit.server.clone());
        self.known().unsent.extend(servers);
    }

    /// Sets how the servers of each service begin.
    pub(crate) fn set_start_policies(&self, policies: HashMap<Name, StartPolicy>) {
        self.known().start_policies = policies;
    }

    /// Begins the slow start of servers that have started or recovered, and ends earlier ones.
    pub(crate) fn observe_starts<'a>(&self, servers: impl Iterator<Item = &'a Backend>) {
        let now_ms = self.clock.now_ms();
        let mut known = self.known();
        let Known {
            rates,
            starts,
            start_policies,
            ..
        } = &mut *known;
        let policy_of = |service: &Name| start_policies.get(service).copied();
        let begun = starts.observe(servers, policy_of, now_ms);
        let begun: Vec<ServerStart<'_>> = begun
            .into_iter()
            .filter(|start| rates.start_slowly(start, now_ms))
            .collect();
        let ended = rates.end_slow_starts(now_ms);
        drop(known);
        for start in begun {
            log_start(&start, now_ms);
        }
        for (server, requests_per_s) in ended {
            info!(event = "slow_start_ended", %server, requests_per_s);
        }
    }

    /// Adapts the pace of a server that has just started to one of its answers, and keeps the answer for
    /// the placer. Does nothing for other servers.
    pub(crate) fn record_answer(&self, backend: &Backend, sign: AnswerSign) {
        let now_ms = self.clock.now_ms();
        let (server, boot) = (&backend.id, backend.started_unix_ms);
        let mut known = self.known();
        if !known.rates.is_starting(server, boot) {
            return;
        }
        known.rates.record_answer(server, boot, sign, now_ms);
        if known.unsent_answers.len() < MAX_UNSENT_ANSWERS {
            known.unsent_answers.push(ServerAnswer {
                server: server.clone(),
                boot,
                sign,
            });
        }
    }

    /// Takes the answers of servers that have just started which the placer does not know yet.
    pub(crate) fn take_unsent_answers(&self) -> Vec<ServerAnswer> {
        std::mem::take(&mut self.known().unsent_answers)
    }

    /// Number of servers that have started a short time ago.
    pub(crate) fn starting_count(&self) -> usize {
        self.known().rates.starting_count()
    }

    /// Returns the servers that have started a short time ago.
    pub(crate) fn starting(&self) -> ServerRates {
        self.known().rates.clone()
    }

    /// Whether a server states a limit, or has started a short time ago.
    pub(crate) fn is_limited(&self, backend: &Backend) -> bool {
        let known = self.known();
        known.rates.is_limited(&backend.id, backend.started_unix_ms)
    }

    /// Whether this instance may send a request to the server without a placer.
    pub(crate) fn may_send(&self, backend: &Backend) -> bool {
        let now_ms = self.clock.now_ms();
        let known = self.known();
        known
            .rates
            .may_send(&backend.id, backend.started_unix_ms, now_ms)
    }

    /// Counts a request to the server against this instance's share of the limit. Returns whether it
    /// may be sent.
    pub(crate) fn try_take(&self, backend: &Backend) -> bool {
        let now_ms = self.clock.now_ms();
        let mut known = self.known();
        known
            .rates
            .try_take(&backend.id, backend.started_unix_ms, now_ms)
    }

    /// Divides the limits among `instances` while there is no placer.
    pub(crate) fn set_instance_count(&self, instances: usize) {
        let now_ms = self.clock.now_ms();
        self.known().rates.set_instance_count(instances, now_ms);
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("limits lock")
    }
}

fn log_start(start: &ServerStart<'_>, now_ms: u64) {
    info!(
        event = "slow_start",
        server = %start.server,
        boot = start.boot,
        requests_per_s = start.first_per_s,
        cold_ms = start.cold_until_ms.saturating_sub(now_ms)
    );
}

fn log_change(stated: &StatedLimit, source: &'static str) {
    info!(
        event = "limit_stated",
        server = %stated.server,
        boot = stated.boot,
        requests_per_s = stated.requests_per_s,
        source
    );
}
