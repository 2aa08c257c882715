//! The HTTP server that all stand-ins use.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::connection::{ConnectionPause, ConnectionSilencing};
use crate::reply::{Closed, Reply};
use crate::target::Target;

/// Timeout for the first bytes of a connection, in milliseconds. Without them the connection cannot
/// be classified and is closed.
const FIRST_BYTE_TIMEOUT_MS: u64 = 20_000;
/// Pause after a failed accept, in milliseconds, so that a lack of file descriptors does not cause a
/// busy loop.
const ACCEPT_PAUSE_MS: u64 = 20;

/// An HTTP request with its complete body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The decoded path and query; `None` if they are no URL.
    pub(crate) target: Option<Target>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Faults injected into connections. Clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionFaults {
    silencing: ConnectionSilencing,
    silent: Arc<AtomicBool>,
    pause: ConnectionPause,
}

/// Handles the calls of one stand-in. Clones share the state.
pub(crate) trait Service: Clone + Send + Sync + 'static {
    /// Returns the faults injected into the stand-in's connections.
    fn connection_faults(&self) -> &ConnectionFaults;

    /// Handles one call.
    fn handle(&self, call: Call) -> impl Future<Output = Reply> + Send;
}

impl ConnectionFaults {
    /// Silences every open connection permanently; new connections work.
    pub(crate) fn silence_open(&self) {
        self.silencing.silence_open();
    }

    /// Sets whether new connections are silent. Turning it on also silences the open connections.
    pub(crate) fn set_silent(&self, silent: bool) {
        if silent && !self.silent.swap(silent, Ordering::Relaxed) {
            self.silence_open();
        }
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Pauses all connections, or ends the pause. Nothing is lost.
    pub(crate) fn set_paused(&self, is_paused: bool) {
        self.pause.set_paused(is_paused);
    }
}

impl Call {
    /// Returns the decoded segments of the path; none if the target is no URL.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.target
            .as_ref()
            .map(Target::segments)
            .unwrap_or_default()
    }

    /// Returns a decoded parameter of the query string.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.target.as_ref()?.parameter(name)
    }

    /// Returns a numeric parameter of the query string.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Returns a header as text; empty if it is absent or not UTF-8.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| str::from_utf8(value.as_bytes()).ok())
            .unwrap_or_default()
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns all headers as text, for records.
    pub(crate) fn header_list(&self) -> Vec<(String, String)> {
        self.headers
            .iter()
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes());
                (name.to_string(), value.into_owned())
            })
            .collect()
    }
}

/// Serves connections until the future is dropped, which closes all of them.
pub(crate) async fn serve<S: Service>(listener: TcpListener, service: S) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, service.clone()));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
        }
    }
}

async fn serve_connection<S: Service>(stream: TcpStream, service: S) {
    let _ = stream.set_nodelay(true);
    let connection_faults = service.connection_faults().clone();
    let connection = connection_faults
        .silencing
        .wrap(stream)
        .with_pause(&connection_faults.pause);
    let Some(connection) = classify_connection(connection, &connection_faults).await else {
        return;
    };
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { service.handle(read_call(request).await?).await }
    });
    // Errors are expected here: connections break or are closed by an injected fault.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(connection), handler)
        .await;
}

/// Peeks at the first bytes and exempts control calls from silencing, so that they work under every
/// fault. Returns `None` if no bytes arrive in time.
async fn classify_connection(
    connection: crate::connection::SilenceableConnection,
    connection_faults: &ConnectionFaults,
) -> Option<crate::connection::SilenceableConnection> {
    let mut first_bytes = [0; 16];
    let timeout = Duration::from_millis(FIRST_BYTE_TIMEOUT_MS);
    let count = tokio::time::timeout(timeout, connection.peek(&mut first_bytes)).await;
    let first_bytes = first_bytes.get(..count.ok()?.ok()?)?;
    let is_control = ["GET /control", "PUT /control", "DELETE /control"]
        .iter()
        .any(|start| first_bytes.starts_with(start.as_bytes()));
    if is_control {
        return Some(connection.into_control());
    }
    if connection_faults.silent.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    Some(connection)
}

async fn read_call(request: Request<Incoming>) -> Result<Call, Closed> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    Ok(Call {
        method: head.method,
        target: Target::decode(&head.uri),
        uri: head.uri,
        headers: head.headers,
        body,
    })
}
