//! Checks resources before they are put in force.
//!
//! The command-line tool checks before it writes and the acceptor checks again before it accepts,
//! both by [`validate`], so that what one lets through the other does too, as far as they see the
//! same table.

use std::net::SocketAddr;

use mimosabay_core::config::ConfigTable;
use mimosabay_core::name::Name;
use mimosabay_core::resource::{
    Adapter, BackendServer, Key, Kind, Organisation, Route, RouteTarget, ServerKind, Site, Spec,
};
use serde_json::{Value, json};

use crate::date;
use crate::field_error::{FieldError, resource_name};
use crate::form;
use crate::name_check::{self, NAME_RULE};

const MAX_RATE_TOKENS: u64 = 1_000_000_000_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_SLOTS: u64 = 100_000;
const SHA256_HEX_CHARS: usize = 64;
const MAX_VERSIONS: usize = 1_000;

/// Checks a resource against the accepted ones in `table`.
///
/// # Errors
///
/// The first error of form, or else all errors of content.
pub fn validate(
    kind: Kind,
    name: &str,
    value: &Value,
    table: &ConfigTable,
) -> Result<Spec, Vec<FieldError>> {
    let resource = resource_name(kind, name);
    let spec = form::parse(kind, &resource, value).map_err(|error| vec![error])?;
    let mut check = Check {
        resource,
        table,
        errors: Vec::new(),
    };
    check.name("name", name);
    match &spec {
        Spec::Organisation(spec) => check.organisation(spec),
        Spec::Key(spec) => check.key(name, spec),
        Spec::Route(spec) => check.route(name, spec),
        Spec::Adapter(spec) => check.adapter(name, spec),
        Spec::BackendServer(spec) => check.server(name, spec),
        Spec::Site(spec) => check.site(spec),
    }
    if check.errors.is_empty() {
        Ok(spec)
    } else {
        Err(check.errors)
    }
}

/// Checks that a resource may be deleted.
///
/// # Errors
///
/// One error for each resource that still refers to it. A key is never deleted, because a key of
/// the same name could then come back; it is withdrawn instead.
pub fn validate_deletion(
    kind: Kind,
    name: &str,
    table: &ConfigTable,
) -> Result<(), Vec<FieldError>> {
    let resource = resource_name(kind, name);
    let refuse = |value: Value, allowed: &str| FieldError::new(&resource, "name", &value, allowed);
    if kind == Kind::Key {
        return Err(vec![refuse(json!(name), "withdrawing the key instead")]);
    }
    let errors: Vec<_> = table
        .iter()
        .filter(|(_, spec)| refers_to(spec, kind, name))
        .map(|(key, _)| resource_name(key.kind, &key.name))
        .map(|user| {
            refuse(
                json!(format!("used by {user}")),
                "deleting what uses it first",
            )
        })
        .collect();
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn refers_to(spec: &Spec, kind: Kind, name: &str) -> bool {
    let is_it = |other: &Name| &**other == name;
    match (kind, spec) {
        (Kind::Organisation, Spec::Key(key)) => !key.withdrawn && is_it(&key.organisation),
        (Kind::Organisation, Spec::Route(route)) => route.organisations.iter().any(is_it),
        (Kind::Organisation, Spec::Adapter(adapter)) => adapter.organisations.iter().any(is_it),
        (Kind::Adapter, Spec::Route(route)) => {
            matches!(&route.target, RouteTarget::Model { adapter, .. } if is_it(adapter))
        }
        _ => false,
    }
}

/// Collects the errors of one resource.
struct Check<'a> {
    resource: String,
    table: &'a ConfigTable,
    errors: Vec<FieldError>,
}

impl Check<'_> {
    fn organisation(&mut self, spec: &Organisation) {
        let rates = 1..=MAX_RATE_TOKENS;
        self.range("rate_tokens_per_s", spec.rate_tokens_per_s, rates.clone());
        self.range("burst_tokens", spec.burst_tokens, rates);
        self.range("weight", spec.weight.into(), 1..=1_000);
    }

    fn key(&mut self, name: &str, spec: &Key) {
        if !spec.withdrawn {
            self.reference("organisation", Kind::Organisation, &spec.organisation);
        }
        self.sha256(&spec.sha256);
        let table = self.table;
        if let Some(Spec::Key(old)) = table.get(Kind::Key, name) {
            self.key_change(old, spec);
        }
        let double = table.iter().find(|(key, other)| {
            &*key.name != name && matches!(other, Spec::Key(other) if other.sha256 == spec.sha256)
        });
        if let Some((key, _)) = double {
            let value = json!(format!("the hash of key/{}", key.name));
            self.wrong("sha256", &value, "the hash of a key that has no other name");
        }
    }

    fn key_change(&mut self, old: &Key, spec: &Key) {
        if old.withdrawn && !spec.withdrawn {
            let rule = "true, because a withdrawn key never comes back";
            self.wrong("withdrawn", &json!(false), rule);
        }
        if old.sha256 != spec.sha256 {
            let rule = "the hash it was created with; create another key instead";
            self.wrong("sha256", &json!("another hash"), rule);
        }
        if old.organisation != spec.organisation {
            let rule = format!("`{}`, which it was created for", old.organisation);
            self.wrong("organisation", &json!(spec.organisation), rule);
        }
    }

    fn route(&mut self, name: &str, spec: &Route) {
        self.unshared_name(Kind::Adapter, name);
        match &spec.target {
            RouteTarget::Model { adapter, version } => {
                self.model_target(adapter, version.as_ref());
            }
            RouteTarget::Plain { pool, path_prefix } => {
                self.name("target.plain.pool", pool);
                self.path_prefix(name, path_prefix);
            }
        }
        if spec.open && !spec.organisations.is_empty() {
            let rule = "an empty list on a route that is open to all";
            self.wrong("organisations", &json!(spec.organisations), rule);
        }
        self.organisations(&spec.organisations);
        self.range("timeout_ms", spec.timeout_ms, 1..=MAX_TIMEOUT_MS);
    }

    fn model_target(&mut self, adapter: &Name, version: Option<&Name>) {
        self.reference("target.model.adapter", Kind::Adapter, adapter);
        let Some(Spec::Adapter(found)) = self.table.get(Kind::Adapter, adapter) else {
            return;
        };
        if found.version(version.map(|name| &**name)).is_none() {
            self.wrong("target.model.version", &json!(version), versions(found));
        }
    }

    fn path_prefix(&mut self, name: &str, prefix: &Name) {
        let clean = prefix.starts_with('/')
            && !prefix.contains("//")
            && !prefix.contains(['?', '#', ' '])
            && !prefix.split('/').any(|part| part == "." || part == "..");
        let reserved = ["/v1/", "/healthz", "/readyz"];
        let taken = |path: &&str| prefix.starts_with(path) || path.starts_with(&**prefix);
        if !clean || reserved.iter().any(taken) {
            let rule = "a path that begins with `/`, without `..`, `?` and `#`, \
                        apart from /v1/, /healthz and /readyz";
            self.wrong("target.plain.path_prefix", &json!(prefix), rule);
        }
        let double = self.table.iter().find(|(key, spec)| {
            &*key.name != name
                && matches!(spec, Spec::Route(Route {
                    target: RouteTarget::Plain { path_prefix, .. }, ..
                }) if path_prefix == prefix)
        });
        if let Some((key, _)) = double {
            let rule = format!("a prefix that route/{} does not have", key.name);
            self.wrong("target.plain.path_prefix", &json!(prefix), rule);
        }
    }

    /// Callers name an adapter or a route in the same field, so that no name may be both.
    fn unshared_name(&mut self, other: Kind, name: &str) {
        if self.table.get(other, name).is_some() {
            let rule = format!("a name that no {} has", other.as_str());
            self.wrong("name", &json!(name), rule);
        }
    }

    fn adapter(&mut self, name: &str, spec: &Adapter) {
        self.unshared_name(Kind::Route, name);
        self.name("base_model", &spec.base_model);
        self.name("pool", &spec.pool);
        if !(1..=MAX_VERSIONS).contains(&spec.versions.len()) {
            let rule = format!("1 to {MAX_VERSIONS} versions");
            self.wrong("versions", &json!(spec.versions.len()), rule);
        }
        for (index, version) in spec.versions.iter().enumerate() {
            self.name(format!("versions[{index}].version"), &version.version);
            if version.source.is_empty() {
                let field = format!("versions[{index}].source");
                self.wrong(
                    field,
                    &json!(version.source),
                    "where engines find the weights",
                );
            }
            if spec.versions[..index]
                .iter()
                .any(|other| other.version == version.version)
            {
                let field = format!("versions[{index}].version");
                self.wrong(
                    field,
                    &json!(version.version),
                    "a name that no other version has",
                );
            }
        }
        if spec.version(None).is_none() {
            self.wrong(
                "current_version",
                &json!(spec.current_version),
                versions(spec),
            );
        }
        self.organisations(&spec.organisations);
        if let Some(Spec::Adapter(old)) = self.table.get(Kind::Adapter, name) {
            self.adapter_change(name, old, spec);
        }
    }

    fn adapter_change(&mut self, name: &str, old: &Adapter, spec: &Adapter) {
        for (index, version) in spec.versions.iter().enumerate() {
            let Some(before) = old.version(Some(&version.version)) else {
                continue;
            };
            if before.source != version.source {
                let rule = format!("`{}`; add another version instead", before.source);
                let field = format!("versions[{index}].source");
                self.wrong(field, &json!(version.source), rule);
            }
        }
        if old.base_model != spec.base_model {
            let rule = format!("`{}`; create another adapter instead", old.base_model);
            self.wrong("base_model", &json!(spec.base_model), rule);
        }
        for (route, pinned) in self.pinned_versions(name) {
            if spec.version(Some(&pinned)).is_none() {
                let rule = format!("a list with `{pinned}`, which route/{route} leads to");
                self.wrong("versions", &json!(versions(spec)), rule);
            }
        }
    }

    /// Routes to an adapter that name a version of it.
    fn pinned_versions(&self, adapter_name: &str) -> Vec<(Name, Name)> {
        let pinned = |spec: &Spec| match spec {
            Spec::Route(Route {
                target: RouteTarget::Model { adapter, version },
                ..
            }) if &**adapter == adapter_name => version.clone(),
            _ => None,
        };
        self.table
            .iter()
            .filter_map(|(key, spec)| Some((key.name.clone(), pinned(spec)?)))
            .collect()
    }

    fn server(&mut self, name: &str, spec: &BackendServer) {
        self.address("address", &spec.address);
        self.name("zone", &spec.zone);
        self.name("pool", &spec.pool);
        self.range("batch", spec.batch.into(), 1..=MAX_SLOTS);
        match spec.kind {
            ServerKind::Engine => {
                self.name("base_model", &spec.base_model);
                self.range("slots", spec.slots.into(), 1..=MAX_SLOTS);
            }
            ServerKind::Plain => {
                if !spec.base_model.is_empty() {
                    let rule = "no base model for a plain service";
                    self.wrong("base_model", &json!(spec.base_model), rule);
                }
            }
        }
        let double = self.table.iter().find(|(key, other)| {
            &*key.name != name
                && matches!(other, Spec::BackendServer(other) if other.address == spec.address)
        });
        if let Some((key, _)) = double {
            let rule = format!("an address that backend_server/{} does not have", key.name);
            self.wrong("address", &json!(spec.address), rule);
        }
    }

    fn site(&mut self, spec: &Site) {
        self.name("base_model", &spec.base_model);
        if let Some(text) = &spec.sunset_date
            && date::parse_day(text).is_none()
        {
            self.wrong("sunset_date", &json!(text), "a date as YYYY-MM-DD");
        }
        self.range("loads_per_s", spec.loads_per_s, 1..=1_000_000);
        self.range("loads_in_flight", spec.loads_in_flight, 1..=1_000_000);
        self.weight("policy.load_stall", spec.policy.load_stall);
        self.weight("policy.worst_organisation", spec.policy.worst_organisation);
        self.weight(
            "policy.refusal_within_rate",
            spec.policy.refusal_within_rate,
        );
    }

    fn weight(&mut self, field: &str, weight: f64) {
        if !(0.0..=1_000.0).contains(&weight) {
            self.wrong(field, &json!(weight), "a number from 0 to 1000");
        }
    }

    fn organisations(&mut self, names: &[Name]) {
        for (index, name) in names.iter().enumerate() {
            self.reference(format!("organisations[{index}]"), Kind::Organisation, name);
        }
    }

    fn sha256(&mut self, text: &Name) {
        let is_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != SHA256_HEX_CHARS || !text.bytes().all(is_hex) {
            // The value is left out, because it may be the key itself by mistake.
            let rule = "64 lower-case hexadecimal digits, as `key create` writes them";
            self.wrong("sha256", &json!("not a hash"), rule);
        }
    }

    fn address(&mut self, field: &str, text: &Name) {
        let is_address = |address: SocketAddr| address.port() != 0;
        if !text.parse().is_ok_and(is_address) {
            let rule = "an IP number and a port, such as 127.0.0.1:8000";
            self.wrong(field, &json!(text), rule);
        }
    }

    fn reference(&mut self, field: impl Into<String>, kind: Kind, name: &Name) {
        if self.table.get(kind, name).is_none() {
            let rule = format!("the name of an existing {}", kind.as_str());
            self.wrong(field, &json!(name), rule);
        }
    }

    fn name(&mut self, field: impl Into<String>, name: &str) {
        if !name_check::is_name(name) {
            self.wrong(field, &json!(name), NAME_RULE);
        }
    }

    fn range(&mut self, field: &str, value: u64, range: std::ops::RangeInclusive<u64>) {
        if !range.contains(&value) {
            let rule = format!("a whole number from {} to {}", range.start(), range.end());
            self.wrong(field, &json!(value), rule);
        }
    }

    fn wrong(&mut self, field: impl Into<String>, value: &Value, allowed: impl Into<String>) {
        let error = FieldError::new(&self.resource, field, value, allowed);
        self.errors.push(error);
    }
}

fn versions(adapter: &Adapter) -> String {
    let names: Vec<_> = adapter.versions.iter().map(|spec| &*spec.version).collect();
    format!("one of {}", names.join(", "))
}
