//! Plain bytes in both directions on one HTTP/2 stream.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection within a connection between instances, after its first messages. Dropping it resets the
/// HTTP/2 stream.
pub struct ByteStream {
    receiver: RecvStream,
    /// Bytes that have arrived and were not read yet.
    unread: Bytes,
    sender: SendStream<Bytes>,
}

impl ByteStream {
    pub(crate) fn new(receiver: RecvStream, unread: Bytes, sender: SendStream<Bytes>) -> Self {
        Self {
            receiver,
            unread,
            sender,
        }
    }
}

impl AsyncRead for ByteStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.receiver.poll_data(cx)) {
                Some(Ok(data)) => {
                    let flow_control = self.receiver.flow_control();
                    flow_control
                        .release_capacity(data.len())
                        .map_err(io::Error::other)?;
                    self.unread = data;
                }
                Some(Err(cause)) => return Poll::Ready(Err(io::Error::other(cause))),
                None => return Poll::Ready(Ok(())),
            }
        }
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ByteStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.sender.reserve_capacity(data.len());
        while self.sender.capacity() == 0 {
            match ready!(self.sender.poll_capacity(cx)) {
                Some(Ok(_)) => {}
                Some(Err(cause)) => return Poll::Ready(Err(io::Error::other(cause))),
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            }
        }
        let length = self.sender.capacity().min(data.len());
        let data = Bytes::copy_from_slice(&data[..length]);
        self.sender
            .send_data(data, false)
            .map_err(io::Error::other)?;
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ended = self.sender.send_data(Bytes::new(), true);
        Poll::Ready(ended.map_err(io::Error::other))
    }
}
