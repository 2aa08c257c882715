//! Which engine a request gets, by the forecast of its first event.
//!
//! Answers a load of long prompts that share parts, on many more adapters than there are places.

use super::engine::{AdapterKey, AdapterPhase, Engine, Knowledge, MAX_COMING, is_current};
use super::load_speed::LoadSpeed;
use super::read_speed::ReadSpeed;
use crate::name::Name;
use crate::prompt::Prompt;

/// What a load from the weight store counts beyond its own time, in milliseconds: it slows other
/// loads and takes the place of another adapter.
const LOAD_PENALTY_MS: f64 = 200.0;
/// What a load of an adapter that the server held before counts beyond its own time.
const RELOAD_PENALTY_MS: f64 = 40.0;
/// What a request that runs already counts, in milliseconds: it slows each step.
const RUNNING_PENALTY_MS: f64 = 5.0;
/// What a server in another availability zone counts, in milliseconds.
const OTHER_ZONE_PENALTY_MS: f64 = 8.0;
/// What it counts if the memory of the server is full, in milliseconds: the request waits until
/// others end.
const MEMORY_PENALTY_MS: f64 = 500.0;
/// Share of an engine's memory that running requests may fill.
const MEMORY_SHARE: f64 = 0.9;

/// What the choice depends on beside the engines.
pub(crate) struct Situation<'a> {
    /// Time in milliseconds.
    pub(crate) now_ms: u64,
    /// Whether orders may be given.
    pub(crate) may_order: bool,
    /// Loads of adapters under way over all engines.
    pub(crate) loads_under_way: usize,
    /// Adapters that one engine holds at most.
    pub(crate) adapter_places: usize,
    /// Memory of one engine in tokens.
    pub(crate) kv_tokens: u64,
    /// Requests that one engine runs at once.
    pub(crate) slots: usize,
    /// Speed of loads.
    pub(crate) load_speed: &'a LoadSpeed,
    /// Reading speed.
    pub(crate) speed: &'a ReadSpeed,
    /// Newest version of the adapter; `None` if any version will do.
    pub(crate) newest: Option<u64>,
    /// Availability zone of the instance that sends the request.
    pub(crate) zone: &'a str,
    /// Rank of the request; a smaller one is read first.
    pub(crate) urgency: u8,
}

/// An engine for a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    /// Identifier of the server.
    pub(crate) server: Name,
    /// Whether the adapter has to be loaded.
    pub(crate) needs_load: bool,
    /// Time until the adapter is there, in milliseconds.
    pub(crate) adapter_ms: f64,
    /// Time until the server begins to read the prompt, in milliseconds.
    pub(crate) wait_ms: f64,
    /// Time to read what is not kept there, in milliseconds.
    pub(crate) read_ms: f64,
    /// Tokens that are not kept there.
    pub(crate) unread_tokens: u64,
    /// By this the engines are compared.
    score: f64,
}

/// The engine with the earliest forecast first event, loads and slowed requests counted.
pub(crate) fn choose<'a>(
    engines: impl Iterator<Item = &'a Engine>,
    prompt: &Prompt,
    situation: &Situation<'_>,
) -> Option<Choice> {
    engines
        .filter_map(|engine| forecast(engine, prompt, situation))
        .min_by(|one, other| one.score.total_cmp(&other.score))
}

fn forecast(engine: &Engine, prompt: &Prompt, situation: &Situation<'_>) -> Option<Choice> {
    if !engine.serves(&prompt.model, situation.now_ms) {
        return None;
    }
    let way = way_to_adapter(engine, prompt, situation)?;
    let version = situation.newest.unwrap_or(0);
    let kept_tokens = engine.cache.kept_tokens(prompt, version);
    let unread_tokens = prompt.prompt_tokens.saturating_sub(kept_tokens);
    let read_ms = situation.speed.read_ms(unread_tokens as f64);
    let now_ms = situation.now_ms as f64;
    let adapter_at_ms = now_ms + way.wait_ms;
    let start_ms = engine
        .reading
        .start_ms(adapter_at_ms, situation.urgency, now_ms);
    let wait_ms = start_ms - now_ms;
    let score = wait_ms + read_ms + way.penalty_ms + crowd_penalty_ms(engine, prompt, situation);
    Some(Choice {
        server: engine.backend.id.clone(),
        needs_load: way.needs_load,
        adapter_ms: way.wait_ms,
        wait_ms,
        read_ms,
        unread_tokens,
        score,
    })
}

struct Way {
    wait_ms: f64,
    penalty_ms: f64,
    needs_load: bool,
}

/// How the adapter gets to the engine; `None` if it cannot.
fn way_to_adapter(engine: &Engine, prompt: &Prompt, situation: &Situation<'_>) -> Option<Way> {
    let Some(key) = prompt.adapter_key() else {
        return Some(Way::there(0.0));
    };
    let held = engine.adapters.get(&key);
    let held = held.filter(|held| is_current(held.version, situation.newest));
    match held.map(|held| held.phase) {
        Some(AdapterPhase::Held) => Some(Way::there(0.0)),
        Some(AdapterPhase::Coming { load }) => Some(Way::there(
            load.due_ms.saturating_sub(situation.now_ms) as f64,
        )),
        Some(AdapterPhase::Planned) => Some(Way::there(load_wait_ms(engine, &key, situation))),
        Some(AdapterPhase::Leaving) => None,
        None => may_load(engine, &key, situation).then(|| Way {
            wait_ms: load_wait_ms(engine, &key, situation),
            penalty_ms: load_penalty_ms(engine, &key, situation),
            needs_load: true,
        }),
    }
}

impl Way {
    fn there(wait_ms: f64) -> Self {
        Self {
            wait_ms,
            penalty_ms: 0.0,
            needs_load: false,
        }
    }
}

fn may_load(engine: &Engine, key: &AdapterKey, situation: &Situation<'_>) -> bool {
    let may_order = situation.may_order && engine.knowledge == Knowledge::Sure;
    if !may_order || engine.coming() >= MAX_COMING {
        return false;
    }
    if let Some(stale) = engine.adapters.get(key) {
        return stale.uses == 0 && stale.phase == AdapterPhase::Held;
    }
    engine.adapters.len() < situation.adapter_places || engine.victim(|_, _| false).is_some()
}

fn load_wait_ms(engine: &Engine, key: &AdapterKey, situation: &Situation<'_>) -> f64 {
    let is_held_before = engine.held_before.contains(key, situation.newest);
    let speed = situation.load_speed;
    speed.load_ms(is_held_before, situation.loads_under_way) as f64
}

fn load_penalty_ms(engine: &Engine, key: &AdapterKey, situation: &Situation<'_>) -> f64 {
    if engine.held_before.contains(key, situation.newest) {
        RELOAD_PENALTY_MS
    } else {
        LOAD_PENALTY_MS
    }
}

fn crowd_penalty_ms(engine: &Engine, prompt: &Prompt, situation: &Situation<'_>) -> f64 {
    let needed = engine.running_tokens + prompt.charged_tokens();
    let is_full = needed as f64 > situation.kv_tokens as f64 * MEMORY_SHARE
        || engine.running >= situation.slots;
    let memory_ms = if is_full { MEMORY_PENALTY_MS } else { 0.0 };
    let zone_ms = if &*engine.backend.zone == situation.zone {
        0.0
    } else {
        OTHER_ZONE_PENALTY_MS
    };
    engine.running as f64 * RUNNING_PENALTY_MS + memory_ms + zone_ms
}
