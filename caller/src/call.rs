//! Calls of callers.

use mimosabay_core::name::Name;

/// A call as received from a caller, with the API key replaced by its hash.
#[derive(Clone, Debug)]
pub struct Call {
    /// SHA-256 hash of the API key in lower-case hexadecimal digits.
    pub key_sha256: Option<Name>,
    /// Request id proposed by the caller.
    pub request_id: Option<Name>,
    /// Idempotency key set by the caller.
    pub idempotency_key: Option<Name>,
    /// The requested operation.
    pub operation: Operation,
}

/// The operation that a call requests.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Text generation.
    Generate {
        /// Model name as sent by the caller.
        model: Name,
        /// Body as JSON text, without the fields that the system sets.
        body: String,
        /// Whether it is a chat completion.
        chat: bool,
        /// Upper bound of the number of prompt tokens.
        prompt_tokens: u64,
        /// Upper bound of the number of generated tokens.
        completion_tokens: u64,
    },
    /// A call of a plain service.
    Plain {
        /// HTTP method.
        method: Name,
        /// Path and query.
        path: String,
        /// Value of the `Content-Type` header, empty if there is none.
        content_type: Name,
        /// Request body.
        body: Vec<u8>,
    },
}
