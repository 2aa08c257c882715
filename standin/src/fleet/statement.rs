//! What a server states about itself in its answers, beside limits.

use http::{HeaderMap, HeaderValue};

use super::server::FleetServer;

/// Statements of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct Statements {
    /// Whether all answers say that the server leaves.
    is_leaving: bool,
    /// `Retry-After` of its refusals; it refuses every request while there is one.
    refusal: Option<String>,
}

impl FleetServer {
    /// Says in all answers from now on that the server leaves.
    pub fn state_leaving(&self) {
        self.with_state(|state| state.statements.is_leaving = true);
    }

    /// Refuses all requests from now on, with this `Retry-After`; none if it is `None`.
    pub fn refuse_until(&self, retry_after: Option<&str>) {
        self.with_state(|state| state.statements.refusal = retry_after.map(str::to_owned));
    }

    pub(super) fn refuses(&self) -> bool {
        self.with_state(|state| state.statements.refusal.is_some())
    }

    /// Adds the statements to the headers of an answer.
    pub(super) fn add_statements(&self, headers: &mut HeaderMap) {
        self.add_limit(headers);
        if self.with_state(|state| state.statements.is_leaving) {
            headers.insert("server-leaving", HeaderValue::from_static("1"));
        }
    }

    /// Adds the `Retry-After` of a refusal.
    pub(super) fn add_retry_after(&self, headers: &mut HeaderMap) {
        let text = self.with_state(|state| state.statements.refusal.clone());
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert("retry-after", value);
        }
    }
}
