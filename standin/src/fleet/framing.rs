//! Answers in pieces, whose end is marked in different ways.

use std::future::ready;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::Version;
use http::header::{CONTENT_LENGTH, HeaderValue};
use serde_json::json;
use tokio::time::sleep;

use super::answers::{EVENTS_PER_STREAM, event};
use super::server::{EVENT_INTERVAL_MS, FleetServer, RunningRequest, ServerKind, SyncStream};
use crate::reply::{self, Closed, Reply};

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By a last chunk.
    Chunked,
    /// By a length, in bytes.
    Length(usize),
    /// By the end of the connection; the answer has neither a length nor chunks.
    UntilClose,
}

impl FleetServer {
    /// Answers with pieces of the body. The body ends once `end` is complete.
    pub(super) fn piecewise_response(
        &self,
        id: &str,
        pieces: Vec<Bytes>,
        framing: Framing,
        end: impl Future<Output = ()> + Send + 'static,
    ) -> Reply {
        let running = RunningRequest::new(self);
        let pieces = stream::iter(pieces).then(|piece| async move {
            sleep(Duration::from_millis(EVENT_INTERVAL_MS)).await;
            Ok::<_, Closed>(piece)
        });
        let end = stream::once(end).filter_map(|()| ready(None));
        let pieces = pieces.chain(end).map(move |piece| {
            let _is_running = &running;
            piece
        });
        let content_type = match self.kind {
            ServerKind::Engine { .. } => "text/event-stream",
            ServerKind::Plain => "application/json",
        };
        let mut response = reply::stream(content_type, SyncStream::new(pieces))?;
        match framing {
            Framing::Chunked => {}
            Framing::Length(length) => {
                let headers = response.headers_mut();
                headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
            }
            Framing::UntilClose => *response.version_mut() = Version::HTTP_10,
        }
        self.seal(&mut response, id)?;
        Ok(response)
    }

    /// Answers with pieces of the body and with neither a length nor chunks.
    pub(super) fn response_until_close(&self, id: &str, pieces: Vec<Bytes>) -> Reply {
        self.piecewise_response(id, pieces, Framing::UntilClose, ready(()))
    }

    /// Answers with the length of the whole body, but only with its first `complete` pieces.
    pub(super) fn response_cut_short(
        &self,
        id: &str,
        mut pieces: Vec<Bytes>,
        complete: usize,
    ) -> Reply {
        let length = pieces.iter().map(Bytes::len).sum();
        pieces.truncate(complete);
        // Hyper does not send the head of an answer that it finds cut short before.
        let head_is_sent = sleep(Duration::from_millis(EVENT_INTERVAL_MS));
        self.piecewise_response(id, pieces, Framing::Length(length), head_is_sent)
    }

    /// Returns the pieces of a complete answer: the events after number `after`, or the body of a
    /// plain server.
    pub(super) fn answer_pieces(&self, after: u64) -> Vec<Bytes> {
        match self.kind {
            ServerKind::Engine { .. } => {
                let version = self.software_version();
                let numbers = after + 1..=EVENTS_PER_STREAM;
                numbers.map(|number| event(number, &version)).collect()
            }
            ServerKind::Plain => vec![json!({ "server": self.id }).to_string().into()],
        }
    }
}

/// Returns the first `complete` pieces and half of the next one.
pub(super) fn cut_inside_piece(mut pieces: Vec<Bytes>, complete: usize) -> Vec<Bytes> {
    pieces.truncate(complete + 1);
    if let Some(last) = pieces.get_mut(complete) {
        last.truncate(last.len() / 2);
    }
    pieces
}
