//! Closed sets of values that settings choose from.

/// How an organisation's rate is shared by the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetPolicy {
    /// Members lend their shares to the organisation's coordinator, which grants by demand.
    Lending,
    /// Each instance spends its own share only.
    StaticShare,
}

/// How a backend server is chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// By residency, load and expected demand.
    Product,
    /// At random.
    Random,
    /// The server with the fewest requests in flight.
    LeastLoaded,
    /// By rendezvous hash of the adapter, without replication.
    Rendezvous,
}

/// In which order an owner dispatches queued requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePolicy {
    /// Fair over organisations, grouped by adapter.
    Product,
    /// First in, first out.
    Fifo,
}

/// Which adapter leaves a slot for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// By expected demand for each reload.
    Product,
    /// The least recently used.
    Lru,
}

/// Smallest level of log lines that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the system copes with.
    Warn,
    /// Changes of state.
    Info,
    /// One line for each request.
    Debug,
    /// One line for each message.
    Trace,
}

impl BudgetPolicy {
    /// Values by their name in the settings.
    pub const NAMES: [(&str, Self); 2] = [
        ("lending", Self::Lending),
        ("static-share", Self::StaticShare),
    ];
}

impl PlacementPolicy {
    /// Values by their name in the settings.
    pub const NAMES: [(&str, Self); 4] = [
        ("product", Self::Product),
        ("random", Self::Random),
        ("least-loaded", Self::LeastLoaded),
        ("rendezvous", Self::Rendezvous),
    ];
}

impl QueuePolicy {
    /// Values by their name in the settings.
    pub const NAMES: [(&str, Self); 2] = [("product", Self::Product), ("fifo", Self::Fifo)];
}

impl EvictionPolicy {
    /// Values by their name in the settings.
    pub const NAMES: [(&str, Self); 2] = [("product", Self::Product), ("lru", Self::Lru)];
}

impl LogLevel {
    /// Values by their name in the settings.
    pub const NAMES: [(&str, Self); 5] = [
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];

    /// The name used in the settings.
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
