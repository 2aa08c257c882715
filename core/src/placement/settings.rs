//! Settings of the placement.

crate::key_record! {
    /// Strategy for choosing a server.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Strategy {
        /// Chooses the server with the least expected delay, including loads.
        Product,
        /// Chooses a random server.
        Random {
            /// Seed of the random sequence.
            seed: u64,
        },
        /// Chooses the server with the fewest requests.
        LeastLoaded,
        /// Chooses the first server by rendezvous hash of the adapter.
        Rendezvous,
    }
}

crate::record! {
    /// Settings of the placement.
    #[derive(Copy)]
    pub struct PlacementSettings {
        /// Strategy for choosing a server.
        pub strategy: Strategy,
        /// Half-life of an adapter's counted demand, in milliseconds.
        pub demand_half_life_ms: u64,
        /// Duration of a load, in milliseconds.
        pub load_ms: f64,
        /// Interval between two loads that the weight store allows, in milliseconds.
        pub load_interval_ms: f64,
        /// Weight of a load stall relative to other delays.
        pub stall_weight: f64,
        /// Round-trip delay of a call to another zone, in milliseconds.
        pub zone_ms: f64,
        /// Time saved if the server has the prompt's prefix, in milliseconds.
        pub prefix_ms: f64,
        /// Delay added by one more request in a batch with room, in milliseconds.
        pub crowd_ms: f64,
        /// Penalty for each rank among the preferred servers: the delay that the next server by
        /// rendezvous hash must save to be chosen, in milliseconds.
        pub home_step_ms: f64,
        /// Expected delay if all slots of the server are in use, in milliseconds.
        pub busy_slots_ms: f64,
        /// Mean duration of a run while the server has not reported it, in milliseconds.
        pub run_ms: f64,
        /// Time after a restart until a server has its full share of requests, in milliseconds.
        pub slow_start_ms: u64,
        /// Time after which expected residency that has not been confirmed is removed, in
        /// milliseconds.
        pub expect_ms: u64,
    }
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            strategy: Strategy::Product,
            demand_half_life_ms: 20_000,
            load_ms: 250.0,
            load_interval_ms: 250.0,
            stall_weight: 1.0,
            zone_ms: 3.0,
            prefix_ms: 60.0,
            crowd_ms: 4.0,
            home_step_ms: 40.0,
            busy_slots_ms: 1_000.0,
            run_ms: 1_000.0,
            slow_start_ms: 10_000,
            expect_ms: 3_000,
        }
    }
}
