//! Parses calls from HTTP requests.

use http::HeaderMap;
use mimosabay_core::name::Name;
use mimosabay_core::request::{Code, Refusal};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

use crate::call::Operation;

/// Maximum number of generated tokens if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Maximum value of the caller's limit on generated tokens.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;
/// Minimum number of prompt bytes per token, used to charge a request before its dispatch.
const BYTES_PER_PROMPT_TOKEN: u64 = 2;
/// Maximum length of a request id or idempotency key.
const MAX_ID_BYTES: usize = 128;
/// Body fields that are removed because the system sets its own values for the engine.
const RESERVED_FIELDS: [&str; 5] = [
    "model",
    "stream",
    "stream_options",
    "priority",
    "resume_text",
];

/// A parsed generation call.
pub(crate) struct Generation {
    pub(crate) operation: Operation,
    pub(crate) model: Name,
    pub(crate) stream: bool,
}

/// Returns the SHA-256 hash of the API key in the `Authorization` header, if the header is present.
pub(crate) fn key_sha256(headers: &HeaderMap) -> Result<Option<Name>, Refusal> {
    let Some(value) = headers.get(http::header::AUTHORIZATION) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            Refusal::not_run(
                Code::UnknownKey,
                "authorization header must contain a bearer token",
            )
        })?;
    Ok(Some(hex(&Sha256::digest(key.trim().as_bytes())).into()))
}

/// Parses an identifier from a header.
pub(crate) fn identifier(headers: &HeaderMap, name: &str) -> Result<Option<Name>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_ID_BYTES || !is_printable {
        return Err(bad_request(format!(
            "{name} must be 1 to {MAX_ID_BYTES} printable ASCII characters"
        )));
    }
    Ok(Some(text.into()))
}

/// Parses the body of a completion or chat completion.
pub(crate) fn generation(body: &[u8], chat: bool) -> Result<Generation, Refusal> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|cause| bad_request(format!("request body is not a JSON object: {cause}")))?;
    let model = model(&fields)?;
    let stream = stream(&fields)?;
    let completion_tokens = max_tokens(&fields)?;
    let prompt_bytes = prompt_bytes(&fields, chat)?;
    for field in RESERVED_FIELDS {
        fields.remove(field);
    }
    fields.insert("max_tokens".into(), completion_tokens.into());
    let operation = Operation::Generate {
        model: model.clone(),
        body: Value::Object(fields).to_string(),
        chat,
        prompt_tokens: prompt_bytes.div_ceil(BYTES_PER_PROMPT_TOKEN),
        completion_tokens,
    };
    Ok(Generation {
        operation,
        model,
        stream,
    })
}

pub(crate) fn bad_request(message: impl Into<Name>) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}

fn model(fields: &Map<String, Value>) -> Result<Name, Refusal> {
    match fields.get("model") {
        Some(Value::String(model)) => Ok(model.as_str().into()),
        _ => Err(bad_request("field model must be a string")),
    }
}

fn stream(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(bad_request("field stream must be true or false")),
    }
}

fn max_tokens(fields: &Map<String, Value>) -> Result<u64, Refusal> {
    let value = fields
        .get("max_tokens")
        .or_else(|| fields.get("max_completion_tokens"));
    let allowed = 1..=MAX_TOKENS_LIMIT;
    match value {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => value
            .as_u64()
            .filter(|tokens| allowed.contains(tokens))
            .ok_or_else(|| {
                bad_request(format!("field max_tokens must be 1 to {MAX_TOKENS_LIMIT}"))
            }),
    }
}

fn prompt_bytes(fields: &Map<String, Value>, chat: bool) -> Result<u64, Refusal> {
    let bytes = if chat {
        message_bytes(fields)?
    } else {
        text_bytes(fields)?
    };
    Ok(bytes as u64)
}

fn text_bytes(fields: &Map<String, Value>) -> Result<usize, Refusal> {
    match fields.get("prompt") {
        Some(Value::String(prompt)) => Ok(prompt.len()),
        _ => Err(bad_request("field prompt must be a string")),
    }
}

fn message_bytes(fields: &Map<String, Value>) -> Result<usize, Refusal> {
    let Some(Value::Array(messages)) = fields.get("messages") else {
        return Err(bad_request("field messages must be a list"));
    };
    if messages.is_empty() {
        return Err(bad_request("field messages must not be empty"));
    }
    messages.iter().map(content_bytes).sum()
}

fn content_bytes(message: &Value) -> Result<usize, Refusal> {
    let role = message.get("role").and_then(Value::as_str);
    let content = message.get("content").and_then(Value::as_str);
    match (role, content) {
        (Some(role), Some(content)) => Ok(role.len() + content.len()),
        _ => Err(bad_request(
            "each message must have a role and a content, both strings",
        )),
    }
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            // Writing to a `String` never fails.
            let _ = write!(text, "{byte:02x}");
            text
        })
}
