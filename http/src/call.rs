//! HTTP calls and their responses.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Timeout of a call that does not set its own.
const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// Largest body of a response to a call that sets no limit of its own, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// An HTTP call that is ready to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) method: Method,
    pub(crate) url: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) timeout_ms: u64,
    pub(crate) max_body_bytes: usize,
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A response whose body is still being received.
#[derive(Debug)]
pub struct StreamingResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body, read frame by frame.
    pub body: Incoming,
}

impl Call {
    /// Creates a call with any method.
    pub fn new(method: Method, url: impl Into<String>) -> Self {
        Self {
            method,
            url: url.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        }
    }

    /// Creates a `GET` call.
    pub fn get(url: impl Into<String>) -> Self {
        Self::new(Method::GET, url)
    }

    /// Creates a `POST` call.
    pub fn post(url: impl Into<String>) -> Self {
        Self::new(Method::POST, url)
    }

    /// Creates a `PUT` call.
    pub fn put(url: impl Into<String>) -> Self {
        Self::new(Method::PUT, url)
    }

    /// Creates a `DELETE` call.
    pub fn delete(url: impl Into<String>) -> Self {
        Self::new(Method::DELETE, url)
    }

    /// Sets a header. A value that is not a valid HTTP header value is ignored.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the body to a value serialized as JSON, and the `Content-Type` header.
    ///
    /// # Errors
    ///
    /// [`Category::Malformed`](crate::Category::Malformed) if the value cannot be serialized as JSON.
    pub fn json(self, value: &impl Serialize) -> Result<Self, Error> {
        let body = serde_json::to_vec(value).map_err(Error::malformed)?;
        Ok(self.header("content-type", "application/json").body(body))
    }

    /// Sets the timeout of the call, in milliseconds.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the largest body of the response, in bytes. It does not apply to a streaming response.
    #[must_use]
    pub fn max_body_bytes(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }
}

impl Response {
    /// Deserializes the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Category::Malformed`](crate::Category::Malformed) if the body is not a valid `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(Error::malformed)
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
