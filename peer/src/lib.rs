//! Authenticated streams between instances.
//!
//! Each pair of instances shares one TCP connection that carries HTTP/2 streams, one for each call.
//! Before the first stream, both sides prove by a challenge that they know the site's shared
//! secret. Messages are length-prefixed `bincode`. A connection that no longer answers pings is
//! dropped and opened anew, because something between two ends can lose track of it.

mod auth;
mod client;
mod error;
mod frame;
mod message;
mod server;

pub use auth::Secret;
pub use client::{Peer, ReplyStream};
pub use error::{Category, Error};
pub use message::{Envelope, Members, Message, Reply, VersionedQuarantine};
pub use server::{Inbound, Responder, serve};
