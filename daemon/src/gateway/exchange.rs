//! One attempt at a backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use mimosabay_core::attempt::ExecutionStatus;
use mimosabay_core::backend::{Backend, LoadSample};
use mimosabay_core::name::Name;
use mimosabay_platform::ingress;
use prometheus_client::encoding::EncodeLabelValue;
use tokio::time::timeout;
use tracing::warn;

use super::answer_buffer::{self, Unread};
use super::connection::Connection;
use super::server_connection::{self, Unreached};
use super::server_links;
use super::state::State;

/// A request as sent to a server.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Identifier that the response must carry.
    pub(crate) request_id: Name,
}

/// Head of a server's response.
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) guard: ConnectionGuard,
}

impl ResponseHead {
    /// Whether the body ends with its connection, as it has neither a length nor chunks.
    pub(crate) fn ends_with_connection(&self) -> bool {
        !self.body.is_end_stream()
            && !self.headers.contains_key(CONTENT_LENGTH)
            && !self.headers.contains_key(TRANSFER_ENCODING)
    }
}

/// Holds a connection while a response is read from it. Dropping the guard closes the connection.
pub(crate) struct ConnectionGuard {
    backend: Arc<Backend>,
    connection: Connection,
    server_idle_timeout_ms: Option<u64>,
    is_reusable: bool,
}

/// Why an attempt brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// The address belongs to another server, or the server does not hold the model, the adapter or
    /// the version.
    NotHeld,
    /// The server did not accept the request.
    Rejected,
    /// The connection broke, or the response was truncated.
    Broken,
    /// The response belongs to another request, or does not come from the server.
    Foreign,
    /// No response arrived in time.
    TimedOut,
}

impl Failure {
    /// What the failure implies about the execution of the request.
    pub(crate) fn execution_status(self) -> ExecutionStatus {
        match self {
            Self::Unreachable | Self::NotHeld | Self::Rejected => ExecutionStatus::NotRun,
            Self::Broken | Self::Foreign | Self::TimedOut => ExecutionStatus::Unknown,
        }
    }
}

/// Sends a request; returns once the head of the response has arrived.
///
/// # Errors
///
/// Why there is no response to the request.
pub(crate) async fn send(
    state: &Arc<State>,
    backend: &Arc<Backend>,
    outgoing: Outgoing,
    limit_ms: u64,
) -> Result<ResponseHead, Failure> {
    let limit = Duration::from_millis(limit_ms);
    timeout(limit, send_without_timeout(state, backend, outgoing))
        .await
        .unwrap_or(Err(Failure::TimedOut))
}

async fn send_without_timeout(
    state: &Arc<State>,
    backend: &Arc<Backend>,
    outgoing: Outgoing,
) -> Result<ResponseHead, Failure> {
    let request_id = outgoing.request_id.clone();
    let mut request = request(outgoing);
    loop {
        let (mut connection, is_pooled) = connection_to(state, backend).await?;
        let response = server_links::await_answer(state, connection.send(request)).await;
        match response {
            Ok(response) => {
                state.server_links.record_data();
                let exchange = Exchange {
                    connection,
                    is_first: !is_pooled,
                    request_id: &request_id,
                };
                return check_response(state, backend, exchange, response);
            }
            // A pooled connection was closed before the request was written to it.
            Err(Some(unsent)) if is_pooled => request = unsent,
            Err(Some(_)) => return Err(Failure::Unreachable),
            Err(None) => return Err(Failure::Broken),
        }
    }
}

/// Returns an idle connection to a server, or a new one, and whether it was idle.
async fn connection_to(
    state: &Arc<State>,
    backend: &Backend,
) -> Result<(Connection, bool), Failure> {
    if let Some(connection) = state.pool.take_connection(backend) {
        return Ok((connection, true));
    }
    let opened = server_connection::open(state, backend).await;
    let connection = opened.map_err(|Unreached| Failure::Unreachable)?;
    Ok((connection, false))
}

fn request(outgoing: Outgoing) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body));
    *request.method_mut() = outgoing.method;
    *request.uri_mut() = outgoing.uri;
    *request.headers_mut() = outgoing.headers;
    request
}

/// A request that was sent over a connection.
struct Exchange<'a> {
    connection: Connection,
    /// Whether it is the first one on the connection.
    is_first: bool,
    request_id: &'a str,
}

impl Exchange<'_> {
    /// Whether a response belongs to the request. One without an identifier, such as a rejection, can be
    /// the repetition of an earlier one unless it is the first on its connection.
    fn is_answered_by(&self, response_id: Option<&str>) -> bool {
        response_id.map_or(self.is_first, |id| id == self.request_id)
    }
}

fn check_response(
    state: &State,
    backend: &Arc<Backend>,
    exchange: Exchange<'_>,
    response: Response<Incoming>,
) -> Result<ResponseHead, Failure> {
    let (parts, body) = response.into_parts();
    if !is_final(parts.status) {
        warn!(event = "status_unknown", server = %backend.id, status = parts.status.as_u16());
        return Err(Failure::Foreign);
    }
    observe_statements(state, backend, &parts);
    let response_id = ingress::request_id(&parts.headers);
    if !exchange.is_answered_by(response_id) {
        return Err(Failure::Foreign);
    }
    let is_not_run = ingress::reports_not_run(parts.status.as_u16(), &parts.headers);
    let may_lift_limit = !is_not_run && ingress::has_server_seal(&parts.headers);
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        let services = &state.uneven_services;
        services.observe(&backend.service, &parts.headers);
        let limits = &state.server_limits;
        if limits.observe(backend, &parts.headers, may_lift_limit) {
            state.link.update_wake.notify_one();
        }
    }
    if is_not_run {
        let failure = match parts.status {
            StatusCode::MISDIRECTED_REQUEST => Failure::NotHeld,
            _ => Failure::Rejected,
        };
        return Err(failure);
    }
    if response_id.is_none() || !ingress::has_server_seal(&parts.headers) {
        return Err(Failure::Foreign);
    }
    let guard = ConnectionGuard {
        backend: backend.clone(),
        connection: exchange.connection,
        server_idle_timeout_ms: ingress::keep_alive_timeout_ms(&parts.headers),
        is_reusable: !ingress::closes_connection(&parts.headers),
    };
    Ok(ResponseHead {
        status: parts.status,
        headers: parts.headers,
        body,
        guard,
    })
}

/// Whether a status is that of a final answer. Any other number is no answer in the protocol.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Records whether a server leaves, or wants no requests for some time, if its response says so. A
/// server with another identifier may have its address.
fn observe_statements(state: &State, backend: &Backend, parts: &Parts) {
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if ingress::says_leaving(&parts.headers) {
        state.backends.note_leaving(backend, state.now_ms());
    }
    if parts.status == StatusCode::SERVICE_UNAVAILABLE {
        state.server_pauses.observe_refusal(backend, &parts.headers);
    }
}

impl ConnectionGuard {
    /// Makes the connection available to other requests after the response was read completely.
    pub(crate) fn return_to_pool(self, state: &State) {
        if self.is_reusable {
            state
                .pool
                .put_connection(&self.backend, self.connection, self.server_idle_timeout_ms);
        }
    }
}

/// A complete response of a server.
pub(crate) struct CompleteResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CompleteResponse {
    /// Load that the server reported.
    pub(crate) fn load(&self) -> Option<LoadSample> {
        ingress::load_sample(&self.headers)
    }
}

/// Reads the rest of a response.
///
/// # Errors
///
/// [`Failure::Broken`] or [`Failure::TimedOut`].
pub(crate) async fn read_complete_response(
    state: &State,
    head: ResponseHead,
    limit_ms: u64,
) -> Result<CompleteResponse, Failure> {
    let ResponseHead {
        status,
        headers,
        body,
        guard,
    } = head;
    let limit = Duration::from_millis(limit_ms);
    let whole = answer_buffer::read_whole(body, state.answer_buffers.add());
    let body = timeout(limit, whole)
        .await
        .map_err(|_| Failure::TimedOut)?
        .map_err(|cause| unread_failure(cause, &guard))?;
    guard.return_to_pool(state);
    Ok(CompleteResponse {
        status,
        headers,
        body,
    })
}

fn unread_failure(cause: Unread, guard: &ConnectionGuard) -> Failure {
    warn!(event = "answer_unread", server = %guard.backend.id, ?cause);
    Failure::Broken
}
