//! Requests, actions and limits of a server's queue.

use crate::name::{AdapterVersion, Name};
use crate::request::Code;

/// Number of a request in this queue, chosen by the caller of
/// [`ServerQueue::enqueue`](super::ServerQueue::enqueue).
pub type Ticket = u64;

crate::record! {
    /// Capacity of a server.
    #[derive(Copy)]
    pub struct ServerLimits {
        /// Maximum number of adapters in memory.
        pub slots: usize,
        /// Maximum number of running requests.
        pub batch: usize,
    }

    /// A request that waits for the server.
    pub struct WaitingRequest {
        /// Number of the request.
        pub ticket: Ticket,
        /// Organisation that is charged for the request.
        pub organisation: Name,
        /// Weight of the organisation.
        pub weight: u32,
        /// Adapter and version that the request needs.
        pub model: AdapterVersion,
        /// Upper bound of the tokens that the request uses.
        pub cost_tokens: u64,
        /// Monotonic time after which the request is refused, in milliseconds.
        pub deadline_ms: u64,
    }

    /// The most urgent load of a queue.
    pub struct WantedLoad {
        /// Adapter to load.
        pub model: AdapterVersion,
        /// Age of the oldest request for the adapter plus a credit for each request, in
        /// milliseconds. Between servers, the load with the largest value starts first.
        pub urgency_ms: u64,
    }

    /// What the server's owner has to do.
    pub enum Action {
        /// Load the adapter, then call [`on_loaded`](super::ServerQueue::on_loaded) or
        /// [`on_load_failed`](super::ServerQueue::on_load_failed).
        Load {
            /// Adapter to load.
            model: AdapterVersion,
        },
        /// Unload the adapter. Its slot counts as free immediately.
        Evict {
            /// Adapter to unload.
            model: AdapterVersion,
        },
        /// Send the request to the server, then call
        /// [`on_finished`](super::ServerQueue::on_finished) when it ends.
        Dispatch {
            /// Number of the request to send.
            ticket: Ticket,
            /// Priority at the engine, from 0 to 100; a larger value is served first.
            priority: i32,
        },
        /// Refuse the request; it has not run.
        Refuse {
            /// Number of the request to refuse.
            ticket: Ticket,
            /// Reason for the refusal.
            code: Code,
            /// Delay after which the caller may retry, in milliseconds.
            retry_after_ms: u64,
        },
    }
}
