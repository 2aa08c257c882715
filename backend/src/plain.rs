//! Client for one plain service.

use bytes::Bytes;
use http::Method;
use mimosabay_core::name::Name;
use mimosabay_http::{Call, Client};

use crate::error::{Category, Error};

/// A client for one plain service. Cloning it shares the connections.
#[derive(Clone, Debug)]
pub struct PlainService {
    client: Client,
    base_url: Name,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Name,
    /// Path and query.
    pub path: String,
    /// Value of the `Content-Type` header, empty if there is none.
    pub content_type: Name,
    /// Body.
    pub body: Vec<u8>,
    /// Request id.
    pub request_id: Name,
    /// Time until the answer has to be whole, in milliseconds.
    pub timeout_ms: u64,
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header, empty if there is none.
    pub content_type: Name,
    /// Body.
    pub body: Bytes,
}

impl PlainService {
    /// Builds a client for the service at `address`, an IP number and port.
    pub fn new(client: Client, address: &str) -> Self {
        Self {
            client,
            base_url: format!("http://{address}").into(),
        }
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// [`Category::NotSent`] if nothing ran, or a failed call. An answer with an error status is
    /// no error here: it is the service's own.
    pub async fn call(&self, call: PlainCall) -> Result<PlainAnswer, Error> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|cause| Error::new(Category::Rejected, cause))?;
        let mut sent = Call::new(method, format!("{}{}", self.base_url, call.path))
            .header("x-request-id", &call.request_id)
            .body(call.body)
            .timeout_ms(call.timeout_ms);
        if !call.content_type.is_empty() {
            sent = sent.header("content-type", &call.content_type);
        }
        let answer = self.client.call(sent).await?;
        let content_type = answer.headers.get("content-type");
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        Ok(PlainAnswer {
            status: answer.status.as_u16(),
            content_type: content_type.into(),
            body: answer.body,
        })
    }
}
