//! Calls to another instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use http::Request;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::auth::Secret;
use crate::error::{Category, Error};
use crate::frame::{Reader, Writer};
use crate::message::{Envelope, Reply};

/// Time to open a connection.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time between pings on an open connection.
const PING_PERIOD_MS: u64 = 500;
/// Time without an answer to a ping after which a connection counts as silent.
const PING_TIMEOUT_MS: u64 = 2_000;
/// Flow-control window of one stream and, times 16, of a connection.
pub(crate) const WINDOW_BYTES: u32 = 1 << 20;

/// Another instance. Cloning it shares the connection.
#[derive(Clone)]
pub struct Peer {
    shared: Arc<Shared>,
}

struct Shared {
    address: String,
    secret: Secret,
    connection: Mutex<Option<Connection>>,
}

struct Connection {
    sender: SendRequest<Bytes>,
    driver: JoinHandle<()>,
}

/// The replies to one message. Dropping it resets the stream.
pub struct ReplyStream {
    reader: Reader,
    _stream: Writer,
}

impl Peer {
    /// Names another instance by its address; a connection is opened at the first call.
    pub fn new(address: impl Into<String>, secret: Secret) -> Self {
        let shared = Shared {
            address: address.into(),
            secret,
            connection: Mutex::new(None),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sends a message; the replies are read from the returned value.
    ///
    /// # Errors
    ///
    /// [`Category::NotSent`](crate::Category::NotSent) if the other side cannot have received it,
    /// [`Category::Unauthenticated`](crate::Category::Unauthenticated), or
    /// [`Category::Interrupted`](crate::Category::Interrupted).
    pub async fn call_streaming(&self, envelope: &Envelope) -> Result<ReplyStream, Error> {
        let sender = self.sender().await?;
        let mut sender = sender.ready().await.map_err(Error::not_sent)?;
        let request = Request::post("/").body(()).map_err(Error::not_sent)?;
        let (response, stream) = sender
            .send_request(request, false)
            .map_err(Error::not_sent)?;
        let mut writer = Writer::new(stream);
        writer.write(envelope, false).await?;
        let response = response.await.map_err(Error::interrupted)?;
        Ok(ReplyStream {
            reader: Reader::new(response.into_body()),
            _stream: writer,
        })
    }

    /// Sends a message and waits up to `timeout_ms` for its only reply.
    ///
    /// # Errors
    ///
    /// As for [`Peer::call_streaming`]; a missing reply counts as interrupted.
    pub async fn call_unary(&self, envelope: &Envelope, timeout_ms: u64) -> Result<Reply, Error> {
        let exchange = async {
            let mut replies = self.call_streaming(envelope).await?;
            replies
                .next()
                .await?
                .ok_or_else(|| Error::interrupted("no reply"))
        };
        timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or_else(|_| Err(Error::interrupted("no reply within the timeout")))
    }

    async fn sender(&self) -> Result<SendRequest<Bytes>, Error> {
        let mut slot = self.shared.connection.lock().await;
        if let Some(connection) = slot.as_ref()
            && !connection.driver.is_finished()
        {
            return Ok(connection.sender.clone());
        }
        let connection = connect(&self.shared).await?;
        let sender = connection.sender.clone();
        *slot = Some(connection);
        Ok(sender)
    }
}

impl ReplyStream {
    /// The next reply; `None` after the last one.
    ///
    /// # Errors
    ///
    /// [`Category::Interrupted`](crate::Category::Interrupted) if the stream broke.
    pub async fn next(&mut self) -> Result<Option<Reply>, Error> {
        self.reader.read().await
    }
}

async fn connect(shared: &Shared) -> Result<Connection, Error> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let mut socket = timeout(limit, TcpStream::connect(&shared.address))
        .await
        .map_err(Error::not_sent)?
        .map_err(|cause| connect_failed(&cause))?;
    socket.set_nodelay(true).map_err(Error::not_sent)?;
    shared.secret.prove_as_client(&mut socket).await?;
    let (sender, mut connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 16)
        .handshake(socket)
        .await
        .map_err(Error::not_sent)?;
    let ping = connection.ping_pong();
    let driver = tokio::spawn(async move {
        tokio::select! {
            // The end of the connection reaches each stream as its own error.
            _ = connection => {}
            () = watch_silence(ping) => {}
        }
    });
    Ok(Connection { sender, driver })
}

fn connect_failed(cause: &std::io::Error) -> Error {
    match cause.kind() {
        std::io::ErrorKind::ConnectionRefused => Error::new(Category::Refused, cause),
        _ => Error::not_sent(cause),
    }
}

/// Returns once the connection has not answered a ping in time.
async fn watch_silence(ping: Option<PingPong>) {
    let Some(mut ping) = ping else {
        return std::future::pending().await;
    };
    let limit = Duration::from_millis(PING_TIMEOUT_MS);
    loop {
        sleep(Duration::from_millis(PING_PERIOD_MS)).await;
        match timeout(limit, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
