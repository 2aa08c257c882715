//! What a simulated server has received.

use std::time::Instant;

use bytes::Bytes;
use serde_json::Value;

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Identifier of the caller's attempt, from `x-attempt-id`.
    pub id: String,
    /// Whether the server ran the request.
    pub has_run: bool,
    /// Whether the request crashed the server.
    pub has_crashed_server: bool,
    /// All headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// Complete request body.
    pub body: Bytes,
    /// When the request was recorded.
    pub arrived: Instant,
}

impl ReceivedRequest {
    /// Returns the value of the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| &**value)
    }
}

/// What a request did to the server that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEffect {
    /// Nothing: it was not run.
    NotRun,
    /// It ran.
    Run,
    /// It crashed the server.
    Crash,
}

impl RequestEffect {
    pub(super) fn run(crashes: bool) -> Self {
        if crashes { Self::Crash } else { Self::Run }
    }
}

/// An order that a server received.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    /// JSON body of the order; null if it was not valid JSON.
    pub fields: Value,
    /// HTTP status of the response.
    pub status: u16,
}

impl ReceivedOrder {
    /// Returns the fencing number and its holder.
    pub fn holder(&self) -> (u64, String) {
        let number = self.fields["fencingToken"].as_u64();
        let holder = self.fields["holder"].as_str();
        let number = number.expect("an order has a fencing number");
        (number, holder.expect("an order has a holder").to_owned())
    }
}
