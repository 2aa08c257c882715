//! Read-modify-write of a single resource.

use mimosabay_core::config::ObjectKey;
use mimosabay_core::resource::Spec;
use mimosabay_operator::store::spec_value;
use mimosabay_operator::validate;

use crate::context::Context;
use crate::conversion::display;
use crate::error::{Category, Error};
use crate::snapshot::Snapshot;
use crate::write;

/// Result of an edit.
#[derive(Debug)]
pub(crate) struct Edited {
    pub(crate) generation: u64,
    pub(crate) was_changed: bool,
}

/// Reads a resource, applies `change` and writes it back, unless it is unchanged.
///
/// Fails with [`Category::Conflict`] if the resource was changed by someone else in between.
pub(crate) async fn edit(
    context: &Context,
    key: &ObjectKey,
    change: impl FnOnce(&mut Spec),
) -> Result<Edited, Error> {
    let snapshot = Snapshot::load(&context.platform).await?;
    let absent = || Error::new(Category::NotFound, format!("no {}", display(key)));
    let base = snapshot.specs.get(key).ok_or_else(absent)?;
    let record = snapshot.spec(key).ok_or_else(absent)?;
    let before = check(key, &record.spec, &snapshot)?;
    let mut after = before.clone();
    change(&mut after);
    if after == before {
        return Ok(Edited {
            generation: base.version,
            was_changed: false,
        });
    }
    let value = spec_value(&after);
    check(key, &value, &snapshot)?;
    let written = write::put(context, key, value, Some(base)).await?;
    Ok(Edited {
        generation: written.version,
        was_changed: true,
    })
}

fn check(key: &ObjectKey, value: &serde_json::Value, snapshot: &Snapshot) -> Result<Spec, Error> {
    validate(key.kind, &key.name, value, &snapshot.table)
        .map_err(|errors| Error::rejected(&errors).with_note("nothing was written"))
}
