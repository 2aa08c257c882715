//! `describe`: shows the details of a resource.

use std::fmt::Write;

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_operator::{AcceptedRecord, referrers};
use serde_json::json;

use crate::context::Context;
use crate::conversion::{display, resource_argument};
use crate::diff::changed_fields;
use crate::error::Error;
use crate::get::{self, Resource};
use crate::output::CommandOutput;
use crate::snapshot::Snapshot;
use crate::time;

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let key = resource_argument(arguments);
    let resource = get::read(context, &key).await?;
    let snapshot = Snapshot::load(&context.platform).await?;
    let accepted = snapshot.accepted.get(&key);
    let users = referrers(key.kind, &key.name, &snapshot.table);
    let mut json = resource.to_json();
    json["accepted"] = json!(accepted);
    json["used_by"] = json!(users);
    let text = render(&key, &resource, accepted, &users);
    Ok(CommandOutput::new(text, json))
}

fn render(
    key: &ObjectKey,
    resource: &Resource,
    accepted: Option<&AcceptedRecord>,
    users: &[String],
) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: &str| {
        writeln!(text, "{name:<12}{value}").expect("writing to a string succeeds");
    };
    line("Resource", &display(key));
    line("Generation", &resource.generation.to_string());
    let at = time::format_utc(resource.record.changed_at_ms);
    line(
        "Changed",
        &format!("{at} by {}", resource.record.changed_by),
    );
    line("State", resource.state());
    let reason = resource.status.as_ref().map(|status| &*status.reason);
    if let Some(reason) = reason.filter(|reason| !reason.is_empty()) {
        line("Reason", reason);
    }
    line("In force", &resource.in_force());
    match accepted {
        Some(accepted) if accepted.generation != resource.generation => {
            line(
                "Accepted",
                &format!("generation {} stays", accepted.generation),
            );
            let before = accepted.spec.clone().unwrap_or_default();
            for field in changed_fields(&before, &resource.record.spec) {
                line("", &field);
            }
        }
        _ => {}
    }
    if !users.is_empty() {
        line("Used by", &users.join(", "));
    }
    line("Spec", "");
    format!("{text}{:#}\n", resource.record.spec)
}
