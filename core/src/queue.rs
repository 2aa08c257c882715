//! Request queue of one backend server, held by the server's owner.
//!
//! Only the owner decides which adapters the server holds and which requests it runs, so this state
//! is authoritative for the server's slots and batch.

mod action;
mod backlog;
mod organisation_queues;
mod service_times;
mod settings;
mod share;
mod slots;

use std::collections::HashMap;

pub use self::action::{Action, ServerLimits, Ticket, WaitingRequest, WantedLoad};
use self::backlog::{Backlog, BacklogEntry, Phase};
use self::service_times::ServiceTimes;
pub use self::settings::{Eviction, LoadPermits, Order, QueueSettings};
use self::slots::{Residency, Slots};
use crate::backoff::Backoff;
use crate::name::{AdapterVersion, Name};
use crate::placement::digest::{self, ServerDigest};
use crate::request::Code;
use crate::rounding::ceil_ms;

/// Smallest retry delay that is advised, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// A request that runs on the server.
#[derive(Debug)]
struct RunningRequest {
    model: AdapterVersion,
    account: Name,
    cost_tokens: u64,
    started_ms: u64,
}

/// Queue, adapter slots and batch of one server.
#[derive(Debug)]
pub struct ServerQueue {
    limits: ServerLimits,
    settings: QueueSettings,
    backlog: Backlog,
    slots: Slots,
    backoff: Backoff<AdapterVersion>,
    service_times: ServiceTimes,
    /// Requests that run on the server. Invariant: at most `limits.batch`.
    running: HashMap<Ticket, RunningRequest>,
    /// Number of running requests by account. Invariant: no count is zero.
    running_by_account: HashMap<Name, usize>,
}

impl ServerQueue {
    /// Builds the queue of a server that holds no adapters, with default settings.
    pub fn new(limits: ServerLimits) -> Self {
        Self::with_settings(limits, QueueSettings::default())
    }

    /// Builds the queue of a server that holds no adapters.
    pub fn with_settings(limits: ServerLimits, settings: QueueSettings) -> Self {
        let load_credit_ms = match settings.order {
            Order::Product => settings.load_credit_ms,
            Order::Fifo => 0,
        };
        let half_life_ms = settings.demand_half_life_ms;
        Self {
            limits,
            settings,
            backlog: Backlog::new(load_credit_ms),
            slots: Slots::new(limits.slots, settings.eviction, half_life_ms),
            backoff: Backoff::default(),
            service_times: ServiceTimes::default(),
            running: HashMap::new(),
            running_by_account: HashMap::new(),
        }
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, request: WaitingRequest, now_ms: u64) -> Vec<Action> {
        let ticket = request.ticket;
        let model = request.model.clone();
        if let Some(rest_ms) = self.backoff.remaining_ms(&model, now_ms) {
            return vec![refuse(ticket, Code::LoadFailed, rest_ms)];
        }
        let account = self.account(&request.organisation);
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        let expected_wait_ms = self.expected_wait_ms(&model, &account, now_ms);
        let entry = BacklogEntry {
            request,
            account,
            arrived_ms: now_ms,
        };
        self.slots.count_arrival(&model, now_ms);
        self.backlog.push(entry, self.phase(&model));
        let mut actions = self.advance(now_ms);
        actions.extend(self.refuse_if_deadline_unreachable(ticket, remaining_ms, expected_wait_ms));
        actions
    }

    /// Handles the end of an adapter's load.
    pub fn on_loaded(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        let residency = self.slots.get(model).map(|slot| slot.residency);
        if let Some(Residency::Loading { since_ms }) = residency {
            self.service_times
                .record_load(now_ms.saturating_sub(since_ms));
            self.backoff.record_success(model);
            self.slots.set_residency(model, Residency::Loaded);
            self.backlog.set_phase(model, Phase::Ready);
        }
        self.advance(now_ms)
    }

    /// Handles a failed load. Refuses the requests that wait for the adapter, so that they are
    /// tried at another server, and does not load the adapter here again until a back-off has
    /// passed.
    pub fn on_load_failed(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        let residency = self.slots.get(model).map(|slot| slot.residency);
        if !matches!(residency, Some(Residency::Loading { .. })) {
            return self.advance(now_ms);
        }
        self.slots.remove(model);
        let pause_ms = self.backoff.record_failure(model, now_ms);
        let failed = self.backlog.take_group(model);
        let refusal =
            |entry: &BacklogEntry| refuse(entry.request.ticket, Code::LoadFailed, pause_ms);
        let mut actions: Vec<Action> = failed.iter().map(refusal).collect();
        actions.extend(self.advance(now_ms));
        actions
    }

    /// Handles the end of a dispatched request that used all the tokens it was charged, whether it
    /// succeeded or failed.
    pub fn on_finished(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        self.end_run(ticket, None, now_ms);
        self.advance(now_ms)
    }

    /// Handles the end of a dispatched request that used `used_tokens`.
    pub fn on_finished_with_usage(
        &mut self,
        ticket: Ticket,
        used_tokens: u64,
        now_ms: u64,
    ) -> Vec<Action> {
        self.end_run(ticket, Some(used_tokens), now_ms);
        self.advance(now_ms)
    }

    /// Removes a waiting request; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.backlog.remove(ticket).is_some()
    }

    /// Handles a restart of the server, which loses its adapters and running requests. Pending
    /// loads are still completed by [`ServerQueue::on_loaded`] or [`ServerQueue::on_load_failed`].
    pub fn on_restarted(&mut self, now_ms: u64) -> Vec<Action> {
        self.running.clear();
        self.running_by_account.clear();
        for model in self.slots.clear_loaded() {
            self.backlog.set_phase(&model, Phase::Absent);
        }
        self.advance(now_ms)
    }

    /// Refuses expired requests and starts what can be started at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.backoff.remove_expired(now_ms);
        self.advance(now_ms)
    }

    /// Returns the most urgent load, or `None` if no load is needed or no slot is available for it.
    pub fn wanted_load(&self, now_ms: u64) -> Option<WantedLoad> {
        let (rank, model) = self.backlog.organisations.first_wanted_load()?;
        if !self.slots.has_free() {
            self.eviction_candidate(now_ms)?;
        }
        let urgency_ms = i64::try_from(now_ms)
            .unwrap_or(i64::MAX)
            .saturating_sub(rank);
        Some(WantedLoad {
            model: model.clone(),
            urgency_ms: u64::try_from(urgency_ms).unwrap_or(0),
        })
    }

    /// Permits one load to start. If the result contains no [`Action::Load`], the permit was not
    /// used.
    pub fn on_load_granted(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = self.advance(now_ms);
        if self.settings.permits == LoadPermits::Granted {
            self.start_load(now_ms, &mut actions);
            self.update_overdue_load(now_ms);
        }
        actions
    }

    /// Adds an adapter that was found in the server's memory. It is not evicted before
    /// [`ServerQueue::set_evictable`], because another owner may still use it.
    pub fn adopt(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        self.slots.adopt(model, now_ms);
        self.backlog.set_phase(model, Phase::Ready);
        self.advance(now_ms)
    }

    /// Allows an adopted adapter to be evicted.
    pub fn set_evictable(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        self.slots.unpin(model);
        self.advance(now_ms)
    }

    /// Sets the number of slots that are occupied by adapters of other owners.
    pub fn set_reserved(&mut self, slots: usize, now_ms: u64) -> Vec<Action> {
        self.slots.set_reserved(slots);
        self.advance(now_ms)
    }

    /// Removes an adapter that the server was assumed to hold and no longer holds.
    pub fn on_adapter_lost(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        if !self.is_loading(model) {
            self.slots.remove(model);
            self.backlog.set_phase(model, Phase::Absent);
        }
        self.advance(now_ms)
    }

    /// Returns whether an adapter is being loaded.
    pub fn is_loading(&self, model: &AdapterVersion) -> bool {
        let residency = self.slots.get(model).map(|slot| slot.residency);
        matches!(residency, Some(Residency::Loading { .. }))
    }

    /// Returns whether any adapter is being loaded.
    pub fn has_loading_adapter(&self) -> bool {
        self.residents().any(|(_, is_loaded)| !is_loaded)
    }

    /// Returns the adapter of a running request.
    pub fn running_model(&self, ticket: Ticket) -> Option<&AdapterVersion> {
        self.running.get(&ticket).map(|run| &run.model)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the adapters in memory, each with whether its load has finished.
    pub fn residents(&self) -> impl Iterator<Item = (&AdapterVersion, bool)> {
        self.slots.residents().map(|(model, residency)| {
            let is_loaded = !matches!(residency, Residency::Loading { .. });
            (model, is_loaded)
        })
    }

    /// Returns the digest of this server's state that is sent to the other instances.
    ///
    /// `fencing` must be larger than that of every earlier owner, and `sequence` larger than that
    /// of every earlier digest of this owner.
    pub fn digest(&self, server: &Name, fencing: u64, sequence: u64) -> ServerDigest {
        let (mut loaded, mut loading) = (Vec::new(), Vec::new());
        for (model, is_loaded) in self.residents() {
            let list = if is_loaded { &mut loaded } else { &mut loading };
            list.push(digest::model_key(model));
        }
        ServerDigest {
            server: server.clone(),
            fencing,
            sequence,
            loaded,
            loading,
            waiting: count(self.waiting()),
            running: count(self.running()),
            open_slots: count(self.slots.available()),
            wanted_loads: count(self.backlog.organisations.wanted_loads()),
            run_ms: count(self.service_times.run_ms()),
        }
    }

    fn advance(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.refuse_expired(now_ms, &mut actions);
        self.fill_batch(now_ms, &mut actions);
        if self.settings.permits == LoadPermits::Unlimited {
            while self.start_load(now_ms, &mut actions) {}
        }
        self.update_overdue_load(now_ms);
        actions
    }

    fn refuse_expired(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some(entry) = self.backlog.take_expired(now_ms) {
            let request = &entry.request;
            let expected_wait_ms = self.expected_wait_ms(&request.model, &entry.account, now_ms);
            actions.push(refuse(
                request.ticket,
                Code::Timeout,
                ceil_ms(expected_wait_ms),
            ));
        }
    }

    fn fill_batch(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while self.running.len() < self.limits.batch {
            let Some(entry) = self.backlog.take_ready() else {
                return;
            };
            actions.push(Action::Dispatch {
                ticket: entry.request.ticket,
                priority: self.priority(&entry),
            });
            self.start_run(entry, now_ms);
        }
    }

    /// Gives a higher engine priority to an organisation that occupies less of the batch relative
    /// to its weight.
    fn priority(&self, entry: &BacklogEntry) -> i32 {
        const HIGHEST: usize = 100;
        let running = self
            .running_by_account
            .get(&entry.account)
            .copied()
            .unwrap_or(0);
        let weight = entry.request.weight.max(1) as usize;
        let held = HIGHEST * running / (self.limits.batch.max(1) * weight);
        i32::try_from(HIGHEST.saturating_sub(held)).unwrap_or(0)
    }

    fn start_run(&mut self, entry: BacklogEntry, now_ms: u64) {
        let request = entry.request;
        self.slots.start_run(&request.model, now_ms);
        *self
            .running_by_account
            .entry(entry.account.clone())
            .or_insert(0) += 1;
        let run = RunningRequest {
            model: request.model,
            account: entry.account,
            cost_tokens: request.cost_tokens,
            started_ms: now_ms,
        };
        self.running.insert(request.ticket, run);
    }

    fn end_run(&mut self, ticket: Ticket, used_tokens: Option<u64>, now_ms: u64) {
        let Some(run) = self.running.remove(&ticket) else {
            return;
        };
        self.slots.end_run(&run.model, now_ms);
        if let Some(count) = self.running_by_account.get_mut(&run.account) {
            *count -= 1;
            if *count == 0 {
                self.running_by_account.remove(&run.account);
            }
        }
        let run_ms = now_ms.saturating_sub(run.started_ms);
        self.service_times.record_run(run.cost_tokens, run_ms);
        let unused_tokens = run
            .cost_tokens
            .saturating_sub(used_tokens.unwrap_or(u64::MAX));
        if unused_tokens > 0 {
            let organisations = &mut self.backlog.organisations;
            organisations.refund_tokens(&run.account, unused_tokens);
        }
    }

    /// Starts the most urgent load if a slot is available for it; returns whether it did.
    fn start_load(&mut self, now_ms: u64, actions: &mut Vec<Action>) -> bool {
        let Some((_, model)) = self.backlog.organisations.first_wanted_load() else {
            return false;
        };
        let model = model.clone();
        if !self.slots.has_free() {
            let Some(eviction_candidate) = self.eviction_candidate(now_ms) else {
                return false;
            };
            self.slots.remove(&eviction_candidate);
            self.backlog.set_phase(&eviction_candidate, Phase::Absent);
            actions.push(Action::Evict {
                model: eviction_candidate,
            });
        }
        let demand = self.backlog.group_len(&model);
        self.backlog.organisations.charge_load();
        self.backlog.set_phase(&model, Phase::Blocked);
        self.slots.start_load(&model, demand, now_ms);
        self.service_times.record_load_start(now_ms);
        actions.push(Action::Load { model });
        true
    }

    fn eviction_candidate(&self, now_ms: u64) -> Option<AdapterVersion> {
        let is_wanted = |model: &AdapterVersion| self.backlog.group_len(model) > 0;
        self.slots.eviction_candidate(is_wanted, now_ms)
    }

    /// Records whether a load is waiting for its start, and starts draining an adapter if every
    /// slot is busy.
    fn update_overdue_load(&mut self, now_ms: u64) {
        let Some((rank, _)) = self.backlog.organisations.first_wanted_load() else {
            self.service_times.clear_load_due();
            self.stop_drain();
            return;
        };
        self.service_times.record_load_due(now_ms);
        let has_pending_slot = self.slots.has_free() || self.slots.draining().is_some();
        if has_pending_slot || self.eviction_candidate(now_ms).is_some() {
            return;
        }
        let age_ms = i64::try_from(now_ms)
            .unwrap_or(i64::MAX)
            .saturating_sub(rank);
        if age_ms >= i64::try_from(self.settings.drain_after_ms).unwrap_or(i64::MAX) {
            self.start_drain(now_ms);
        }
    }

    fn start_drain(&mut self, now_ms: u64) {
        if let Some(model) = self.slots.drain_candidate(now_ms) {
            self.slots.set_residency(&model, Residency::Draining);
            self.backlog.set_phase(&model, Phase::Blocked);
        }
    }

    fn stop_drain(&mut self) {
        if let Some(model) = self.slots.draining().cloned() {
            self.slots.set_residency(&model, Residency::Loaded);
            self.backlog.set_phase(&model, Phase::Ready);
        }
    }

    fn phase(&self, model: &AdapterVersion) -> Phase {
        match self.slots.get(model).map(|slot| slot.residency) {
            None => Phase::Absent,
            Some(Residency::Loading { .. } | Residency::Draining) => Phase::Blocked,
            Some(Residency::Loaded) => Phase::Ready,
        }
    }

    /// Returns the expected wait of a new request of an account, in milliseconds.
    fn expected_wait_ms(&self, model: &AdapterVersion, account: &Name, now_ms: u64) -> f64 {
        let tokens = self.backlog.organisations.tokens_ahead(account);
        let batch_ms = self.service_times.tokens_ms(tokens, self.limits.batch);
        let load_ms = match self.slots.get(model).map(|slot| slot.residency) {
            None | Some(Residency::Draining) => {
                let loads = self.backlog.organisations.loads_ahead(account);
                self.service_times.loads_ms(loads)
            }
            Some(Residency::Loading { since_ms }) => {
                self.service_times.remaining_load_ms(since_ms, now_ms)
            }
            Some(Residency::Loaded) => 0.0,
        };
        batch_ms.max(load_ms)
    }

    /// Refuses a newly added request that could not start at once and is not expected to meet its
    /// deadline.
    fn refuse_if_deadline_unreachable(
        &mut self,
        ticket: Ticket,
        remaining_ms: u64,
        expected_wait_ms: f64,
    ) -> Option<Action> {
        let late_ms = expected_wait_ms - remaining_ms as f64;
        if !self.settings.refuse_early || late_ms <= 0.0 {
            return None;
        }
        self.backlog.remove(ticket)?;
        Some(refuse(ticket, Code::Overloaded, ceil_ms(late_ms)))
    }

    fn account(&self, organisation: &Name) -> Name {
        match self.settings.order {
            Order::Product => organisation.clone(),
            Order::Fifo => Name::from(""),
        }
    }
}

fn refuse(ticket: Ticket, code: Code, retry_after_ms: u64) -> Action {
    Action::Refuse {
        ticket,
        code,
        retry_after_ms: retry_after_ms.max(MIN_RETRY_AFTER_MS),
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
