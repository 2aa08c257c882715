//! Errors in the fields of a resource.

use std::fmt;

use mimosabay_core::resource::Kind;
use serde_json::Value;

const MAX_VALUE_CHARS: usize = 80;

/// An error in one field of a resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Kind and name of the resource, separated by `/`.
    pub resource: String,
    /// Path of the field, such as `versions[1].source`; `name` for the resource's name and `spec`
    /// for the specification as a whole.
    pub field: String,
    /// The value found as JSON, truncated; `absent` if there is none.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl FieldError {
    pub(crate) fn new(
        resource: &str,
        field: impl Into<String>,
        value: &Value,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            resource: resource.to_owned(),
            field: field.into(),
            value: shorten(value),
            allowed: allowed.into(),
        }
    }
}

/// Formats the name of a resource for messages, as `kind/name`.
pub(crate) fn resource_name(kind: Kind, name: &str) -> String {
    format!("{}/{name}", kind.as_str())
}

fn shorten(value: &Value) -> String {
    if value.is_null() {
        return "absent".into();
    }
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let head: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{head}...")
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: field `{}` is {}, allowed: {}",
            self.resource, self.field, self.value, self.allowed
        )
    }
}

impl std::error::Error for FieldError {}
