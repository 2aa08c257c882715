//! Queue of one backend server, kept by its owner.
//!
//! The owner alone decides which adapters the server holds and which requests it runs, so the
//! state here is the truth about the server's slots and batch.

mod action;
mod backlog;
mod lanes;
mod pace;
mod settings;
mod share;
mod slots;

use std::collections::HashMap;

pub use self::action::{Action, ServerLimits, Ticket, Waiting, WantedLoad};
use self::backlog::{Backlog, Entry, Phase};
use self::pace::Pace;
pub use self::settings::{Eviction, LoadPermits, Order, QueueSettings};
use self::slots::{Residency, Slots};
use crate::backoff::Backoff;
use crate::name::{AdapterVersion, Name};
use crate::placement::digest::{self, ServerDigest};
use crate::request::Code;
use crate::rounding::ceil_ms;

/// Shortest time after which a repeat is advised, in milliseconds.
const SHORTEST_RETRY_MS: u64 = 100;

/// A request at the server.
#[derive(Debug)]
struct Run {
    model: AdapterVersion,
    lane: Name,
    cost_tokens: u64,
    started_ms: u64,
}

/// Queue, slots and batch of one server.
#[derive(Debug)]
pub struct ServerQueue {
    limits: ServerLimits,
    settings: QueueSettings,
    backlog: Backlog,
    slots: Slots,
    backoff: Backoff<AdapterVersion>,
    pace: Pace,
    /// Requests at the server. Invariant: at most `limits.batch`.
    running: HashMap<Ticket, Run>,
    /// Requests at the server by organisation. Invariant: no count is zero.
    running_by_lane: HashMap<Name, usize>,
}

impl ServerQueue {
    /// Builds the queue of a server whose memory is empty.
    pub fn new(limits: ServerLimits) -> Self {
        Self::with_settings(limits, QueueSettings::default())
    }

    /// Builds the queue with settings other than the default ones.
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
            pace: Pace::default(),
            running: HashMap::new(),
            running_by_lane: HashMap::new(),
        }
    }

    /// Takes in a request.
    pub fn enqueue(&mut self, request: Waiting, now_ms: u64) -> Vec<Action> {
        let ticket = request.ticket;
        let model = request.model.clone();
        if let Some(rest_ms) = self.backoff.remaining_ms(&model, now_ms) {
            return vec![refuse(ticket, Code::LoadFailed, rest_ms)];
        }
        let lane = self.lane(&request.organisation);
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let waits_ms = self.wait_ms(&model, &lane, now_ms);
        let entry = Entry {
            request,
            lane,
            arrived_ms: now_ms,
        };
        self.slots.count_arrival(&model, now_ms);
        self.backlog.push(entry, self.phase(&model));
        let mut actions = self.advance(now_ms);
        actions.extend(self.refuse_hopeless(ticket, left_ms, waits_ms));
        actions
    }

    /// An adapter has been loaded.
    pub fn loaded(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        let residency = self.slots.get(model).map(|slot| slot.residency);
        if let Some(Residency::Loading { since_ms }) = residency {
            self.pace.count_load(now_ms.saturating_sub(since_ms));
            self.backoff.record_success(model);
            self.slots.set_residency(model, Residency::Loaded);
            self.backlog.set_phase(model, Phase::Ready);
        }
        self.advance(now_ms)
    }

    /// An adapter could not be loaded; those who wait for it are refused, so that another server
    /// is tried, and for a while it is not loaded here again.
    pub fn load_failed(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        let residency = self.slots.get(model).map(|slot| slot.residency);
        if !matches!(residency, Some(Residency::Loading { .. })) {
            return self.advance(now_ms);
        }
        self.slots.remove(model);
        let pause_ms = self.backoff.record_failure(model, now_ms);
        let failed = self.backlog.take_group(model);
        let refusal = |entry: &Entry| refuse(entry.request.ticket, Code::LoadFailed, pause_ms);
        let mut actions: Vec<Action> = failed.iter().map(refusal).collect();
        actions.extend(self.advance(now_ms));
        actions
    }

    /// A dispatched request has ended, in whichever way, and used all the tokens it was charged.
    pub fn finished(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        self.end_run(ticket, None, now_ms);
        self.advance(now_ms)
    }

    /// A dispatched request has ended and used `used_tokens`.
    pub fn finished_with(&mut self, ticket: Ticket, used_tokens: u64, now_ms: u64) -> Vec<Action> {
        self.end_run(ticket, Some(used_tokens), now_ms);
        self.advance(now_ms)
    }

    /// A waiting request is no longer wanted; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.backlog.remove(ticket).is_some()
    }

    /// The server restarted with empty memory; what ran on it is gone. Loads under way still get
    /// their answer.
    pub fn restarted(&mut self, now_ms: u64) -> Vec<Action> {
        self.running.clear();
        self.running_by_lane.clear();
        for model in self.slots.clear_loaded() {
            self.backlog.set_phase(&model, Phase::Absent);
        }
        self.advance(now_ms)
    }

    /// Time has passed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.backoff.remove_expired(now_ms);
        self.advance(now_ms)
    }

    /// The load that this queue wants most, or `None` if it wants none or has no slot for it.
    pub fn wanted_load(&self, now_ms: u64) -> Option<WantedLoad> {
        let (rank, model) = self.backlog.lanes.first_wanted()?;
        if !self.slots.has_free() {
            self.victim(now_ms)?;
        }
        let urgency_ms = i64::try_from(now_ms)
            .unwrap_or(i64::MAX)
            .saturating_sub(rank);
        Some(WantedLoad {
            model: model.clone(),
            urgency_ms: u64::try_from(urgency_ms).unwrap_or(0),
        })
    }

    /// One load may start. Without a [`Action::Load`] in the answer the permit was not used.
    pub fn load_granted(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = self.advance(now_ms);
        if self.settings.permits == LoadPermits::Granted {
            self.start_load(now_ms, &mut actions);
            self.watch_loads(now_ms);
        }
        actions
    }

    /// An adapter was found in the server's memory. It is not evicted before
    /// [`ServerQueue::set_evictable`], because another owner may still use it.
    pub fn adopt(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        self.slots.adopt(model, now_ms);
        self.backlog.set_phase(model, Phase::Ready);
        self.advance(now_ms)
    }

    /// An adopted adapter may be evicted from now on.
    pub fn set_evictable(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        self.slots.unpin(model);
        self.advance(now_ms)
    }

    /// Slots that are taken by adapters which are not this owner's.
    pub fn set_reserved(&mut self, slots: usize, now_ms: u64) -> Vec<Action> {
        self.slots.set_reserved(slots);
        self.advance(now_ms)
    }

    /// The server no longer holds an adapter that it was thought to hold.
    pub fn lost(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        if !self.is_loading(model) {
            self.slots.remove(model);
            self.backlog.set_phase(model, Phase::Absent);
        }
        self.advance(now_ms)
    }

    /// Whether an adapter is being loaded.
    pub fn is_loading(&self, model: &AdapterVersion) -> bool {
        let residency = self.slots.get(model).map(|slot| slot.residency);
        matches!(residency, Some(Residency::Loading { .. }))
    }

    /// Whether any adapter is being loaded.
    pub fn loads_any(&self) -> bool {
        self.residents().any(|(_, is_loaded)| !is_loaded)
    }

    /// Adapter of a request that runs.
    pub fn model_of(&self, ticket: Ticket) -> Option<&AdapterVersion> {
        self.running.get(&ticket).map(|run| &run.model)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Adapters in memory, with whether they are loaded already.
    pub fn residents(&self) -> impl Iterator<Item = (&AdapterVersion, bool)> {
        self.slots.residents().map(|(model, residency)| {
            let is_loaded = !matches!(residency, Residency::Loading { .. });
            (model, is_loaded)
        })
    }

    /// What the other instances are told of this server.
    ///
    /// `fencing` is larger than that of every earlier owner, `sequence` than that of every earlier
    /// digest of this owner.
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
            open_slots: count(self.slots.open()),
            wanted_loads: count(self.backlog.lanes.wanted()),
            run_ms: count(self.pace.run_ms()),
        }
    }

    fn advance(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.give_up_late(now_ms, &mut actions);
        self.fill_batch(now_ms, &mut actions);
        if self.settings.permits == LoadPermits::Unlimited {
            while self.start_load(now_ms, &mut actions) {}
        }
        self.watch_loads(now_ms);
        actions
    }

    fn give_up_late(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some(entry) = self.backlog.take_expired(now_ms) {
            let request = &entry.request;
            let waits_ms = self.wait_ms(&request.model, &entry.lane, now_ms);
            actions.push(refuse(request.ticket, Code::Timeout, ceil_ms(waits_ms)));
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

    /// An organisation that holds less of the batch for its weight goes first at the engine.
    fn priority(&self, entry: &Entry) -> i32 {
        const HIGHEST: usize = 100;
        let running = self.running_by_lane.get(&entry.lane).copied().unwrap_or(0);
        let weight = entry.request.weight.max(1) as usize;
        let held = HIGHEST * running / (self.limits.batch.max(1) * weight);
        i32::try_from(HIGHEST.saturating_sub(held)).unwrap_or(0)
    }

    fn start_run(&mut self, entry: Entry, now_ms: u64) {
        let request = entry.request;
        self.slots.start_run(&request.model, now_ms);
        *self.running_by_lane.entry(entry.lane.clone()).or_insert(0) += 1;
        let run = Run {
            model: request.model,
            lane: entry.lane,
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
        if let Some(count) = self.running_by_lane.get_mut(&run.lane) {
            *count -= 1;
            if *count == 0 {
                self.running_by_lane.remove(&run.lane);
            }
        }
        let run_ms = now_ms.saturating_sub(run.started_ms);
        self.pace.count_run(run.cost_tokens, run_ms);
        let unused_tokens = run
            .cost_tokens
            .saturating_sub(used_tokens.unwrap_or(u64::MAX));
        if unused_tokens > 0 {
            let lanes = &mut self.backlog.lanes;
            lanes.refund_tokens(&run.lane, unused_tokens);
        }
    }

    /// Starts the most wanted load if there is a slot for it.
    fn start_load(&mut self, now_ms: u64, actions: &mut Vec<Action>) -> bool {
        let Some((_, model)) = self.backlog.lanes.first_wanted() else {
            return false;
        };
        let model = model.clone();
        if !self.slots.has_free() {
            let Some(victim) = self.victim(now_ms) else {
                return false;
            };
            self.slots.remove(&victim);
            self.backlog.set_phase(&victim, Phase::Absent);
            actions.push(Action::Evict { model: victim });
        }
        let demand = self.backlog.group_len(&model);
        self.backlog.lanes.charge_load();
        self.backlog.set_phase(&model, Phase::Held);
        self.slots.start_load(&model, demand, now_ms);
        self.pace.count_load_start(now_ms);
        actions.push(Action::Load { model });
        true
    }

    fn victim(&self, now_ms: u64) -> Option<AdapterVersion> {
        let is_wanted = |model: &AdapterVersion| self.backlog.group_len(model) > 0;
        self.slots.victim(is_wanted, now_ms)
    }

    /// Notes whether a load is overdue, and runs an adapter dry if every slot is busy.
    fn watch_loads(&mut self, now_ms: u64) {
        let Some((rank, _)) = self.backlog.lanes.first_wanted() else {
            self.pace.no_load_is_due();
            self.stop_drain();
            return;
        };
        self.pace.load_is_due(now_ms);
        let is_settled = self.slots.has_free() || self.slots.draining().is_some();
        if is_settled || self.victim(now_ms).is_some() {
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
        if let Some(model) = self.slots.least_busy(now_ms) {
            self.slots.set_residency(&model, Residency::Draining);
            self.backlog.set_phase(&model, Phase::Held);
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
            Some(Residency::Loading { .. } | Residency::Draining) => Phase::Held,
            Some(Residency::Loaded) => Phase::Ready,
        }
    }

    /// Expected wait of a new request of an organisation, in milliseconds.
    fn wait_ms(&self, model: &AdapterVersion, lane: &Name, now_ms: u64) -> f64 {
        let tokens = self.backlog.lanes.tokens_ahead(lane);
        let batch_ms = self.pace.tokens_ms(tokens, self.limits.batch);
        let load_ms = match self.slots.get(model).map(|slot| slot.residency) {
            None | Some(Residency::Draining) => {
                let loads = self.backlog.lanes.loads_ahead(lane);
                self.pace.loads_ms(loads)
            }
            Some(Residency::Loading { since_ms }) => self.pace.load_rest_ms(since_ms, now_ms),
            Some(Residency::Loaded) => 0.0,
        };
        batch_ms.max(load_ms)
    }

    /// Refuses a request that has just come, could not start at once and is expected to wait
    /// longer than it may.
    fn refuse_hopeless(&mut self, ticket: Ticket, left_ms: u64, waits_ms: f64) -> Option<Action> {
        let late_ms = waits_ms - left_ms as f64;
        if !self.settings.refuse_early || late_ms <= 0.0 {
            return None;
        }
        self.backlog.remove(ticket)?;
        Some(refuse(ticket, Code::Overloaded, ceil_ms(late_ms)))
    }

    fn lane(&self, organisation: &Name) -> Name {
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
        retry_after_ms: retry_after_ms.max(SHORTEST_RETRY_MS),
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
