//! Answers that are recorded in the journal and returned to duplicate requests.

use crate::name::Name;
use crate::request::{RunEvent, Usage};

crate::record! {
    /// A response body, encoded compactly in JSON.
    #[serde(rename_all = "snake_case")]
    pub enum Body {
        /// Bytes that are UTF-8 text.
        Text(String),
        /// Any other bytes, as lower-case hexadecimal digits.
        Hex(String),
    }

    /// The complete answer of a finished run.
    #[serde(rename_all = "snake_case")]
    pub enum RecordedAnswer {
        /// The answer of a plain service.
        Plain {
            /// HTTP status.
            status: u16,
            /// Value of the `Content-Type` header, empty if there was none.
            content_type: Name,
            /// Response body.
            body: Body,
        },
        /// A complete generation.
        Generated {
            /// Handle of the adapter that generated the text.
            handle: Name,
            /// Generated text.
            text: String,
            /// Tokens used.
            usage: Usage,
        },
    }
}

impl Body {
    /// Encodes `bytes` as text if they are valid UTF-8, otherwise as hexadecimal digits.
    pub fn new(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Hex(to_hex(bytes)),
        }
    }

    /// Returns the encoded bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        match self {
            Body::Text(text) => text.clone().into_bytes(),
            Body::Hex(digits) => from_hex(digits),
        }
    }

    fn stored_bytes(&self) -> usize {
        match self {
            Body::Text(text) | Body::Hex(text) => max_json_bytes(text),
        }
    }
}

impl RecordedAnswer {
    /// Returns the answer as the events of a run, so that a duplicate request receives the same
    /// answer as the first one.
    pub fn to_events(&self) -> Vec<RunEvent> {
        match self {
            RecordedAnswer::Plain {
                status,
                content_type,
                body,
            } => plain_events(*status, content_type, &body.to_bytes()),
            RecordedAnswer::Generated {
                handle,
                text,
                usage,
            } => generated_events(handle, text, *usage),
        }
    }

    /// Returns an upper bound of the answer's size in the store, in bytes.
    pub fn stored_bytes(&self) -> usize {
        const FIELDS_BYTES: usize = 120;
        let texts = match self {
            RecordedAnswer::Plain {
                content_type, body, ..
            } => max_json_bytes(content_type) + body.stored_bytes(),
            RecordedAnswer::Generated { handle, text, .. } => {
                max_json_bytes(handle) + max_json_bytes(text)
            }
        };
        FIELDS_BYTES + texts
    }
}

fn plain_events(status: u16, content_type: &Name, body: &[u8]) -> Vec<RunEvent> {
    vec![
        RunEvent::Started { handle: "".into() },
        RunEvent::Head {
            status,
            content_type: content_type.clone(),
        },
        RunEvent::Chunk {
            offset: 0,
            count: body.len() as u64,
            data: body.to_vec(),
        },
        RunEvent::Finished {
            usage: Usage::default(),
        },
    ]
}

fn generated_events(handle: &Name, text: &str, usage: Usage) -> Vec<RunEvent> {
    vec![
        RunEvent::Started {
            handle: handle.clone(),
        },
        RunEvent::Chunk {
            offset: 0,
            count: usage.completion_tokens,
            data: text.as_bytes().to_vec(),
        },
        RunEvent::Finished { usage },
    ]
}

/// Returns an upper bound of the size of `text` as a JSON string, in bytes.
pub(super) fn max_json_bytes(text: &str) -> usize {
    const QUOTES_BYTES: usize = 2;
    const ESCAPED_BYTES: usize = 6;
    let needs_escape = |byte: u8| byte < 0x20 || byte == b'"' || byte == b'\\';
    let bytes = text
        .bytes()
        .map(|byte| if needs_escape(byte) { ESCAPED_BYTES } else { 1 });
    QUOTES_BYTES + bytes.sum::<usize>()
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |nibble: u8| char::from(DIGITS[usize::from(nibble)]);
    bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 0xf)])
        .collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    digits
        .as_bytes()
        .chunks(2)
        .filter_map(|pair| std::str::from_utf8(pair).ok())
        .filter_map(|pair| u8::from_str_radix(pair, 16).ok())
        .collect()
}
