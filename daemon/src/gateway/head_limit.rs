//! Limits what is read from a server until the head of its answer is complete.
//!
//! A faulty server may send interim heads or a head without end. Reading these would take the processor
//! time of the whole instance.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest head of an answer together with the interim heads before it, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// What may be read from one connection. Clones refer to the same connection.
#[derive(Clone, Default)]
pub(super) struct HeadLimit {
    allowance: Arc<Mutex<Allowance>>,
}

#[derive(Default)]
struct Allowance {
    /// Bytes that may be read until the head is complete; `None` if no head is awaited.
    left_bytes: Option<usize>,
    /// Reader that waits for more.
    reader: Option<Waker>,
    /// Request that waits for the head.
    request: Option<Waker>,
}

impl HeadLimit {
    /// Limits what is read, as a request is sent now.
    pub(super) fn await_head(&self) {
        *self.allowance() = Allowance {
            left_bytes: Some(MAX_HEAD_BYTES),
            ..Allowance::default()
        };
    }

    /// Lifts the limit, as the head is complete.
    pub(super) fn lift(&self) {
        let mut allowance = self.allowance();
        allowance.left_bytes = None;
        if let Some(reader) = allowance.reader.take() {
            reader.wake();
        }
    }

    /// Returns once everything allowed has been read, and more was asked for.
    pub(super) async fn exhausted(&self) {
        poll_fn(|context| {
            let mut allowance = self.allowance();
            if allowance.reader.is_some() {
                return Poll::Ready(());
            }
            allowance.request = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    fn allowance(&self) -> MutexGuard<'_, Allowance> {
        self.allowance.lock().expect("allowance lock")
    }

    /// Returns how much may be read now, in bytes; waits if that is nothing.
    fn poll_allowed(&self, context: &mut Context<'_>) -> Poll<usize> {
        let mut allowance = self.allowance();
        match allowance.left_bytes {
            None => Poll::Ready(usize::MAX),
            Some(0) => {
                allowance.reader = Some(context.waker().clone());
                if let Some(request) = allowance.request.take() {
                    request.wake();
                }
                Poll::Pending
            }
            Some(left_bytes) => Poll::Ready(left_bytes),
        }
    }

    fn record_read(&self, bytes: usize) {
        if let Some(left_bytes) = &mut self.allowance().left_bytes {
            *left_bytes = left_bytes.saturating_sub(bytes);
        }
    }
}

/// The bytes of a connection, as far as its limit allows.
pub(super) struct HeadLimited<T> {
    inner: T,
    limit: HeadLimit,
}

impl<T> HeadLimited<T> {
    pub(super) fn new(inner: T, limit: HeadLimit) -> Self {
        Self { inner, limit }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadLimited<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowed_bytes = std::task::ready!(self.limit.poll_allowed(context));
        if allowed_bytes >= buffer.remaining() {
            let filled_before = buffer.filled().len();
            std::task::ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
            self.limit
                .record_read(buffer.filled().len() - filled_before);
            return Poll::Ready(Ok(()));
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(allowed_bytes));
        std::task::ready!(Pin::new(&mut self.inner).poll_read(context, &mut part))?;
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        self.limit.record_read(read_bytes);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadLimited<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
