//! Waits until changes are in force on every instance.

use std::time::Duration;

use clap::ArgMatches;
use mimosabay_core::config::ObjectKey;
use mimosabay_operator::StatusRecord;
use mimosabay_operator::store::{self, STATUS_KIND};
use mimosabay_platform::Object;
use tokio::time::{Instant, sleep};

use crate::context::Context;
use crate::conversion::display;
use crate::error::{Category, Error};

/// Maximum time that one watch request waits for a change.
const WATCH_WAIT_MS: u64 = 2_000;
/// Time between retries while the platform does not respond.
const RETRY_INTERVAL_MS: u64 = 200;

/// A change to wait for.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) key: ObjectKey,
    /// Version of the specification object, or version of its deletion.
    pub(crate) generation: u64,
}

/// Waits until the changes are in force if `--wait` is given. Returns whether it was given.
pub(crate) async fn if_requested(
    context: &Context,
    arguments: &ArgMatches,
    changes: Vec<Change>,
) -> Result<bool, Error> {
    if !arguments.get_flag("wait") {
        return Ok(false);
    }
    let timeout_ms = *arguments
        .get_one::<u64>("timeout-ms")
        .expect("the timeout has a default");
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    Waiter::new(changes).run(context, deadline).await?;
    Ok(true)
}

struct Waiter {
    /// Changes that are not in force on every instance yet.
    pending: Vec<Change>,
    /// Last status received for the first pending change.
    last_status: Option<StatusRecord>,
    /// Store revision up to which status objects were read; `None` if all must be read again.
    revision: Option<u64>,
}

impl Waiter {
    fn new(pending: Vec<Change>) -> Self {
        Self {
            pending,
            last_status: None,
            revision: None,
        }
    }

    async fn run(mut self, context: &Context, deadline: Instant) -> Result<(), Error> {
        while !self.pending.is_empty() {
            let objects = match self.read(context, deadline).await {
                Ok(objects) => objects,
                Err(error) => {
                    if Instant::now() >= deadline {
                        return Err(Error::from(error).with_note(self.describe()));
                    }
                    self.revision = None;
                    sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                    continue;
                }
            };
            for object in objects {
                self.apply_status(&object)?;
            }
            if !self.pending.is_empty() && Instant::now() >= deadline {
                return Err(Error::new(Category::Failed, self.describe()));
            }
        }
        Ok(())
    }

    async fn read(
        &mut self,
        context: &Context,
        deadline: Instant,
    ) -> Result<Vec<Object>, mimosabay_platform::Error> {
        let Some(revision) = self.revision else {
            let list = context.platform.list(STATUS_KIND).await?;
            self.revision = Some(list.revision);
            return Ok(list.objects);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let wait_ms = left_ms.min(WATCH_WAIT_MS);
        let batch = context
            .platform
            .watch(&[STATUS_KIND], revision, wait_ms)
            .await?;
        // A watch may omit a change, so a watch without events is followed by a full list.
        self.revision = Some(batch.revision).filter(|_| !batch.events.is_empty());
        Ok(batch.events)
    }

    fn apply_status(&mut self, object: &Object) -> Result<(), Error> {
        let Some(key) = store::parse_qualified_name(&object.name) else {
            return Ok(());
        };
        let Some(index) = self.pending.iter().position(|change| change.key == key) else {
            return Ok(());
        };
        let Ok(status) = store::read_record::<StatusRecord>(object, STATUS_KIND) else {
            return Ok(());
        };
        if is_in_force(&self.pending[index], &status)? {
            self.pending.remove(index);
            self.last_status = None;
        } else if index == 0 {
            self.last_status = Some(status);
        }
        Ok(())
    }

    fn describe(&self) -> String {
        let Some(change) = self.pending.first() else {
            return "all changes are in force".into();
        };
        let (resource, generation) = (display(&change.key), change.generation);
        match &self.last_status {
            Some(status) if status.observed_generation >= generation => format!(
                "{resource} generation {generation} is accepted and in force on {} of {} instances",
                status.in_force, status.instances
            ),
            _ => format!("{resource} generation {generation} has not been validated yet"),
        }
    }
}

/// Returns whether a change is in force on every instance, or an error if it was rejected or
/// superseded.
fn is_in_force(change: &Change, status: &StatusRecord) -> Result<bool, Error> {
    let resource = display(&change.key);
    if status.observed_generation < change.generation {
        return Ok(false);
    }
    if !status.accepted && status.observed_generation == change.generation {
        return Err(Error::new(Category::Rejected, &status.reason)
            .with_note("the last accepted generation stays in force"));
    }
    if status.observed_generation > change.generation {
        let message = format!(
            "{resource} was changed again (generation {}) before generation {} was in force \
             everywhere",
            status.observed_generation, change.generation
        );
        return Err(Error::new(Category::Conflict, message));
    }
    Ok(status.instances > 0 && status.in_force >= status.instances)
}
