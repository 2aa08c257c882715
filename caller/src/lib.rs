//! The side of mimosabay that callers talk to.
//!
//! Callers speak the completions protocol of the field over HTTP/1.1, with their key as a bearer
//! token. This package turns calls into typed values, hands them to a [`Gateway`], and turns the
//! events of a run into JSON or server-sent events. The key is hashed as it is read; nothing
//! behind this package ever sees it.

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
