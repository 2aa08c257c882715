//! Responses with a whole body.

use bytes::Bytes;
use http_body_util::Full;
use serde_json::Value;
use viz::{Response, ResponseExt};

/// A response with a JSON body.
pub(crate) fn json(value: &Value) -> Response {
    bytes(value.to_string(), "application/json")
}

/// A response with a body of any type.
pub(crate) fn bytes(body: impl Into<Bytes>, content_type: &str) -> Response {
    Response::with(Full::new(body.into()), content_type)
}
