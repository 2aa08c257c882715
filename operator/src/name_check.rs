//! The form of names.

/// Largest length of a name.
pub(crate) const MAX_NAME_CHARS: usize = 128;

/// The form of names, for error messages.
pub(crate) const NAME_RULE: &str =
    "1 to 128 characters of lower-case letters, digits, `-`, `.` and `_`";

/// Whether `text` is a name of a resource, an instance or a zone.
///
/// `@` separates an adapter from its version and `/` separates parts of a path, so that neither
/// may be in a name.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_');
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.bytes().all(allowed)
}
