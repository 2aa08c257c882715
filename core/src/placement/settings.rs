//! Settings of the placement.

crate::key_record! {
    /// How a server is chosen.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Strategy {
        /// The server with the least expected delay, loads included.
        Product,
        /// Any server.
        Random {
            /// Start of the random sequence.
            seed: u64,
        },
        /// The server with the fewest requests.
        LeastLoaded,
        /// The first server by rendezvous hash of the adapter.
        Rendezvous,
    }
}

crate::record! {
    /// Settings of the placement.
    #[derive(Copy)]
    pub struct PlacementSettings {
        /// How a server is chosen.
        pub strategy: Strategy,
        /// Time in which an adapter's counted demand halves, in milliseconds.
        pub demand_half_life_ms: u64,
        /// Time that a load takes, in milliseconds.
        pub load_ms: f64,
        /// Time between two loads that the weight store allows, in milliseconds.
        pub load_interval_ms: f64,
        /// Weight of a load stall beside other delays.
        pub stall_weight: f64,
        /// Delay of a call to another zone and back, in milliseconds.
        pub zone_ms: f64,
        /// Time saved if the server has the prompt's prefix, in milliseconds.
        pub prefix_ms: f64,
        /// Delay that one more request in a batch with room adds, in milliseconds.
        pub crowd_ms: f64,
        /// Delay that an adapter's next home by rendezvous must save to be preferred, in
        /// milliseconds.
        pub home_step_ms: f64,
        /// Expected delay if every slot of the server is in use, in milliseconds.
        pub busy_slots_ms: f64,
        /// Mean time of a run while the server has not told it, in milliseconds.
        pub run_ms: f64,
        /// Time after a restart in which a server comes back to its full share, in milliseconds.
        pub slow_start_ms: u64,
        /// Time after which residency that was expected and not confirmed is forgotten, in
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
