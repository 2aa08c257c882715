//! A caller of the API that uses a real HTTP client.

use std::time::Duration;

use bytes::BytesMut;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mimosabay_http::{Call, Client};
use serde_json::Value;
use tokio::time::timeout;

/// Timeout for a complete answer, or for the next part of a stream.
const RESPONSE_TIMEOUT_MS: u64 = 60_000;
const COMPLETIONS_PATH: &str = "/v1/completions";

/// An API client of one instance.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    address: String,
    headers: Vec<(&'static str, String)>,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body as JSON, `null` if it is not JSON.
    pub body: Value,
}

/// The answer is an error, incomplete or missing.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Description of the failure.
    pub cause: String,
    /// Text received before the failure.
    pub text: String,
    /// The error object that the instance sent, `null` if the connection broke.
    pub error: Value,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Generated text.
    Text(String),
    /// The last event before the end marker, with the number of tokens used.
    Usage(Value),
    /// An error that replaces the rest of the stream.
    Error(Value),
    /// The end marker `[DONE]`.
    Done,
}

/// A streamed answer that is being received. Dropping it closes the connection.
#[derive(Debug)]
pub struct OpenStream {
    /// HTTP headers.
    pub headers: HeaderMap,
    body: Incoming,
    buffer: BytesMut,
}

impl Caller {
    /// Creates a caller without a key for the instance at `address`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: Client::new(),
            address: address.into(),
            headers: Vec::new(),
        }
    }

    /// Sends `key` as the bearer token of each call.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Adds a header to each call, replacing an earlier one of the same name.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sends calls to the instance at `address`.
    #[must_use]
    pub fn at(mut self, address: impl Into<String>) -> Self {
        self.address = address.into();
        self
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn get(&self, path: &str) -> Result<Reply, Failure> {
        self.send(Call::get(self.url(path))).await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn post(&self, path: &str, body: impl Into<String>) -> Result<Reply, Failure> {
        self.send(Call::post(self.url(path)).body(body.into()))
            .await
    }

    /// Requests a completion that is not streamed.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn complete(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Reply, Failure> {
        let body = completion_body(model, prompt, max_tokens, false);
        self.post(COMPLETIONS_PATH, body).await
    }

    /// Opens a streamed completion.
    ///
    /// # Errors
    ///
    /// The connection broke, or the status is not a success.
    pub async fn open_stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<OpenStream, Failure> {
        let body = completion_body(model, prompt, max_tokens, true);
        self.open_stream_at(COMPLETIONS_PATH, body).await
    }

    /// Opens a streamed answer at a path.
    ///
    /// # Errors
    ///
    /// The connection broke, or the status is not a success.
    pub async fn open_stream_at(&self, path: &str, body: String) -> Result<OpenStream, Failure> {
        let call = Call::post(self.url(path)).body(body);
        let answer = self.client.stream(self.prepare_call(call)).await;
        let answer = answer.map_err(|cause| connection_failure(&cause))?;
        if !answer.status.is_success() {
            let body = answer.body.collect().await;
            let body = body.map_err(|cause| connection_failure(&cause))?.to_bytes();
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            return Err(refusal_failure(&body["error"], ""));
        }
        Ok(OpenStream {
            headers: answer.headers,
            body: answer.body,
            buffer: BytesMut::new(),
        })
    }

    /// Requests a streamed completion and returns its complete text.
    ///
    /// # Errors
    ///
    /// The connection broke, or the answer is an error or incomplete.
    pub async fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<String, Failure> {
        let stream = self.open_stream(model, prompt, max_tokens).await?;
        stream.read_to_end().await
    }

    async fn send(&self, call: Call) -> Result<Reply, Failure> {
        let answer = self.client.call(self.prepare_call(call)).await;
        let answer = answer.map_err(|cause| connection_failure(&cause))?;
        Ok(Reply {
            status: answer.status.as_u16(),
            body: answer.json().unwrap_or(Value::Null),
            headers: answer.headers,
        })
    }

    fn prepare_call(&self, call: Call) -> Call {
        let call = call.header("content-type", "application/json");
        self.headers
            .iter()
            .fold(call, |call, (name, value)| call.header(name, value))
            .timeout_ms(RESPONSE_TIMEOUT_MS)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

impl Reply {
    /// The error's `code`, empty if there is no error.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// The error's `ran`: whether the request ran; empty if there is no error.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }

    /// Text of a completion or chat completion.
    pub fn text(&self) -> &str {
        let choice = &self.body["choices"][0];
        let text = choice["text"].as_str();
        let text = text.or_else(|| choice["message"]["content"].as_str());
        text.unwrap_or_default()
    }

    /// Returns the text of a completion, or its error.
    pub(super) fn into_text(self) -> Result<String, Failure> {
        if self.status == 200 {
            return Ok(self.text().to_owned());
        }
        Err(refusal_failure(&self.body["error"], ""))
    }
}

impl Failure {
    /// The error's `code`, empty if the connection broke.
    pub fn code(&self) -> &str {
        self.error["code"].as_str().unwrap_or_default()
    }

    /// The error's `ran`: whether the request ran; empty if the connection broke.
    pub fn ran(&self) -> &str {
        self.error["ran"].as_str().unwrap_or_default()
    }
}

impl OpenStream {
    /// Receives the next event.
    ///
    /// # Errors
    ///
    /// The connection broke, or nothing arrived within the timeout.
    pub async fn next(&mut self) -> Result<Part, Failure> {
        loop {
            if let Some(part) = self.take_buffered_part() {
                return Ok(part);
            }
            let limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
            let frame = timeout(limit, self.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.extend_from_slice(&data);
                }
                Ok(Some(Err(cause))) => return Err(connection_failure(&cause)),
                Ok(None) => return Err(new_failure("the stream ended early", "")),
                Err(_) => return Err(new_failure("the stream went silent", "")),
            }
        }
    }

    /// Reads `count` events with text and returns their text.
    ///
    /// # Errors
    ///
    /// The connection broke, or an event of another kind arrived.
    pub async fn read_parts(&mut self, count: usize) -> Result<String, Failure> {
        let mut text = String::new();
        for _ in 0..count {
            match self.next().await? {
                Part::Text(part) => text.push_str(&part),
                other => return Err(new_failure(format!("{other:?}"), &text)),
            }
        }
        Ok(text)
    }

    /// Reads the remaining text up to the end marker.
    ///
    /// # Errors
    ///
    /// The connection broke, or the stream ended with an error.
    pub async fn read_to_end(mut self) -> Result<String, Failure> {
        let mut text = String::new();
        loop {
            match self.next().await {
                Ok(Part::Text(part)) => text.push_str(&part),
                Ok(Part::Usage(_)) => {}
                Ok(Part::Error(error)) => return Err(refusal_failure(&error, &text)),
                Ok(Part::Done) => return Ok(text),
                Err(failure) => return Err(new_failure(failure.cause, &text)),
            }
        }
    }

    fn take_buffered_part(&mut self) -> Option<Part> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let event = self.buffer.split_to(end + 2);
            let event = String::from_utf8_lossy(&event);
            if let Some(data) = event.trim().strip_prefix("data: ") {
                return Some(parse_part(data));
            }
        }
    }
}

fn parse_part(data: &str) -> Part {
    if data == "[DONE]" {
        return Part::Done;
    }
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    if event.get("error").is_some() {
        return Part::Error(event["error"].clone());
    }
    if event.get("usage").is_some_and(Value::is_object) {
        return Part::Usage(event["usage"].clone());
    }
    let choice = &event["choices"][0];
    let text = choice["text"].as_str();
    let text = text.or_else(|| choice["delta"]["content"].as_str());
    Part::Text(text.unwrap_or_default().to_owned())
}

fn completion_body(model: &str, prompt: &str, max_tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}

fn new_failure(cause: impl Into<String>, text: &str) -> Failure {
    Failure {
        cause: cause.into(),
        text: text.to_owned(),
        error: Value::Null,
    }
}

fn connection_failure(cause: &impl std::fmt::Display) -> Failure {
    new_failure(cause.to_string(), "")
}

fn refusal_failure(error: &Value, text: &str) -> Failure {
    Failure {
        error: error.clone(),
        ..new_failure(error.to_string(), text)
    }
}
