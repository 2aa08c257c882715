//! Answers of the stand-ins.

use std::convert::Infallible;
use std::fmt;

use bytes::Bytes;
use futures::Stream;
use http::{Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// Body of an answer.
pub(crate) type Body = BoxBody<Bytes, Closed>;
/// An answer, or the order to close the connection without one.
pub(crate) type Reply = Result<Response<Body>, Closed>;

/// The connection is closed without a whole answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed without an answer")
    }
}

impl std::error::Error for Closed {}

/// An answer with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).map_err(|_| Closed)?;
    whole(status, "application/json", body)
}

/// An answer with status 200 and a JSON body.
pub(crate) fn ok(value: &impl Serialize) -> Reply {
    json(StatusCode::OK, value)
}

/// An answer with an error message.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    json(status, &serde_json::json!({ "error": message }))
}

/// An answer whose body arrives part by part.
pub(crate) fn stream(
    content_type: &'static str,
    parts: impl Stream<Item = Result<Bytes, Closed>> + Send + Sync + 'static,
) -> Reply {
    use futures::StreamExt;
    let body = StreamBody::new(parts.map(|part| part.map(Frame::data)));
    head(StatusCode::OK, content_type, BodyExt::boxed(body))
}

fn whole(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let body = Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {});
    head(status, content_type, body.boxed())
}

fn head(status: StatusCode, content_type: &'static str, body: Body) -> Reply {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(body)
        .map_err(|_| Closed)
}
