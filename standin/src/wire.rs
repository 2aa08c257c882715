//! A connection that can go silent for good while it stays open.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Silences connections. Cloning it shares the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silencer {
    /// Number of times that the open connections were silenced. Invariant: only grows.
    epoch: Arc<AtomicU64>,
}

/// A connection under a [`Silencer`].
#[derive(Debug)]
pub(crate) struct Wire {
    stream: TcpStream,
    silencer: Silencer,
    /// Epoch in which it was opened; `None` for a connection that stays heard.
    opened_in: Option<u64>,
}

impl Silencer {
    /// Silences every connection that is open now.
    pub(crate) fn silence_open(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Wraps a connection.
    pub(crate) fn wrap(&self, stream: TcpStream) -> Wire {
        Wire {
            stream,
            silencer: self.clone(),
            opened_in: Some(self.epoch.load(Ordering::Relaxed)),
        }
    }
}

impl Wire {
    /// Reads the first bytes without consuming them.
    pub(crate) async fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.peek(buffer).await
    }

    /// Keeps the connection from ever going silent.
    pub(crate) fn into_control(mut self) -> Self {
        self.opened_in = None;
        self
    }

    fn is_silent(&self) -> bool {
        let epoch = self.silencer.epoch.load(Ordering::Relaxed);
        self.opened_in.is_some_and(|opened_in| opened_in < epoch)
    }
}

impl AsyncRead for Wire {
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
            // What arrived after the connection went silent never reaches the server, nor does
            // the end of the connection.
            buffer.set_filled(filled);
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for Wire {
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
            // The other end must not learn of the end either.
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
