//! Reads resource files.

use std::io::Read;

use mimosabay_core::config::ObjectKey;
use mimosabay_core::name::Name;
use mimosabay_core::resource::Kind;
use serde_json::Value;

use crate::conversion::object_key;
use crate::error::{Category, Error};

/// Fields that `get` prints and `apply` ignores.
const READ_ONLY_FIELDS: [&str; 3] = ["changed_by", "changed_at_ms", "status"];

/// A resource as written in a file.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) key: ObjectKey,
    /// Generation that the resource must be at; `None` allows any.
    pub(crate) generation: Option<u64>,
    pub(crate) spec: Value,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    kind: Name,
    name: Name,
    #[serde(default)]
    generation: Option<u64>,
    spec: Value,
}

/// Reads all resources of a file.
pub(crate) fn read(path: &str) -> Result<Vec<Document>, Error> {
    let text = read_text(path)?;
    let wrong =
        |cause: &dyn std::fmt::Display| Error::new(Category::Rejected, format!("{path}: {cause}"));
    let value: Value = serde_json::from_str(&text).map_err(|cause| wrong(&cause))?;
    let values = match value {
        Value::Array(values) => values,
        value => vec![value],
    };
    let documents = values.into_iter().enumerate().map(|(index, value)| {
        parse(value).map_err(|cause| wrong(&format!("resource {}: {cause}", index + 1)))
    });
    documents.collect()
}

/// Reads the text of a file, or of standard input for `-`.
pub(crate) fn read_text(path: &str) -> Result<String, Error> {
    let read = if path == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|cause| Error::new(Category::Failed, format!("{path}: {cause}")))
}

fn parse(mut value: Value) -> Result<Document, String> {
    if let Some(fields) = value.as_object_mut() {
        for field in READ_ONLY_FIELDS {
            fields.remove(field);
        }
    }
    let raw: Raw = serde_json::from_value(value).map_err(|cause| cause.to_string())?;
    let kind = Kind::parse(&raw.kind).ok_or_else(|| {
        let kinds: Vec<_> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
        let kinds = kinds.join(", ");
        format!("field `kind` is \"{}\", allowed: {kinds}", raw.kind)
    })?;
    Ok(Document {
        key: object_key(kind, &raw.name),
        generation: raw.generation,
        spec: raw.spec,
    })
}
