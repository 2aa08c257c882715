//! Stand-ins for the systems around mimosabay, for tests and the quickstart.
//!
//! Each stand-in is a small HTTP server that runs either inside a test or as a separate process.
//! It accepts faults to inject at `/control/faults` and reports at `/control/record` or
//! `/control/stats` what actually happened, so that a test can compare this with what callers
//! received.
//!
//! ```no_run
//! # async fn run() -> std::io::Result<()> {
//! use mimosabay_standin::engine;
//!
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! tokio::spawn(engine::serve(listener, engine::Options::default()));
//! # Ok(())
//! # }
//! ```

pub mod bench;
pub mod command;
pub mod engine;
pub mod fault_injection;
pub mod fleet;
pub mod harness;
pub mod plain;
pub mod platform;
pub mod slopes;
pub mod soak;
pub mod text;
pub mod weights;

mod clock;
mod connection;
mod generate;
mod instances;
mod reply;
mod runs;
mod server;
mod store;
mod target;
