//! Sends requests to an instance of a site.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mimosabay_http::{Call, Client, Error};
use tokio::time::{Instant, timeout_at};

use super::prompt_part::PartSpelling;
use super::site::{HOST, MODEL};

/// Time after which a caller stops waiting for a response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 20_000;

/// Length of all shared parts of a prompt together, in tokens.
const SHARED_TOKENS: usize = 200;
/// Length of the last part of a prompt with shared parts, in tokens.
const OWN_PART_TOKENS: u64 = 100;
/// Identifier of the last part of the next prompt with shared parts.
static NEXT_OWN_PART: AtomicU64 = AtomicU64::new(0x7000_0000);

/// A client of one instance.
#[derive(Clone, Debug)]
pub struct FleetCaller {
    client: Client,
    address: SocketAddr,
    key: Option<String>,
    deadline_ms: u64,
    prompt: &'static str,
    /// Identifiers of the parts that prompts share; empty if all prompts are the same.
    shared_parts: &'static [u64],
    spelling: PartSpelling,
    /// The stream that is taken up.
    taken_up: Option<TakenUpStream>,
}

/// A stream that broke, as its caller knows it.
#[derive(Clone, Debug)]
struct TakenUpStream {
    /// Identifier of the attempt that brought its first event.
    began_as: String,
    /// Number of the last event that was received.
    last_event: u64,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct FleetReply {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

/// A streaming response whose headers have arrived. Dropping it closes the connection.
#[derive(Debug)]
pub struct FleetStream {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderMap,
    body: Incoming,
}

impl FleetCaller {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(),
            address,
            key: None,
            deadline_ms: 4_000,
            prompt: "a prompt",
            shared_parts: &[],
            spelling: PartSpelling::default(),
            taken_up: None,
        }
    }

    /// Sets the API key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the deadline that is sent with each request, in milliseconds.
    #[must_use]
    pub fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets the text of the prompts.
    #[must_use]
    pub fn prompt_text(mut self, prompt: &'static str) -> Self {
        self.prompt = prompt;
        self
    }

    /// Sets the first parts of the prompts, by identifier. Each request then has a last part and a
    /// body of its own.
    #[must_use]
    pub fn prompt_parts(mut self, shared_parts: &'static [u64]) -> Self {
        self.shared_parts = shared_parts;
        self
    }

    /// Sets how the identifiers of parts are spelled.
    #[must_use]
    pub fn part_spelling(mut self, spelling: PartSpelling) -> Self {
        self.spelling = spelling;
        self
    }

    /// Sends the requests to the instance of another caller.
    #[must_use]
    pub fn at_instance_of(mut self, other: &Self) -> Self {
        self.client = other.client.clone();
        self.address = other.address;
        self
    }

    /// Takes up a stream after event number `last_event`. Its first event was the answer to the attempt
    /// `began_as`.
    #[must_use]
    pub fn taking_up(mut self, began_as: &str, last_event: u64) -> Self {
        self.taken_up = Some(TakenUpStream {
            began_as: began_as.to_owned(),
            last_event,
        });
        self
    }

    /// Returns the instance's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or no response arrives in time.
    pub async fn get(&self, path: &str, id: &str) -> Result<FleetReply, Error> {
        self.send(self.with_common_headers(Call::get(self.url(path)), id))
            .await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    ///
    /// Fails like [`FleetCaller::get`].
    pub async fn post(&self, path: &str, id: &str, body: &str) -> Result<FleetReply, Error> {
        let call = Call::post(self.url(path)).body(body.to_owned());
        self.send(self.with_common_headers(call, id)).await
    }

    /// Sends a generation request and reads the stream to its end.
    ///
    /// # Errors
    ///
    /// Fails like [`FleetCaller::get`], also if the stream breaks.
    pub async fn generate(&self, path: &str, id: &str, adapter: &str) -> Result<FleetReply, Error> {
        self.send(self.generation_call(path, id, adapter, 500))
            .await
    }

    /// Sends a generation request that declares this many prompt tokens.
    ///
    /// # Errors
    ///
    /// Fails like [`FleetCaller::generate`].
    pub async fn generate_for_tokens(&self, id: &str, tokens: u64) -> Result<FleetReply, Error> {
        self.send(self.generation_call("/draft/x", id, "", tokens))
            .await
    }

    /// Sends a generation request and returns once the response headers arrive.
    ///
    /// # Errors
    ///
    /// Fails like [`FleetCaller::get`].
    pub async fn open_stream(
        &self,
        path: &str,
        id: &str,
        adapter: &str,
    ) -> Result<FleetStream, Error> {
        let response = self
            .client
            .stream(self.generation_call(path, id, adapter, 500))
            .await?;
        Ok(FleetStream {
            status: response.status.as_u16(),
            headers: response.headers,
            body: response.body,
        })
    }

    fn generation_call(&self, path: &str, id: &str, adapter: &str, tokens: u64) -> Call {
        let model = if adapter.is_empty() {
            MODEL.to_owned()
        } else {
            format!("{MODEL}/{adapter}")
        };
        let call = Call::post(self.url(path))
            .header("x-model", &model)
            .header("x-token-count", &format!("{tokens},20"));
        let call = if self.shared_parts.is_empty() {
            call.body(self.prompt)
                .header("x-prompt-prefix", "5c1e:300,91bd:200")
        } else {
            self.with_own_prompt(call)
        };
        let call = self.with_common_headers(call, id);
        match &self.taken_up {
            Some(stream) => call
                .header("resumes", &stream.began_as)
                .header("last-event-id", &stream.last_event.to_string()),
            None => call,
        }
    }

    /// Adds a prompt that begins with the shared parts and is not sent again.
    fn with_own_prompt(&self, call: Call) -> Call {
        let own_part = NEXT_OWN_PART.fetch_add(1, Ordering::Relaxed);
        let tokens = (SHARED_TOKENS / self.shared_parts.len()).max(1);
        let shared = self.shared_parts.iter();
        let spelled = shared.map(|id| self.spelling.shared(*id, own_part));
        let mut parts: Vec<String> = spelled.map(|id| format!("{id}:{tokens}")).collect();
        let own = self.spelling.own(own_part);
        parts.push(format!("{own}:{OWN_PART_TOKENS}"));
        call.body(format!("{} {own_part:x}", self.prompt))
            .header("x-prompt-prefix", &parts.join(","))
    }

    fn with_common_headers(&self, call: Call, id: &str) -> Call {
        let call = call
            .header("host", HOST)
            .header("x-attempt-id", id)
            .header("x-deadline-ms", &self.deadline_ms.to_string())
            .timeout_ms(RESPONSE_TIMEOUT_MS);
        match &self.key {
            Some(key) => call.header("authorization", &format!("Bearer {key}")),
            None => call,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn send(&self, call: Call) -> Result<FleetReply, Error> {
        let response = self.client.call(call).await?;
        Ok(FleetReply {
            status: response.status.as_u16(),
            headers: response.headers,
            body: response.body,
        })
    }
}

impl FleetReply {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// Returns the identifiers of the events in the body.
    pub fn event_ids(&self) -> Vec<u64> {
        event_ids(&self.body)
    }
}

impl FleetStream {
    /// Reads until the first event has arrived; returns the bytes read.
    pub async fn read_first_event(&mut self) -> Bytes {
        let mut bytes = BytesMut::new();
        while event_ids(&bytes).is_empty() {
            match self.body.frame().await {
                Some(Ok(frame)) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
                _ => break,
            }
        }
        bytes.freeze()
    }

    /// Reads and drops what arrives until the stream ends or `end` is reached.
    pub async fn discard_until(&mut self, end: Instant) {
        let read_all = async { while let Some(Ok(_)) = self.body.frame().await {} };
        // The end of the stream and the end of the time are alike here.
        let _ = timeout_at(end, read_all).await;
    }

    /// Reads the rest of the stream; returns `None` if the connection breaks.
    pub async fn read_to_end(self) -> Option<Bytes> {
        Some(self.body.collect().await.ok()?.to_bytes())
    }

    /// Reads the rest of the stream, up to where it breaks.
    pub async fn read_available(mut self) -> ReceivedRest {
        let mut bytes = Vec::new();
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Some(Err(_)) => {
                    let is_complete = false;
                    return ReceivedRest { bytes, is_complete };
                }
                None => {
                    let is_complete = true;
                    return ReceivedRest { bytes, is_complete };
                }
            }
        }
    }
}

/// The rest of a stream.
#[derive(Clone, Debug)]
pub struct ReceivedRest {
    /// What was received.
    pub bytes: Vec<u8>,
    /// Whether the stream ended as if it were complete.
    pub is_complete: bool,
}

/// Returns the numbers of the events in a body.
pub fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
