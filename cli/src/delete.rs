//! `delete`: deletes a resource that nothing refers to.

use clap::ArgMatches;
use mimosabay_operator::validate_deletion;
use serde_json::json;

use crate::context::Context;
use crate::conversion::{display, resource_argument};
use crate::error::{Category, Error};
use crate::output::CommandOutput;
use crate::snapshot::Snapshot;
use crate::wait::{self, Change};
use crate::write;

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let key = resource_argument(arguments);
    let snapshot = Snapshot::load(&context.platform).await?;
    let Some(base) = snapshot.specs.get(&key) else {
        return Err(Error::new(
            Category::NotFound,
            format!("no {}", display(&key)),
        ));
    };
    let requested = arguments.get_one::<u64>("generation");
    if requested.is_some_and(|requested| *requested != base.version) {
        return Err(write::conflict(&key, None, Some(base), false).with_note("nothing was deleted"));
    }
    validate_deletion(key.kind, &key.name, &snapshot.table)
        .map_err(|errors| Error::rejected(&errors).with_note("nothing was deleted"))?;
    let generation = write::delete(context, &key, base).await?;
    let changes = generation.map(|generation| Change {
        key: key.clone(),
        generation,
    });
    let waited = wait::if_requested(context, arguments, changes.into_iter().collect()).await?;
    let text = match generation {
        Some(generation) => format!("{} deleted (generation {generation})\n", display(&key)),
        None => format!(
            "{} no longer exists; the store's response was lost\n",
            display(&key)
        ),
    };
    let json = json!({
        "kind": key.kind,
        "name": key.name,
        "result": "deleted",
        "generation": generation,
        "in_force": waited && generation.is_some(),
    });
    Ok(CommandOutput::new(text, json))
}
