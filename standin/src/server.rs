//! The HTTP server under all stand-ins.

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

use crate::reply::{Closed, Reply};
use crate::wire::Silencer;

/// Time to the first byte of a connection; after it the connection is not taken for control.
const FIRST_BYTE_TIMEOUT_MS: u64 = 20_000;
/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE_MS: u64 = 20;

/// A call with its whole body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Faults of connections. Cloning it shares the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Network {
    silencer: Silencer,
    silent: Arc<AtomicBool>,
}

/// Answers the calls of one stand-in. Cloning it shares its state.
pub(crate) trait Service: Clone + Send + Sync + 'static {
    /// Faults of its connections.
    fn network(&self) -> &Network;

    /// Answers one call.
    fn answer(&self, call: Call) -> impl Future<Output = Reply> + Send;
}

impl Network {
    /// Makes every open connection silent for good; new ones work.
    pub(crate) fn silence_open(&self) {
        self.silencer.silence_open();
    }

    /// Sets whether new connections are silent too; turning it on silences the open ones.
    pub(crate) fn set_silent(&self, silent: bool) {
        if silent && !self.silent.swap(silent, Ordering::Relaxed) {
            self.silence_open();
        }
        self.silent.store(silent, Ordering::Relaxed);
    }
}

impl Call {
    /// Segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.uri.path().split('/').skip(1).collect()
    }

    /// A parameter of the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// A numeric parameter of the query.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// A header as text, empty if there is none.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// All headers as text, for records.
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

/// Serves connections until the future is dropped, which closes them all.
pub(crate) async fn run<S: Service>(listener: TcpListener, service: S) {
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
    let network = service.network().clone();
    let wire = network.silencer.wrap(stream);
    let Some(wire) = admit(wire, &network).await else {
        return;
    };
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { service.answer(read_call(request).await?).await }
    });
    // A connection that breaks or is closed on purpose is an ordinary end here.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(wire), handler)
        .await;
}

/// Looks at the first bytes: control calls are heard whatever the fault.
async fn admit(wire: crate::wire::Wire, network: &Network) -> Option<crate::wire::Wire> {
    let mut first = [0; 16];
    let limit = Duration::from_millis(FIRST_BYTE_TIMEOUT_MS);
    let count = tokio::time::timeout(limit, wire.peek(&mut first)).await;
    let first = first.get(..count.ok()?.ok()?)?;
    let is_control = ["GET /control", "PUT /control", "DELETE /control"]
        .iter()
        .any(|start| first.starts_with(start.as_bytes()));
    if is_control {
        return Some(wire.into_control());
    }
    if network.silent.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    Some(wire)
}

async fn read_call(request: Request<Incoming>) -> Result<Call, Closed> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    Ok(Call {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    })
}
