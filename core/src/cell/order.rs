//! Orders to engines to load or unload weights, and their results.

use std::net::SocketAddr;

use super::engine::AdapterKey;
use crate::backend::HeldModel;
use crate::name::Name;

/// An order to load or unload weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Identifier of the server.
    pub server: Name,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Whether to load or unload.
    pub kind: OrderKind,
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<Name>,
    /// Version of the adapter to load; `None` for the newest.
    pub version: Option<u64>,
    /// Number of orders that the server must have accepted before. It invalidates an order that
    /// reaches the server late, after newer ones.
    pub precondition: u64,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load weights.
    Load,
    /// Unload weights.
    Unload,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The server has started to execute it.
    Started,
    /// The requested state already holds, or was reached at once.
    Done,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The server has seen a larger fencing number.
    Fenced,
    /// The order did not reach the server.
    NotSent,
    /// No answer was received; the server may execute it later.
    Unknown,
    /// The server refused it, or the address belongs to another server.
    Rejected,
}

/// A server's report of its content. It is a few hundred milliseconds old when it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Number of orders accepted since the server started.
    pub sequence: u64,
    /// Whether a base model is being loaded.
    pub is_busy: bool,
    /// Start time of the server; 0 if it does not report it.
    pub started_unix_ms: u64,
    /// Adapters being loaded, with their versions.
    pub loading: Vec<(AdapterKey, u64)>,
    /// Base models and adapters that it holds.
    pub models: Vec<HeldModel>,
}
