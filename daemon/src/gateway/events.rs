//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};

use super::answer_buffer::{AnswerBuffer, TooLarge};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers bytes until events are complete.
pub(crate) struct EventSplitter {
    pending: BytesMut,
    buffer: AnswerBuffer,
}

/// Complete events and the identifier of the last one.
pub(crate) struct CompleteEvents {
    pub(crate) bytes: Bytes,
    pub(crate) last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that counts what it holds in `buffer`.
    pub(crate) fn new(buffer: AnswerBuffer) -> Self {
        Self {
            pending: BytesMut::new(),
            buffer,
        }
    }

    /// Appends bytes and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// The event that is not complete yet is too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, TooLarge> {
        let scan_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending, scan_from);
        let complete = end.map(|end| self.pending.split_to(end).freeze());
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        self.buffer.resize(self.pending.len())?;
        Ok(complete.map(|bytes| CompleteEvents {
            last_id: last_id(&bytes),
            bytes,
        }))
    }

    /// Returns once the event that is not complete yet has to give way to smaller answers.
    pub(crate) async fn gives_way(&self) {
        self.buffer.gives_way().await;
    }

    /// Takes the bytes of an event that is not complete yet.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// End of the last event that ends at or after `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let lf_end = find_last(tail, b"\n\n").map(|at| from + at + 2);
    let crlf_end = find_last(tail, b"\r\n\r\n").map(|at| from + at + 4);
    lf_end.max(crlf_end)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.rsplit(|byte| *byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
