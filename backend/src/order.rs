//! Orders to an engine, and its load report.

use mimosabay_core::name::Name;

mimosabay_core::record! {
    /// An order to load an adapter's weights under a handle.
    pub struct LoadOrder {
        /// Name by which requests refer to the loaded adapter.
        #[serde(rename = "lora_name")]
        pub handle: Name,
        /// Location of the weights.
        #[serde(rename = "lora_path")]
        pub source: Name,
        /// Fencing number of the sender; sent as a header.
        #[serde(skip)]
        pub fencing: u64,
    }

    /// An order to unload a handle and free its slot.
    pub struct UnloadOrder {
        /// Handle of the loaded adapter.
        #[serde(rename = "lora_name")]
        pub handle: Name,
        /// Fencing number of the sender; sent as a header.
        #[serde(skip)]
        pub fencing: u64,
    }

    /// An order to generate text.
    pub struct GenerateOrder {
        /// Handle of the loaded adapter.
        pub handle: Name,
        /// Fencing number of the sender.
        pub fencing: u64,
        /// Request id, used to cancel the run.
        pub request_id: Name,
        /// Body of the completion request as JSON text.
        pub body: String,
        /// Whether the body is a chat completion.
        pub chat: bool,
        /// Priority; requests with a larger value run first.
        pub priority: i32,
        /// Text that was already generated and is continued; empty for a new generation.
        pub resume_text: String,
        /// Timeout until the response headers arrive, in milliseconds.
        pub timeout_ms: u64,
    }

    /// The load report of an engine. It lags behind the actual state.
    pub struct LoadReport {
        /// Identifies the start of the engine process. A changed value means that
        /// the engine restarted with empty memory.
        pub boot: u64,
        /// Largest fencing number that the engine has accepted.
        pub fencing: u64,
        /// Loaded handles.
        pub handles: Vec<Name>,
        /// Handles with running requests.
        #[serde(default)]
        pub running_handles: Vec<Name>,
        /// Number of running requests.
        pub running: u32,
        /// Number of waiting requests.
        pub waiting: u32,
    }
}
