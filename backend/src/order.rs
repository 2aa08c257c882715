//! Orders to an engine and its reports.

use mimosabay_core::name::Name;

mimosabay_core::record! {
    /// Order to load an adapter's weights under a handle.
    pub struct LoadOrder {
        /// Name under which requests will ask for it.
        #[serde(rename = "lora_name")]
        pub handle: Name,
        /// Where the weights are.
        #[serde(rename = "lora_path")]
        pub source: Name,
        /// Fencing number of the sender; sent as a header.
        #[serde(skip)]
        pub fencing: u64,
    }

    /// Order to free the slot of a handle.
    pub struct UnloadOrder {
        /// The handle.
        #[serde(rename = "lora_name")]
        pub handle: Name,
        /// Fencing number of the sender; sent as a header.
        #[serde(skip)]
        pub fencing: u64,
    }

    /// Order to generate text.
    pub struct GenerateOrder {
        /// Handle of the loaded adapter.
        pub handle: Name,
        /// Fencing number of the sender.
        pub fencing: u64,
        /// Request id, by which the run can be cancelled.
        pub request_id: Name,
        /// Body of the completion request as JSON text.
        pub body: String,
        /// Whether the body is a chat completion.
        pub chat: bool,
        /// Priority; larger goes first.
        pub priority: i32,
        /// Text that was already generated and is to be continued.
        pub resume_text: String,
        /// Time until the head of the answer has to be there, in milliseconds.
        pub timeout_ms: u64,
    }

    /// What an engine says of itself. It lags behind what happens.
    pub struct LoadReport {
        /// Number of this start of the engine; another one means that its memory is empty.
        pub boot: u64,
        /// Largest fencing number that it accepted.
        pub fencing: u64,
        /// Handles that are loaded.
        pub handles: Vec<Name>,
        /// Handles that requests run on.
        #[serde(default)]
        pub running_handles: Vec<Name>,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
    }
}
