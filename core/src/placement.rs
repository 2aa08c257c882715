//! Choice of the backend server for a request. Each entry instance chooses independently.
//!
//! The state is not persistent: it consists of the configured servers, the requests that this
//! instance has sent, and the digests that owners send. A wrong estimate costs time, never
//! correctness, because the owner of the server decides what it loads and runs.

mod candidates;
pub mod digest;
mod popularity;
mod preferred_servers;
mod prefixes;
mod residency;
mod residency_estimate;
mod score;
mod servers;
mod settings;

use std::collections::{HashMap, HashSet};

use self::digest::{ModelKey, ServerDigest, model_key};
use self::popularity::Popularity;
use self::preferred_servers::PreferredServers;
pub use self::prefixes::CacheEvent;
use self::prefixes::Prefixes;
use self::residency::Residency;
use self::score::{Candidate, PlacementQuery};
use self::servers::{Server, ServerIndex, Servers};
pub use self::settings::{PlacementSettings, Strategy};
use crate::backoff::Backoff;
use crate::name::{AdapterVersion, Name};
use crate::resource::BackendServer;

/// Number of servers of a plain pool that are compared.
const PLAIN_SERVERS_COMPARED: usize = 8;
/// Maximum number of alternatives in a choice.
const MAX_ALTERNATIVES: usize = 2;

crate::record! {
    /// The chosen server and the alternatives to it.
    pub struct Choice {
        /// Name of the server to send the request to.
        pub server: Name,
        /// Whether the server is estimated to hold the adapter or to be loading it.
        pub is_resident: bool,
        /// Servers to try next, best first.
        pub alternatives: Vec<Name>,
    }

    /// Kind of a failure at a server.
    #[derive(Copy)]
    pub enum Failure {
        /// The server, or the connection to it.
        Server,
        /// The load of the adapter.
        Load,
    }
}

#[derive(Debug, Default)]
struct Pool {
    preferred: PreferredServers,
    /// Sum of the open loads of the pool's servers, by their last digests.
    open_loads: u64,
}

/// State from which an entry instance chooses servers.
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
    /// Number of choices so far; rotates the choice among equal servers.
    choices: u64,
}

impl Placement {
    /// Creates the state of an instance that knows no servers.
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

    /// Replaces the configured servers. Those that are leaving are treated as removed.
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
            let same = known.filter(|index| self.has_same_spec(*index, spec));
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

    /// Applies a digest sent by the owner of a server; one older than the last is ignored.
    pub fn apply_digest(&mut self, digest: &ServerDigest, now_ms: u64) {
        let Some(index) = self.servers.find(&digest.server) else {
            return;
        };
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        if (digest.fencing, digest.sequence) <= server.last_digest {
            return;
        }
        let open_before = server.open_loads;
        server.apply_digest(digest);
        if let Some(pool) = self.pools.get_mut(&server.pool) {
            pool.open_loads -= u64::from(open_before);
            pool.open_loads += u64::from(digest.open_loads());
        }
        self.update_residency(index, digest, now_ms);
    }

    /// Applies an event of a server's prefix cache.
    pub fn apply_cache_event(&mut self, server: &str, event: CacheEvent, now_ms: u64) {
        if let Some(index) = self.servers.find(server) {
            self.prefixes.apply_event(index, event, now_ms);
        }
    }

    /// Records that a server restarted with empty memory; its share of requests then rises
    /// gradually.
    pub fn record_restart(&mut self, server: &str, now_ms: u64) {
        let Some(index) = self.servers.find(server) else {
            return;
        };
        self.prefixes
            .apply_event(index, CacheEvent::Cleared, now_ms);
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        server.restarted_ms = Some(now_ms);
        server.open_slots = server.slots;
        for (model, _) in std::mem::take(&mut server.models) {
            self.residency.remove(model, index);
        }
    }

    /// Chooses a server for a request; `prompt_hash` is the hash of its prefix, or zero.
    pub fn choose(
        &mut self,
        model: &AdapterVersion,
        pool: &str,
        own_zone: &str,
        prompt_hash: u64,
        now_ms: u64,
    ) -> Option<Choice> {
        self.choose_excluding(model, pool, own_zone, prompt_hash, &[], now_ms)
    }

    /// Chooses a server other than the `excluded` ones, which have been tried already.
    pub fn choose_excluding(
        &mut self,
        model: &AdapterVersion,
        pool: &str,
        own_zone: &str,
        prompt_hash: u64,
        excluded: &[Name],
        now_ms: u64,
    ) -> Option<Choice> {
        let model = model_key(model);
        self.choices = self.choices.wrapping_add(1);
        let demand = self.popularity.record_request(model, now_ms);
        let query = PlacementQuery {
            model: Some(model),
            pool,
            own_zone,
            prompt_hash,
            excluded,
            demand,
            now_ms,
        };
        let candidates = match self.settings.strategy {
            Strategy::Product => self.product_candidates(&query, model),
            Strategy::Random { seed } => self.random_candidates(&query, seed),
            Strategy::LeastLoaded => self.all_candidates(&query),
            Strategy::Rendezvous => self.preferred_candidates(&query, model),
        };
        self.remove_idle_adapters(now_ms);
        self.choose_best(&query, candidates)
    }

    /// Chooses a server of a pool of plain services.
    pub fn choose_plain(
        &mut self,
        pool: &str,
        own_zone: &str,
        excluded: &[Name],
        now_ms: u64,
    ) -> Option<Choice> {
        self.choices = self.choices.wrapping_add(1);
        let query = PlacementQuery {
            model: None,
            pool,
            own_zone,
            prompt_hash: 0,
            excluded,
            demand: 0.0,
            now_ms,
        };
        let candidates =
            self.rotating_candidates(&query, PLAIN_SERVERS_COMPARED.max(excluded.len() + 1));
        self.choose_best(&query, candidates)
    }

    /// Records that a request was sent to a server.
    pub fn record_start(
        &mut self,
        server: &str,
        model: Option<&AdapterVersion>,
        prompt_hash: u64,
        now_ms: u64,
    ) {
        let Some(index) = self.servers.find(server) else {
            return;
        };
        self.prefixes.record(prompt_hash, index, now_ms);
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        server.own_requests = server.own_requests.saturating_add(1);
        if let Some(model) = model.map(model_key) {
            self.expect_adapter(model, index, now_ms);
        }
    }

    /// Records that a request sent to a server has ended, with any outcome.
    pub fn record_finish(&mut self, server: &str) {
        let index = self.servers.find(server);
        if let Some(server) = index.and_then(|index| self.servers.get_mut(index)) {
            server.own_requests = server.own_requests.saturating_sub(1);
        }
    }

    /// Records that a request succeeded at a server, which ends its backoff.
    pub fn record_success(&mut self, server: &str) {
        if let Some(index) = self.servers.find(server) {
            self.failed_servers.record_success(&index);
        }
    }

    /// Records that a request failed at a server, which is then avoided for a while.
    pub fn record_failure(
        &mut self,
        server: &str,
        model: &AdapterVersion,
        failure: Failure,
        now_ms: u64,
    ) {
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
                self.remove_presence(model, index);
            }
        }
    }

    /// Records that a call failed at a plain service, which is then avoided for a while.
    pub fn record_plain_failure(&mut self, server: &str, now_ms: u64) {
        if let Some(index) = self.servers.find(server) {
            self.failed_servers.record_failure(&index, now_ms);
        }
    }

    fn has_same_spec(&self, index: ServerIndex, spec: &BackendServer) -> bool {
        let server = self.servers.get(index);
        server.is_some_and(|server| server.has_same_spec(spec))
    }

    fn add(&mut self, name: &Name, spec: &BackendServer) -> ServerIndex {
        let index = self.servers.add(name, spec);
        let name_hash = self.servers.get(index).map_or(0, |server| server.name_hash);
        let pool = self.pools.entry(spec.pool.clone()).or_default();
        pool.preferred.add_server(index, name_hash);
        index
    }

    fn remove(&mut self, index: ServerIndex, now_ms: u64) {
        let Some(server) = self.servers.remove(index) else {
            return;
        };
        for (model, _) in &server.models {
            self.residency.remove(*model, index);
        }
        self.prefixes.remove_server(index, now_ms);
        self.failed_servers.record_success(&index);
        if let Some(pool) = self.pools.get_mut(&server.pool) {
            pool.preferred.remove_server(index);
            pool.open_loads -= u64::from(server.open_loads);
        }
    }

    /// Chooses the best candidate. One in backoff is chosen only if all are.
    fn choose_best(
        &self,
        query: &PlacementQuery<'_>,
        candidates: Vec<Candidate>,
    ) -> Option<Choice> {
        let mut scored: Vec<(bool, f64, Candidate, &Server)> = candidates
            .into_iter()
            .filter_map(|candidate| {
                let server = self.servers.get(candidate.server)?;
                let is_usable =
                    &*server.pool == query.pool && !query.excluded.contains(&server.name);
                is_usable.then_some((candidate, server))
            })
            .map(|(candidate, server)| {
                let is_backed_off = self.is_backed_off(query, candidate.server);
                let delay_ms = self.score(query, candidate, server);
                (is_backed_off, delay_ms, candidate, server)
            })
            .collect();
        scored.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let (_, _, _, server) = scored.first()?;
        let others = scored.iter().skip(1).take(MAX_ALTERNATIVES);
        Some(Choice {
            server: server.name.clone(),
            is_resident: query
                .model
                .is_some_and(|model| server.presence(model).is_some()),
            alternatives: others.map(|(_, _, _, other)| other.name.clone()).collect(),
        })
    }

    fn is_backed_off(&self, query: &PlacementQuery<'_>, server: ServerIndex) -> bool {
        let now_ms = query.now_ms;
        let load = query.model.map(|model| (model, server));
        let load = load.and_then(|load| self.failed_loads.remaining_ms(&load, now_ms));
        load.is_some() || self.failed_servers.remaining_ms(&server, now_ms).is_some()
    }

    fn score(&self, query: &PlacementQuery<'_>, candidate: Candidate, server: &Server) -> f64 {
        match self.settings.strategy {
            Strategy::Product => {
                let open_loads = self.pools.get(query.pool).map_or(0, |pool| pool.open_loads);
                let prefix = self
                    .prefixes
                    .servers(query.prompt_hash, query.now_ms)
                    .find(|(known, _)| *known == candidate.server)
                    .map_or(0.0, |(_, confidence)| confidence);
                score::delay_ms(&self.settings, query, candidate, server, open_loads, prefix)
            }
            Strategy::LeastLoaded => f64::from(server.outstanding()),
            Strategy::Random { .. } | Strategy::Rendezvous => candidate.rank as f64,
        }
    }

    fn remove_idle_adapters(&mut self, now_ms: u64) {
        let idle = self.popularity.remove_idle(now_ms);
        if idle.is_empty() {
            return;
        }
        for pool in self.pools.values_mut() {
            for model in &idle {
                pool.preferred.remove_adapter(*model);
            }
        }
        self.failed_servers.remove_expired(now_ms);
        self.failed_loads.remove_expired(now_ms);
    }
}
