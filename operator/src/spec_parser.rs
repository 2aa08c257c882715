//! Deserialises specifications and reports the field that has the wrong type.

use mimosabay_core::resource::{Kind, Spec};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::field_error::FieldError;

/// Deserialises the specification of a resource of `kind`.
pub(crate) fn parse(kind: Kind, resource: &str, value: &Value) -> Result<Spec, FieldError> {
    match kind {
        Kind::Organisation => read(resource, value).map(Spec::Organisation),
        Kind::Key => read(resource, value).map(Spec::Key),
        Kind::Route => read(resource, value).map(Spec::Route),
        Kind::Adapter => read(resource, value).map(Spec::Adapter),
        Kind::BackendServer => read(resource, value).map(Spec::BackendServer),
        Kind::Site => read(resource, value).map(Spec::Site),
        Kind::Objective => read(resource, value).map(Spec::Objective),
    }
}

fn read<T: DeserializeOwned>(resource: &str, value: &Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let message = error.inner().to_string();
        to_field_error(resource, value, &path, &message)
    })
}

/// Converts an error message of serde into an error that names the field.
fn to_field_error(resource: &str, value: &Value, path: &str, message: &str) -> FieldError {
    let path = if path == "." { "" } else { path };
    let quoted = message.split('`').nth(1).unwrap_or_default();
    let expected = message.split_once("expected ").map(|(_, rest)| rest);
    if message.starts_with("missing field") {
        let field = join(path, quoted);
        return FieldError::new(resource, field, &Value::Null, "a value for this field");
    }
    if message.starts_with("unknown field") {
        let field = if path.ends_with(quoted) {
            path.to_owned()
        } else {
            join(path, quoted)
        };
        let allowed = expected.unwrap_or("fields that the kind has");
        let found = at_path(value, &field);
        return FieldError::new(resource, field, found, allowed);
    }
    let field = if path.is_empty() { "spec" } else { path };
    let found = if path.is_empty() {
        value
    } else {
        at_path(value, path)
    };
    FieldError::new(resource, field, found, expected.unwrap_or(message))
}

fn join(path: &str, field: &str) -> String {
    if path.is_empty() {
        field.to_owned()
    } else {
        format!("{path}.{field}")
    }
}

/// Returns the value at a path such as `versions[1].source`, or null if there is none.
fn at_path<'a>(value: &'a Value, path: &str) -> &'a Value {
    let pointer = path.replace('[', ".").replace(']', "").replace('.', "/");
    let found = value.pointer(&format!("/{pointer}"));
    found.unwrap_or(&Value::Null)
}
