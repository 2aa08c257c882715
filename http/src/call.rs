//! A call and its answer.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Time that a call may take unless it says otherwise.
const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// An HTTP call that is ready to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) method: Method,
    pub(crate) url: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) timeout_ms: u64,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The head of an answer whose body is still arriving.
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
    /// A call with any method.
    pub fn new(method: Method, url: impl Into<String>) -> Self {
        Self {
            method,
            url: url.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
        }
    }

    /// A `GET` call.
    pub fn get(url: impl Into<String>) -> Self {
        Self::new(Method::GET, url)
    }

    /// A `POST` call.
    pub fn post(url: impl Into<String>) -> Self {
        Self::new(Method::POST, url)
    }

    /// A `PUT` call.
    pub fn put(url: impl Into<String>) -> Self {
        Self::new(Method::PUT, url)
    }

    /// A `DELETE` call.
    pub fn delete(url: impl Into<String>) -> Self {
        Self::new(Method::DELETE, url)
    }

    /// Adds a header; a value that HTTP does not allow is left out.
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

    /// Sets the body to a value in JSON.
    ///
    /// # Errors
    ///
    /// [`Category::Malformed`](crate::Category::Malformed) if the value has no JSON form.
    pub fn json(self, value: &impl Serialize) -> Result<Self, Error> {
        let body = serde_json::to_vec(value).map_err(Error::malformed)?;
        Ok(self.header("content-type", "application/json").body(body))
    }

    /// Sets the time until the call is given up, in milliseconds.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }
}

impl Response {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Category::Malformed`](crate::Category::Malformed) if the body is not such a value.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(Error::malformed)
    }

    /// The body as text, for messages.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
