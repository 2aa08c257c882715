//! `get`: lists resources.

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_core::resource::Kind;
use mimosabay_operator::store::{self, STATUS_KIND};
use mimosabay_operator::{SpecRecord, StatusRecord};
use mimosabay_platform::{Category as PlatformCategory, Object};
use serde_json::{Value, json};

use crate::context::Context;
use crate::conversion::{display, object_key};
use crate::error::{Category, Error};
use crate::output::CommandOutput;
use crate::table::Table;
use crate::time;

/// A resource with its status.
#[derive(Debug)]
pub(crate) struct Resource {
    pub(crate) key: ObjectKey,
    pub(crate) generation: u64,
    pub(crate) record: SpecRecord,
    pub(crate) status: Option<StatusRecord>,
}

pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<CommandOutput, Error> {
    let kind = *arguments
        .get_one::<Kind>("kind")
        .expect("the kind is required");
    match arguments.get_one::<String>("name") {
        Some(name) => {
            let resource = read(context, &object_key(kind, name)).await?;
            let json = resource.to_json();
            Ok(CommandOutput::new(table(&[resource]), json))
        }
        None => list(context, kind).await,
    }
}

/// Reads one resource with its status.
pub(crate) async fn read(context: &Context, key: &ObjectKey) -> Result<Resource, Error> {
    let object = read_object(context, key).await?;
    let name = store::qualified_name(key.kind, &key.name);
    let status = match context.platform.get(STATUS_KIND, &name).await {
        Ok(object) => store::read_record(&object, STATUS_KIND).ok(),
        Err(error) if error.classify() == PlatformCategory::NotFound => None,
        Err(error) => return Err(error.into()),
    };
    Resource::new(key.clone(), &object, status)
}

/// Reads the specification object of a resource.
pub(crate) async fn read_object(context: &Context, key: &ObjectKey) -> Result<Object, Error> {
    let kind = store::spec_kind(key.kind);
    context
        .platform
        .get(&kind, &key.name)
        .await
        .map_err(|error| match error.classify() {
            PlatformCategory::NotFound => {
                Error::new(Category::NotFound, format!("no {}", display(key)))
            }
            _ => error.into(),
        })
}

async fn list(context: &Context, kind: Kind) -> Result<CommandOutput, Error> {
    let spec_kind = store::spec_kind(kind);
    let specs = context.platform.list(&spec_kind);
    let statuses = context.platform.list(STATUS_KIND);
    let (specs, statuses) = tokio::try_join!(specs, statuses)?;
    let mut resources = Vec::new();
    for object in &specs.objects {
        let name = store::qualified_name(kind, &object.name);
        let found = statuses.objects.iter().find(|status| *status.name == name);
        let status = found.and_then(|status| store::read_record(status, STATUS_KIND).ok());
        resources.push(Resource::new(
            object_key(kind, &object.name),
            object,
            status,
        )?);
    }
    let json = resources.iter().map(Resource::to_json).collect();
    Ok(CommandOutput::new(table(&resources), json))
}

impl Resource {
    fn new(key: ObjectKey, object: &Object, status: Option<StatusRecord>) -> Result<Self, Error> {
        Ok(Self {
            key,
            generation: object.version,
            record: store::read_record(object, "specification")?,
            status,
        })
    }

    /// Converts the resource to the JSON format that `apply` reads.
    pub(crate) fn to_json(&self) -> Value {
        json!({
            "kind": self.key.kind,
            "name": self.key.name,
            "generation": self.generation,
            "spec": self.record.spec,
            "changed_by": self.record.changed_by,
            "changed_at_ms": self.record.changed_at_ms,
            "status": self.status,
        })
    }

    /// Returns whether this generation is accepted, rejected or not validated yet.
    pub(crate) fn state(&self) -> &'static str {
        match &self.status {
            Some(status) if status.observed_generation >= self.generation => {
                if status.accepted {
                    "accepted"
                } else {
                    "rejected"
                }
            }
            _ => "pending",
        }
    }

    /// Formats the number of instances on which this generation is in force, or `-` unless it is
    /// accepted.
    pub(crate) fn in_force(&self) -> String {
        match &self.status {
            Some(status) if self.state() == "accepted" => {
                format!("{}/{}", status.in_force, status.instances)
            }
            _ => "-".into(),
        }
    }
}

fn table(resources: &[Resource]) -> String {
    let head = [
        "NAME",
        "GENERATION",
        "STATE",
        "IN FORCE",
        "CHANGED BY",
        "CHANGED AT",
    ];
    let mut table = Table::new(head);
    for resource in resources {
        table.row([
            resource.key.name.to_string(),
            resource.generation.to_string(),
            resource.state().into(),
            resource.in_force(),
            resource.record.changed_by.to_string(),
            time::format_utc(resource.record.changed_at_ms),
        ]);
    }
    table.render()
}
