//! Handlers of the HTTP routes.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use mimosabay_core::name::Name;
use mimosabay_core::request::{Code, Refusal};
use serde_json::json;
use tokio::time::timeout;
use tracing::debug;
use viz::{IntoResponse, Request, RequestExt, Response};

use crate::answer::{self, AnswerFormat};
use crate::body;
use crate::call::{Call, Operation};
use crate::failure;
use crate::parse;
use crate::server::Shared;

const REQUEST_ID_HEADER: &str = "x-request-id";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

pub(crate) async fn healthz(_: Request) -> viz::Result<Response> {
    Ok("ok\n".into_response())
}

pub(crate) async fn readyz(request: Request) -> viz::Result<Response> {
    let ready = shared(&request).gateway.is_ready();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Ok((status, if ready { "ready\n" } else { "not ready\n" }).into_response())
}

pub(crate) async fn models(request: Request) -> viz::Result<Response> {
    let result = parse::key_sha256(request.headers())
        .and_then(|key| shared(&request).gateway.models(key.as_deref()));
    Ok(match result {
        Ok(names) => model_list(&names),
        Err(refusal) => failure::response(&refusal),
    })
}

pub(crate) async fn completions(request: Request) -> viz::Result<Response> {
    Ok(generate(request, false).await)
}

pub(crate) async fn chat_completions(request: Request) -> viz::Result<Response> {
    Ok(generate(request, true).await)
}

pub(crate) async fn plain(request: Request) -> viz::Result<Response> {
    let shared = shared(&request);
    let result = answer_plain(&shared, request).await;
    Ok(finish(&shared, result))
}

async fn generate(request: Request, chat: bool) -> Response {
    let shared = shared(&request);
    let result = answer_generation(&shared, request, chat).await;
    finish(&shared, result)
}

async fn answer_generation(
    shared: &Shared,
    mut request: Request,
    chat: bool,
) -> Result<Response, Refusal> {
    check_head_size(shared, &request)?;
    let body = read_body(shared, &mut request).await?;
    let generation = parse::generation(&body, chat)?;
    let call = call(&request, generation.operation)?;
    let accepted = shared.gateway.accept(call).await?;
    let format = AnswerFormat {
        chat,
        model: generation.model,
        request_id: accepted.request_id.clone(),
    };
    if generation.stream {
        answer::streamed(format, accepted.events).await
    } else {
        answer::buffered(format, accepted.events).await
    }
}

async fn answer_plain(shared: &Shared, mut request: Request) -> Result<Response, Refusal> {
    check_head_size(shared, &request)?;
    let body = read_body(shared, &mut request).await?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let content_type = request.headers().get(http::header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let operation = Operation::Plain {
        method: request.method().as_str().into(),
        path: path.to_owned(),
        content_type: content_type.into(),
        body: body.to_vec(),
    };
    let accepted = shared.gateway.accept(call(&request, operation)?).await?;
    answer::plain(&accepted.request_id, accepted.events).await
}

fn call(request: &Request, operation: Operation) -> Result<Call, Refusal> {
    let headers = request.headers();
    Ok(Call {
        key_sha256: parse::key_sha256(headers)?,
        request_id: parse::identifier(headers, REQUEST_ID_HEADER)?,
        idempotency_key: parse::identifier(headers, IDEMPOTENCY_HEADER)?,
        operation,
    })
}

/// Returns the size of the request target and headers in bytes, without separators and line ends.
fn head_bytes(request: &Request) -> usize {
    let headers = request.headers().iter();
    let bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    bytes
        + request
            .uri()
            .path_and_query()
            .map_or(0, |path| path.as_str().len())
}

fn check_head_size(shared: &Shared, request: &Request) -> Result<(), Refusal> {
    let max_bytes = shared.limits.max_header_bytes;
    if head_bytes(request) <= max_bytes {
        return Ok(());
    }
    let message = format!("request headers exceed the limit of {max_bytes} bytes");
    Err(Refusal::not_run(Code::TooLarge, message))
}

async fn read_body(shared: &Shared, request: &mut Request) -> Result<Bytes, Refusal> {
    let limits = shared.limits;
    let too_large = || {
        let message = format!(
            "request body exceeds the limit of {} bytes",
            limits.max_body_bytes
        );
        Refusal::not_run(Code::TooLarge, message)
    };
    if request
        .content_length()
        .is_some_and(|length| length > limits.max_body_bytes as u64)
    {
        return Err(too_large());
    }
    let body = std::mem::take(request.body_mut());
    let read = Limited::new(body, limits.max_body_bytes).collect();
    match timeout(Duration::from_millis(limits.read_timeout_ms), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(cause)) => {
            debug!(%cause, "reading the body of a call failed");
            Err(parse::bad_request(
                "request body ended before it was complete",
            ))
        }
        Err(_) => Err(Refusal::not_run(
            Code::Timeout,
            "request body did not arrive within the timeout",
        )),
    }
}

fn finish(shared: &Shared, result: Result<Response, Refusal>) -> Response {
    let mut response = result.unwrap_or_else(|refusal| failure::response(&refusal));
    let sunset = shared
        .gateway
        .sunset_date()
        .and_then(|date| sunset_header(&date));
    if let Some(value) = sunset {
        response.headers_mut().insert("sunset", value);
    }
    response
}

/// Builds the value of the `Sunset` header (RFC 8594), an HTTP date. The day ends at midnight UTC.
fn sunset_header(date: &Name) -> Option<http::HeaderValue> {
    let day = mimosabay_core::date::Date::parse(date)?;
    http::HeaderValue::from_str(&day.to_http_date()).ok()
}

fn model_list(names: &[Name]) -> Response {
    let data: Vec<_> = names
        .iter()
        .map(|name| json!({ "id": name, "object": "model" }))
        .collect();
    body::json(&json!({ "object": "list", "data": data }))
}

fn shared(request: &Request) -> Shared {
    request
        .state::<Shared>()
        .expect("the router sets the shared state of every route")
}
