//! Authenticated message streams between instances.
//!
//! Each pair of instances shares one TCP connection that carries one HTTP/2 stream per call. Before
//! the first stream, both sides authenticate with the site's shared secret. Messages are
//! length-prefixed `bincode`. A connection that does not answer pings is replaced by a new one,
//! because a network device between the instances can lose the state of the connection.

mod auth;
mod byte_stream;
mod client;
mod error;
mod frame;
mod headers;
mod message;
mod server;

pub use auth::Secret;
pub use byte_stream::ByteStream;
pub use client::{Peer, ReplyStream};
pub use error::{Category, Error};
pub use headers::SenderFacts;
pub use message::{Envelope, Members, Message, NotConnected, Reply};
pub use server::{Inbound, Responder, serve};
