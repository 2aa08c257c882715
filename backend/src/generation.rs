//! The parts of a generation as they arrive.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mimosabay_core::name::Name;
use mimosabay_core::request::Usage;
use mimosabay_http::StreamingResponse;
use serde::Deserialize;
use tokio::time::timeout;

use crate::error::{Category, Error};

/// Time without a part after which the connection counts as silent.
const PROGRESS_TIMEOUT_MS: u64 = 5_000;
/// Largest event that is accepted.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Largest error text that is read.
const MAX_ERROR_BYTES: usize = 4 << 10;

/// A generation that runs on an engine. Dropping it closes the connection.
#[derive(Debug)]
pub struct Generation {
    body: Incoming,
    buffer: BytesMut,
    ready: VecDeque<Part>,
    handle: Option<Name>,
}

/// One part of a generation.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Generated text.
    Text {
        /// Number of tokens in it.
        tokens: u64,
        /// The text.
        text: String,
    },
    /// The generation is whole.
    End {
        /// Tokens used.
        usage: Usage,
    },
}

#[derive(Deserialize)]
struct Event {
    model: Name,
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Generation {
    pub(crate) async fn open(answer: StreamingResponse) -> Result<Self, Error> {
        if !answer.status.is_success() {
            let text = read_error(answer.body).await;
            return Err(Error::from_status(answer.status, &text));
        }
        Ok(Self {
            body: answer.body,
            buffer: BytesMut::new(),
            ready: VecDeque::new(),
            handle: None,
        })
    }

    /// Handle that the engine says it runs, known after the first part.
    pub fn handle(&self) -> Option<&Name> {
        self.handle.as_ref()
    }

    /// The error of an answer from another adapter than the one asked for.
    pub fn wrong_handle_error(&self) -> Error {
        let handle = self.handle.as_deref().unwrap_or("none");
        Error::new(
            Category::Protocol,
            format_args!("the answer names handle {handle}"),
        )
    }

    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// [`Category::Timeout`] without progress, [`Category::Interrupted`] if the stream ends before
    /// [`Part::End`], [`Category::Protocol`] if an event cannot be read.
    pub async fn next(&mut self) -> Result<Part, Error> {
        loop {
            if let Some(part) = self.ready.pop_front() {
                return Ok(part);
            }
            let data = self.read().await?;
            self.buffer.extend_from_slice(&data);
            self.split_events()?;
        }
    }

    async fn read(&mut self) -> Result<Bytes, Error> {
        let limit = Duration::from_millis(PROGRESS_TIMEOUT_MS);
        let frame = timeout(limit, self.body.frame())
            .await
            .map_err(|_| Error::new(Category::Timeout, "no progress within the timeout"))?;
        match frame {
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
            Some(Err(cause)) => Err(Error::new(Category::Interrupted, cause)),
            None => Err(Error::new(Category::Interrupted, "stream ended early")),
        }
    }

    fn split_events(&mut self) -> Result<(), Error> {
        while let Some(end) = find_event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            self.buffer.advance(EVENT_END.len());
            self.take_event(&event)?;
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Error::new(Category::Protocol, "event too large"));
        }
        Ok(())
    }

    fn take_event(&mut self, event: &[u8]) -> Result<(), Error> {
        let Some(data) = event.strip_prefix(b"data: ") else {
            return Ok(());
        };
        if data == b"[DONE]" {
            return Ok(());
        }
        let event: Event =
            serde_json::from_slice(data).map_err(|cause| Error::new(Category::Protocol, cause))?;
        self.take_handle(event.model)?;
        let text = event
            .choices
            .into_iter()
            .find_map(Choice::into_text)
            .unwrap_or_default();
        if !text.is_empty() {
            self.ready.push_back(Part::Text { tokens: 1, text });
        }
        if let Some(usage) = event.usage {
            self.ready.push_back(Part::End { usage });
        }
        Ok(())
    }

    fn take_handle(&mut self, handle: Name) -> Result<(), Error> {
        match &self.handle {
            Some(known) if *known != handle => Err(Error::new(
                Category::Protocol,
                "the handle changed during the answer",
            )),
            Some(_) => Ok(()),
            None => {
                self.handle = Some(handle);
                Ok(())
            }
        }
    }
}

impl Choice {
    fn into_text(self) -> Option<String> {
        self.text.or_else(|| self.delta?.content)
    }
}

const EVENT_END: &[u8] = b"\n\n";

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)
}

async fn read_error(body: Incoming) -> String {
    let body = http_body_util::Limited::new(body, MAX_ERROR_BYTES);
    let limit = Duration::from_millis(PROGRESS_TIMEOUT_MS);
    match timeout(limit, body.collect()).await {
        Ok(Ok(body)) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        _ => String::new(),
    }
}
