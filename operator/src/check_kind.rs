//! Checks of the fields of each kind of resource.

use mimosabay_core::date::Date;
use mimosabay_core::name::Name;
use mimosabay_core::resource::{
    Adapter, BackendServer, Indicator, Key, Kind, Objective, Organisation, Route, RouteTarget,
    ServerKind, Site, Spec,
};
use serde_json::json;

use crate::check::Check;
use crate::slo::{BETWEEN_TOKENS_BOUNDS_MS, FIRST_TOKEN_BOUNDS_MS};

const MAX_RATE_TOKENS: u64 = 1_000_000_000_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_SLOTS: u64 = 100_000;
const MAX_VERSIONS: usize = 1_000;
/// First path segments of the endpoints that instances serve themselves.
const RESERVED_PATHS: [&str; 3] = ["v1", "healthz", "readyz"];

impl Check<'_> {
    pub(crate) fn organisation(&mut self, spec: &Organisation) {
        let rates = 1..=MAX_RATE_TOKENS;
        self.range("rate_tokens_per_s", spec.rate_tokens_per_s, rates.clone());
        self.range("burst_tokens", spec.burst_tokens, rates);
        self.range("weight", spec.weight.into(), 1..=1_000);
    }

    pub(crate) fn key(&mut self, name: &str, spec: &Key) {
        if !spec.withdrawn {
            self.reference("organisation", Kind::Organisation, &spec.organisation);
        }
        self.sha256(&spec.sha256);
        let table = self.table;
        if let Some(Spec::Key(old)) = table.get(Kind::Key, name) {
            self.key_change(old, spec);
        }
        let duplicate = table.key_by_sha256(&spec.sha256);
        if let Some((other, _)) = duplicate.filter(|(other, _)| &***other != name) {
            let value = json!(format!("the hash of key/{other}"));
            self.add_error("sha256", &value, "a hash that no other key has");
        }
    }

    fn key_change(&mut self, old: &Key, spec: &Key) {
        if old.withdrawn && !spec.withdrawn {
            let rule = "true, because a withdrawn key cannot be reinstated";
            self.add_error("withdrawn", &json!(false), rule);
        }
        if old.sha256 != spec.sha256 {
            let rule = "the hash it was created with; create another key instead";
            self.add_error("sha256", &json!("another hash"), rule);
        }
        if old.organisation != spec.organisation {
            let rule = format!("`{}`, which it was created for", old.organisation);
            self.add_error("organisation", &json!(spec.organisation), rule);
        }
    }

    pub(crate) fn route(&mut self, name: &str, spec: &Route) {
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
            self.add_error("organisations", &json!(spec.organisations), rule);
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
            self.add_error("target.model.version", &json!(version), versions(found));
        }
    }

    fn path_prefix(&mut self, name: &str, prefix: &Name) {
        if !is_path_prefix(prefix) {
            let rule = "a path that begins with `/` and does not end with it, without empty \
                        parts, `..`, `?`, `#` and `%`, apart from /v1, /healthz and /readyz";
            self.add_error("target.plain.path_prefix", &json!(prefix), rule);
        }
        let same_prefix = |spec: &Spec| {
            matches!(spec, Spec::Route(Route {
                target: RouteTarget::Plain { path_prefix, .. }, ..
            }) if path_prefix == prefix)
        };
        if let Some(other) = self.find_other(Kind::Route, name, same_prefix) {
            let rule = format!("a prefix that route/{other} does not have");
            self.add_error("target.plain.path_prefix", &json!(prefix), rule);
        }
    }

    /// Checks that no resource of kind `other` has this name. Callers name an adapter or a route in
    /// the same field, so the two kinds share one namespace.
    fn unshared_name(&mut self, other: Kind, name: &str) {
        if self.table.get(other, name).is_some() {
            let rule = format!("a name that no {} has", other.as_str());
            self.add_error("name", &json!(name), rule);
        }
    }

    pub(crate) fn adapter(&mut self, name: &str, spec: &Adapter) {
        self.unshared_name(Kind::Route, name);
        self.name("base_model", &spec.base_model);
        self.name("pool", &spec.pool);
        if !(1..=MAX_VERSIONS).contains(&spec.versions.len()) {
            let rule = format!("1 to {MAX_VERSIONS} versions");
            self.add_error("versions", &json!(spec.versions.len()), rule);
        }
        for (index, version) in spec.versions.iter().enumerate() {
            self.name(format!("versions[{index}].version"), &version.version);
            if version.source.is_empty() {
                let field = format!("versions[{index}].source");
                self.add_error(
                    field,
                    &json!(version.source),
                    "the location from which engines load the weights",
                );
            }
            if spec.versions[..index]
                .iter()
                .any(|other| other.version == version.version)
            {
                let field = format!("versions[{index}].version");
                self.add_error(
                    field,
                    &json!(version.version),
                    "a name that no other version has",
                );
            }
        }
        if spec.version(None).is_none() {
            self.add_error(
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
                self.add_error(field, &json!(version.source), rule);
            }
        }
        if old.base_model != spec.base_model {
            let rule = format!("`{}`; create another adapter instead", old.base_model);
            self.add_error("base_model", &json!(spec.base_model), rule);
        }
        for (route, pinned) in self.pinned_versions(name) {
            if spec.version(Some(&pinned)).is_none() {
                let rule = format!("a list with `{pinned}`, which route/{route} refers to");
                self.add_error("versions", &json!(versions(spec)), rule);
            }
        }
    }

    /// Returns the routes that pin a version of the adapter, with that version.
    fn pinned_versions(&self, adapter_name: &str) -> Vec<(Name, Name)> {
        let pinned = |spec: &Spec| match spec {
            Spec::Route(Route {
                target: RouteTarget::Model { adapter, version },
                ..
            }) if &**adapter == adapter_name => version.clone(),
            _ => None,
        };
        self.table
            .of_kind(Kind::Route)
            .filter_map(|(route, spec)| Some((route.clone(), pinned(spec)?)))
            .collect()
    }

    pub(crate) fn server(&mut self, name: &str, spec: &BackendServer) {
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
                    self.add_error("base_model", &json!(spec.base_model), rule);
                }
            }
        }
        let same_address = |other: &Spec| matches!(other, Spec::BackendServer(other) if other.address == spec.address);
        if let Some(other) = self.find_other(Kind::BackendServer, name, same_address) {
            let rule = format!("an address that backend_server/{other} does not have");
            self.add_error("address", &json!(spec.address), rule);
        }
    }

    pub(crate) fn site(&mut self, name: &str, spec: &Site) {
        if let Some(other) = self.find_other(Kind::Site, name, |_| true) {
            let rule = format!("`{other}`, because only one site may exist");
            self.add_error("name", &json!(name), rule);
        }
        self.name("base_model", &spec.base_model);
        if let Some(text) = &spec.sunset_date
            && Date::parse(text).is_none()
        {
            self.add_error("sunset_date", &json!(text), "a date as YYYY-MM-DD");
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

    pub(crate) fn objective(&mut self, spec: &Objective) {
        if spec.target.is_nan() || spec.target <= 0.0 || spec.target >= 1.0 {
            self.add_error(
                "target",
                &json!(spec.target),
                "a number above 0 and below 1",
            );
        }
        match &spec.indicator {
            Indicator::Availability | Indicator::NotRefused => {}
            Indicator::FirstToken { limit_ms } => {
                let field = "indicator.first_token.limit_ms";
                self.latency_limit(field, *limit_ms, &FIRST_TOKEN_BOUNDS_MS);
            }
            Indicator::BetweenTokens { limit_ms } => {
                let field = "indicator.between_tokens.limit_ms";
                self.latency_limit(field, *limit_ms, &BETWEEN_TOKENS_BOUNDS_MS);
            }
        }
        if !spec.organisation.is_empty() {
            self.reference("organisation", Kind::Organisation, &spec.organisation);
        }
        if !spec.route.is_empty() {
            self.reference("route", Kind::Route, &spec.route);
        }
    }
}

fn is_path_prefix(text: &str) -> bool {
    let mut parts = text.split('/');
    let is_absolute = parts.next() == Some("");
    let is_part =
        |part: &str| !matches!(part, "" | "." | "..") && !part.contains(['?', '#', ' ', '%', '\\']);
    let first = text.split('/').nth(1).unwrap_or_default();
    is_absolute && parts.all(is_part) && !RESERVED_PATHS.contains(&first)
}

fn versions(adapter: &Adapter) -> String {
    let names: Vec<_> = adapter.versions.iter().map(|spec| &*spec.version).collect();
    format!("one of {}", names.join(", "))
}
