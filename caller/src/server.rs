//! The HTTP server for callers.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tracing::error;
use viz::{Router, Server, types::State};

use crate::gateway::Gateway;
use crate::handler;

/// A head of up to this many times the limit is read, so that its refusal can say what is wrong;
/// a larger one gets the HTTP library's bare 431.
const HEAD_BUFFER_FACTOR: usize = 4;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Largest body.
    pub max_body_bytes: usize,
    /// Largest head of a request.
    pub max_header_bytes: usize,
    /// Time for the head of a request, and again for its body.
    pub read_timeout_ms: u64,
}

/// What each handler needs.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) gateway: Arc<dyn Gateway>,
    pub(crate) limits: CallerLimits,
}

/// Serves calls until `stop` is ready, then finishes the open ones.
pub async fn serve(
    listener: TcpListener,
    gateway: Arc<dyn Gateway>,
    limits: CallerLimits,
    stop: impl Future<Output = ()> + Send + 'static,
) {
    let router = router(Shared { gateway, limits });
    let server = Server::with_builder(listener, router, http_builder(limits));
    if let Err(cause) = server.signal(stop).await {
        error!(%cause, "the server for callers ended");
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
