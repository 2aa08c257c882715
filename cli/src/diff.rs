//! Computes the differences between two specifications.

use serde_json::{Map, Value};

/// Returns the fields that differ, as `field: old -> new`, sorted by field.
pub(crate) fn changed_fields(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", old, new, &mut lines);
    lines
}

fn compare(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        _ if old == new => {}
        (Value::Object(old), Value::Object(new)) => compare_fields(path, old, new, lines),
        _ => lines.push(format!("{path}: {} -> {}", show(old), show(new))),
    }
}

fn compare_fields(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    lines: &mut Vec<String>,
) {
    let mut fields: Vec<_> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    for field in fields {
        let inner = if path.is_empty() {
            field.clone()
        } else {
            format!("{path}.{field}")
        };
        let (old, new) = (old.get(field), new.get(field));
        let or_null = |value: Option<&Value>| value.cloned().unwrap_or_default();
        compare(&inner, &or_null(old), &or_null(new), lines);
    }
}

fn show(value: &Value) -> String {
    match value {
        Value::Null => "absent".into(),
        value => value.to_string(),
    }
}
