//! Records in status objects on how many instances an accepted change is in force.
//!
//! The acceptor compares the configuration revisions in its peers' heartbeats with the accepted
//! objects and writes the counts into the status objects, until a change is in force everywhere.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::config::{ConfigTable, ObjectKey};
use mimosabay_core::membership::MemberState;
use mimosabay_core::name::Name;
use mimosabay_operator::store::{self, ACCEPTED_KIND, AcceptedRecord, STATUS_KIND, StatusRecord};
use mimosabay_platform::{Category, Error, Object, Precondition};
use tokio::time::sleep;
use tracing::warn;

use crate::acceptor;
use crate::instance::Instance;

/// Time between two checks of which instance is the acceptor, and before a failed call is retried.
const RETRY_MS: u64 = 250;
/// Longest wait of a watch while every change is in force.
const IDLE_WATCH_WAIT_MS: u64 = 1_000;
/// Longest wait of a watch while a change is not in force everywhere.
const PENDING_WATCH_WAIT_MS: u64 = 100;
/// Smallest time between two status writes for a change that is not in force everywhere.
const PROGRESS_INTERVAL_MS: u64 = 1_000;

/// State read from the store. It is read again whenever an instance becomes the acceptor.
struct State {
    /// Revision up to which objects were read.
    revision: u64,
    /// Newest version among the accepted objects that were read.
    accepted_version: u64,
    /// Status objects with their versions.
    statuses: HashMap<ObjectKey, (u64, StatusRecord)>,
    /// Accepted changes that are not known to be in force everywhere.
    pending: BTreeMap<ObjectKey, Change>,
}

/// An accepted change.
struct Change {
    /// Version of the accepted object; in force where the configuration revision is at least this.
    revision: u64,
    /// Version of the specification.
    generation: u64,
    /// Time of the last status write, in milliseconds on the monotonic clock of this process.
    written_ms: Option<u64>,
}

/// Writes status objects whenever this instance is the acceptor, until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut state = None;
    loop {
        if !acceptor::has_role(&instance) {
            state = None;
            sleep(Duration::from_millis(RETRY_MS)).await;
            continue;
        }
        let result = match state.take() {
            None => load_state(&instance).await,
            Some(state) => poll_changes(&instance, state).await,
        };
        match result {
            Ok(next) => state = Some(next),
            Err(cause) => {
                warn!(%cause, "cannot report what is in force");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

async fn load_state(instance: &Instance) -> Result<State, Error> {
    let statuses = instance.platform.list(STATUS_KIND).await?;
    let accepted = instance.platform.list(ACCEPTED_KIND).await?;
    let mut state = State {
        // The watch repeats objects of both lists that changed between the two reads.
        revision: statuses.revision,
        accepted_version: 0,
        statuses: HashMap::new(),
        pending: BTreeMap::new(),
    };
    for object in statuses.objects.iter().chain(&accepted.objects) {
        state.apply_object(object);
    }
    Ok(state)
}

async fn poll_changes(instance: &Instance, mut state: State) -> Result<State, Error> {
    let wait_ms = if state.pending.is_empty() {
        IDLE_WATCH_WAIT_MS
    } else {
        PENDING_WATCH_WAIT_MS
    };
    let in_force = instance.with_config(ConfigTable::revision);
    let kinds = [ACCEPTED_KIND, STATUS_KIND];
    let batch = instance.platform.watch(&kinds, state.revision, wait_ms);
    let batch = batch.await?;
    // Objects that this instance wrote are applied even if the watch omits them.
    for object in instance.drain_accepted().iter().chain(&batch.events) {
        state.apply_object(object);
    }
    state.revision = batch.revision;
    if state.accepted_version < in_force {
        // A change is in force here that another instance accepted and the watch omitted.
        for object in &instance.platform.list(ACCEPTED_KIND).await?.objects {
            state.apply_object(object);
        }
        // A manually removed object is in no list; raising the version avoids listing again for it.
        state.accepted_version = state.accepted_version.max(in_force);
    }
    state.write_statuses(instance).await?;
    Ok(state)
}

impl State {
    fn apply_object(&mut self, object: &Object) {
        let Some(key) = store::parse_qualified_name(&object.name) else {
            return;
        };
        if &*object.kind == STATUS_KIND {
            if let Ok(status) = store::read_record(object, STATUS_KIND) {
                self.statuses.insert(key, (object.version, status));
            }
        } else if let Ok(record) = store::read_record(object, ACCEPTED_KIND) {
            self.accepted_version = self.accepted_version.max(object.version);
            self.add_pending(key, object.version, &record);
        }
    }

    fn add_pending(&mut self, key: ObjectKey, revision: u64, record: &AcceptedRecord) {
        let known = self.statuses.get(&key).map(|(_, status)| status);
        let is_old = self
            .pending
            .get(&key)
            .is_some_and(|pending| pending.revision >= revision);
        if is_old || known.is_some_and(|status| is_complete(status, record.generation)) {
            return;
        }
        let change = Change {
            revision,
            generation: record.generation,
            written_ms: None,
        };
        self.pending.insert(key, change);
    }

    async fn write_statuses(&mut self, instance: &Instance) -> Result<(), Error> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let revisions = revisions_in_force(instance).await?;
        let now_ms = instance.now_ms();
        let keys: Vec<ObjectKey> = self.pending.keys().cloned().collect();
        for key in keys {
            self.write_status_if_due(instance, &key, &revisions, now_ms)
                .await?;
        }
        Ok(())
    }

    async fn write_status_if_due(
        &mut self,
        instance: &Instance,
        key: &ObjectKey,
        revisions: &[u64],
        now_ms: u64,
    ) -> Result<(), Error> {
        let Some(change) = self.pending.get_mut(key) else {
            return Ok(());
        };
        let known = self.statuses.get(key);
        // A newer specification was processed; its own status stays.
        if known.is_some_and(|(_, status)| status.observed_generation > change.generation) {
            self.pending.remove(key);
            return Ok(());
        }
        let status = change.status(revisions);
        let is_done = status.in_force == status.instances;
        let is_new = known.is_none_or(|(_, known)| *known != status);
        let is_due = change
            .written_ms
            .is_none_or(|written_ms| now_ms >= written_ms + PROGRESS_INTERVAL_MS);
        if is_new && (is_done || is_due) {
            change.written_ms = Some(now_ms);
            let known = known.map(|(version, _)| *version);
            if !self.write_status(instance, key, known, status).await? {
                return Ok(());
            }
        }
        if is_done {
            self.pending.remove(key);
        }
        Ok(())
    }

    /// Writes a status; returns `false` if the stored one no longer had the `known` version.
    async fn write_status(
        &mut self,
        instance: &Instance,
        key: &ObjectKey,
        known: Option<u64>,
        status: StatusRecord,
    ) -> Result<bool, Error> {
        let name = store::qualified_name(key.kind, &key.name);
        let precondition = known.map_or(Precondition::Absent, Precondition::Version);
        let value = store::to_value(&status);
        let put = instance
            .platform
            .put(STATUS_KIND, &name, &value, precondition);
        match put.await {
            Ok(object) => {
                self.statuses.insert(key.clone(), (object.version, status));
                Ok(true)
            }
            Err(cause) if cause.classify() == Category::Conflict => {
                let newer = instance.platform.get(STATUS_KIND, &name).await?;
                self.apply_object(&newer);
                Ok(false)
            }
            Err(cause) => Err(cause),
        }
    }
}

impl Change {
    fn status(&self, revisions: &[u64]) -> StatusRecord {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let is_in_force = |revision: &&u64| **revision >= self.revision;
        StatusRecord {
            observed_generation: self.generation,
            accepted: true,
            reason: "".into(),
            in_force: count(revisions.iter().filter(is_in_force).count()),
            instances: count(revisions.len()),
        }
    }
}

fn is_complete(status: &StatusRecord, generation: u64) -> bool {
    status.observed_generation >= generation
        && status.instances > 0
        && status.in_force == status.instances
}

/// The configuration revision of each instance that is listed or seen and has not terminated; 0
/// where it is not known.
///
/// Reads the platform's list, because an instance that has just been added accepts calls, too.
async fn revisions_in_force(instance: &Instance) -> Result<Vec<u64>, Error> {
    let listed = instance.platform.list_instances().await?.instances;
    let mut revisions: BTreeMap<Name, u64> =
        listed.into_iter().map(|listed| (listed.name, 0)).collect();
    instance.with_membership(|membership| {
        for member in membership.members() {
            let name = &member.listed.name;
            if member.state == MemberState::Terminated {
                revisions.remove(name);
            } else {
                revisions.insert(name.clone(), member.config_revision);
            }
        }
    });
    let own = instance.with_config(ConfigTable::revision);
    revisions.insert(instance.id.name.clone(), own);
    Ok(revisions.into_values().collect())
}
