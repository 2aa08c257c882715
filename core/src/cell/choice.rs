//! Chooses the engine for a request by the forecast time of its first event.
//!
//! Handles long prompts that share parts, with many more adapters than the engines can hold.

use std::cmp::Ordering;

use super::engine::{
    AdapterKey, AdapterPhase, AdapterState, Engine, MAX_PENDING_LOADS, ReportState, is_current,
};
use super::engine_pace::PauseLimit;
use super::load_speed::LoadSpeed;
use super::prefill_speed::PrefillSpeed;
use super::prompt_cache::PromptPrefixes;
use crate::name::Name;
use crate::prompt::Prompt;

/// Penalty for a load from the weight store in addition to its duration, in milliseconds: it slows
/// other loads and displaces another adapter.
const LOAD_PENALTY_MS: f64 = 200.0;
/// Penalty for a load of an adapter that the server held before in addition to its duration, in
/// milliseconds.
const RELOAD_PENALTY_MS: f64 = 40.0;
/// Penalty for each running request, in milliseconds: it slows each step.
const RUNNING_PENALTY_MS: f64 = 5.0;
/// Penalty for a server in another availability zone, in milliseconds.
const OTHER_ZONE_PENALTY_MS: f64 = 8.0;
/// Penalty if the memory of the server is full, in milliseconds: the request waits until others
/// end.
const MEMORY_PENALTY_MS: f64 = 500.0;
/// Penalty for each stream that a prefill makes late by its pauses, in milliseconds.
const LATE_STREAM_PENALTY_MS: f64 = 40.0;
/// Number of more urgent streams that a request may make late by its prefill.
const MAX_LATE_STREAMS: f64 = 6.0;
/// Shares of the longest accepted pause from which on a stream may be late, and is late.
const LATE_PAUSE_SHARES: std::ops::RangeInclusive<f64> = 0.7..=1.0;
/// Share of an engine's memory that running requests may fill.
const MEMORY_SHARE: f64 = 0.9;

/// Inputs of the choice other than the engines.
pub(crate) struct ChoiceContext<'a> {
    /// Current time in milliseconds.
    pub(crate) now_ms: u64,
    /// Whether orders may be sent.
    pub(crate) may_send_orders: bool,
    /// Adapter loads in progress over all engines.
    pub(crate) loads_under_way: usize,
    /// Maximum number of adapters on one engine.
    pub(crate) adapter_slots: usize,
    /// Memory of one engine in tokens.
    pub(crate) kv_tokens: u64,
    /// Maximum number of concurrent requests on one engine.
    pub(crate) slots: usize,
    /// Estimated duration of adapter loads.
    pub(crate) load_speed: &'a LoadSpeed,
    /// Estimated prefill speed.
    pub(crate) speed: &'a PrefillSpeed,
    /// Whether the engines differ in speed.
    pub(crate) is_uneven: bool,
    /// Pauses that callers accept; `None` if they do not count.
    pub(crate) pause_limit: Option<PauseLimit>,
    /// Newest version of the adapter; `None` if any version is acceptable.
    pub(crate) newest: Option<u64>,
    /// Availability zone of the instance that sends the request.
    pub(crate) zone: &'a str,
    /// Rank of the request; a smaller one is prefilled first.
    pub(crate) urgency: u8,
    /// Whether an engine that is in time goes before one with a lower cost that is not.
    pub(crate) prefers_timely: bool,
    /// Longest time that the request may wait for its prefill to start, in milliseconds.
    pub(crate) max_wait_ms: f64,
    /// Longest time until its first event, in milliseconds.
    pub(crate) max_first_event_ms: f64,
}

/// The engine chosen for a request, with its forecast.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    /// Identifier of the server.
    pub(crate) server: Name,
    /// Whether the adapter must be loaded.
    pub(crate) needs_load: bool,
    /// Time until the adapter is loaded, in milliseconds.
    pub(crate) adapter_ms: f64,
    /// Time until the server starts the prefill, in milliseconds.
    pub(crate) wait_ms: f64,
    /// Time to prefill the uncached tokens, in milliseconds.
    pub(crate) prefill_ms: f64,
    /// Prompt tokens that are not in the engine's prompt cache.
    pub(crate) uncached_tokens: u64,
    /// Whether the request would wait too long, its first event would be too late, or its prefill would
    /// make more urgent streams late. Its own prefill time
    /// does not count as waiting, so that long prompts are not refused before short ones.
    pub(crate) is_late: bool,
}

/// Returns the engine with the lowest cost among those that are in time, or among all if none is: the forecast time to the first event plus the penalties
/// for loading the adapter and for slowing other requests.
pub(crate) fn choose<'a>(
    engines: impl Iterator<Item = &'a Engine>,
    prompt: &Prompt,
    context: &ChoiceContext<'_>,
) -> Option<Choice> {
    let wanted = Wanted::new(prompt, context);
    let forecasts = engines.filter_map(|engine| {
        let forecast = forecast(engine, &wanted, context)?;
        Some((engine, forecast))
    });
    let (engine, best) = forecasts.min_by(|(_, one), (_, other)| {
        if context.prefers_timely {
            one.cmp(other)
        } else {
            one.score.total_cmp(&other.score)
        }
    })?;
    Some(Choice {
        server: engine.backend.id.clone(),
        needs_load: best.needs_load,
        adapter_ms: best.adapter_ms,
        wait_ms: best.wait_ms,
        prefill_ms: best.prefill_ms,
        uncached_tokens: best.uncached_tokens,
        is_late: best.is_late,
    })
}

/// What a request needs, in the form in which each engine is asked for it.
struct Wanted<'a> {
    prompt: &'a Prompt,
    adapter: Option<AdapterKey>,
    prefixes: PromptPrefixes,
}

impl<'a> Wanted<'a> {
    fn new(prompt: &'a Prompt, context: &ChoiceContext<'_>) -> Self {
        Self {
            prompt,
            adapter: prompt.adapter_key(),
            prefixes: PromptPrefixes::new(prompt, context.newest.unwrap_or(0)),
        }
    }
}

/// What one engine could do for a request.
struct Forecast {
    needs_load: bool,
    adapter_ms: f64,
    wait_ms: f64,
    prefill_ms: f64,
    uncached_tokens: u64,
    is_late: bool,
    /// Cost by which engines are compared, in milliseconds; the lowest is chosen.
    score: f64,
}

impl Forecast {
    /// Compares engines, the better one first: one that is in time, then the one with the lower cost.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = self.is_late.cmp(&other.is_late);
        by_time.then(self.score.total_cmp(&other.score))
    }
}

fn forecast(engine: &Engine, wanted: &Wanted<'_>, context: &ChoiceContext<'_>) -> Option<Forecast> {
    let prompt = wanted.prompt;
    if !engine.serves(&prompt.model, context.now_ms) {
        return None;
    }
    let access = adapter_access(engine, wanted, context)?;
    let cached_tokens = engine.cache.cached_tokens(&wanted.prefixes);
    let uncached_tokens = prompt.prompt_tokens.saturating_sub(cached_tokens);
    let service_ms = context.speed.prefill_ms(uncached_tokens as f64);
    let prefill_ms = if context.is_uneven {
        engine.pace.prefill_ms(service_ms)
    } else {
        service_ms
    };
    let now_ms = context.now_ms as f64;
    let adapter_at_ms = now_ms + access.wait_ms;
    let start_ms = engine
        .prefills
        .start_ms(adapter_at_ms, context.urgency, now_ms);
    let wait_ms = start_ms - now_ms;
    let late_share = late_pause_share(engine, prefill_ms, context);
    let streams = engine.running.saturating_sub(engine.prefills.len());
    let score = wait_ms
        + prefill_ms
        + access.penalty_ms
        + occupancy_penalty_ms(engine, prompt, context)
        + late_share * streams as f64 * LATE_STREAM_PENALTY_MS;
    let more_urgent = engine.running_more_urgent(context.urgency).min(streams);
    let delays_more_urgent = late_share * more_urgent as f64 > MAX_LATE_STREAMS;
    Some(Forecast {
        needs_load: access.needs_load,
        adapter_ms: access.wait_ms,
        wait_ms,
        prefill_ms,
        uncached_tokens,
        is_late: delays_more_urgent
            || wait_ms > context.max_wait_ms
            || wait_ms + prefill_ms > context.max_first_event_ms,
        score,
    })
}

struct AdapterAccess {
    wait_ms: f64,
    penalty_ms: f64,
    needs_load: bool,
}

/// Returns how the engine gets the adapter; `None` if it cannot load it.
fn adapter_access(
    engine: &Engine,
    wanted: &Wanted<'_>,
    context: &ChoiceContext<'_>,
) -> Option<AdapterAccess> {
    let Some(key) = &wanted.adapter else {
        return Some(AdapterAccess::without_load(0.0));
    };
    let known = engine.adapters.get(key);
    let held = known.filter(|held| is_current(held.version, context.newest));
    match held.map(|held| held.phase) {
        Some(AdapterPhase::Loaded) => Some(AdapterAccess::without_load(0.0)),
        Some(AdapterPhase::Loading { load }) => Some(AdapterAccess::without_load(
            load.due_ms.saturating_sub(context.now_ms) as f64,
        )),
        Some(AdapterPhase::Planned) => Some(AdapterAccess::without_load(
            AdapterAccess::by_load(engine, key, context).wait_ms,
        )),
        Some(AdapterPhase::Unloading) => None,
        None => {
            may_load(engine, known, context).then(|| AdapterAccess::by_load(engine, key, context))
        }
    }
}

impl AdapterAccess {
    fn without_load(wait_ms: f64) -> Self {
        Self {
            wait_ms,
            penalty_ms: 0.0,
            needs_load: false,
        }
    }

    fn by_load(engine: &Engine, key: &AdapterKey, context: &ChoiceContext<'_>) -> Self {
        let is_recently_held = engine.recently_held.contains(key, context.newest);
        let load_ms = context
            .load_speed
            .load_ms(is_recently_held, context.loads_under_way);
        Self {
            wait_ms: load_ms as f64,
            penalty_ms: if is_recently_held {
                RELOAD_PENALTY_MS
            } else {
                LOAD_PENALTY_MS
            },
            needs_load: true,
        }
    }
}

/// Returns whether the engine may be ordered to load an adapter of which it has at most the `stale` state.
fn may_load(engine: &Engine, stale: Option<&AdapterState>, context: &ChoiceContext<'_>) -> bool {
    let may_send_orders = context.may_send_orders && engine.report_state == ReportState::Confirmed;
    if !may_send_orders || engine.loads.pending >= MAX_PENDING_LOADS {
        return false;
    }
    if let Some(stale) = stale {
        return stale.is_evictable();
    }
    engine.adapters.len() < context.adapter_slots
        || engine.adapters.values().any(AdapterState::is_evictable)
}

/// Returns the share of the engine's streams that would be late by their pauses if it prefilled for
/// `prefill_ms` more.
fn late_pause_share(engine: &Engine, prefill_ms: f64, context: &ChoiceContext<'_>) -> f64 {
    let Some(limit) = &context.pause_limit else {
        return 0.0;
    };
    let busy_ms = engine.prefills.total_ms() + prefill_ms;
    let used_share = limit.used_share(busy_ms, &engine.pace, context.speed);
    let (from, until) = LATE_PAUSE_SHARES.into_inner();
    ((used_share - from) / (until - from)).clamp(0.0, 1.0)
}

fn occupancy_penalty_ms(engine: &Engine, prompt: &Prompt, context: &ChoiceContext<'_>) -> f64 {
    let needed = engine.running_tokens + prompt.charged_tokens();
    let is_full =
        needed as f64 > context.kv_tokens as f64 * MEMORY_SHARE || engine.running >= context.slots;
    let memory_ms = if is_full { MEMORY_PENALTY_MS } else { 0.0 };
    let zone_ms = if &*engine.backend.zone == context.zone {
        0.0
    } else {
        OTHER_ZONE_PENALTY_MS
    };
    engine.running as f64 * RUNNING_PENALTY_MS + memory_ms + zone_ms
}
