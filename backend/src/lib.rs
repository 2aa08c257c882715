//! Clients for backend servers.
//!
//! Engines serve `/v1/completions` and `/v1/chat/completions` with server-sent events, extended by
//! orders to load and unload adapters, a fencing number on each order, and a load report. Plain
//! services speak HTTP. Each error states whether the server may have run the request.
//!
//! ```no_run
//! # async fn run() -> Result<(), mimosabay_backend::Error> {
//! use mimosabay_backend::{Engine, LoadOrder};
//!
//! let engine = Engine::new(mimosabay_http::Client::new(), "127.0.0.1:8000");
//! let order = LoadOrder { handle: "tender@3".into(), source: "store://tender/3".into(), fencing: 7 };
//! engine.load(&order).await?;
//! assert!(engine.fetch_report().await?.handles.contains(&"tender@3".into()));
//! # Ok(())
//! # }
//! ```

mod engine;
mod error;
mod generation;
mod order;
mod plain;

pub use engine::Engine;
pub use error::{Category, Error};
pub use generation::{Generation, Part};
pub use order::{GenerateOrder, LoadOrder, LoadReport, UnloadOrder};
pub use plain::{PlainCall, PlainResponse, PlainService};

/// Name of the header with the fencing number of an order.
pub const FENCING_HEADER: &str = "x-fencing-token";
