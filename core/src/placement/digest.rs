//! Digest that the owner of a backend server sends to the other instances.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::{AdapterVersion, Name};

/// Hash of an adapter and version. A collision costs time, never correctness, because the owner of
/// the server knows the names.
pub type ModelKey = u64;

/// Returns the hash of an adapter and version.
pub fn model_key(model: &AdapterVersion) -> ModelKey {
    let seed = xxh3_64_with_seed(model.version.as_bytes(), 0);
    xxh3_64_with_seed(model.adapter.as_bytes(), seed)
}

crate::record! {
    /// State of a backend server as reported by its owner.
    pub struct ServerDigest {
        /// Name of the server.
        pub server: Name,
        /// Fencing number of the owner. Invariant: larger than that of every earlier owner.
        pub fencing: u64,
        /// Sequence number of the digest. Invariant: increases with each digest of one owner.
        pub sequence: u64,
        /// Adapters in memory.
        pub loaded: Vec<ModelKey>,
        /// Adapters being loaded.
        pub loading: Vec<ModelKey>,
        /// Number of waiting requests.
        pub waiting: u32,
        /// Number of running requests.
        pub running: u32,
        /// Slots that are free or hold an adapter without running requests.
        pub open_slots: u32,
        /// Loads that wait for a permit or a slot.
        pub wanted_loads: u32,
        /// Mean duration of a run in milliseconds; zero while unknown.
        pub run_ms: u32,
    }
}

impl ServerDigest {
    /// Returns the number of loads that wait or are in progress.
    pub fn open_loads(&self) -> u32 {
        let loading = u32::try_from(self.loading.len()).unwrap_or(u32::MAX);
        self.wanted_loads.saturating_add(loading)
    }
}
