//! Conditional writes that tell the truth when an answer was lost.
//!
//! A write whose answer was lost is sent again under the same condition: if the first one took
//! effect, the store refuses the second and returns the object, which shows whose it is.

use std::time::Duration;

use mimosabay_core::config::ObjectKey;
use mimosabay_operator::SpecRecord;
use mimosabay_operator::store;
use mimosabay_platform::Precondition;
use mimosabay_platform::{Category as PlatformCategory, Error as PlatformError, Object};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::context::Context;
use crate::conversion::display;
use crate::diff::changed_fields;
use crate::error::{Category, Error};
use crate::time;

/// Time for which a write is tried again while the platform does not answer.
const PATIENCE_MS: u64 = 6_000;
/// Time between two tries.
const PAUSE_MS: u64 = 200;

/// Writes a specification if the resource still is what `base` says; returns the new object.
pub(crate) async fn put(
    context: &Context,
    key: &ObjectKey,
    spec: Value,
    base: Option<&Object>,
) -> Result<Object, Error> {
    let record = SpecRecord {
        spec,
        changed_by: context.operator.clone(),
        changed_at_ms: time::unix_ms(),
    };
    let kind = store::spec_kind(key.kind);
    let value = store::to_value(&record);
    let precondition = base.map_or(Precondition::Absent, |object| {
        Precondition::Version(object.version)
    });
    let mut tries = Tries::new(key);
    loop {
        let put = context.platform.put(&kind, &key.name, &value, precondition);
        let error = match put.await {
            Ok(object) => return Ok(object),
            Err(error) => error,
        };
        if is_refused(&error) {
            let current = present(error.current());
            return match current {
                Some(current) if tries.in_doubt && current.value == value => Ok(current.clone()),
                current => Err(conflict(key, base, current, tries.in_doubt)),
            };
        }
        tries.again(error).await?;
    }
}

/// Deletes a specification if the resource still is at `base`; returns the version of the
/// deletion, or `None` if its answer was lost and the object is gone.
pub(crate) async fn delete(
    context: &Context,
    key: &ObjectKey,
    base: &Object,
) -> Result<Option<u64>, Error> {
    let kind = store::spec_kind(key.kind);
    let mut tries = Tries::new(key);
    loop {
        let delete = context.platform.delete(&kind, &key.name, base.version);
        let error = match delete.await {
            Ok(object) => return Ok(Some(object.version)),
            Err(error) => error,
        };
        if is_refused(&error) {
            let current = present(error.current());
            return match current {
                None if tries.in_doubt => Ok(None),
                current => Err(conflict(key, Some(base), current, tries.in_doubt)),
            };
        }
        tries.again(error).await?;
    }
}

/// An error that names who changed what since `base` was read.
pub(crate) fn conflict(
    key: &ObjectKey,
    base: Option<&Object>,
    current: Option<&Object>,
    in_doubt: bool,
) -> Error {
    let resource = display(key);
    let message = match (base, current) {
        (None, None) => format!("{resource} was created and deleted by someone else"),
        (Some(_), None) => format!("{resource} was deleted by someone else"),
        (base, Some(current)) => changed(&resource, base, current),
    };
    let error = Error::new(Category::Conflict, message);
    if in_doubt {
        return error.note(
            "the answer to your write was lost: it may have been in the store for \
                           a time before that",
        );
    }
    error
}

fn changed(resource: &str, base: Option<&Object>, current: &Object) -> String {
    let record: Option<SpecRecord> = store::read_record(current, "specification").ok();
    let Some(record) = record else {
        return format!("{resource} was changed (generation {})", current.version);
    };
    let by = record.changed_by;
    let at = time::format_utc(record.changed_at_ms);
    let generation = current.version;
    let before: Option<SpecRecord> =
        base.and_then(|object| store::read_record(object, "specification").ok());
    let Some(before) = before else {
        return format!("{resource} was created by {by} at {at} (generation {generation})");
    };
    let fields = changed_fields(&before.spec, &record.spec).join(", ");
    format!("{resource} was changed by {by} at {at} (generation {generation}): {fields}")
}

fn is_refused(error: &PlatformError) -> bool {
    let category = error.classify();
    matches!(
        category,
        PlatformCategory::Conflict | PlatformCategory::NotFound
    )
}

fn present(object: Option<&Object>) -> Option<&Object> {
    object.filter(|object| !object.deleted)
}

/// Decides whether a failed write is sent again.
struct Tries<'a> {
    key: &'a ObjectKey,
    deadline: Instant,
    /// Whether an earlier try may have taken effect.
    in_doubt: bool,
}

impl<'a> Tries<'a> {
    fn new(key: &'a ObjectKey) -> Self {
        Self {
            key,
            deadline: Instant::now() + Duration::from_millis(PATIENCE_MS),
            in_doubt: false,
        }
    }

    async fn again(&mut self, error: PlatformError) -> Result<(), Error> {
        match error.classify() {
            PlatformCategory::Unknown => self.in_doubt = true,
            PlatformCategory::Unavailable => {}
            _ => return Err(error.into()),
        }
        if Instant::now() < self.deadline {
            sleep(Duration::from_millis(PAUSE_MS)).await;
            return Ok(());
        }
        let resource = display(self.key);
        let outcome = if self.in_doubt {
            format!("it is not known whether {resource} was written; look with `get` later")
        } else {
            format!("{resource} was not written")
        };
        Err(Error::from(error).note(outcome))
    }
}
