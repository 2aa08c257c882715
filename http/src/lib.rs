//! HTTP/1.1 client for the platform, engines and plain services.
//!
//! Provides pooled connections, timeouts for the connection and for the response, and errors that
//! state whether the call may have taken effect.
//!
//! ```no_run
//! # async fn run() -> Result<(), mimosabay_http::Error> {
//! use mimosabay_http::{Call, Client};
//!
//! let client = Client::new();
//! let response = client.call(Call::get("http://127.0.0.1:7000/v1/instances")).await?;
//! assert!(response.status.is_success());
//! # Ok(())
//! # }
//! ```

mod call;
mod client;
mod error;
mod url;

pub use call::{Call, Response, StreamingResponse};
pub use client::Client;
pub use error::{Category, Error};
pub use url::Url;
