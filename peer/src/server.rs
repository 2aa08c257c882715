//! Server side of the calls between instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tracing::{debug, warn};

use crate::auth::Secret;
use crate::byte_stream::ByteStream;
use crate::client::WINDOW_BYTES;
use crate::error::Error;
use crate::frame::{Reader, Writer};
use crate::headers::SenderFacts;
use crate::message::{Envelope, Reply};

/// Pause after a failed accept, so that the loop does not spin while no file descriptors are free.
const ACCEPT_RETRY_PAUSE_MS: u64 = 5;

/// A message from another instance, with the responder for its replies.
pub struct Inbound {
    /// The message and its sender.
    pub envelope: Envelope,
    /// What the sending process says of itself.
    pub sender: SenderFacts,
    /// Sends the replies.
    pub responder: Responder,
}

/// Sends the replies to one message. Dropping the value ends the HTTP/2 stream.
pub struct Responder {
    /// `None` once the bytes behind the replies are used.
    writer: Option<Writer>,
    reader: Option<Reader>,
}

/// Accepts connections and passes each message to `handle`. Never returns. Each reply goes with what
/// `own_facts` returns about this process.
///
/// A connection that fails to authenticate with the shared secret is logged and closed.
pub async fn serve<H, F, O>(listener: TcpListener, secret: Secret, own_facts: O, handle: H)
where
    O: Fn() -> SenderFacts + Send + Sync + 'static,
    H: Fn(Inbound) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let service = Arc::new(Service { own_facts, handle });
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(serve_connection(socket, secret.clone(), service.clone()));
            }
            Err(cause) => {
                warn!(%cause, "accepting a peer connection failed");
                sleep(Duration::from_millis(ACCEPT_RETRY_PAUSE_MS)).await;
            }
        }
    }
}

impl Responder {
    /// Sends a reply that is not the last one.
    ///
    /// # Errors
    ///
    /// [`Category::Interrupted`](crate::Category::Interrupted) if the peer has reset the stream or
    /// the connection is closed.
    pub async fn send(&mut self, reply: &Reply) -> Result<(), Error> {
        self.write(reply).await
    }

    /// Sends the last reply.
    ///
    /// # Errors
    ///
    /// As for [`Responder::send`].
    pub async fn finish(mut self, reply: &Reply) -> Result<(), Error> {
        self.write(reply).await
    }

    /// Waits until the peer resets the stream.
    pub async fn wait_for_reset(&mut self) {
        if let Some(writer) = &mut self.writer {
            writer.wait_for_reset().await;
        }
    }

    /// Sends a reply, and returns the bytes that follow it in both directions.
    ///
    /// # Errors
    ///
    /// As for [`Responder::send`].
    pub async fn into_bytes(mut self, reply: &Reply) -> Result<ByteStream, Error> {
        self.write(reply).await?;
        let (Some(writer), Some(reader)) = (self.writer.take(), self.reader.take()) else {
            return Err(Error::interrupted("the stream is closed"));
        };
        let (receiver, unread) = reader.into_parts();
        Ok(ByteStream::new(receiver, unread, writer.into_stream()))
    }

    async fn write(&mut self, reply: &Reply) -> Result<(), Error> {
        match &mut self.writer {
            Some(writer) => writer.write(reply, false).await,
            None => Err(Error::interrupted("the stream is closed")),
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if let Some(writer) = &mut self.writer {
            writer.end();
        }
    }
}

/// What is done with each message.
struct Service<H, O> {
    own_facts: O,
    handle: H,
}

async fn serve_connection<H, F, O>(
    mut socket: TcpStream,
    secret: Secret,
    service: Arc<Service<H, O>>,
) where
    O: Fn() -> SenderFacts + Send + Sync + 'static,
    H: Fn(Inbound) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let address = socket
        .peer_addr()
        .map(|address| address.to_string())
        .unwrap_or_default();
    if let Err(cause) = secret.authenticate_as_server(&mut socket).await {
        warn!(address, %cause, "rejected a connection that did not authenticate as a peer");
        return;
    }
    if let Err(cause) = serve_streams(socket, service).await {
        debug!(address, %cause, "peer connection closed");
    }
}

async fn serve_streams<H, F, O>(socket: TcpStream, service: Arc<Service<H, O>>) -> Result<(), Error>
where
    O: Fn() -> SenderFacts + Send + Sync + 'static,
    H: Fn(Inbound) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    socket.set_nodelay(true).map_err(Error::interrupted)?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 16)
        .handshake::<_, Bytes>(socket)
        .await
        .map_err(Error::interrupted)?;
    while let Some(stream) = connection.accept().await {
        let (request, response_sender) = stream.map_err(Error::interrupted)?;
        let service = service.clone();
        tokio::spawn(async move {
            match receive(request, response_sender, &service.own_facts).await {
                Ok(inbound) => (service.handle)(inbound).await,
                Err(cause) => debug!(%cause, "receiving a message from a peer failed"),
            }
        });
    }
    Ok(())
}

async fn receive(
    request: Request<h2::RecvStream>,
    mut response_sender: SendResponse<Bytes>,
    own_facts: &impl Fn() -> SenderFacts,
) -> Result<Inbound, Error> {
    let sender = SenderFacts::read(request.headers());
    let mut reader = Reader::new(request.into_body());
    let envelope = reader
        .read()
        .await?
        .ok_or_else(|| Error::malformed("peer closed the stream without a message"))?;
    let mut response = Response::new(());
    own_facts().write(response.headers_mut());
    let stream = response_sender
        .send_response(response, false)
        .map_err(Error::interrupted)?;
    Ok(Inbound {
        envelope,
        sender,
        responder: Responder {
            writer: Some(Writer::new(stream)),
            reader: Some(reader),
        },
    })
}
