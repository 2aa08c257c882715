//! A call as it came from its caller.

use mimosabay_core::name::Name;

/// A call as it came from its caller, the key replaced by its hash.
#[derive(Clone, Debug)]
pub struct Call {
    /// SHA-256 of the key in lower-case hexadecimal digits.
    pub key_sha256: Option<Name>,
    /// Request id that the caller proposed.
    pub request_id: Option<Name>,
    /// Idempotency key that the caller gave.
    pub idempotency_key: Option<Name>,
    /// What it asks for.
    pub operation: Operation,
}

/// What a call asks for.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Text generation.
    Generate {
        /// Model as the caller wrote it.
        model: Name,
        /// Body as JSON text, without the fields that the system sets itself.
        body: String,
        /// Whether it is a chat completion.
        chat: bool,
        /// Upper bound of the prompt's tokens.
        prompt_tokens: u64,
        /// Upper bound of the generated tokens.
        completion_tokens: u64,
    },
    /// A plain call.
    Plain {
        /// HTTP method.
        method: Name,
        /// Path and query.
        path: String,
        /// Value of the `Content-Type` header, empty if there was none.
        content_type: Name,
        /// Body.
        body: Vec<u8>,
    },
}
