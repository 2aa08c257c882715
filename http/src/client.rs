//! HTTP client with a connection pool.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response as HyperResponse};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as PooledClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use crate::call::{Call, Response, StreamingResponse};
use crate::error::Error;

/// Timeout of opening a TCP connection.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT_MS: u64 = 20_000;

/// Size up to which what is read from a connection waits to be used, in bytes. A head has to fit.
const BUFFER_BYTES: usize = 64 * 1024;

/// Idle time before the first TCP keep-alive probe, and interval between probes. The probes detect
/// a connection whose state a network device has lost before the connection is used again.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time after which a connection with unacknowledged sent data is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 2_000;

/// A client with pooled connections. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: PooledClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(Duration::from_millis(KEEPALIVE_INTERVAL_MS)));
        connector.set_keepalive_interval(Some(Duration::from_millis(KEEPALIVE_INTERVAL_MS)));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_TIMEOUT_MS)));
        let pool = PooledClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .retry_canceled_requests(false)
            .http1_max_buf_size(BUFFER_BYTES)
            .build(connector);
        Self { pool }
    }

    /// Sends a call and reads the complete response within the call's timeout.
    ///
    /// # Errors
    ///
    /// See [`Category`](crate::Category). A response with an error status is not an error.
    pub async fn call(&self, call: Call) -> Result<Response, Error> {
        let call_timeout = Duration::from_millis(call.timeout_ms);
        timeout(call_timeout, self.call_without_timeout(call))
            .await
            .unwrap_or_else(|_| Err(Error::timeout()))
    }

    /// Sends a call and returns when the response headers have arrived.
    ///
    /// The call's timeout applies only until then. The reader of the body applies its own timeout.
    ///
    /// # Errors
    ///
    /// See [`Category`](crate::Category).
    pub async fn stream(&self, call: Call) -> Result<StreamingResponse, Error> {
        let call_timeout = Duration::from_millis(call.timeout_ms);
        let response = timeout(call_timeout, self.send(call))
            .await
            .unwrap_or(Err(Error::timeout()))?;
        let (parts, body) = response.into_parts();
        Ok(StreamingResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn call_without_timeout(&self, call: Call) -> Result<Response, Error> {
        let max_body_bytes = call.max_body_bytes;
        let response = self.send(call).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, max_body_bytes).collect().await;
        let body = body.map_err(Error::interrupted)?.to_bytes();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn send(&self, call: Call) -> Result<HyperResponse<Incoming>, Error> {
        let request = into_request(call)?;
        self.pool.request(request).await.map_err(Error::from_send)
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

fn into_request(call: Call) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.url)
        .body(Full::new(call.body))
        .map_err(Error::malformed)?;
    *request.headers_mut() = call.headers;
    Ok(request)
}
