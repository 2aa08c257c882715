//! Settings that take one of a fixed set of values.

/// How the instances share an organisation's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetPolicy {
    /// Members lend their shares to the organisation's coordinator, which grants tokens by demand.
    Lending,
    /// Each instance spends its own share only.
    StaticShare,
}

/// How a backend server is chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// By residency, load and expected demand.
    Product,
    /// A random server.
    Random,
    /// The server with the fewest requests in flight.
    LeastLoaded,
    /// By rendezvous hash of the adapter, without replication.
    Rendezvous,
}

/// Order in which an owner dispatches queued requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePolicy {
    /// Fair between organisations, grouped by adapter.
    Product,
    /// First in, first out.
    Fifo,
}

/// Which adapter is evicted to free a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// The adapter with the lowest expected demand.
    Product,
    /// The least recently used adapter.
    Lru,
}

/// Lowest severity of log lines that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that require an operator's action.
    Error,
    /// Failures that the system recovers from.
    Warn,
    /// State changes.
    Info,
    /// One line per request.
    Debug,
    /// One line per message.
    Trace,
}

impl BudgetPolicy {
    /// Names in the settings file, with their values.
    pub const NAMES: [(&str, Self); 2] = [
        ("lending", Self::Lending),
        ("static-share", Self::StaticShare),
    ];
}

impl PlacementPolicy {
    /// Names in the settings file, with their values.
    pub const NAMES: [(&str, Self); 4] = [
        ("product", Self::Product),
        ("random", Self::Random),
        ("least-loaded", Self::LeastLoaded),
        ("rendezvous", Self::Rendezvous),
    ];
}

impl QueuePolicy {
    /// Names in the settings file, with their values.
    pub const NAMES: [(&str, Self); 2] = [("product", Self::Product), ("fifo", Self::Fifo)];
}

impl EvictionPolicy {
    /// Names in the settings file, with their values.
    pub const NAMES: [(&str, Self); 2] = [("product", Self::Product), ("lru", Self::Lru)];
}

impl LogLevel {
    /// Names in the settings file, with their values.
    pub const NAMES: [(&str, Self); 5] = [
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];

    /// Returns the name used in the settings file.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}
