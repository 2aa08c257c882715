//! Orders to engines and what becomes of them.

use std::net::SocketAddr;

use super::engine::AdapterKey;
use crate::backend::HeldModel;
use crate::name::Name;

/// An order to load or unload weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Identifier of the server.
    pub server: Name,
    /// Where the server listens.
    pub address: SocketAddr,
    /// What to do.
    pub kind: OrderKind,
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<Name>,
    /// Version of the adapter to load; `None` for the newest.
    pub version: Option<u64>,
    /// Orders that the server must have accepted before. It voids an order that is carried out
    /// late, after newer ones.
    pub precondition: u64,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load weights.
    Load,
    /// Unload weights.
    Unload,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The server carries it out.
    Started,
    /// What it asks for already holds, or was done at once.
    Done,
    /// Another order is under way, or the number of accepted orders differs.
    Conflict,
    /// The server has seen a larger fencing number.
    Fenced,
    /// It did not reach the server.
    NotSent,
    /// No answer came; it may be carried out later.
    Unknown,
    /// The server refuses it, or is another one.
    Rejected,
}

/// What a server reports of itself. It is some hundred milliseconds old when it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Orders accepted since the start.
    pub sequence: u64,
    /// Whether a base model is being loaded.
    pub is_busy: bool,
    /// Time of the start of the server; 0 if it does not tell.
    pub born_unix_ms: u64,
    /// Adapters on their way, with versions.
    pub loading: Vec<(AdapterKey, u64)>,
    /// Base models and adapters that it holds.
    pub models: Vec<HeldModel>,
}
