//! What happens on one connection of a caller, as its socket and its requests report it.

use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use mimosabay_core::site::CallerLimits;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::request::OpenRequest;

/// Stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing has been read yet.
    Unused,
    /// The head of a request has been read in part.
    Head,
    /// A request is being read, or was refused; its answer is not written yet.
    Busy,
    /// A request has been read and is in progress. Its caller may abandon it by closing the connection.
    Received,
    /// As [`Stage::Received`], but a server may run the request, and it cannot be sent again: it is
    /// answered even if the caller has closed its side of the connection.
    Committed,
    /// The answers to all requests have been written.
    Idle,
}

impl Stage {
    /// Whether the caller has begun a request, or has yet to use the connection for one.
    pub(crate) fn expects_request(self) -> bool {
        match self {
            Self::Unused | Self::Head => true,
            Self::Busy | Self::Received | Self::Committed | Self::Idle => false,
        }
    }
}

/// Follows the stage of a connection.
pub(crate) struct Activity {
    progress: Mutex<Progress>,
}

struct Progress {
    stage: Stage,
    /// Start of the stage.
    since: Instant,
    /// The last request if its answer is complete and perhaps not written.
    unwritten: Option<OpenRequest>,
}

impl Progress {
    fn enter(&mut self, stage: Stage) {
        self.stage = stage;
        self.since = Instant::now();
    }
}

impl Activity {
    /// Starts with a connection that was accepted now.
    pub(crate) fn new() -> Self {
        Self {
            progress: Mutex::new(Progress {
                stage: Stage::Unused,
                since: Instant::now(),
                unwritten: None,
            }),
        }
    }

    pub(crate) fn stage(&self) -> Stage {
        self.progress().stage
    }

    /// Time at which the connection is closed if its stage does not change; `None` if a request is
    /// in progress.
    pub(crate) fn deadline(&self, limits: &CallerLimits) -> Option<Instant> {
        let progress = self.progress();
        let allowed_ms = match progress.stage {
            Stage::Unused | Stage::Idle => limits.idle_timeout_ms,
            Stage::Head => limits.header_timeout_ms,
            Stage::Busy | Stage::Received | Stage::Committed => return None,
        };
        Some(progress.since + Duration::from_millis(allowed_ms))
    }

    /// Records that the head of a request was read.
    pub(crate) fn start_request(self: &Arc<Self>, open: OpenRequest) -> RequestInProgress {
        let mut progress = self.progress();
        progress.enter(Stage::Busy);
        progress.unwritten = None;
        drop(progress);
        RequestInProgress {
            activity: self.clone(),
            open: Some(open),
        }
    }

    /// Records that a request was read completely.
    pub(crate) fn record_received(&self) {
        self.progress().enter(Stage::Received);
    }

    /// Records that a server may run the request, which cannot be sent again.
    pub(crate) fn commit(&self) {
        self.progress().enter(Stage::Committed);
    }

    /// Records that bytes were read.
    fn record_read(&self) {
        let mut progress = self.progress();
        match progress.stage {
            Stage::Unused | Stage::Idle => progress.enter(Stage::Head),
            Stage::Head | Stage::Busy | Stage::Received | Stage::Committed => {}
        }
    }

    /// Records that everything buffered has been written to the socket.
    fn record_flush(&self) {
        let mut progress = self.progress();
        if progress.unwritten.take().is_some() {
            progress.enter(Stage::Idle);
        }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("progress lock")
    }
}

/// A request in progress. Dropping it records that its answer is complete; the request counts as
/// open until the answer is written or the connection ends.
pub(crate) struct RequestInProgress {
    activity: Arc<Activity>,
    /// `None` once dropped.
    open: Option<OpenRequest>,
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.activity.progress().unwritten = self.open.take();
    }
}

/// The socket of a connection; records what is read and when everything is written.
pub(crate) struct CallerSocket {
    socket: Arc<TcpStream>,
    activity: Arc<Activity>,
}

impl CallerSocket {
    pub(crate) fn new(socket: Arc<TcpStream>, activity: Arc<Activity>) -> Self {
        Self { socket, activity }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(context))?;
            match self.socket.try_read(buffer.initialize_unfilled()) {
                Ok(read_bytes) => {
                    buffer.advance(read_bytes);
                    if read_bytes > 0 {
                        self.activity.record_read();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
                Err(cause) => return Poll::Ready(Err(cause)),
            }
        }
    }
}

impl CallerSocket {
    /// Writes as soon as the socket accepts bytes.
    fn poll_try_write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(context))?;
            match write(&self.socket) {
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |socket| socket.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |socket| socket.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket has no buffer of its own in this process.
        self.activity.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
