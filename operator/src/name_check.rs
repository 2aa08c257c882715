//! Syntax of names.

/// Maximum length of a name.
pub(crate) const MAX_NAME_CHARS: usize = 128;

/// Syntax of names, as error messages describe it.
pub(crate) const NAME_RULE: &str =
    "1 to 128 characters of lower-case letters, digits, `-`, `.` and `_`";

/// Returns whether `text` is a valid name of a resource, an instance or an availability zone.
///
/// `@` separates an adapter from its version and `/` separates path segments, so neither may occur
/// in a name.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_');
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.bytes().all(allowed)
}
