//! What the owner of a backend server tells the other instances.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::{AdapterVersion, Name};

/// Short form of an adapter and version. Two that share it cost time, never correctness, because
/// the owner of the server knows the names.
pub type ModelKey = u64;

/// The short form of an adapter and version.
pub fn model_key(model: &AdapterVersion) -> ModelKey {
    let seed = xxh3_64_with_seed(model.version.as_bytes(), 0);
    xxh3_64_with_seed(model.adapter.as_bytes(), seed)
}

crate::record! {
    /// State of a backend server as its owner saw it.
    pub struct ServerDigest {
        /// Name of the server.
        pub server: Name,
        /// Fencing number of the owner. Invariant: larger than that of every earlier owner.
        pub fencing: u64,
        /// Number of this digest. Invariant: grows with each digest of one owner.
        pub sequence: u64,
        /// Adapters in memory.
        pub loaded: Vec<ModelKey>,
        /// Adapters being loaded.
        pub loading: Vec<ModelKey>,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests that run.
        pub running: u32,
        /// Slots that are free or hold an adapter on which nothing runs.
        pub open_slots: u32,
        /// Loads that wait for a permit or a slot.
        pub wanted_loads: u32,
        /// Mean time of a run in milliseconds; zero while nothing is known.
        pub run_ms: u32,
    }
}

impl ServerDigest {
    /// Loads that have not ended, whether they wait or are under way.
    pub fn open_loads(&self) -> u32 {
        let loading = u32::try_from(self.loading.len()).unwrap_or(u32::MAX);
        self.wanted_loads.saturating_add(loading)
    }
}
