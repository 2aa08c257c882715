//! `watch`: prints changes as they occur.

use std::io::{self, Write};
use std::time::Duration;

use clap::ArgMatches;
use mimosabay_core::resource::Kind;
use mimosabay_operator::store::{self, STATUS_KIND};
use mimosabay_operator::{SpecRecord, StatusRecord};
use mimosabay_platform::{Category as PlatformCategory, Object};
use serde_json::json;
use tokio::time::sleep;

use crate::context::Context;
use crate::error::Error;
use crate::output::{CommandOutput, OutputFormat};
use crate::time;

const WATCH_WAIT_MS: u64 = 10_000;
/// Time before a failed watch is retried.
const RETRY_INTERVAL_MS: u64 = 1_000;

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let output = OutputFormat::from_matches(arguments);
    let only = arguments.get_one::<Kind>("kind").copied();
    let mut left = arguments.get_one::<u64>("count").copied();
    let kinds = watched_kinds(only);
    let kinds: Vec<_> = kinds.iter().map(String::as_str).collect();
    let mut revision = context.platform.list(kinds[0]).await?.revision;
    loop {
        let batch = match context
            .platform
            .watch(&kinds, revision, WATCH_WAIT_MS)
            .await
        {
            Ok(batch) => batch,
            Err(error) if error.classify() == PlatformCategory::Gone => {
                eprintln!("mimosabay: some changes were missed; run `get` for the current state");
                revision = context.platform.list(kinds[0]).await?.revision;
                continue;
            }
            Err(error) => {
                eprintln!("mimosabay: platform: {error}; retrying");
                sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                continue;
            }
        };
        revision = batch.revision;
        for object in batch.events.iter().filter(|object| is_of(object, only)) {
            if print(object, output).is_err() || is_last(&mut left) {
                return Ok(CommandOutput::already_printed());
            }
        }
    }
}

fn watched_kinds(only: Option<Kind>) -> Vec<String> {
    let kinds = Kind::ALL
        .into_iter()
        .filter(|kind| only.is_none_or(|only| only == *kind));
    let mut kinds: Vec<_> = kinds.map(store::spec_kind).collect();
    kinds.push(STATUS_KIND.into());
    kinds
}

/// Returns whether an object belongs to the requested kind. The watch also returns the status
/// objects of other kinds.
fn is_of(object: &Object, only: Option<Kind>) -> bool {
    let kind = match store::parse_qualified_name(&object.name) {
        Some(key) if &*object.kind == STATUS_KIND => Some(key.kind),
        _ => store::resource_kind(&object.kind),
    };
    only.is_none_or(|only| kind == Some(only))
}

fn is_last(left: &mut Option<u64>) -> bool {
    if let Some(left) = left {
        *left -= 1;
    }
    *left == Some(0)
}

fn print(object: &Object, output: OutputFormat) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    match output {
        OutputFormat::Json => writeln!(stdout, "{}", json!(object))?,
        OutputFormat::Table | OutputFormat::Html => writeln!(stdout, "{}", describe(object))?,
    }
    stdout.flush()
}

fn describe(object: &Object) -> String {
    let now = time::format_utc(time::unix_ms());
    let (name, version) = (&object.name, object.version);
    if &*object.kind == STATUS_KIND {
        let resource = name.replacen('.', "/", 1);
        return format!("{now} {resource} {}", describe_status(object));
    }
    let kind = store::resource_kind(&object.kind).map_or("object", Kind::as_str);
    if object.deleted {
        return format!("{now} {kind}/{name} deleted (generation {version})");
    }
    let record: Option<SpecRecord> = store::read_record(object, "specification").ok();
    let by = record.map_or_else(|| "unknown".into(), |record| record.changed_by);
    format!("{now} {kind}/{name} written by {by} (generation {version})")
}

fn describe_status(object: &Object) -> String {
    let Ok(status) = store::read_record::<StatusRecord>(object, STATUS_KIND) else {
        return "has no valid status".into();
    };
    let generation = status.observed_generation;
    if !status.accepted {
        return format!("generation {generation} rejected: {}", status.reason);
    }
    let (in_force, instances) = (status.in_force, status.instances);
    format!("generation {generation} in force on {in_force} of {instances}")
}
