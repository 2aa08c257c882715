//! What happens on one connection of a caller, as its socket and its requests report it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Stage of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing has been read yet.
    #[default]
    Unused,
    /// The head of a request has been read in part.
    Head,
    /// A request is in progress.
    Busy,
    /// Every request has been answered.
    Idle,
}

impl Stage {
    /// Whether the caller has begun a request, or has yet to use the connection for one.
    pub(crate) fn expects_request(self) -> bool {
        match self {
            Self::Unused | Self::Head => true,
            Self::Busy | Self::Idle => false,
        }
    }
}

/// Follows the stage of a connection.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    stage: Mutex<Stage>,
}

impl Activity {
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.lock().expect("stage lock")
    }

    /// Records that the head of a request was read.
    pub(crate) fn start_request(self: &Arc<Self>) -> RequestInProgress {
        *self.stage.lock().expect("stage lock") = Stage::Busy;
        RequestInProgress {
            activity: self.clone(),
        }
    }

    /// Records that bytes were read.
    fn record_read(&self) {
        let mut stage = self.stage.lock().expect("stage lock");
        match *stage {
            Stage::Unused | Stage::Idle => *stage = Stage::Head,
            Stage::Head | Stage::Busy => {}
        }
    }
}

/// A request in progress. Dropping it records that the request has ended.
#[derive(Debug)]
pub(crate) struct RequestInProgress {
    activity: Arc<Activity>,
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        *self.activity.stage.lock().expect("stage lock") = Stage::Idle;
    }
}

/// The socket of a connection; records what is read.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    socket: TcpStream,
    activity: Arc<Activity>,
}

impl CallerSocket {
    pub(crate) fn new(socket: TcpStream, activity: Arc<Activity>) -> Self {
        Self { socket, activity }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        if buffer.filled().len() > filled_before {
            self.activity.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
