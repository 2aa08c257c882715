//! Connections that can be silenced permanently, or paused, while they stay open.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Beginning of a response with a body that has neither a length nor chunks. Hyper writes such bodies
/// in this version only, and connections send them in [`VERSION_1_1`].
const VERSION_1_0: &[u8] = b"HTTP/1.0 ";
/// Beginning of all responses as sent.
const VERSION_1_1: &[u8] = b"HTTP/1.1 ";

/// Silences connections. Clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionSilencing {
    /// Number of times that the open connections were silenced. Invariant: never decreases.
    epoch: Arc<AtomicU64>,
}

/// Pauses connections: nothing is read or written, and nothing is lost. Clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionPause {
    state: Arc<Mutex<PauseState>>,
}

#[derive(Debug, Default)]
struct PauseState {
    is_paused: bool,
    /// Tasks that wait for the end of the pause.
    waiting: Vec<Waker>,
}

impl ConnectionPause {
    /// Starts or ends the pause.
    pub(crate) fn set_paused(&self, is_paused: bool) {
        let mut state = self.state.lock().expect("pause lock");
        state.is_paused = is_paused;
        if !is_paused {
            state.waiting.drain(..).for_each(Waker::wake);
        }
    }

    /// Returns whether connections are paused; if so, wakes the task at the end of the pause.
    fn is_paused(&self, context: &Context<'_>) -> bool {
        let mut state = self.state.lock().expect("pause lock");
        if state.is_paused {
            state.waiting.push(context.waker().clone());
        }
        state.is_paused
    }
}

/// A connection that a [`ConnectionSilencing`] can silence and a [`ConnectionPause`] can pause.
#[derive(Debug)]
pub(crate) struct SilenceableConnection {
    stream: TcpStream,
    silencing: ConnectionSilencing,
    pause: ConnectionPause,
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
            pause: ConnectionPause::default(),
            opened_in_epoch: Some(self.epoch.load(Ordering::Relaxed)),
        }
    }
}

impl SilenceableConnection {
    /// Reads the first bytes without consuming them.
    pub(crate) async fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.peek(buffer).await
    }

    /// Makes a pause apply to the connection.
    pub(crate) fn with_pause(mut self, pause: &ConnectionPause) -> Self {
        self.pause = pause.clone();
        self
    }

    /// Exempts the connection from silencing and from pauses.
    pub(crate) fn into_control(mut self) -> Self {
        self.opened_in_epoch = None;
        self.pause = ConnectionPause::default();
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
        if self.is_silent() || self.pause.is_paused(context) {
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
        if self.pause.is_paused(context) {
            return Poll::Pending;
        }
        let data = if data.starts_with(VERSION_1_0) {
            VERSION_1_1
        } else {
            data
        };
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() || self.pause.is_paused(context) {
            // The peer must not see the shutdown either.
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
