//! Interface between the HTTP server for callers and the rest of the process.

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use mimosabay_core::name::Name;
use mimosabay_core::request::{Refusal, RunEvent};

use crate::call::Call;

/// The events of a run. The last one is [`RunEvent::Finished`] or [`RunEvent::Refused`].
///
/// Dropping the stream signals that the caller has disconnected.
pub type EventStream = BoxStream<'static, RunEvent>;

/// A call that was accepted for execution.
pub struct AcceptedCall {
    /// Request id of the call.
    pub request_id: Name,
    /// Events of its run.
    pub events: EventStream,
}

/// Executes the calls that the HTTP server receives.
pub trait Gateway: Send + Sync + 'static {
    /// Accepts a call for execution, or refuses it.
    fn accept(&self, call: Call) -> BoxFuture<'_, Result<AcceptedCall, Refusal>>;

    /// Lists the models that the API key with this hash may use.
    ///
    /// # Errors
    ///
    /// A refusal if the key is not accepted.
    fn models(&self, key_sha256: Option<&str>) -> Result<Vec<Name>, Refusal>;

    /// Returns whether this instance accepts new calls.
    fn is_ready(&self) -> bool;

    /// Returns the last day of the service as `YYYY-MM-DD`, if it is set.
    fn sunset_date(&self) -> Option<Name>;
}
