//! One HTTP client for every outside system.
//!
//! The platform, engines and plain services all speak HTTP/1.1. What they share is here: pooled
//! connections, a bound on the time to connect and on the time to the head of the answer, and an
//! error that tells whether the call may have taken effect.
//!
//! ```no_run
//! # async fn run() -> Result<(), mimosabay_http::Error> {
//! use mimosabay_http::{Call, Client};
//!
//! let client = Client::new();
//! let answer = client.call(Call::get("http://127.0.0.1:7000/v1/instances")).await?;
//! assert!(answer.status.is_success());
//! # Ok(())
//! # }
//! ```

mod call;
mod client;
mod error;

pub use call::{Call, Response, StreamingResponse};
pub use client::Client;
pub use error::{Category, Error};
