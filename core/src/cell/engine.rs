//! The placer's state of one engine.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::BuildHasherDefault;

use super::adapter_map::{AdapterMap, NameHasher};
use super::engine_pace::EnginePace;
use super::load_queue::LoadRank;
use super::message::Ticket;
use super::order::{OrderKind, Report};
use super::prefill_queue::PrefillQueue;
use super::prompt_cache::PromptCache;
use super::recent_adapters::RecentAdapters;
use crate::backend::Backend;
use crate::name::Name;

/// Maximum number of adapter loads planned or in progress at one server.
pub(crate) const MAX_PENDING_LOADS: usize = 4;
/// Age of a report's content when it arrives, in milliseconds, with a margin.
pub(crate) const REPORT_LAG_MS: u64 = 350;

/// Number of ranks of requests; a larger rank counts as the last one.
const URGENCIES: usize = 10;

/// Base model and name of an adapter.
pub type AdapterKey = (Name, Name);

/// An engine with its orders, adapters and assigned requests.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    /// The server's own description.
    pub(crate) backend: Backend,
    /// Whether `sequence` and the held adapters are known well enough to send orders.
    pub(crate) report_state: ReportState,
    /// Number of orders that the engine has accepted, as counted by the placer.
    pub(crate) sequence: u64,
    /// Base models.
    pub(crate) models: HashMap<Name, ModelPhase, BuildHasherDefault<NameHasher>>,
    /// Adapters of all models.
    pub(crate) adapters: AdapterMap<AdapterState>,
    /// Loads among `adapters`. Invariant: [`Engine::update_loads`] is called after each change of a phase.
    pub(crate) loads: Loads,
    /// Adapters that it held before, which load faster.
    pub(crate) recently_held: RecentAdapters,
    /// Whether a report has listed adapters as loaded for which requests may wait.
    pub(crate) has_reported_loads: bool,
    /// Orders to be sent, oldest first.
    pub(crate) planned: VecDeque<PlannedOrder>,
    /// The order that has been sent and not answered yet.
    pub(crate) in_flight: Option<PlannedOrder>,
    /// Prompts that wait for their prefill.
    pub(crate) prefills: PrefillQueue,
    /// Its speed against others.
    pub(crate) pace: EnginePace,
    /// Requests that run or wait there.
    pub(crate) running: usize,
    /// Attempts of those requests.
    pub(crate) tickets: BTreeSet<Ticket>,
    /// Number of the requests in `running` by urgency.
    pub(crate) running_by_urgency: [usize; URGENCIES],
    /// Tokens of the requests in `running`.
    pub(crate) running_tokens: u64,
    /// Prompt parts that it has cached.
    pub(crate) cache: PromptCache,
    /// Time until which it gets no requests because requests failed there, in milliseconds.
    pub(crate) avoided_until_ms: u64,
}

/// Whether the content of an engine is confirmed by a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportState {
    /// A report has confirmed it; orders may be sent.
    Confirmed,
    /// A report is to be requested at this time, in milliseconds.
    RequestAt(u64),
    /// A report has been requested.
    Requested,
}

/// State of a base model at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ModelPhase {
    /// The engine holds it.
    Loaded,
    /// Its load has been ordered.
    Loading,
}

/// State of an adapter at an engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AdapterState {
    /// Its version; 0 if it is not known.
    pub(crate) version: u64,
    /// Progress of its load or unload.
    pub(crate) phase: AdapterPhase,
    /// Requests that run on it or wait for it.
    pub(crate) uses: usize,
    /// Time of its last use, in milliseconds.
    pub(crate) last_used_ms: u64,
    /// How it was loaded, until the first request on it is answered.
    pub(crate) unconfirmed: Option<AdapterLoad>,
}

/// A load of an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AdapterLoad {
    /// Time at which it is expected to end, in milliseconds.
    pub(crate) due_ms: u64,
    /// Forecast duration, in milliseconds.
    pub(crate) forecast_ms: u64,
    /// Other loads in progress when it started.
    pub(crate) concurrent_loads: usize,
    /// Whether it is fast because the server held the adapter before. Such a load slows no other.
    pub(crate) is_reload: bool,
    /// Number of times that the load had not ended when it was due.
    pub(crate) late_count: u32,
}

/// Returns the index of a rank among the counts by urgency.
pub(crate) fn rank_index(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCIES - 1)
}

/// Returns whether a version is at least the newest one. Any version is if `newest` is `None`.
pub(crate) fn is_current(version: u64, newest: Option<u64>) -> bool {
    newest.is_none_or(|newest| version >= newest)
}

/// The loads of an engine's adapters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Loads {
    /// Loads planned or in progress.
    pub(crate) pending: usize,
    /// Loads that share the bandwidth of the weight store.
    pub(crate) under_way: usize,
    /// Loads in progress that share the bandwidth of the weight store.
    pub(crate) from_store: usize,
    /// When the next load in progress is due to end, in milliseconds.
    pub(crate) next_due_ms: Option<u64>,
}

/// Progress of loading and unloading an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdapterPhase {
    /// The order to load it has not been accepted yet.
    Planned,
    /// Its load is in progress.
    Loading {
        /// Start and forecast of the load.
        load: AdapterLoad,
    },
    /// The engine holds it.
    Loaded,
    /// It is about to be unloaded and takes no new requests.
    Unloading,
}

/// An order that has been decided and not sent yet, or not answered yet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedOrder {
    /// Whether to load or unload.
    pub(crate) kind: OrderKind,
    /// Base model.
    pub(crate) model: Name,
    /// Adapter; `None` for the base model itself.
    pub(crate) adapter: Option<Name>,
    /// Version to load; `None` for the newest.
    pub(crate) version: Option<u64>,
    /// For whom an adapter is loaded; `None` for other orders.
    pub(crate) rank: Option<LoadRank>,
}

impl Engine {
    /// Creates the state from the server's own description, which a report has to confirm.
    pub(crate) fn new(backend: Backend, now_ms: u64) -> Self {
        let mut engine = Self {
            report_state: ReportState::RequestAt(now_ms),
            sequence: backend.sequence,
            models: HashMap::default(),
            adapters: AdapterMap::default(),
            loads: Loads::default(),
            recently_held: RecentAdapters::default(),
            has_reported_loads: false,
            planned: VecDeque::new(),
            in_flight: None,
            prefills: PrefillQueue::default(),
            pace: EnginePace::default(),
            running: 0,
            tickets: BTreeSet::new(),
            running_by_urgency: [0; URGENCIES],
            running_tokens: 0,
            cache: PromptCache::default(),
            avoided_until_ms: 0,
            backend,
        };
        let models = engine.backend.models.clone();
        for model in models {
            engine.models.insert(model.name.clone(), ModelPhase::Loaded);
            for (adapter, version) in model.adapters {
                let held = AdapterState::new(version, AdapterPhase::Loaded, now_ms);
                engine.adapters.insert((model.name.clone(), adapter), held);
            }
        }
        engine
    }

    /// Returns the number of running requests that are more urgent than a rank.
    pub(crate) fn running_more_urgent(&self, urgency: u8) -> usize {
        self.running_by_urgency[..rank_index(urgency)].iter().sum()
    }

    /// Returns whether requests for a base model may be sent to the engine.
    pub(crate) fn serves(&self, model: &str, now_ms: u64) -> bool {
        self.backend.is_ready()
            && self.models.get(model) == Some(&ModelPhase::Loaded)
            && self.avoided_until_ms <= now_ms
    }

    /// Returns the time until a report may confirm the engine's content, in milliseconds; `None` if it is
    /// confirmed.
    pub(crate) fn report_wait_ms(&self, now_ms: u64) -> Option<u64> {
        match self.report_state {
            ReportState::Confirmed => None,
            ReportState::Requested => Some(0),
            ReportState::RequestAt(at_ms) => Some(at_ms.saturating_sub(now_ms)),
        }
    }

    /// Counts the loads among the adapters anew.
    pub(crate) fn update_loads(&mut self) {
        let mut loads = Loads::default();
        for adapter in self.adapters.values() {
            match adapter.phase {
                AdapterPhase::Planned => {
                    loads.pending += 1;
                    loads.under_way += 1;
                }
                AdapterPhase::Loading { load } => {
                    loads.pending += 1;
                    loads.under_way += usize::from(!load.is_reload);
                    loads.from_store += usize::from(!load.is_reload);
                    let due_ms = loads.next_due_ms.unwrap_or(load.due_ms);
                    loads.next_due_ms = Some(due_ms.min(load.due_ms));
                }
                AdapterPhase::Loaded | AdapterPhase::Unloading => {}
            }
        }
        self.loads = loads;
    }

    /// Returns the adapter that costs least to unload: one not in use, stale ones first, then the
    /// least recently used.
    pub(crate) fn eviction_candidate(
        &self,
        is_stale: impl Fn(&AdapterKey, &AdapterState) -> bool,
    ) -> Option<AdapterKey> {
        self.adapters
            .iter()
            .filter(|(_, adapter)| adapter.is_evictable())
            .min_by_key(|(key, adapter)| {
                (
                    !is_stale(key, adapter),
                    adapter.last_used_ms,
                    (*key).clone(),
                )
            })
            .map(|(key, _)| key.clone())
    }

    /// Marks the content as unconfirmed and drops unsent orders. Returns the adapters whose planned
    /// loads are dropped.
    pub(crate) fn invalidate(&mut self, report_at_ms: u64) -> Vec<AdapterKey> {
        if self.report_state != ReportState::Requested || self.in_flight.is_some() {
            self.report_state = ReportState::RequestAt(report_at_ms);
        }
        self.drop_planned(None)
    }

    /// Drops the orders that have not been sent.
    pub(crate) fn cancel_planned(&mut self) {
        let in_flight = self.in_flight.as_ref();
        let sent = in_flight.and_then(|order| Some((order.model.clone(), order.adapter.clone()?)));
        self.drop_planned(sent.as_ref());
    }

    /// Drops planned orders and forgets their effects, but for those on the adapter `sent`. Returns the
    /// adapters whose planned loads are dropped.
    fn drop_planned(&mut self, sent: Option<&AdapterKey>) -> Vec<AdapterKey> {
        self.planned.clear();
        let mut lost = Vec::new();
        self.adapters.retain(|name, adapter| match adapter.phase {
            _ if Some(name) == sent => true,
            AdapterPhase::Planned => {
                lost.push(name.clone());
                false
            }
            AdapterPhase::Unloading => {
                adapter.phase = AdapterPhase::Loaded;
                true
            }
            AdapterPhase::Loading { .. } | AdapterPhase::Loaded => true,
        });
        self.update_loads();
        lost
    }

    /// Replaces the state by that of a report. Returns the adapters that the server does not hold.
    pub(crate) fn apply_report(
        &mut self,
        report: &Report,
        load_ms: u64,
        now_ms: u64,
    ) -> Vec<AdapterKey> {
        self.sequence = report.sequence;
        self.has_reported_loads = true;
        self.report_state = ReportState::Confirmed;
        self.models.clear();
        let mut reported: AdapterMap<AdapterState> = AdapterMap::default();
        for model in &report.models {
            self.models.insert(model.name.clone(), ModelPhase::Loaded);
            for (name, version) in &model.adapters {
                let held = AdapterState::new(*version, AdapterPhase::Loaded, now_ms);
                reported.insert((model.name.clone(), name.clone()), held);
            }
        }
        for (key, version) in &report.loading {
            let load = AdapterLoad {
                due_ms: now_ms + load_ms,
                forecast_ms: load_ms,
                concurrent_loads: 0,
                is_reload: false,
                late_count: 0,
            };
            let phase = AdapterPhase::Loading { load };
            let held = AdapterState::new(*version, phase, now_ms);
            reported.entry(key.clone()).or_insert(held);
        }
        let mut lost = Vec::new();
        for (name, before) in self.adapters.drain() {
            match reported.get_mut(&name) {
                Some(adapter) => {
                    adapter.uses = before.uses;
                    adapter.unconfirmed = before.unconfirmed;
                    adapter.last_used_ms = before.last_used_ms;
                    if let (AdapterPhase::Loading { .. }, AdapterPhase::Loading { .. }) =
                        (adapter.phase, before.phase)
                    {
                        adapter.phase = before.phase;
                    }
                }
                None => lost.push(name),
            }
        }
        for (_, adapter) in &lost {
            self.cache.remove_adapter(adapter);
        }
        self.adapters = reported;
        self.update_loads();
        lost
    }
}

impl AdapterState {
    pub(super) fn new(version: u64, phase: AdapterPhase, now_ms: u64) -> Self {
        Self {
            version,
            phase,
            uses: 0,
            last_used_ms: now_ms,
            unconfirmed: None,
        }
    }

    /// Returns whether it may be unloaded now.
    pub(super) fn is_evictable(&self) -> bool {
        self.uses == 0 && self.phase == AdapterPhase::Loaded
    }
}
