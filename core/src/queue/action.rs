//! What goes into the queue of a server and what comes out.

use crate::name::{AdapterVersion, Name};
use crate::request::Code;

/// Number of a request in this queue, given by the caller of
/// [`ServerQueue::enqueue`](super::ServerQueue::enqueue).
pub type Ticket = u64;

crate::record! {
    /// What the server can hold and run.
    #[derive(Copy)]
    pub struct ServerLimits {
        /// Adapters in memory at once.
        pub slots: usize,
        /// Requests that run at once.
        pub batch: usize,
    }

    /// A request that waits for the server.
    pub struct WaitingRequest {
        /// Its number.
        pub ticket: Ticket,
        /// The organisation it is charged to.
        pub organisation: Name,
        /// Weight of the organisation.
        pub weight: u32,
        /// Adapter and version it needs.
        pub model: AdapterVersion,
        /// Upper bound of its tokens.
        pub cost_tokens: u64,
        /// Monotonic time at which it is given up, in milliseconds.
        pub deadline_ms: u64,
    }

    /// The load that a queue wants most.
    pub struct WantedLoad {
        /// What to load.
        pub model: AdapterVersion,
        /// Age of the oldest request for it plus a credit for each one, in milliseconds; a larger
        /// value goes first between servers.
        pub urgency_ms: u64,
    }

    /// What the owner has to do.
    pub enum Action {
        /// Load the adapter; answer with [`on_loaded`](super::ServerQueue::on_loaded) or
        /// [`on_load_failed`](super::ServerQueue::on_load_failed).
        Load {
            /// What to load.
            model: AdapterVersion,
        },
        /// Free the adapter's slot. The slot counts as free at once.
        Evict {
            /// What to unload.
            model: AdapterVersion,
        },
        /// Send the request to the server; answer with
        /// [`on_finished`](super::ServerQueue::on_finished).
        Dispatch {
            /// Which request.
            ticket: Ticket,
            /// Priority at the engine, 0 to 100; larger goes first.
            priority: i32,
        },
        /// Give the request up; it has not run.
        Refuse {
            /// Which request.
            ticket: Ticket,
            /// Why.
            code: Code,
            /// When a repeat is worth trying, in milliseconds from now.
            retry_after_ms: u64,
        },
    }
}
