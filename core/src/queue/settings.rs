//! Settings of a server's queue.

crate::key_record! {
    /// Order in which requests and loads are served.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Order {
        /// Fair between organisations, and by age within an organisation.
        Product,
        /// By age only.
        Fifo,
    }

    /// Which idle adapter is evicted when a slot is needed.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Eviction {
        /// The adapter with the lowest expected demand.
        Product,
        /// The least recently used adapter.
        Lru,
    }

    /// Whether a load needs a permit from the caller.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum LoadPermits {
        /// Loads start as soon as a slot is available.
        Unlimited,
        /// Each load waits for [`on_load_granted`](super::ServerQueue::on_load_granted).
        Granted,
    }
}

crate::record! {
    /// Settings of a server's queue.
    #[derive(Copy)]
    pub struct QueueSettings {
        /// Order of requests and loads.
        pub order: Order,
        /// Choice of the adapter to evict.
        pub eviction: Eviction,
        /// Whether a load needs a permit.
        pub permits: LoadPermits,
        /// Half-life of an adapter's counted demand, in milliseconds.
        pub demand_half_life_ms: u64,
        /// Age credit for each request for an adapter when loads are ordered, in milliseconds.
        pub load_credit_ms: u64,
        /// Age of a request for an absent adapter at which a busy adapter is drained, in
        /// milliseconds.
        pub drain_after_ms: u64,
        /// Whether a new request is refused immediately if it is not expected to meet its deadline.
        pub refuse_early: bool,
    }
}

impl Default for QueueSettings {
    fn default() -> Self {
        const DEMAND_HALF_LIFE_MS: u64 = 20_000;
        const LOAD_CREDIT_MS: u64 = 250;
        const DRAIN_AFTER_MS: u64 = 1_000;
        Self {
            order: Order::Product,
            eviction: Eviction::Product,
            permits: LoadPermits::Unlimited,
            demand_half_life_ms: DEMAND_HALF_LIFE_MS,
            load_credit_ms: LOAD_CREDIT_MS,
            drain_after_ms: DRAIN_AFTER_MS,
            refuse_early: true,
        }
    }
}
