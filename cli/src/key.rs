//! `key`: grants and withdraws keys.

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_core::resource::{Key, Kind, Spec};
use mimosabay_operator::key::{self, KEY_BYTES};
use mimosabay_operator::store::spec_value;
use mimosabay_operator::validate;
use serde_json::json;

use crate::answer::Answer;
use crate::context::Context;
use crate::conversion::{display, object_key, text};
use crate::edit::{Edited, edit};
use crate::error::{Category, Error};
use crate::snapshot::Snapshot;
use crate::wait::{self, Change};
use crate::write;

/// Number of times that a withdrawal is tried while others change the same key.
const WITHDRAW_TRIES: u32 = 5;

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Answer, Error> {
    let (name, arguments) = arguments
        .subcommand()
        .expect("the command requires a subcommand");
    match name {
        "create" => create(context, arguments).await,
        "withdraw" => withdraw(context, arguments).await,
        name => unreachable!("no such command: {name}"),
    }
}

async fn create(context: &Context, arguments: &ArgMatches) -> Result<Answer, Error> {
    let key = object_key(Kind::Key, text(arguments, "name"));
    let organisation = text(arguments, "organisation");
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
        .map_err(|errors| Error::rejected(&errors).note("no key was created"))?;
    let written = write::put(context, &key, spec, None).await;
    let generation = written.map_err(|error| unusable(error, &key))?.version;
    let change = Change {
        key: key.clone(),
        generation,
    };
    let waited = wait::if_asked(context, arguments, vec![change]).await;
    // The key is in the store and cannot be shown again, so that it is shown in any case.
    let (waited, note) = match waited {
        Ok(waited) => (waited, String::new()),
        Err(error) => (false, format!("not in force everywhere yet: {error}\n")),
    };
    let resource = display(&key);
    let text = format!(
        "{resource} created for {organisation} (generation {generation}); keep it, it is not \
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
    Ok(Answer::new(text, json))
}

fn unusable(error: Error, key: &ObjectKey) -> Error {
    if error.classify() != Category::Unavailable {
        return error;
    }
    let name = &key.name;
    error.note(format!(
        "the key was not shown and is of no use; if `get key {name}` finds it, withdraw it and \
         create another"
    ))
}

async fn withdraw(context: &Context, arguments: &ArgMatches) -> Result<Answer, Error> {
    let key = object_key(Kind::Key, text(arguments, "name"));
    let edited = withdraw_any(context, &key).await?;
    let change = Change {
        key: key.clone(),
        generation: edited.generation,
    };
    let waited = wait::if_asked(context, arguments, vec![change]).await?;
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
    Ok(Answer::new(text, json))
}

/// A withdrawal holds whatever else was changed, so that a conflict is no reason to give up.
async fn withdraw_any(context: &Context, key: &ObjectKey) -> Result<Edited, Error> {
    let mut tries = 1;
    loop {
        let edited = edit(context, key, |spec| {
            if let Spec::Key(key) = spec {
                key.withdrawn = true;
            }
        });
        match edited.await {
            Err(error) if error.classify() == Category::Conflict && tries < WITHDRAW_TRIES => {
                tries += 1;
            }
            edited => return edited,
        }
    }
}
