//! `adapter promote`: makes a version the current one.

use clap::ArgMatches;
use mimosabay_core::resource::{Kind, Spec};
use serde_json::json;

use crate::context::Context;
use crate::conversion::{display, object_key, text_argument};
use crate::edit::edit;
use crate::error::Error;
use crate::output::CommandOutput;
use crate::wait::{self, Change};

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let (_, arguments) = arguments
        .subcommand()
        .expect("the command requires a subcommand");
    let key = object_key(Kind::Adapter, text_argument(arguments, "name"));
    let version = text_argument(arguments, "version");
    let edited = edit(context, &key, |spec| {
        if let Spec::Adapter(adapter) = spec {
            adapter.current_version = version.into();
        }
    })
    .await?;
    let change = Change {
        key: key.clone(),
        generation: edited.generation,
    };
    let waited = wait::if_requested(context, arguments, vec![change]).await?;
    let result = if edited.was_changed {
        "now serves"
    } else {
        "serves already"
    };
    let (resource, generation) = (display(&key), edited.generation);
    let suffix = if waited { ", in force everywhere" } else { "" };
    let text = format!("{resource} {result} {version} (generation {generation}{suffix})\n");
    let json = json!({
        "name": key.name,
        "current_version": version,
        "was_changed": edited.was_changed,
        "generation": generation,
        "in_force": waited,
    });
    Ok(CommandOutput::new(text, json))
}
