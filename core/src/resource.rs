//! Configuration resources written by operators.

use crate::name::{AdapterVersion, Name};

crate::key_record! {
    /// Kind of a resource.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// Organisation of callers, with its rate.
        Organisation,
        /// API key of an organisation.
        Key,
        /// Named route to an adapter or to plain services.
        Route,
        /// Adapter with its versions.
        Adapter,
        /// Backend server.
        BackendServer,
        /// Settings of the whole site.
        Site,
        /// Service-level objective.
        Objective,
    }

    /// Kind of a backend server.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ServerKind {
        /// Generates text on adapters.
        Engine,
        /// Answers plain HTTP calls.
        Plain,
    }
}

impl Kind {
    /// All kinds, ordered so that a resource refers only to resources of earlier kinds.
    pub const ALL: [Kind; 7] = [
        Kind::Site,
        Kind::Organisation,
        Kind::Key,
        Kind::BackendServer,
        Kind::Adapter,
        Kind::Route,
        Kind::Objective,
    ];

    /// Returns the name used in the store and on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Organisation => "organisation",
            Kind::Key => "key",
            Kind::Route => "route",
            Kind::Adapter => "adapter",
            Kind::BackendServer => "backend_server",
            Kind::Site => "site",
            Kind::Objective => "objective",
        }
    }

    /// Returns the kind with this name.
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

crate::record! {
    /// Organisation of callers.
    #[serde(deny_unknown_fields)]
    pub struct Organisation {
        /// Rate over all instances together, in tokens per second.
        pub rate_tokens_per_s: u64,
        /// Maximum number of tokens that may be used at once.
        pub burst_tokens: u64,
        /// Share of a busy server relative to other organisations.
        #[serde(default = "one")]
        pub weight: u32,
    }

    /// API key of an organisation. The store holds only its hash.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// Name of the organisation.
        pub organisation: Name,
        /// SHA-256 of the key, in lower-case hexadecimal digits.
        pub sha256: Name,
        /// Whether the key has been withdrawn. Invariant: never returns to `false`.
        #[serde(default)]
        pub withdrawn: bool,
    }

    /// Target of a route.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum RouteTarget {
        /// Text generation on an adapter.
        Model {
            /// Name of the adapter.
            adapter: Name,
            /// Name of the version; the adapter's current version if absent.
            #[serde(default)]
            version: Option<Name>,
        },
        /// Plain calls whose path begins with `path_prefix`.
        Plain {
            /// Pool of plain backend servers.
            pool: Name,
            /// Prefix of the path, beginning with `/`.
            path_prefix: Name,
        },
    }

    /// Named route to an adapter or to plain services.
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// Target of the route.
        pub target: RouteTarget,
        /// Whether calls without a key are allowed.
        #[serde(default)]
        pub open: bool,
        /// Organisations that may use it; all if empty.
        #[serde(default)]
        pub organisations: Vec<Name>,
        /// Whether calls are idempotent; derived from the HTTP method or the adapter if absent.
        #[serde(default)]
        pub idempotent: Option<bool>,
        /// Timeout of a call, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
    }

    /// Version of an adapter.
    #[serde(deny_unknown_fields)]
    pub struct VersionSpec {
        /// Name of the version.
        pub version: Name,
        /// Location from which engines load the weights.
        pub source: Name,
    }

    /// Adapter with its versions.
    #[serde(deny_unknown_fields)]
    pub struct Adapter {
        /// Name of the base model on which it was trained.
        pub base_model: Name,
        /// Name of the pool of engines that may serve it.
        pub pool: Name,
        /// Versions that callers may request.
        pub versions: Vec<VersionSpec>,
        /// Version of requests that do not name one. Invariant: one of `versions`.
        pub current_version: Name,
        /// Organisations that may use it; all if empty.
        #[serde(default)]
        pub organisations: Vec<Name>,
        /// Whether a generation may run again.
        #[serde(default = "yes")]
        pub idempotent: bool,
    }

    /// Backend server.
    #[serde(deny_unknown_fields)]
    pub struct BackendServer {
        /// IP address and port.
        pub address: Name,
        /// Availability zone.
        pub zone: Name,
        /// Kind of the server.
        pub kind: ServerKind,
        /// Name of the pool to which it belongs.
        pub pool: Name,
        /// Base model of an engine; empty for plain services.
        #[serde(default)]
        pub base_model: Name,
        /// Maximum number of loaded adapters.
        #[serde(default)]
        pub slots: u32,
        /// Maximum number of requests that run at once.
        #[serde(default = "default_batch")]
        pub batch: u32,
        /// Whether it rejects orders with an old fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// Whether it is leaving and receives no new requests.
        #[serde(default)]
        pub leaving: bool,
    }

    /// Weights of the measures in the site's policy.
    #[serde(deny_unknown_fields)]
    pub struct PolicyWeights {
        /// Weight of stalls while adapters load.
        pub load_stall: f64,
        /// Weight of the worst-served organisation.
        pub worst_organisation: f64,
        /// Weight of refusals of requests within the organisation's rate.
        pub refusal_within_rate: f64,
    }

    /// Settings of the whole site.
    #[serde(deny_unknown_fields)]
    pub struct Site {
        /// Name of the base model of the site's engines.
        pub base_model: Name,
        /// Date after which the service answers 410, as `YYYY-MM-DD`.
        #[serde(default)]
        pub sunset_date: Option<Name>,
        /// Maximum rate of adapter loads at the weight store, per second.
        #[serde(default = "default_loads_per_s")]
        pub loads_per_s: u64,
        /// Maximum number of concurrent loads over all servers at which each runs at full speed.
        #[serde(default = "default_loads_in_flight")]
        pub loads_in_flight: u64,
        /// Weights of the measures in the policy.
        #[serde(default)]
        pub policy: PolicyWeights,
    }

    /// Indicator of a service-level objective.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Indicator {
        /// Requests within the organisation's rate that received a complete answer.
        Availability,
        /// Requests within the organisation's rate that were not refused.
        NotRefused,
        /// Streams whose first token arrived within the limit.
        FirstToken {
            /// Maximum time to the first token, in milliseconds.
            limit_ms: u64,
        },
        /// Streams whose mean time between tokens was within the limit.
        BetweenTokens {
            /// Maximum mean time between tokens, in milliseconds.
            limit_ms: u64,
        },
    }

    /// Service-level objective.
    #[serde(deny_unknown_fields)]
    pub struct Objective {
        /// Measured indicator.
        pub indicator: Indicator,
        /// Required share of requests that meet the indicator. Invariant: above 0 and below 1.
        pub target: f64,
        /// Name of the covered organisation; if empty, each organisation is evaluated separately.
        #[serde(default)]
        pub organisation: Name,
        /// Name of the covered route; if empty, all routes are evaluated together.
        #[serde(default)]
        pub route: Name,
    }

    /// Content of a resource of any kind.
    pub enum Spec {
        /// See [`Organisation`].
        Organisation(Organisation),
        /// See [`Key`].
        Key(Key),
        /// See [`Route`].
        Route(Route),
        /// See [`Adapter`].
        Adapter(Adapter),
        /// See [`BackendServer`].
        BackendServer(BackendServer),
        /// See [`Site`].
        Site(Site),
        /// See [`Objective`].
        Objective(Objective),
    }
}

impl Spec {
    /// Returns the kind of this resource.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Organisation(_) => Kind::Organisation,
            Spec::Key(_) => Kind::Key,
            Spec::Route(_) => Kind::Route,
            Spec::Adapter(_) => Kind::Adapter,
            Spec::BackendServer(_) => Kind::BackendServer,
            Spec::Site(_) => Kind::Site,
            Spec::Objective(_) => Kind::Objective,
        }
    }
}

impl Adapter {
    /// Returns the requested version, or the current one if `requested` is `None`. Returns `None` if the
    /// version does not exist.
    pub fn version(&self, requested: Option<&str>) -> Option<&VersionSpec> {
        let requested = requested.unwrap_or(&self.current_version);
        self.versions
            .iter()
            .find(|spec| &*spec.version == requested)
    }

    /// Pins the requested or current version of this adapter, whose name is `name`.
    pub fn pin(&self, name: &Name, requested: Option<&str>) -> Option<AdapterVersion> {
        let spec = self.version(requested)?;
        Some(AdapterVersion {
            adapter: name.clone(),
            version: spec.version.clone(),
        })
    }
}

impl Default for PolicyWeights {
    fn default() -> Self {
        Self {
            load_stall: 1.0,
            worst_organisation: 1.0,
            refusal_within_rate: 1.0,
        }
    }
}

const fn one() -> u32 {
    1
}

const fn yes() -> bool {
    true
}

const fn default_batch() -> u32 {
    8
}

const fn default_timeout_ms() -> u64 {
    60_000
}

const fn default_loads_per_s() -> u64 {
    4
}

const fn default_loads_in_flight() -> u64 {
    8
}
