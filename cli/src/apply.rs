//! `apply`: creates or changes resources from files.

use std::collections::BTreeSet;

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_core::resource::Kind;
use mimosabay_operator::store::spec_value;
use mimosabay_operator::{FieldError, validate};
use mimosabay_platform::Object;
use serde_json::{Value, json};

use crate::answer::Answer;
use crate::context::Context;
use crate::conversion::display;
use crate::document::{self, Document};
use crate::error::{Category, Error};
use crate::snapshot::Snapshot;
use crate::wait::{self, Change};
use crate::write;

/// One resource to write, or to leave alone.
#[derive(Debug)]
struct Step {
    key: ObjectKey,
    /// The object that it replaces.
    base: Option<Object>,
    /// What to write; `None` if the resource is like that already.
    spec: Option<Value>,
}

/// What became of a step.
struct Done {
    key: ObjectKey,
    result: &'static str,
    generation: u64,
}

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Answer, Error> {
    let files = arguments.get_many::<String>("file").into_iter().flatten();
    let mut documents = Vec::new();
    for file in files {
        documents.extend(document::read(file)?);
    }
    let snapshot = Snapshot::load(&context.platform).await?;
    let steps = plan(snapshot, documents)?;
    let done = write_all(context, &steps).await?;
    let changes = done.iter().map(|done| Change {
        key: done.key.clone(),
        generation: done.generation,
    });
    let waited = wait::if_asked(context, arguments, changes.collect()).await;
    let waited = waited.map_err(|error| error.note(render(&done, false).text.trim_end()))?;
    Ok(render(&done, waited))
}

/// Checks all documents; the steps are in an order in which each is valid.
fn plan(mut snapshot: Snapshot, documents: Vec<Document>) -> Result<Vec<Step>, Error> {
    check_unique(&documents)?;
    check_generations(&snapshot, &documents)?;
    let mut pending = documents;
    pending.sort_by_key(|document| order(document.key.kind));
    let mut steps = Vec::new();
    loop {
        let mut errors = Vec::new();
        let mut rejected = Vec::new();
        let before = pending.len();
        for document in pending {
            match check(&mut snapshot, &document) {
                Ok(step) => steps.push(step),
                Err(found) => {
                    errors.extend(found);
                    rejected.push(document);
                }
            }
        }
        if rejected.is_empty() {
            return Ok(steps);
        }
        // A later document may have made an earlier one valid.
        if rejected.len() == before {
            return Err(Error::rejected(&errors).note("nothing was written"));
        }
        pending = rejected;
    }
}

fn check(snapshot: &mut Snapshot, document: &Document) -> Result<Step, Vec<FieldError>> {
    let key = document.key.clone();
    let spec = validate(key.kind, &key.name, &document.spec, &snapshot.table)?;
    let present = snapshot.spec(&key).map(|record| record.spec);
    let is_accepted = snapshot.table.get(key.kind, &key.name) == Some(&spec);
    let value = spec_value(&spec);
    let is_written = present.is_some_and(|present| {
        let normal = validate(key.kind, &key.name, &present, &snapshot.table);
        normal.is_ok_and(|normal| spec_value(&normal) == value)
    });
    let base = snapshot.specs.get(&key).cloned();
    snapshot.assume(key.clone(), Some(spec));
    Ok(Step {
        key,
        base,
        spec: (!is_accepted || !is_written).then_some(value),
    })
}

fn check_unique(documents: &[Document]) -> Result<(), Error> {
    let mut seen = BTreeSet::new();
    let double = documents
        .iter()
        .find(|document| !seen.insert(&document.key));
    match double {
        Some(document) => {
            let message = format!("{} is given twice", display(&document.key));
            Err(Error::new(Category::Rejected, message).note("nothing was written"))
        }
        None => Ok(()),
    }
}

fn check_generations(snapshot: &Snapshot, documents: &[Document]) -> Result<(), Error> {
    for document in documents {
        let current = snapshot.specs.get(&document.key);
        let version = current.map_or(0, |object| object.version);
        if document.generation.is_some_and(|asked| asked != version) {
            let asked = document.generation.unwrap_or_default();
            return Err(write::conflict(&document.key, None, current, false)
                .note(format!("the file has generation {asked}"))
                .note("nothing was written"));
        }
    }
    Ok(())
}

async fn write_all(context: &Context, steps: &[Step]) -> Result<Vec<Done>, Error> {
    let mut done = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        match write_one(context, step).await {
            Ok(outcome) => done.push(outcome),
            Err(error) => return Err(explain(error, &done, &steps[index + 1..])),
        }
    }
    Ok(done)
}

async fn write_one(context: &Context, step: &Step) -> Result<Done, Error> {
    let base_version = step.base.as_ref().map_or(0, |object| object.version);
    let (result, generation) = match &step.spec {
        None => ("unchanged", base_version),
        Some(spec) => {
            let written = write::put(context, &step.key, spec.clone(), step.base.as_ref());
            let result = if step.base.is_some() {
                "changed"
            } else {
                "created"
            };
            (result, written.await?.version)
        }
    };
    Ok(Done {
        key: step.key.clone(),
        result,
        generation,
    })
}

/// Says which resources were written before the error and which were not tried.
fn explain(error: Error, done: &[Done], rest: &[Step]) -> Error {
    let written: Vec<_> = done
        .iter()
        .filter(|done| done.result != "unchanged")
        .map(|done| display(&done.key))
        .collect();
    let rest: Vec<_> = rest
        .iter()
        .filter(|step| step.spec.is_some())
        .map(|step| display(&step.key))
        .collect();
    let list = |names: Vec<String>| {
        if names.is_empty() {
            "none".into()
        } else {
            names.join(", ")
        }
    };
    error
        .note(format!("written before: {}", list(written)))
        .note(format!("not tried: {}", list(rest)))
}

fn render(done: &[Done], waited: bool) -> Answer {
    let suffix = if waited { ", in force everywhere" } else { "" };
    let line = |done: &Done| {
        let (resource, result) = (display(&done.key), done.result);
        format!(
            "{resource} {result} (generation {}{suffix})\n",
            done.generation
        )
    };
    let entry = |done: &Done| {
        json!({
            "kind": done.key.kind,
            "name": done.key.name,
            "result": done.result,
            "generation": done.generation,
            "in_force": waited,
        })
    };
    Answer::new(
        done.iter().map(line).collect::<String>(),
        done.iter().map(entry).collect(),
    )
}

/// Place of a kind in the order in which kinds refer to each other.
fn order(kind: Kind) -> Option<usize> {
    Kind::ALL.into_iter().position(|other| other == kind)
}
