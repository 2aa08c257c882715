//! Conditional writes that report the correct outcome even if a response was lost.
//!
//! A write whose response was lost is sent again with the same precondition. If the first attempt
//! took effect, the store refuses the second and returns the current object, which shows who wrote
//! it.

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

/// Time during which a write is retried while the platform does not respond.
const RETRY_TIMEOUT_MS: u64 = 6_000;
/// Time between retries.
const RETRY_INTERVAL_MS: u64 = 200;

/// Writes a specification if the resource is still at `base`, or absent if that is `None`. Returns
/// the new object.
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
    let mut retry = WriteRetry::new(key);
    loop {
        let put = context.platform.put(&kind, &key.name, &value, precondition);
        let error = match put.await {
            Ok(object) => return Ok(object),
            Err(error) => error,
        };
        if is_precondition_failed(&error) {
            let current = not_deleted(error.current());
            return match current {
                Some(current) if retry.in_doubt && current.value == value => Ok(current.clone()),
                current => Err(conflict(key, base, current, retry.in_doubt)),
            };
        }
        retry.wait_before_retry(error).await?;
    }
}

/// Deletes a specification if the resource is still at `base`. Returns the version of the deletion,
/// or `None` if its response was lost and the object no longer exists.
pub(crate) async fn delete(
    context: &Context,
    key: &ObjectKey,
    base: &Object,
) -> Result<Option<u64>, Error> {
    let kind = store::spec_kind(key.kind);
    let mut retry = WriteRetry::new(key);
    loop {
        let delete = context.platform.delete(&kind, &key.name, base.version);
        let error = match delete.await {
            Ok(object) => return Ok(Some(object.version)),
            Err(error) => error,
        };
        if is_precondition_failed(&error) {
            let current = not_deleted(error.current());
            return match current {
                None if retry.in_doubt => Ok(None),
                current => Err(conflict(key, Some(base), current, retry.in_doubt)),
            };
        }
        retry.wait_before_retry(error).await?;
    }
}

/// Builds a conflict error that states who changed what since `base` was read.
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
        (base, Some(current)) => describe_change(&resource, base, current),
    };
    let error = Error::new(Category::Conflict, message);
    if in_doubt {
        return error.with_note(
            "the response to your write was lost: your version may have been stored for \
                           a time before that",
        );
    }
    error
}

fn describe_change(resource: &str, base: Option<&Object>, current: &Object) -> String {
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

fn is_precondition_failed(error: &PlatformError) -> bool {
    let category = error.classify();
    matches!(
        category,
        PlatformCategory::Conflict | PlatformCategory::NotFound
    )
}

fn not_deleted(object: Option<&Object>) -> Option<&Object> {
    object.filter(|object| !object.deleted)
}

/// Retry state of a write.
struct WriteRetry<'a> {
    key: &'a ObjectKey,
    deadline: Instant,
    /// Whether an earlier attempt may have taken effect.
    in_doubt: bool,
}

impl<'a> WriteRetry<'a> {
    fn new(key: &'a ObjectKey) -> Self {
        Self {
            key,
            deadline: Instant::now() + Duration::from_millis(RETRY_TIMEOUT_MS),
            in_doubt: false,
        }
    }

    async fn wait_before_retry(&mut self, error: PlatformError) -> Result<(), Error> {
        match error.classify() {
            PlatformCategory::Unknown => self.in_doubt = true,
            PlatformCategory::Unavailable => {}
            _ => return Err(error.into()),
        }
        if Instant::now() < self.deadline {
            sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
            return Ok(());
        }
        let resource = display(self.key);
        let outcome = if self.in_doubt {
            format!("it is not known whether {resource} was written; check with `get` later")
        } else {
            format!("{resource} was not written")
        };
        Err(Error::from(error).with_note(outcome))
    }
}
