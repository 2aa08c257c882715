//! Checks resources before they are put in force.
//!
//! The command-line tool checks before it writes and the acceptor checks again before it accepts,
//! both by [`validate`], so that what one lets through the other does too, as far as they see the
//! same table.

use mimosabay_core::config::ConfigTable;
use mimosabay_core::name::Name;
use mimosabay_core::resource::{Kind, RouteTarget, Spec};
use serde_json::{Value, json};

use crate::check::Check;
use crate::field_error::{FieldError, resource_name};
use crate::spec_parser;

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
    let spec = spec_parser::parse(kind, &resource, value).map_err(|error| vec![error])?;
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
        Spec::Site(spec) => check.site(name, spec),
        Spec::Objective(spec) => check.objective(spec),
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
    let errors: Vec<_> = referrers(kind, name, table)
        .into_iter()
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

/// Resources that refer to another one, as `kind/name`.
pub fn referrers(kind: Kind, name: &str, table: &ConfigTable) -> Vec<String> {
    let mut referrers = Vec::new();
    for user_kind in Kind::ALL {
        let of_kind = table.of_kind(user_kind);
        let referring = of_kind.filter(|(_, spec)| refers_to(spec, kind, name));
        referrers.extend(referring.map(|(user, _)| resource_name(user_kind, user)));
    }
    referrers.sort();
    referrers
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
        (Kind::Organisation, Spec::Objective(objective)) => is_it(&objective.organisation),
        (Kind::Route, Spec::Objective(objective)) => is_it(&objective.route),
        _ => false,
    }
}
