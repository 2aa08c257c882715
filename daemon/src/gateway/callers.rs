//! Connections of callers, of the platform's readiness probes and of readers of the metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mimosabay_platform::wire_names;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tracing::{info, warn};

use super::answer::Answer;
use super::body::AnswerBody;
use super::caller_connection;
use super::listener::listen;
use super::state::State;

/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 5;

/// Accepts callers until the process ends.
pub(crate) async fn serve(state: Arc<State>, listener: TcpListener) {
    loop {
        let socket = accept(&listener).await;
        tokio::spawn(caller_connection::serve(state.clone(), socket));
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

/// Serves metrics until the process ends, as soon as the address is free.
pub(crate) async fn serve_metrics(state: Arc<State>, address: SocketAddr) {
    let listener = listen(address).await;
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
