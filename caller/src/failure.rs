//! HTTP responses for refusals.

use http::StatusCode;
use mimosabay_core::request::{Code, Refusal};
use serde_json::{Value, json};
use viz::Response;

use crate::body;

/// Returns the HTTP status for a refusal with `code`.
pub fn status_of(code: Code) -> StatusCode {
    match code {
        Code::BadRequest => StatusCode::BAD_REQUEST,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::UnknownKey | Code::WithdrawnKey => StatusCode::UNAUTHORIZED,
        Code::Forbidden => StatusCode::FORBIDDEN,
        Code::UnknownModel | Code::UnknownVersion => StatusCode::NOT_FOUND,
        Code::OverRate => StatusCode::TOO_MANY_REQUESTS,
        Code::KeyReused | Code::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Code::InDoubt => StatusCode::CONFLICT,
        Code::Timeout => StatusCode::GATEWAY_TIMEOUT,
        Code::Cancelled => StatusCode::REQUEST_TIMEOUT,
        Code::Sunset => StatusCode::GONE,
        Code::BackendFailed | Code::InstanceFailed => StatusCode::BAD_GATEWAY,
        Code::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        Code::Overloaded
        | Code::NoServer
        | Code::NotOwner
        | Code::StoreUnavailable
        | Code::NotReady
        | Code::LoadFailed => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the JSON body for a refusal.
pub(crate) fn to_json(refusal: &Refusal) -> Value {
    json!({
        "error": {
            "code": refusal.code,
            "ran": refusal.ran,
            "message": refusal.message,
            "retry_after_ms": refusal.retry_after_ms,
        }
    })
}

/// Builds the HTTP response for a refusal.
pub(crate) fn response(refusal: &Refusal) -> Response {
    let mut response = body::json(&to_json(refusal));
    *response.status_mut() = status_of(refusal.code);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        // The header has a resolution of seconds. Rounding up prevents a retry that is too early.
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, seconds.into());
    }
    response
}
