//! Client side of the calls between instances.

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
use crate::byte_stream::ByteStream;
use crate::error::{Category, Error};
use crate::frame::{Reader, Writer};
use crate::headers::SenderFacts;
use crate::message::{Envelope, Reply};

/// Timeout of opening a TCP connection.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Interval between pings on an open connection.
const PING_PERIOD_MS: u64 = 500;
/// Timeout of a ping, after which the connection counts as unresponsive.
const PING_TIMEOUT_MS: u64 = 2_000;
/// Flow-control window of one stream. The window of a connection is 16 times as large.
pub(crate) const WINDOW_BYTES: u32 = 1 << 20;

/// A client for another instance. Clones share the connection.
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

/// The replies to one message. Dropping the value resets the HTTP/2 stream.
pub struct ReplyStream {
    reader: Reader,
    replier: SenderFacts,
    writer: Writer,
}

impl Peer {
    /// Creates a client for the instance at `address`. The first call opens the connection.
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

    /// Sends a message and returns the stream of replies.
    ///
    /// # Errors
    ///
    /// [`Category::NotSent`](crate::Category::NotSent) if the peer cannot have received the message,
    /// [`Category::Unauthenticated`](crate::Category::Unauthenticated), or
    /// [`Category::Interrupted`](crate::Category::Interrupted).
    pub async fn call_streaming(&self, envelope: &Envelope) -> Result<ReplyStream, Error> {
        self.call_stating(envelope, SenderFacts::of_this_build(None))
            .await
    }

    async fn call_stating(
        &self,
        envelope: &Envelope,
        facts: SenderFacts,
    ) -> Result<ReplyStream, Error> {
        let sender = self.sender().await?;
        let mut sender = sender.ready().await.map_err(Error::not_sent)?;
        let mut request = Request::post("/").body(()).map_err(Error::not_sent)?;
        facts.write(request.headers_mut());
        let (response, stream) = sender
            .send_request(request, false)
            .map_err(Error::not_sent)?;
        let mut writer = Writer::new(stream);
        writer.write(envelope, false).await?;
        let response = response.await.map_err(Error::interrupted)?;
        Ok(ReplyStream {
            replier: SenderFacts::read(response.headers()),
            reader: Reader::new(response.into_body()),
            writer,
        })
    }

    /// Sends a message and waits up to `timeout_ms` for its only reply.
    ///
    /// # Errors
    ///
    /// As for [`Peer::call_streaming`]. A missing reply is reported as
    /// [`Category::Interrupted`](crate::Category::Interrupted).
    pub async fn call_unary(&self, envelope: &Envelope, timeout_ms: u64) -> Result<Reply, Error> {
        let facts = SenderFacts::of_this_build(None);
        let (reply, _) = self.exchange(envelope, facts, timeout_ms).await?;
        Ok(reply)
    }

    /// As [`Peer::call_unary`], with facts about this process beside the message. Returns the reply and
    /// what the replying process says of itself.
    ///
    /// # Errors
    ///
    /// As for [`Peer::call_unary`].
    pub async fn exchange(
        &self,
        envelope: &Envelope,
        facts: SenderFacts,
        timeout_ms: u64,
    ) -> Result<(Reply, SenderFacts), Error> {
        let exchange = async {
            let mut replies = self.call_stating(envelope, facts).await?;
            let reply = replies.next().await?;
            let reply = reply
                .ok_or_else(|| Error::interrupted("peer closed the stream without a reply"))?;
            Ok((reply, replies.replier))
        };
        timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or_else(|_| Err(Error::interrupted("peer did not reply within the timeout")))
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
    /// Returns the next reply, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// [`Category::Interrupted`](crate::Category::Interrupted) if the stream broke.
    pub async fn next(&mut self) -> Result<Option<Reply>, Error> {
        self.reader.read().await
    }

    /// Returns the bytes that follow the replies, in both directions.
    pub fn into_bytes(self) -> ByteStream {
        let (receiver, unread) = self.reader.into_parts();
        ByteStream::new(receiver, unread, self.writer.into_stream())
    }
}

async fn connect(shared: &Shared) -> Result<Connection, Error> {
    let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let mut socket = timeout(connect_timeout, TcpStream::connect(&shared.address))
        .await
        .map_err(Error::not_sent)?
        .map_err(|cause| connect_failed(&cause))?;
    socket.set_nodelay(true).map_err(Error::not_sent)?;
    shared.secret.authenticate_as_client(&mut socket).await?;
    let (sender, mut connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 16)
        .handshake(socket)
        .await
        .map_err(Error::not_sent)?;
    let ping = connection.ping_pong();
    let driver = tokio::spawn(async move {
        tokio::select! {
            // Each stream reports the end of the connection as its own error.
            _ = connection => {}
            () = wait_until_unresponsive(ping) => {}
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

/// Returns when a ping fails or is not answered within [`PING_TIMEOUT_MS`].
async fn wait_until_unresponsive(ping: Option<PingPong>) {
    let Some(mut ping) = ping else {
        return std::future::pending().await;
    };
    let ping_timeout = Duration::from_millis(PING_TIMEOUT_MS);
    loop {
        sleep(Duration::from_millis(PING_PERIOD_MS)).await;
        match timeout(ping_timeout, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
