//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::activity::RequestInProgress;

/// Error of a body that ended before it was complete. The connection to the caller is closed, so
/// that the answer does not look complete.
#[derive(Debug)]
pub(crate) struct Interrupted;

impl std::fmt::Display for Interrupted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for Interrupted {}

/// Body of an answer.
pub(crate) enum AnswerBody {
    /// The complete body; `None` once it was taken.
    Complete(Option<Bytes>),
    /// Chunks as they arrive. The body is complete only if the last one is [`Chunk::End`].
    Chunks(mpsc::Receiver<Chunk>),
}

/// One step of a body.
pub(crate) enum Chunk {
    /// More of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

impl AnswerBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
                Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Chunk::End) => None,
                None => Some(Err(Interrupted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Body of an answer on a connection; its request is in progress until the body is dropped.
pub(crate) struct CallerBody {
    body: AnswerBody,
    _request: RequestInProgress,
}

impl CallerBody {
    pub(crate) fn new(body: AnswerBody, request: RequestInProgress) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
