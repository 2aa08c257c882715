//! One engine as its placer sees it.

use std::collections::{HashMap, VecDeque};

use super::order::{OrderKind, Report};
use super::prefill_queue::PrefillQueue;
use super::prompt_cache::PromptCache;
use crate::backend::Backend;
use crate::name::Name;

/// Loads of adapters that may be under way at one server.
pub(crate) const MAX_PENDING_LOADS: usize = 4;
/// Age of what a report says when it arrives, in milliseconds, with a margin.
pub(crate) const REPORT_LAG_MS: u64 = 350;

/// Base model and name of an adapter.
pub type AdapterKey = (Name, Name);

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    /// How it describes itself.
    pub(crate) backend: Backend,
    /// Whether `sequence` and what it holds are known well enough to give orders.
    pub(crate) report_state: ReportState,
    /// Orders that it has accepted, counted here.
    pub(crate) sequence: u64,
    /// Base models.
    pub(crate) models: HashMap<Name, ModelPhase>,
    /// Adapters of all models.
    pub(crate) adapters: HashMap<AdapterKey, AdapterState>,
    /// Adapters that it held before; they load fast.
    pub(crate) recently_held: RecentAdapters,
    /// Orders to be given, oldest first.
    pub(crate) planned: VecDeque<PlannedOrder>,
    /// The order that has not been answered yet.
    pub(crate) in_flight: Option<PlannedOrder>,
    /// Prompts that it has to read.
    pub(crate) prefills: PrefillQueue,
    /// Requests that run or wait there.
    pub(crate) running: usize,
    /// Tokens of those requests.
    pub(crate) running_tokens: u64,
    /// Prompt parts that it keeps.
    pub(crate) cache: PromptCache,
    /// Until when it is left out because requests failed there, in milliseconds.
    pub(crate) avoided_until_ms: u64,
}

/// Whether the placer knows what an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportState {
    /// It knows, and gives orders.
    Confirmed,
    /// A report has to be asked for at this time, in milliseconds.
    RequestAt(u64),
    /// A report was asked for.
    Requested,
}

/// A base model at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ModelPhase {
    /// It is there.
    Loaded,
    /// It was ordered.
    Loading,
}

/// An adapter at an engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AdapterState {
    /// Its version; 0 if it is not known.
    pub(crate) version: u64,
    /// Whether it is there yet.
    pub(crate) phase: AdapterPhase,
    /// Requests that run on it or wait for it.
    pub(crate) uses: usize,
    /// When it was last used, in milliseconds.
    pub(crate) used_ms: u64,
    /// How it was loaded, until the first request on it was answered.
    pub(crate) unconfirmed: Option<AdapterLoad>,
}

/// A load of an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AdapterLoad {
    /// When it is expected to have ended, in milliseconds.
    pub(crate) due_ms: u64,
    /// Time that it was forecast to take, in milliseconds.
    pub(crate) forecast_ms: u64,
    /// Loads that were under way beside it when it began.
    pub(crate) concurrent_loads: usize,
    /// Whether it is fast because the server held the adapter before. It slows no other load.
    pub(crate) is_reload: bool,
    /// Times that it had not arrived when it was forecast.
    pub(crate) late_count: u32,
}

/// Adapters that a server held lately with their versions, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentAdapters {
    adapters: VecDeque<(AdapterKey, u64)>,
}

/// Adapters of which a server keeps a copy at hand beside those that it holds.
const MAX_RECENT: usize = 48;

impl RecentAdapters {
    /// Whether it held the adapter, in the newest version if there is a newer one than the first.
    pub(crate) fn contains(&self, key: &AdapterKey, newest: Option<u64>) -> bool {
        let is_known =
            |(known, version): &(AdapterKey, u64)| known == key && is_current(*version, newest);
        self.adapters.iter().any(is_known)
    }

    pub(crate) fn insert(&mut self, key: AdapterKey, version: u64) {
        self.remove(&key);
        self.adapters.push_back((key, version));
        if self.adapters.len() > MAX_RECENT {
            self.adapters.pop_front();
        }
    }

    pub(crate) fn remove(&mut self, key: &AdapterKey) {
        self.adapters.retain(|(known, _)| known != key);
    }
}

/// Whether a version of an adapter is the newest one. Any will do if none is named.
pub(crate) fn is_current(version: u64, newest: Option<u64>) -> bool {
    newest.is_none_or(|newest| version >= newest)
}

/// Whether an adapter is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdapterPhase {
    /// The order to load it has not been accepted yet.
    Planned,
    /// Its load is under way.
    Loading {
        /// The load.
        load: AdapterLoad,
    },
    /// It is there.
    Loaded,
    /// It is to be unloaded; it takes no new requests.
    Unloading,
}

/// An order that was decided on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedOrder {
    /// What to do.
    pub(crate) kind: OrderKind,
    /// Base model.
    pub(crate) model: Name,
    /// Adapter; `None` for the base model itself.
    pub(crate) adapter: Option<Name>,
    /// Version to load; `None` for the newest.
    pub(crate) version: Option<u64>,
}

impl Engine {
    /// An engine as it describes itself; a report has to confirm it.
    pub(crate) fn new(backend: Backend, now_ms: u64) -> Self {
        let mut engine = Self {
            report_state: ReportState::RequestAt(now_ms),
            sequence: backend.sequence,
            models: HashMap::new(),
            adapters: HashMap::new(),
            recently_held: RecentAdapters::default(),
            planned: VecDeque::new(),
            in_flight: None,
            prefills: PrefillQueue::default(),
            running: 0,
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

    /// Whether requests for a base model may be sent there.
    pub(crate) fn serves(&self, model: &str, now_ms: u64) -> bool {
        self.backend.is_ready()
            && self.models.get(model) == Some(&ModelPhase::Loaded)
            && self.avoided_until_ms <= now_ms
    }

    /// Adapters whose loads are planned or under way.
    pub(crate) fn pending_loads(&self) -> usize {
        self.adapters
            .values()
            .filter(|adapter| adapter.is_pending())
            .count()
    }

    /// Loads under way that share the weight store.
    pub(crate) fn loads_under_way(&self) -> usize {
        let shares = |adapter: &&AdapterState| match adapter.phase {
            AdapterPhase::Planned => true,
            AdapterPhase::Loading { load } => !load.is_reload,
            AdapterPhase::Loaded | AdapterPhase::Unloading => false,
        };
        self.adapters.values().filter(shares).count()
    }

    /// The adapter that may be unloaded with the least loss: not in use, and stale or else used
    /// longest ago.
    pub(crate) fn eviction_candidate(
        &self,
        is_stale: impl Fn(&AdapterKey, &AdapterState) -> bool,
    ) -> Option<AdapterKey> {
        self.adapters
            .iter()
            .filter(|(_, adapter)| adapter.uses == 0 && adapter.phase == AdapterPhase::Loaded)
            .min_by_key(|(key, adapter)| (!is_stale(key, adapter), adapter.used_ms, (*key).clone()))
            .map(|(key, _)| key.clone())
    }

    /// What it holds is no longer sure; orders that were not given are dropped. Returns the
    /// adapters that will not come.
    pub(crate) fn invalidate(&mut self, report_at_ms: u64) -> Vec<AdapterKey> {
        if self.report_state != ReportState::Requested || self.in_flight.is_some() {
            self.report_state = ReportState::RequestAt(report_at_ms);
        }
        self.planned.clear();
        let mut lost = Vec::new();
        self.adapters.retain(|name, adapter| match adapter.phase {
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
        lost
    }

    /// Takes a report as the truth; returns the adapters that are not there after all.
    pub(crate) fn apply_report(
        &mut self,
        report: &Report,
        load_ms: u64,
        now_ms: u64,
    ) -> Vec<AdapterKey> {
        self.sequence = report.sequence;
        self.report_state = ReportState::Confirmed;
        self.models.clear();
        let mut reported: HashMap<AdapterKey, AdapterState> = HashMap::new();
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
                    adapter.used_ms = before.used_ms;
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
        lost
    }
}

impl AdapterState {
    pub(super) fn new(version: u64, phase: AdapterPhase, now_ms: u64) -> Self {
        Self {
            version,
            phase,
            uses: 0,
            used_ms: now_ms,
            unconfirmed: None,
        }
    }

    pub(super) fn is_pending(&self) -> bool {
        matches!(
            self.phase,
            AdapterPhase::Planned | AdapterPhase::Loading { .. }
        )
    }
}
