//! HTTP responses of the stand-ins.

use std::convert::Infallible;
use std::fmt;

use bytes::Bytes;
use futures::Stream;
use http::{Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// Body of a response.
pub(crate) type Body = BoxBody<Bytes, Closed>;
/// A response, or an instruction to close the connection without one.
pub(crate) type Reply = Result<Response<Body>, Closed>;

/// Closes the connection before the response is complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed without an answer")
    }
}

impl std::error::Error for Closed {}

/// Returns a response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).map_err(|_| Closed)?;
    complete(status, "application/json", body)
}

/// Returns a response with status 200 and a JSON body.
pub(crate) fn ok(value: &impl Serialize) -> Reply {
    json(StatusCode::OK, value)
}

/// Returns a response with an error message in a JSON body.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    json(status, &serde_json::json!({ "error": message }))
}

/// Returns a response with status 200 and a streamed body.
pub(crate) fn stream(
    content_type: &'static str,
    chunks: impl Stream<Item = Result<Bytes, Closed>> + Send + Sync + 'static,
) -> Reply {
    use futures::StreamExt;
    let body = StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data)));
    build_response(StatusCode::OK, content_type, BodyExt::boxed(body))
}

/// Returns a response with a complete body.
pub(crate) fn complete(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let body = Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {});
    build_response(status, content_type, body.boxed())
}

fn build_response(status: StatusCode, content_type: &'static str, body: Body) -> Reply {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(body)
        .map_err(|_| Closed)
}
