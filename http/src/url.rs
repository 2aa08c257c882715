//! URLs of calls.

/// A URL whose path segments and parameters may hold any bytes; they are percent-encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url {
    text: String,
    has_query: bool,
}

impl Url {
    /// Creates a URL from a base that is a URL already and has no query.
    pub fn new(base: impl Into<String>) -> Self {
        Self {
            text: base.into(),
            has_query: false,
        }
    }

    /// Adds a segment to the path.
    #[must_use]
    pub fn segment(mut self, segment: impl AsRef<[u8]>) -> Self {
        debug_assert!(!self.has_query, "a path ends where the query begins");
        self.text.push('/');
        self.push_encoded(segment.as_ref());
        self
    }

    /// Adds a parameter to the query.
    #[must_use]
    pub fn parameter(mut self, name: &'static str, value: impl AsRef<[u8]>) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        self.push_encoded(value.as_ref());
        self
    }

    fn push_encoded(&mut self, bytes: &[u8]) {
        self.text.push_str(&urlencoding::encode_binary(bytes));
    }
}

impl From<Url> for String {
    fn from(url: Url) -> Self {
        url.text
    }
}
