//! Choice of the backend server for a request, made by each entry instance on its own.
//!
//! The state is soft: the configured servers, the requests that this instance has sent, and the
//! digests that owners send. A wrong belief costs time, never correctness, because the owner of
//! the server decides what it holds and runs.

mod beliefs;
mod candidates;
pub mod digest;
mod homes;
mod popularity;
mod prefixes;
mod residency;
mod score;
mod servers;
mod settings;

use std::collections::{HashMap, HashSet};

use self::digest::{ModelKey, ServerDigest, model_key};
use self::homes::Homes;
use self::popularity::Popularity;
pub use self::prefixes::CacheEvent;
use self::prefixes::Prefixes;
use self::residency::Residency;
use self::score::{Ask, Candidate};
use self::servers::{Server, ServerIndex, Servers};
pub use self::settings::{PlacementSettings, Strategy};
use crate::backoff::Backoff;
use crate::name::{AdapterVersion, Name};
use crate::resource::BackendServer;

/// Servers of a plain pool that are compared.
const PLAIN_COMPARED: usize = 8;
/// Further servers named in a choice.
const ALTERNATIVES: usize = 2;

crate::record! {
    /// The chosen server.
    pub struct Choice {
        /// Where to send the request.
        pub server: Name,
        /// Whether the server is believed to have the adapter or to be loading it.
        pub is_resident: bool,
        /// Where to try next, best first.
        pub alternatives: Vec<Name>,
    }

    /// What failed at a server.
    #[derive(Copy)]
    pub enum Failure {
        /// The server, or the way to it.
        Server,
        /// A load of the adapter.
        Load,
    }
}

#[derive(Debug, Default)]
struct Pool {
    homes: Homes,
    /// Sum of the loads of the pool's servers that have not ended, by their last digests.
    open_loads: u64,
}

/// The state of an entry instance's choices.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    servers: Servers,
    pools: HashMap<Name, Pool>,
    residency: Residency,
    popularity: Popularity,
    prefixes: Prefixes,
    failed_servers: Backoff<ServerIndex>,
    failed_loads: Backoff<(ModelKey, ServerIndex)>,
    /// Number of choices so far; spreads choices among equals.
    choices: u64,
}

impl Placement {
    /// Builds the state of an instance that knows no servers.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            servers: Servers::default(),
            pools: HashMap::new(),
            residency: Residency::default(),
            popularity: Popularity::new(settings.demand_half_life_ms),
            prefixes: Prefixes::default(),
            failed_servers: Backoff::default(),
            failed_loads: Backoff::default(),
            choices: 0,
        }
    }

    /// Takes in the configured servers. Those that are leaving count as gone.
    pub fn set_servers<'a>(
        &mut self,
        servers: impl IntoIterator<Item = (&'a Name, &'a BackendServer)>,
        now_ms: u64,
    ) {
        let mut kept = HashSet::new();
        for (name, spec) in servers {
            if spec.leaving {
                continue;
            }
            let known = self.servers.find(name);
            let same = known.filter(|index| self.is_same(*index, spec));
            if same.is_none()
                && let Some(changed) = known
            {
                self.remove(changed, now_ms);
            }
            kept.insert(same.unwrap_or_else(|| self.add(name, spec)));
        }
        for index in self.servers.indices() {
            if !kept.contains(&index) {
                self.remove(index, now_ms);
            }
        }
    }

    /// Takes in the word of an owner; an older one than the last is ignored.
    pub fn observe(&mut self, digest: &ServerDigest, now_ms: u64) {
        let Some(index) = self.servers.find(&digest.server) else {
            return;
        };
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        if (digest.fencing, digest.sequence) <= server.seen {
            return;
        }
        let open_before = server.open_loads;
        server.observe(digest);
        if let Some(pool) = self.pools.get_mut(&server.pool) {
            pool.open_loads -= u64::from(open_before);
            pool.open_loads += u64::from(digest.open_loads());
        }
        self.observe_models(index, digest, now_ms);
    }

    /// Takes in news of a server's prefix cache.
    pub fn observe_cache(&mut self, server: &str, event: CacheEvent, now_ms: u64) {
        if let Some(index) = self.servers.find(server) {
            self.prefixes.observe(index, event, now_ms);
        }
    }

    /// A server restarted with empty memory; it comes back to its full share gradually.
    pub fn restarted(&mut self, server: &str, now_ms: u64) {
        let Some(index) = self.servers.find(server) else {
            return;
        };
        self.prefixes.observe(index, CacheEvent::Cleared, now_ms);
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        server.restarted_ms = Some(now_ms);
        server.open_slots = server.slots;
        for (model, _) in std::mem::take(&mut server.models) {
            self.residency.remove(model, index);
        }
    }

    /// Chooses a server for a request; `prompt_hash` is that of its prefix, or zero.
    pub fn choose(
        &mut self,
        model: &AdapterVersion,
        pool: &str,
        my_zone: &str,
        prompt_hash: u64,
        now_ms: u64,
    ) -> Option<Choice> {
        self.choose_excluding(model, pool, my_zone, prompt_hash, &[], now_ms)
    }

    /// Chooses a server other than the `excluded` ones, which were tried already.
    pub fn choose_excluding(
        &mut self,
        model: &AdapterVersion,
        pool: &str,
        my_zone: &str,
        prompt_hash: u64,
        excluded: &[Name],
        now_ms: u64,
    ) -> Option<Choice> {
        let model = model_key(model);
        self.choices = self.choices.wrapping_add(1);
        let demand = self.popularity.count(model, now_ms);
        let ask = Ask {
            model: Some(model),
            pool,
            my_zone,
            prompt_hash,
            excluded,
            demand,
            now_ms,
        };
        let candidates = match self.settings.strategy {
            Strategy::Product => self.likely(&ask, model),
            Strategy::Random { seed } => self.random(&ask, seed),
            Strategy::LeastLoaded => self.all(&ask),
            Strategy::Rendezvous => self.home_order(&ask, model),
        };
        self.forget_idle(now_ms);
        self.best(&ask, candidates)
    }

    /// Chooses a server of a pool of plain services.
    pub fn choose_plain(
        &mut self,
        pool: &str,
        my_zone: &str,
        excluded: &[Name],
        now_ms: u64,
    ) -> Option<Choice> {
        self.choices = self.choices.wrapping_add(1);
        let ask = Ask {
            model: None,
            pool,
            my_zone,
            prompt_hash: 0,
            excluded,
            demand: 0.0,
            now_ms,
        };
        let candidates = self.window(&ask, PLAIN_COMPARED.max(excluded.len() + 1));
        self.best(&ask, candidates)
    }

    /// A request was sent to a server.
    pub fn started(
        &mut self,
        server: &str,
        model: Option<&AdapterVersion>,
        prompt_hash: u64,
        now_ms: u64,
    ) {
        let Some(index) = self.servers.find(server) else {
            return;
        };
        self.prefixes.note(prompt_hash, index, now_ms);
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        server.own = server.own.saturating_add(1);
        if let Some(model) = model.map(model_key) {
            self.expect(model, index, now_ms);
        }
    }

    /// A request that was sent to a server has ended, in whichever way.
    pub fn finished(&mut self, server: &str) {
        let index = self.servers.find(server);
        if let Some(server) = index.and_then(|index| self.servers.get_mut(index)) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// A request succeeded at a server.
    pub fn succeeded(&mut self, server: &str) {
        if let Some(index) = self.servers.find(server) {
            self.failed_servers.record_success(&index);
        }
    }

    /// A request failed at a server, which is not to be tried for a while.
    pub fn failed(&mut self, server: &str, model: &AdapterVersion, failure: Failure, now_ms: u64) {
        let Some(index) = self.servers.find(server) else {
            return;
        };
        match failure {
            Failure::Server => {
                self.failed_servers.record_failure(&index, now_ms);
            }
            Failure::Load => {
                let model = model_key(model);
                self.failed_loads.record_failure(&(model, index), now_ms);
                self.forget_presence(model, index);
            }
        }
    }

    /// A call failed at a plain service, which is not to be tried for a while.
    pub fn failed_plain(&mut self, server: &str, now_ms: u64) {
        if let Some(index) = self.servers.find(server) {
            self.failed_servers.record_failure(&index, now_ms);
        }
    }

    fn is_same(&self, index: ServerIndex, spec: &BackendServer) -> bool {
        let server = self.servers.get(index);
        server.is_some_and(|server| server.is_same(spec))
    }

    fn add(&mut self, name: &Name, spec: &BackendServer) -> ServerIndex {
        let index = self.servers.add(name, spec);
        let name_hash = self.servers.get(index).map_or(0, |server| server.name_hash);
        let pool = self.pools.entry(spec.pool.clone()).or_default();
        pool.homes.join(index, name_hash);
        index
    }

    fn remove(&mut self, index: ServerIndex, now_ms: u64) {
        let Some(server) = self.servers.remove(index) else {
            return;
        };
        for (model, _) in &server.models {
            self.residency.remove(*model, index);
        }
        self.prefixes.forget(index, now_ms);
        self.failed_servers.record_success(&index);
        if let Some(pool) = self.pools.get_mut(&server.pool) {
            pool.homes.leave(index);
            pool.open_loads -= u64::from(server.open_loads);
        }
    }

    /// The best candidate. One in a pause is taken only if all are.
    fn best(&self, ask: &Ask<'_>, candidates: Vec<Candidate>) -> Option<Choice> {
        let mut scored: Vec<(bool, f64, Candidate, &Server)> = candidates
            .into_iter()
            .filter_map(|candidate| {
                let server = self.servers.get(candidate.server)?;
                let is_usable = &*server.pool == ask.pool && !ask.excluded.contains(&server.name);
                is_usable.then_some((candidate, server))
            })
            .map(|(candidate, server)| {
                let is_paused = self.is_paused(ask, candidate.server);
                let delay_ms = self.score(ask, candidate, server);
                (is_paused, delay_ms, candidate, server)
            })
            .collect();
        scored.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let (_, _, _, server) = scored.first()?;
        let others = scored.iter().skip(1).take(ALTERNATIVES);
        Some(Choice {
            server: server.name.clone(),
            is_resident: ask
                .model
                .is_some_and(|model| server.presence(model).is_some()),
            alternatives: others.map(|(_, _, _, other)| other.name.clone()).collect(),
        })
    }

    fn is_paused(&self, ask: &Ask<'_>, server: ServerIndex) -> bool {
        let now_ms = ask.now_ms;
        let load = ask.model.map(|model| (model, server));
        let load = load.and_then(|load| self.failed_loads.remaining_ms(&load, now_ms));
        load.is_some() || self.failed_servers.remaining_ms(&server, now_ms).is_some()
    }

    fn score(&self, ask: &Ask<'_>, candidate: Candidate, server: &Server) -> f64 {
        match self.settings.strategy {
            Strategy::Product => {
                let open_loads = self.pools.get(ask.pool).map_or(0, |pool| pool.open_loads);
                let prefix = self
                    .prefixes
                    .servers(ask.prompt_hash, ask.now_ms)
                    .find(|(known, _)| *known == candidate.server)
                    .map_or(0.0, |(_, confidence)| confidence);
                score::delay_ms(&self.settings, ask, candidate, server, open_loads, prefix)
            }
            Strategy::LeastLoaded => f64::from(server.outstanding()),
            Strategy::Random { .. } | Strategy::Rendezvous => candidate.rank as f64,
        }
    }

    fn forget_idle(&mut self, now_ms: u64) {
        let idle = self.popularity.sweep(now_ms);
        if idle.is_empty() {
            return;
        }
        for pool in self.pools.values_mut() {
            for model in &idle {
                pool.homes.forget(*model);
            }
        }
        self.failed_servers.remove_expired(now_ms);
        self.failed_loads.remove_expired(now_ms);
    }
}
