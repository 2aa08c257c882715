//! HTTP/1.1 API for callers.
//!
//! Callers use `/v1/completions` and `/v1/chat/completions` with their API key as a bearer token.
//! This crate parses calls into typed values, passes them to a [`Gateway`], and encodes the events
//! of a run as JSON or server-sent events. The key is hashed when it is read and is not passed on
//! to other crates.

mod answer;
mod body;
mod call;
mod failure;
mod gateway;
mod handler;
mod parse;
mod server;

pub use call::{Call, Operation};
pub use failure::status_of;
pub use gateway::{AcceptedCall, EventStream, Gateway};
pub use server::{CallerLimits, serve};
