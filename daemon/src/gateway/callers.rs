//! Connections of callers, of the platform's readiness probes and of readers of the metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use mimosabay_platform::wire_names;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tracing::{info, warn};

use super::answer::Answer;
use super::body::AnswerBody;
use super::connection::set_liveness_timeouts;
use super::request;
use super::state::{Phase, State};

/// Smallest buffer for the head of a request, in bytes.
const MIN_BUFFER_BYTES: usize = 16 * 1024;
/// Time for which an idle connection is kept before the configuration is known, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Time within which a caller must acknowledge data.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 5;

/// Accepts callers until the process ends.
pub(crate) async fn serve(state: Arc<State>, listener: TcpListener) {
    loop {
        let socket = accept(&listener).await;
        tokio::spawn(serve_connection(state.clone(), socket));
    }
}

/// Accepts the next connection. Errors that prevent this, such as too many open files, may be
/// temporary.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(cause) => {
                warn!(event = "accept_failed", %cause);
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_connection(state: Arc<State>, socket: TcpStream) {
    if set_liveness_timeouts(&socket, UNACKNOWLEDGED_TIMEOUT).is_err() {
        return;
    }
    let limits = state.site().map(|site| site.limits.clone());
    let idle_ms = limits
        .as_ref()
        .map_or(DEFAULT_IDLE_MS, |limits| limits.idle_timeout_ms);
    let header_bytes = limits.map_or(MIN_BUFFER_BYTES, |limits| limits.header_bytes);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES));
    let service = service_fn(|request: Request<Incoming>| {
        let state = state.clone();
        async move { Ok::<Answer, Infallible>(request::handle(state, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let mut phase = state.phase.subscribe();
    tokio::select! {
        // A caller that violates the protocol or leaves is not logged.
        _ = &mut connection => return,
        _ = phase.wait_for(|phase| *phase >= Phase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Serves metrics until the process ends.
pub(crate) async fn serve_metrics(state: Arc<State>, listener: TcpListener) {
    loop {
        let socket = accept(&listener).await;
        let state = state.clone();
        let answer = move |_: &str| metrics_answer(&state);
        tokio::spawn(serve_local_answers(socket, answer));
    }
}

fn metrics_answer(state: &State) -> Answer {
    Response::new(AnswerBody::complete(state.metrics.encode_text()))
}

/// Answers readiness probes until the process ends.
pub(crate) async fn serve_ready(state: Arc<State>, listener: TcpListener) {
    let mut was_ready = false;
    loop {
        let socket = accept(&listener).await;
        let is_ready = state.is_ready();
        if is_ready != was_ready {
            info!(event = "readiness", is_ready);
            was_ready = is_ready;
        }
        let state = state.clone();
        tokio::spawn(serve_local_answers(socket, move |path: &str| {
            ready_answer(&state, path)
        }));
    }
}

/// Serves a connection whose requests this instance answers itself, by their path.
async fn serve_local_answers(socket: TcpStream, answer: impl Fn(&str) -> Answer) {
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer(request.uri().path());
        async move { Ok::<Answer, Infallible>(answer) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    // The platform repeats its request.
    let _ = connection.await;
}

fn ready_answer(state: &State, path: &str) -> Answer {
    let mut answer = Response::new(AnswerBody::Complete(None));
    *answer.status_mut() = match path {
        wire_names::READY_PATH if state.is_ready() => StatusCode::OK,
        wire_names::READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    answer
}
