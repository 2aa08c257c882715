//! Client for a plain service.

use bytes::Bytes;
use http::Method;
use mimosabay_core::name::Name;
use mimosabay_http::{Call, Client};

use crate::error::{Category, Error};

/// A client for one plain service. Clones share the connection pool.
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
    /// Request body.
    pub body: Vec<u8>,
    /// Request id, sent as a header.
    pub request_id: Name,
    /// Timeout until the response is complete, in milliseconds.
    pub timeout_ms: u64,
}

/// The response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header, empty if there is none.
    pub content_type: Name,
    /// Response body.
    pub body: Bytes,
}

impl PlainService {
    /// Creates a client for the service at `address`, written as `IP:PORT`.
    pub fn new(client: Client, address: &str) -> Self {
        Self {
            client,
            base_url: format!("http://{address}").into(),
        }
    }

    /// Calls the service and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`Category::NotSent`] if nothing ran, or a failed call. A response with an error status is
    /// returned as a response, because it is the service's own result.
    pub async fn call(&self, call: PlainCall) -> Result<PlainResponse, Error> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|cause| Error::new(Category::Rejected, cause))?;
        let mut http_call = Call::new(method, format!("{}{}", self.base_url, call.path))
            .header("x-request-id", &call.request_id)
            .body(call.body)
            .timeout_ms(call.timeout_ms);
        if !call.content_type.is_empty() {
            http_call = http_call.header("content-type", &call.content_type);
        }
        let response = self.client.call(http_call).await?;
        let content_type = response.headers.get("content-type");
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        Ok(PlainResponse {
            status: response.status.as_u16(),
            content_type: content_type.into(),
            body: response.body,
        })
    }
}
