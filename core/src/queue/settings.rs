//! Settings of the queue of a server.

crate::key_record! {
    /// Order in which requests and loads are taken.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Order {
        /// Fair between organisations; within one by age.
        Product,
        /// By age alone.
        Fifo,
    }

    /// Which idle adapter leaves when a slot is needed.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Eviction {
        /// The one with the least expected demand.
        Product,
        /// The one not used for the longest time.
        Lru,
    }

    /// Whether a load needs a permit from outside.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum LoadPermits {
        /// Loads start as soon as there is a slot.
        Unlimited,
        /// Each load waits for [`on_load_granted`](super::ServerQueue::on_load_granted).
        Granted,
    }
}

crate::record! {
    /// Settings of the queue of a server.
    #[derive(Copy)]
    pub struct QueueSettings {
        /// Order of requests and loads.
        pub order: Order,
        /// Choice of the adapter to evict.
        pub eviction: Eviction,
        /// Whether a load needs a permit.
        pub permits: LoadPermits,
        /// Time in which an adapter's counted demand halves, in milliseconds.
        pub demand_half_life_ms: u64,
        /// Age that each further request for an adapter counts for when loads are ordered, in
        /// milliseconds.
        pub load_credit_ms: u64,
        /// Age at which a request for an absent adapter makes a busy one run dry, in milliseconds.
        pub drain_after_ms: u64,
        /// Whether a request is refused as soon as its deadline cannot be met.
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
