//! Connections that can be silenced permanently while they stay open.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Silences connections. Clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionSilencing {
    /// Number of times that the open connections were silenced. Invariant: never decreases.
    epoch: Arc<AtomicU64>,
}

/// A connection that a [`ConnectionSilencing`] can silence.
#[derive(Debug)]
pub(crate) struct SilenceableConnection {
    stream: TcpStream,
    silencing: ConnectionSilencing,
    /// Epoch in which the connection was opened; `None` if it is exempt from silencing.
    opened_in_epoch: Option<u64>,
}

impl ConnectionSilencing {
    /// Silences every connection that is currently open.
    pub(crate) fn silence_open(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Wraps a connection, which the next [`ConnectionSilencing::silence_open`] silences.
    pub(crate) fn wrap(&self, stream: TcpStream) -> SilenceableConnection {
        SilenceableConnection {
            stream,
            silencing: self.clone(),
            opened_in_epoch: Some(self.epoch.load(Ordering::Relaxed)),
        }
    }
}

impl SilenceableConnection {
    /// Reads the first bytes without consuming them.
    pub(crate) async fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.peek(buffer).await
    }

    /// Exempts the connection from silencing.
    pub(crate) fn into_control(mut self) -> Self {
        self.opened_in_epoch = None;
        self
    }

    fn is_silent(&self) -> bool {
        let epoch = self.silencing.epoch.load(Ordering::Relaxed);
        self.opened_in_epoch
            .is_some_and(|opened_in_epoch| opened_in_epoch < epoch)
    }
}

impl AsyncRead for SilenceableConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.is_silent() {
            // Data and the end of the connection that arrive after silencing never reach the
            // server.
            buffer.set_filled(filled);
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for SilenceableConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(data.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            // The peer must not see the shutdown either.
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
