//! The operators' configuration in the form in which requests need it.

use std::collections::HashMap;
use std::sync::Arc;

use crate::name::Name;

/// One version of the configuration. A request uses the version that it began with to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Number that the operators gave it.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Arc<CallerLimits>,
    services: HashMap<Name, Arc<Service>>,
    /// Routes by host and path prefix. Invariant: each prefix begins and ends with a slash.
    routes: HashMap<Name, HashMap<Name, Arc<Route>>>,
    /// Organisations by key; `None` if keys are not asked for.
    keys: Option<HashMap<Name, Arc<Organisation>>>,
}

/// Where requests of a host and a path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that it serves.
    pub host: Name,
    /// Beginning of the paths that it serves.
    pub path_prefix: Name,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Longest time to keep a caller waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, is on time, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services and their weights.
    pub services: Vec<(Name, f64)>,
    /// Backend servers that may run one attempt of a caller. Invariant: at least 1.
    pub max_attempts: u32,
    /// Whether it is open to callers without a key.
    pub is_public: bool,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// The whole request.
    Idempotent,
    /// Nothing: it runs at most once.
    Once,
    /// It is a stream that may continue after its last event at another server.
    ResumableStream,
    /// It is a stream that runs at most once.
    StreamOnce,
}

/// A kind of backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Connections that one server accepts from all instances together.
    pub max_connections: u32,
    /// What its engines are like; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// The engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for running requests and kept prompt parts, in tokens.
    pub kv_tokens: u64,
    /// Adapters that one server can hold.
    pub adapter_places: usize,
    /// Loads of base models that may begin each second, over all servers.
    pub model_loads_per_s: f64,
    /// Base models.
    pub models: Vec<EngineModel>,
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Name of the model.
    pub name: Name,
    /// Time to load it, in milliseconds.
    pub load_ms: u64,
}

/// An organisation that calls the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// Rank that goes before that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Cost that may be used each second over all instances; 0 for no limit.
    pub rate_per_s: f64,
    /// Cost that may be used at once after a pause.
    pub burst: f64,
    /// Whether cost is counted in tokens rather than in requests.
    pub counts_tokens: bool,
    /// Cost of a request that tells no tokens.
    pub plain_cost: u64,
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLimits {
    /// Size of the head of a request, in bytes.
    pub header_bytes: usize,
    /// Size of a body, in bytes.
    pub body_bytes: usize,
    /// Time to send the head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Why a caller may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route serves the host and the path.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
}

impl Site {
    /// Builds a version of the configuration; `organisations` come with their keys.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        organisations: Option<Vec<(Organisation, Vec<Name>)>>,
        limits: Arc<CallerLimits>,
    ) -> Self {
        let mut by_host: HashMap<Name, HashMap<Name, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host
                .entry(route.host.to_ascii_lowercase().into())
                .or_default();
            host.insert(route.path_prefix.clone(), Arc::new(route));
        }
        let services = services.into_iter();
        Self {
            version,
            limits,
            services: services
                .map(|service| (service.name.clone(), Arc::new(service)))
                .collect(),
            routes: by_host,
            keys: organisations.map(by_key),
        }
    }

    /// The route with the longest prefix that begins `path`.
    ///
    /// # Errors
    ///
    /// [`Denied::NoRoute`].
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Denied> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lower_case = host.to_ascii_lowercase();
        let prefixes = self
            .routes
            .get(lower_case.as_str())
            .ok_or(Denied::NoRoute)?;
        let mut slashes = path.rmatch_indices('/').map(|(at, _)| at);
        slashes
            .find_map(|at| prefixes.get(&path[..=at]))
            .ok_or(Denied::NoRoute)
    }

    /// The organisation of a caller on a route; `None` on a route that is open to all.
    ///
    /// # Errors
    ///
    /// [`Denied::NoKey`].
    pub fn organisation(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Organisation>>, Denied> {
        let Some(keys) = &self.keys else {
            return Ok(None);
        };
        match key.and_then(|key| keys.get(key)) {
            Some(organisation) => Ok(Some(organisation.clone())),
            None if route.is_public => Ok(None),
            None => Err(Denied::NoKey),
        }
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All organisations that have a key; one with several keys comes several times.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.keys.iter().flat_map(HashMap::values)
    }
}

impl Route {
    /// The service for a request, spread by weight; `point` lies between 0 and 1.
    pub fn service_at(&self, point: f64) -> Option<&Name> {
        let total: f64 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = point * total;
        for (name, weight) in &self.services {
            left -= weight;
            if left < 0.0 && *weight > 0.0 {
                return Some(name);
            }
        }
        self.services.last().map(|(name, _)| name)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(
            self.retry_safety,
            RetrySafety::ResumableStream | RetrySafety::StreamOnce
        )
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}

fn by_key(organisations: Vec<(Organisation, Vec<Name>)>) -> HashMap<Name, Arc<Organisation>> {
    let mut keys_of = HashMap::new();
    for (organisation, keys) in organisations {
        let organisation = Arc::new(organisation);
        for key in keys {
            keys_of.insert(key, organisation.clone());
        }
    }
    keys_of
}
