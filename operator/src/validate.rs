//! Validation of resources before they are put in force.
//!
//! The command-line tool calls [`validate`] before it writes a resource, and the acceptor calls it
//! before it accepts one. Both decide alike as long as they see the same table.

use mimosabay_core::config::ConfigTable;
use mimosabay_core::name::Name;
use mimosabay_core::resource::{Kind, RouteTarget, Spec};
use serde_json::{Value, json};

use crate::check::Check;
use crate::field_error::{FieldError, resource_name};
use crate::spec_parser;

/// Validates a resource against the accepted resources in `table`.
///
/// # Errors
///
/// Returns the first type error, or else all errors in the values.
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
/// Returns one error for each resource that still refers to it. A key is never deleted but
/// withdrawn, because after a deletion a withdrawn key could be created again.
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
                "deleting the resources that use it first",
            )
        })
        .collect();
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

/// Returns the resources that refer to a resource, as sorted `kind/name` strings.
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
    let is_target = |other: &Name| &**other == name;
    match (kind, spec) {
        (Kind::Organisation, Spec::Key(key)) => !key.withdrawn && is_target(&key.organisation),
        (Kind::Organisation, Spec::Route(route)) => route.organisations.iter().any(is_target),
        (Kind::Organisation, Spec::Adapter(adapter)) => adapter.organisations.iter().any(is_target),
        (Kind::Adapter, Spec::Route(route)) => {
            matches!(&route.target, RouteTarget::Model { adapter, .. } if is_target(adapter))
        }
        (Kind::Organisation, Spec::Objective(objective)) => is_target(&objective.organisation),
        (Kind::Route, Spec::Objective(objective)) => is_target(&objective.route),
        _ => false,
    }
}
