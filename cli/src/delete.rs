//! `delete`: deletes a resource that nothing refers to.

use clap::ArgMatches;
use mimosabay_operator::validate_deletion;
use serde_json::json;

use crate::answer::Answer;
use crate::context::Context;
use crate::conversion::{display, resource};
use crate::error::{Category, Error};
use crate::snapshot::Snapshot;
use crate::wait::{self, Change};
use crate::write;

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Answer, Error> {
    let key = resource(arguments);
    let snapshot = Snapshot::load(&context.platform).await?;
    let Some(base) = snapshot.specs.get(&key) else {
        return Err(Error::new(
            Category::NotFound,
            format!("no {}", display(&key)),
        ));
    };
    let asked = arguments.get_one::<u64>("generation");
    if asked.is_some_and(|asked| *asked != base.version) {
        return Err(write::conflict(&key, None, Some(base), false).note("nothing was deleted"));
    }
    validate_deletion(key.kind, &key.name, &snapshot.table)
        .map_err(|errors| Error::rejected(&errors).note("nothing was deleted"))?;
    let generation = write::delete(context, &key, base).await?;
    let changes = generation.map(|generation| Change {
        key: key.clone(),
        generation,
    });
    let waited = wait::if_asked(context, arguments, changes.into_iter().collect()).await?;
    let text = match generation {
        Some(generation) => format!("{} deleted (generation {generation})\n", display(&key)),
        None => format!("{} is gone; the answer was lost\n", display(&key)),
    };
    let json = json!({
        "kind": key.kind,
        "name": key.name,
        "result": "deleted",
        "generation": generation,
        "in_force": waited && generation.is_some(),
    });
    Ok(Answer::new(text, json))
}
