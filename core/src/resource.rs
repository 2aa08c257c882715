//! Resources that operators write.

use crate::name::{AdapterVersion, Name};

crate::key_record! {
    /// Kind of a resource.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// A caller organisation with its rate.
        Organisation,
        /// A key of an organisation.
        Key,
        /// A named way to an adapter or to plain services.
        Route,
        /// An adapter with its versions.
        Adapter,
        /// A backend server.
        BackendServer,
        /// Settings of the whole site.
        Site,
        /// A service-level objective.
        Objective,
    }

    /// What a backend server offers.
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
    /// All kinds, in the order in which they may refer to each other.
    pub const ALL: [Kind; 7] = [
        Kind::Site,
        Kind::Organisation,
        Kind::Key,
        Kind::BackendServer,
        Kind::Adapter,
        Kind::Route,
        Kind::Objective,
    ];

    /// The name used in the store and on the command line.
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

    /// Finds a kind by its name.
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

crate::record! {
    /// A caller organisation.
    #[serde(deny_unknown_fields)]
    pub struct Organisation {
        /// Tokens a second over all instances together.
        pub rate_tokens_per_s: u64,
        /// Tokens that may be used at once after a pause.
        pub burst_tokens: u64,
        /// Share of a busy server relative to other organisations.
        #[serde(default = "one")]
        pub weight: u32,
    }

    /// A key of an organisation. The store holds its hash only.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// Name of the organisation.
        pub organisation: Name,
        /// SHA-256 of the key in lower-case hexadecimal digits.
        pub sha256: Name,
        /// Whether the key has been withdrawn. Invariant: never goes back to `false`.
        #[serde(default)]
        pub withdrawn: bool,
    }

    /// Where a route leads.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum RouteTarget {
        /// Text generation on an adapter.
        Model {
            /// Name of the adapter.
            adapter: Name,
            /// Version; the adapter's current one if absent.
            #[serde(default)]
            version: Option<Name>,
        },
        /// Plain calls whose path begins with the prefix.
        Plain {
            /// Pool of plain backend servers.
            pool: Name,
            /// Prefix of the path, beginning with `/`.
            path_prefix: Name,
        },
    }

    /// A named way to an adapter or to plain services.
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// Where it leads.
        pub target: RouteTarget,
        /// Whether it needs no key.
        #[serde(default)]
        pub open: bool,
        /// Organisations that may use it; all if empty.
        #[serde(default)]
        pub organisations: Vec<Name>,
        /// Whether a call may be repeated; by HTTP method if absent.
        #[serde(default)]
        pub idempotent: Option<bool>,
        /// Time after which a call is given up.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
    }

    /// One version of an adapter.
    #[serde(deny_unknown_fields)]
    pub struct VersionSpec {
        /// Name of the version.
        pub version: Name,
        /// Where engines find the weights.
        pub source: Name,
    }

    /// An adapter with its versions.
    #[serde(deny_unknown_fields)]
    pub struct Adapter {
        /// Base model that it was trained on.
        pub base_model: Name,
        /// Pool of engines that may serve it.
        pub pool: Name,
        /// Versions that callers may ask for.
        pub versions: Vec<VersionSpec>,
        /// Version used when the caller names none. Invariant: one of `versions`.
        pub current_version: Name,
        /// Organisations that may use it; all if empty.
        #[serde(default)]
        pub organisations: Vec<Name>,
        /// Whether a generation may be repeated.
        #[serde(default = "yes")]
        pub idempotent: bool,
    }

    /// A backend server.
    #[serde(deny_unknown_fields)]
    pub struct BackendServer {
        /// IP number and port.
        pub address: Name,
        /// Availability zone.
        pub zone: Name,
        /// What it offers.
        pub kind: ServerKind,
        /// Pool it belongs to.
        pub pool: Name,
        /// Base model of an engine; empty for plain services.
        #[serde(default)]
        pub base_model: Name,
        /// Adapters that fit in its memory at once.
        #[serde(default)]
        pub slots: u32,
        /// Requests that it runs at once.
        #[serde(default = "default_batch")]
        pub batch: u32,
        /// Whether it rejects orders with an old fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// Whether it is leaving and gets no new work.
        #[serde(default)]
        pub leaving: bool,
    }

    /// Weights of the site's measures in its policy.
    #[serde(deny_unknown_fields)]
    pub struct PolicyWeights {
        /// Weight of stalls while adapters load.
        pub load_stall: f64,
        /// Weight of the worst-served organisation.
        pub worst_organisation: f64,
        /// Weight of refusals within rate.
        pub refusal_within_rate: f64,
    }

    /// Settings of the whole site.
    #[serde(deny_unknown_fields)]
    pub struct Site {
        /// Base model of the site's engines.
        pub base_model: Name,
        /// Date after which the service answers 410, as `YYYY-MM-DD`.
        #[serde(default)]
        pub sunset_date: Option<Name>,
        /// Adapter loads that the weight store allows each second.
        #[serde(default = "default_loads_per_s")]
        pub loads_per_s: u64,
        /// Loads in flight over all servers at which each still runs at full speed.
        #[serde(default = "default_loads_in_flight")]
        pub loads_in_flight: u64,
        /// Weights of the site's measures.
        #[serde(default)]
        pub policy: PolicyWeights,
    }

    /// What a service-level objective is about.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Indicator {
        /// Requests within the organisation's rate that got their whole answer.
        Availability,
        /// Requests within the organisation's rate that were not refused.
        NotRefused,
        /// Streams whose first token came in time.
        FirstToken {
            /// Longest time to the first token.
            limit_ms: u64,
        },
        /// Streams whose mean time between tokens was short enough.
        BetweenTokens {
            /// Longest mean time between tokens.
            limit_ms: u64,
        },
    }

    /// A service-level objective.
    #[serde(deny_unknown_fields)]
    pub struct Objective {
        /// What it is about.
        pub indicator: Indicator,
        /// Share of the requests that have to meet it. Invariant: above 0 and below 1.
        pub target: f64,
        /// Organisation that it covers; each one by itself if empty.
        #[serde(default)]
        pub organisation: Name,
        /// Route that it covers; all of them together if empty.
        #[serde(default)]
        pub route: Name,
    }

    /// The content of a resource of any kind.
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
    /// The kind of this resource.
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
    /// The version to serve when `asked` is named, or the current one.
    pub fn version(&self, asked: Option<&str>) -> Option<&VersionSpec> {
        let asked = asked.unwrap_or(&self.current_version);
        self.versions.iter().find(|spec| &*spec.version == asked)
    }

    /// Pins a version of this adapter under its name.
    pub fn pin(&self, name: &Name, asked: Option<&str>) -> Option<AdapterVersion> {
        let spec = self.version(asked)?;
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
