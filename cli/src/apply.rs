//! `apply`: creates or changes resources from files.

use std::collections::BTreeSet;

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_core::resource::Kind;
use mimosabay_operator::store::spec_value;
use mimosabay_operator::{FieldError, validate};
use mimosabay_platform::Object;
use serde_json::{Value, json};

use crate::context::Context;
use crate::conversion::display;
use crate::document::{self, Document};
use crate::error::{Category, Error};
use crate::output::CommandOutput;
use crate::snapshot::Snapshot;
use crate::wait::{self, Change};
use crate::write;

/// One resource of the files, to be written unless it is unchanged.
#[derive(Debug)]
struct PlannedWrite {
    key: ObjectKey,
    /// The object that the write replaces; `None` if the resource is new.
    base: Option<Object>,
    /// Specification to write; `None` if the resource already has it.
    spec: Option<Value>,
}

/// Result of a planned write.
struct StepResult {
    key: ObjectKey,
    result: &'static str,
    generation: u64,
}

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
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
    let waited = wait::if_requested(context, arguments, changes.collect()).await;
    let waited = waited.map_err(|error| error.with_note(render(&done, false).text.trim_end()))?;
    Ok(render(&done, waited))
}

/// Validates all documents and returns the writes in an order in which each one is valid.
fn plan(mut snapshot: Snapshot, documents: Vec<Document>) -> Result<Vec<PlannedWrite>, Error> {
    check_unique(&documents)?;
    check_generations(&snapshot, &documents)?;
    let mut pending = documents;
    pending.sort_by_key(|document| dependency_rank(document.key.kind));
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
        // Retries the rejected documents as long as this round accepted any, because a document may
        // depend on one that comes later in the list.
        if rejected.len() == before {
            return Err(Error::rejected(&errors).with_note("nothing was written"));
        }
        pending = rejected;
    }
}

fn check(snapshot: &mut Snapshot, document: &Document) -> Result<PlannedWrite, Vec<FieldError>> {
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
    snapshot.apply_as_accepted(key.clone(), Some(spec));
    Ok(PlannedWrite {
        key,
        base,
        spec: (!is_accepted || !is_written).then_some(value),
    })
}

fn check_unique(documents: &[Document]) -> Result<(), Error> {
    let mut seen = BTreeSet::new();
    let duplicate = documents
        .iter()
        .find(|document| !seen.insert(&document.key));
    match duplicate {
        Some(document) => {
            let message = format!("{} is defined twice", display(&document.key));
            Err(Error::new(Category::Rejected, message).with_note("nothing was written"))
        }
        None => Ok(()),
    }
}

fn check_generations(snapshot: &Snapshot, documents: &[Document]) -> Result<(), Error> {
    for document in documents {
        let current = snapshot.specs.get(&document.key);
        let version = current.map_or(0, |object| object.version);
        if document
            .generation
            .is_some_and(|expected| expected != version)
        {
            let expected = document.generation.unwrap_or_default();
            return Err(write::conflict(&document.key, None, current, false)
                .with_note(format!("the file has generation {expected}"))
                .with_note("nothing was written"));
        }
    }
    Ok(())
}

async fn write_all(context: &Context, steps: &[PlannedWrite]) -> Result<Vec<StepResult>, Error> {
    let mut done = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        match write_one(context, step).await {
            Ok(outcome) => done.push(outcome),
            Err(error) => return Err(with_progress(error, &done, &steps[index + 1..])),
        }
    }
    Ok(done)
}

async fn write_one(context: &Context, step: &PlannedWrite) -> Result<StepResult, Error> {
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
    Ok(StepResult {
        key: step.key.clone(),
        result,
        generation,
    })
}

/// Adds to an error which resources were written before it and which were not attempted.
fn with_progress(error: Error, done: &[StepResult], rest: &[PlannedWrite]) -> Error {
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
        .with_note(format!("written before: {}", list(written)))
        .with_note(format!("not attempted: {}", list(rest)))
}

fn render(done: &[StepResult], waited: bool) -> CommandOutput {
    let suffix = if waited { ", in force everywhere" } else { "" };
    let line = |done: &StepResult| {
        let (resource, result) = (display(&done.key), done.result);
        format!(
            "{resource} {result} (generation {}{suffix})\n",
            done.generation
        )
    };
    let entry = |done: &StepResult| {
        json!({
            "kind": done.key.kind,
            "name": done.key.name,
            "result": done.result,
            "generation": done.generation,
            "in_force": waited,
        })
    };
    CommandOutput::new(
        done.iter().map(line).collect::<String>(),
        done.iter().map(entry).collect(),
    )
}

/// Returns the position of a kind in the order of dependencies: kinds refer to earlier kinds.
fn dependency_rank(kind: Kind) -> Option<usize> {
    Kind::ALL.into_iter().position(|other| other == kind)
}
