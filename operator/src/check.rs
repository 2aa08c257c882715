//! Checks of single fields of a resource.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use mimosabay_core::config::ConfigTable;
use mimosabay_core::name::Name;
use mimosabay_core::resource::{Kind, Spec};
use serde_json::{Value, json};

use crate::field_error::FieldError;
use crate::name_check::{self, NAME_RULE};

const SHA256_HEX_CHARS: usize = 64;

/// Collects the errors of one resource.
pub(crate) struct Check<'a> {
    pub(crate) resource: String,
    pub(crate) table: &'a ConfigTable,
    pub(crate) errors: Vec<FieldError>,
}

impl Check<'_> {
    pub(crate) fn weight(&mut self, field: &str, weight: f64) {
        if !(0.0..=1_000.0).contains(&weight) {
            self.add_error(field, &json!(weight), "a number from 0 to 1000");
        }
    }

    pub(crate) fn organisations(&mut self, names: &[Name]) {
        for (index, name) in names.iter().enumerate() {
            self.reference(format!("organisations[{index}]"), Kind::Organisation, name);
        }
    }

    pub(crate) fn sha256(&mut self, text: &Name) {
        let is_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != SHA256_HEX_CHARS || !text.bytes().all(is_hex) {
            // Omits the value, because it may be the key itself, given by mistake.
            let rule = "64 lower-case hexadecimal digits, as `key create` writes them";
            self.add_error("sha256", &json!("not a hash"), rule);
        }
    }

    pub(crate) fn address(&mut self, field: &str, text: &Name) {
        let is_address = |address: SocketAddr| address.port() != 0;
        if !text.parse().is_ok_and(is_address) {
            let rule = "an IP address and a port, such as 127.0.0.1:8000";
            self.add_error(field, &json!(text), rule);
        }
    }

    pub(crate) fn reference(&mut self, field: impl Into<String>, kind: Kind, name: &Name) {
        if self.table.get(kind, name).is_none() {
            let rule = format!("the name of an existing {}", kind.as_str());
            self.add_error(field, &json!(name), rule);
        }
    }

    pub(crate) fn name(&mut self, field: impl Into<String>, name: &str) {
        if !name_check::is_name(name) {
            self.add_error(field, &json!(name), NAME_RULE);
        }
    }

    pub(crate) fn range(&mut self, field: &str, value: u64, range: RangeInclusive<u64>) {
        if !range.contains(&value) {
            let rule = format!("a whole number from {} to {}", range.start(), range.end());
            self.add_error(field, &json!(value), rule);
        }
    }

    pub(crate) fn add_error(
        &mut self,
        field: impl Into<String>,
        value: &Value,
        allowed: impl Into<String>,
    ) {
        let error = FieldError::new(&self.resource, field, value, allowed);
        self.errors.push(error);
    }

    /// Returns the name of a resource of `kind` other than `name` whose specification `is_like`
    /// accepts.
    pub(crate) fn find_other(
        &self,
        kind: Kind,
        name: &str,
        is_like: impl Fn(&Spec) -> bool,
    ) -> Option<Name> {
        let mut of_kind = self.table.of_kind(kind);
        let found = of_kind.find(|(other, spec)| &***other != name && is_like(spec));
        found.map(|(other, _)| other.clone())
    }

    /// Checks that a latency limit is a bucket bound. Latencies are stored in a histogram, so only
    /// limits at its bounds can be evaluated exactly.
    pub(crate) fn latency_limit(&mut self, field: &str, limit_ms: u64, bounds_ms: &[u64]) {
        if !bounds_ms.contains(&limit_ms) {
            let bounds: Vec<_> = bounds_ms.iter().map(u64::to_string).collect();
            let rule = format!("one of {} milliseconds", bounds.join(", "));
            self.add_error(field, &json!(limit_ms), rule);
        }
    }
}
