//! HTTP server for callers.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tracing::error;
use viz::{Router, Server, types::State};

use crate::gateway::Gateway;
use crate::handler;

/// Size of the read buffer as a multiple of the header limit. Headers that exceed the limit but fit
/// the buffer get a refusal with a message; larger ones get a 431 without a body from `hyper`.
const HEAD_BUFFER_FACTOR: usize = 4;

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of the request target and headers.
    pub max_header_bytes: usize,
    /// Timeout of reading the headers of a request, and separately of reading its body.
    pub read_timeout_ms: u64,
}

/// State shared by all handlers.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) gateway: Arc<dyn Gateway>,
    pub(crate) limits: CallerLimits,
}

/// Serves calls until `stop` completes, then waits for open calls to finish.
pub async fn serve(
    listener: TcpListener,
    gateway: Arc<dyn Gateway>,
    limits: CallerLimits,
    stop: impl Future<Output = ()> + Send + 'static,
) {
    let router = router(Shared { gateway, limits });
    let server = Server::with_builder(listener, router, http_builder(limits));
    if let Err(cause) = server.signal(stop).await {
        error!(%cause, "HTTP server for callers failed");
    }
}

fn router(shared: Shared) -> Router {
    Router::new()
        .get("/healthz", handler::healthz)
        .get("/readyz", handler::readyz)
        .get("/v1/models", handler::models)
        .post("/v1/completions", handler::completions)
        .post("/v1/chat/completions", handler::chat_completions)
        .any("/*", handler::plain)
        .with(State::new(shared))
}

fn http_builder(limits: CallerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.read_timeout_ms))
        .max_buf_size(HEAD_BUFFER_FACTOR * limits.max_header_bytes);
    builder
}
