//! Responses with a complete body.

use bytes::Bytes;
use http_body_util::Full;
use serde_json::Value;
use viz::{Response, ResponseExt};

/// Creates a response with a JSON body.
pub(crate) fn json(value: &Value) -> Response {
    bytes(value.to_string(), "application/json")
}

/// Creates a response with a body of the given content type.
pub(crate) fn bytes(body: impl Into<Bytes>, content_type: &str) -> Response {
    Response::with(Full::new(body.into()), content_type)
}
