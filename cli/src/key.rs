//! `key`: creates and withdraws keys.

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_core::resource::{Key, Kind, Spec};
use mimosabay_operator::key::{self, KEY_BYTES};
use mimosabay_operator::store::spec_value;
use mimosabay_operator::validate;
use serde_json::json;

use crate::context::Context;
use crate::conversion::{display, object_key, text_argument};
use crate::edit::{Edited, edit};
use crate::error::{Category, Error};
use crate::output::CommandOutput;
use crate::snapshot::Snapshot;
use crate::wait::{self, Change};
use crate::write;

/// Maximum number of attempts of a withdrawal that conflicts with other changes of the key.
const MAX_WITHDRAW_ATTEMPTS: u32 = 5;

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let (name, arguments) = arguments
        .subcommand()
        .expect("the command requires a subcommand");
    match name {
        "create" => create(context, arguments).await,
        "withdraw" => withdraw(context, arguments).await,
        name => unreachable!("no such command: {name}"),
    }
}

async fn create(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let key = object_key(Kind::Key, text_argument(arguments, "name"));
    let organisation = text_argument(arguments, "organisation");
    let secret = key::encode(&rand::random::<[u8; KEY_BYTES]>());
    let spec = spec_value(&Spec::Key(Key {
        organisation: organisation.into(),
        sha256: key::hash(secret.reveal()),
        withdrawn: false,
    }));
    let snapshot = Snapshot::load(&context.platform).await?;
    if let Some(present) = snapshot.specs.get(&key) {
        return Err(write::conflict(&key, None, Some(present), false));
    }
    validate(Kind::Key, &key.name, &spec, &snapshot.table)
        .map_err(|errors| Error::rejected(&errors).with_note("no key was created"))?;
    let written = write::put(context, &key, spec, None).await;
    let generation = written.map_err(|error| note_lost_key(error, &key))?.version;
    let change = Change {
        key: key.clone(),
        generation,
    };
    let waited = wait::if_requested(context, arguments, vec![change]).await;
    // Prints the key even if the wait failed: it is stored, and it cannot be shown again later.
    let (waited, note) = match waited {
        Ok(waited) => (waited, String::new()),
        Err(error) => (false, format!("not in force everywhere yet: {error}\n")),
    };
    let resource = display(&key);
    let text = format!(
        "{resource} created for {organisation} (generation {generation}); keep it, it cannot be \
         shown again:\n{}\n{note}",
        secret.reveal()
    );
    let json = json!({
        "name": key.name,
        "organisation": organisation,
        "key": secret.reveal(),
        "generation": generation,
        "in_force": waited,
    });
    Ok(CommandOutput::new(text, json))
}

fn note_lost_key(error: Error, key: &ObjectKey) -> Error {
    if error.classify() != Category::Unavailable {
        return error;
    }
    let name = &key.name;
    error.with_note(format!(
        "the key was not printed and cannot be used; if `get key {name}` finds it, withdraw it and \
         create another"
    ))
}

async fn withdraw(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let key = object_key(Kind::Key, text_argument(arguments, "name"));
    let edited = withdraw_with_retries(context, &key).await?;
    let change = Change {
        key: key.clone(),
        generation: edited.generation,
    };
    let waited = wait::if_requested(context, arguments, vec![change]).await?;
    let result = if edited.was_changed {
        "withdrawn"
    } else {
        "was withdrawn before"
    };
    let (resource, generation) = (display(&key), edited.generation);
    let suffix = if waited { ", in force everywhere" } else { "" };
    let text = format!("{resource} {result} (generation {generation}{suffix})\n");
    let json = json!({
        "name": key.name,
        "result": "withdrawn",
        "was_changed": edited.was_changed,
        "generation": generation,
        "in_force": waited,
    });
    Ok(CommandOutput::new(text, json))
}

/// Withdraws a key and retries after conflicts, because a withdrawal is valid whatever else was
/// changed.
async fn withdraw_with_retries(context: &Context, key: &ObjectKey) -> Result<Edited, Error> {
    let mut attempts = 1;
    loop {
        let edited = edit(context, key, |spec| {
            if let Spec::Key(key) = spec {
                key.withdrawn = true;
            }
        });
        match edited.await {
            Err(error)
                if error.classify() == Category::Conflict && attempts < MAX_WITHDRAW_ATTEMPTS =>
            {
                attempts += 1;
            }
            edited => return edited,
        }
    }
}
