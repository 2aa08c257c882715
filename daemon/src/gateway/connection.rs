//! One connection to a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tracing::warn;

use super::head_limit::{HeadLimit, HeadLimited};

/// Size up to which what is read from a server waits to be used, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;
/// Time limit for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 350;
/// Time without traffic after which the kernel probes a connection, and between its probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection without [`UNACKNOWLEDGED_TIMEOUT`] would be
/// closed; Linux closes it after that time, whatever their number.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time within which the peer of a connection must acknowledge data or probes, and have space for
/// more data. A sound backend server may be silent for two seconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection. Dropping it closes the socket, which makes the server stop its work.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The cause; nothing was sent.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Self::over(connect(address).await?).await
    }

    /// Uses a stream of bytes to a server as a connection.
    ///
    /// # Errors
    ///
    /// The cause; nothing was sent.
    pub(crate) async fn over(
        bytes: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    ) -> std::io::Result<Self> {
        let head_limit = HeadLimit::default();
        let bytes = HeadLimited::new(bytes, head_limit.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(bytes))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The request on the connection receives the error itself.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            head_limit,
            driver,
        })
    }

    /// Whether another request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request; returns once the head of the response has arrived.
    ///
    /// # Errors
    ///
    /// The request itself if nothing of it was written, else `None`: the connection broke, or the head has
    /// no end.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Option<Request<Full<Bytes>>>> {
        if self.sender.ready().await.is_err() {
            return Err(Some(request));
        }
        self.head_limit.await_head();
        let sent = tokio::select! {
            biased;
            sent = self.sender.try_send_request(request) => sent,
            () = self.head_limit.exhausted() => {
                warn!(event = "answer_head_too_large");
                return Err(None);
            }
        };
        self.head_limit.lift();
        sent.map_err(|mut failed| failed.take_message())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a TCP connection.
///
/// # Errors
///
/// The cause.
pub(super) async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let socket = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    set_liveness_timeouts(&socket)?;
    Ok(socket)
}

/// Makes the kernel close a connection whose peer does not acknowledge data, or probes of an idle
/// connection, within a time limit.
///
/// # Errors
///
/// The kernel refuses an option.
pub(crate) fn set_liveness_timeouts(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
