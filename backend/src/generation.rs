//! Decodes the server-sent events of a generation.

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

/// Timeout of reading the next data of a response.
const PROGRESS_TIMEOUT_MS: u64 = 5_000;
/// Maximum size of a server-sent event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of the body of an error response.
const MAX_ERROR_BYTES: usize = 4 << 10;

/// A generation that runs on an engine. Dropping the value closes the connection.
#[derive(Debug)]
pub struct Generation {
    body: Incoming,
    buffer: BytesMut,
    pending_parts: VecDeque<Part>,
    handle: Option<Name>,
}

/// One part of a generation.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Generated text.
    Text {
        /// Number of tokens in the text.
        tokens: u64,
        /// The text.
        text: String,
    },
    /// The generation is complete.
    End {
        /// Tokens used by the request.
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
    pub(crate) async fn open(response: StreamingResponse) -> Result<Self, Error> {
        if !response.status.is_success() {
            let text = read_error_body(response.body).await;
            return Err(Error::from_status(response.status, &text));
        }
        Ok(Self {
            body: response.body,
            buffer: BytesMut::new(),
            pending_parts: VecDeque::new(),
            handle: None,
        })
    }

    /// Returns the handle that the engine reports for the generation; `None` before the first event.
    pub fn handle(&self) -> Option<&Name> {
        self.handle.as_ref()
    }

    /// Creates the error for a response that names a handle other than the requested one.
    pub fn wrong_handle_error(&self) -> Error {
        let handle = self.handle.as_deref().unwrap_or("none");
        Error::new(
            Category::Protocol,
            format_args!("response names an unexpected handle: {handle}"),
        )
    }

    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// [`Category::Timeout`] if no data arrives in time,
    /// [`Category::Interrupted`] if the stream ends before [`Part::End`], or
    /// [`Category::Protocol`] if an event cannot be decoded.
    pub async fn next(&mut self) -> Result<Part, Error> {
        loop {
            if let Some(part) = self.pending_parts.pop_front() {
                return Ok(part);
            }
            let data = self.read_data().await?;
            self.buffer.extend_from_slice(&data);
            self.split_events()?;
        }
    }

    async fn read_data(&mut self) -> Result<Bytes, Error> {
        let progress_timeout = Duration::from_millis(PROGRESS_TIMEOUT_MS);
        let frame = timeout(progress_timeout, self.body.frame())
            .await
            .map_err(|_| {
                Error::new(
                    Category::Timeout,
                    "generation made no progress within the timeout",
                )
            })?;
        match frame {
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
            Some(Err(cause)) => Err(Error::new(Category::Interrupted, cause)),
            None => Err(Error::new(
                Category::Interrupted,
                "generation stream ended before its final event",
            )),
        }
    }

    fn split_events(&mut self) -> Result<(), Error> {
        while let Some(end) = find_event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            self.buffer.advance(EVENT_END.len());
            self.handle_event(&event)?;
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Error::new(
                Category::Protocol,
                "server-sent event exceeds the maximum size",
            ));
        }
        Ok(())
    }

    fn handle_event(&mut self, event: &[u8]) -> Result<(), Error> {
        let Some(data) = event.strip_prefix(b"data: ") else {
            return Ok(());
        };
        if data == b"[DONE]" {
            return Ok(());
        }
        let event: Event =
            serde_json::from_slice(data).map_err(|cause| Error::new(Category::Protocol, cause))?;
        self.check_handle(event.model)?;
        let text = event
            .choices
            .into_iter()
            .find_map(Choice::into_text)
            .unwrap_or_default();
        if !text.is_empty() {
            self.pending_parts.push_back(Part::Text { tokens: 1, text });
        }
        if let Some(usage) = event.usage {
            self.pending_parts.push_back(Part::End { usage });
        }
        Ok(())
    }

    fn check_handle(&mut self, handle: Name) -> Result<(), Error> {
        match &self.handle {
            Some(expected) if *expected != handle => Err(Error::new(
                Category::Protocol,
                "handle changed during the response",
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

async fn read_error_body(body: Incoming) -> String {
    let body = http_body_util::Limited::new(body, MAX_ERROR_BYTES);
    let progress_timeout = Duration::from_millis(PROGRESS_TIMEOUT_MS);
    match timeout(progress_timeout, body.collect()).await {
        Ok(Ok(body)) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        _ => String::new(),
    }
}
