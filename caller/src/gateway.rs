//! The edge between this package and the rest of the process.

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use mimosabay_core::name::Name;
use mimosabay_core::request::{Refusal, RunEvent};

use crate::call::Call;

/// The events of a run, the last one [`RunEvent::Finished`] or [`RunEvent::Refused`]. Dropping it
/// tells the other side that the caller left.
pub type EventStream = BoxStream<'static, RunEvent>;

/// A call that was taken in.
pub struct AcceptedCall {
    /// Its request id.
    pub request_id: Name,
    /// What happens to it.
    pub events: EventStream,
}

/// What serves the calls.
pub trait Gateway: Send + Sync + 'static {
    /// Takes in a call.
    fn accept(&self, call: Call) -> BoxFuture<'_, Result<AcceptedCall, Refusal>>;

    /// Names of the models that the key with this hash may use.
    ///
    /// # Errors
    ///
    /// A refusal if the key does not work.
    fn models(&self, key_sha256: Option<&str>) -> Result<Vec<Name>, Refusal>;

    /// Whether new calls may be sent here.
    fn is_ready(&self) -> bool;

    /// Date after which the service ends, as `YYYY-MM-DD`.
    fn sunset_date(&self) -> Option<Name>;
}
