//! Path and query of a call, decoded as URLs are.

use http::Uri;

/// Character of a name that stands for a byte that is no UTF-8. Answers send the byte 0xFF in its place.
pub(crate) const ODD_BYTE: char = '\u{fffd}';
/// Character in its place where a caller has written that character itself, which makes another name.
const WRITTEN_ODD_BYTE: &str = "\u{fffc}";
/// Characters beside letters and digits that a path and a query may hold as they are.
const PLAIN_CHARACTERS: &[u8] = b"-._~:/?@!$&'()*+,;=";

/// The decoded target of a call.
#[derive(Debug)]
pub(crate) struct Target {
    segments: Vec<String>,
    parameters: Vec<(String, String)>,
}

impl Target {
    /// Decodes the target; `None` if it is no URL.
    pub(crate) fn decode(uri: &Uri) -> Option<Self> {
        let query = uri.query().unwrap_or_default();
        if !is_encoded(uri.path()) || !is_encoded(query) {
            return None;
        }
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let pairs = pairs.map(|(key, value)| (parameter(key), parameter(value)));
        Some(Self {
            segments: uri.path().split('/').skip(1).map(text).collect(),
            parameters: pairs.collect(),
        })
    }

    /// Segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.segments.iter().map(String::as_str).collect()
    }

    /// First value of a parameter of the query.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let found = self.parameters.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Returns whether a path or a query holds only what a URL may hold there.
fn is_encoded(text: &str) -> bool {
    let mut parts = text.split('%');
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || PLAIN_CHARACTERS.contains(&byte);
    let first = parts.next().unwrap_or_default();
    let is_escaped = |part: &str| {
        let digits = part.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
            && part.bytes().all(is_plain)
    };
    first.bytes().all(is_plain) && parts.all(is_escaped)
}

/// Decodes a key or a value of a query, in which `+` stands for a blank.
fn parameter(encoded: &str) -> String {
    text(&encoded.replace('+', " "))
}

fn text(encoded: &str) -> String {
    let bytes = urlencoding::decode_binary(encoded.as_bytes());
    let mut text = String::new();
    for chunk in bytes.utf8_chunks() {
        text.push_str(&chunk.valid().replace(ODD_BYTE, WRITTEN_ODD_BYTE));
        text.extend(chunk.invalid().iter().map(|_| ODD_BYTE));
    }
    text
}
