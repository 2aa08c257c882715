//! The acceptor: copies valid specifications into accepted objects.
//!
//! Any instance can be the acceptor; rendezvous hashing selects one, so that not every instance
//! polls the store. Two acceptors at once are harmless, because accepted objects are written with
//! their version as a precondition.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::config::{ConfigTable, ObjectKey};
use mimosabay_core::rendezvous;
use mimosabay_core::resource::Kind;
use mimosabay_operator::acceptance::{self, Acceptance};
use mimosabay_operator::store::{self, ACCEPTED_KIND, AcceptedRecord, STATUS_KIND, StatusRecord};
use mimosabay_platform::{Category, Error, Object, Precondition};
use serde_json::Value;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::config_sync;
use crate::instance::Instance;

/// Item for which rendezvous hashing selects the acceptor.
const ROLE: &str = "acceptor";
/// Time between two checks of which instance is the acceptor, and before a failed call is retried.
const RETRY_MS: u64 = 250;
/// Longest wait of one watch for new specifications.
const WATCH_WAIT_MS: u64 = 1_000;

/// Time between two lists that are read in addition to the watch.
const REREAD_PERIOD_MS: u64 = 1_000;
/// Order in which the kinds are listed again. Every other list is that of the keys, because a
/// withdrawn key has to be refused within seconds.
const REREAD_ORDER: [Kind; 12] = [
    Kind::Key,
    Kind::Site,
    Kind::Key,
    Kind::Organisation,
    Kind::Key,
    Kind::BackendServer,
    Kind::Key,
    Kind::Adapter,
    Kind::Key,
    Kind::Route,
    Kind::Key,
    Kind::Objective,
];

/// State read from the store. It is read again whenever an instance becomes the acceptor.
struct State {
    /// Revision up to which specifications were processed.
    revision: u64,
    /// Accepted objects with their versions.
    accepted: HashMap<ObjectKey, (u64, AcceptedRecord)>,
    table: ConfigTable,
    /// Newest version of each specification that is not accepted.
    rejected: HashMap<ObjectKey, Object>,
    /// Number of lists read in addition to the watch.
    reread_count: usize,
    /// Time of the last such list, in milliseconds on the monotonic clock of this process.
    reread_ms: u64,
}

/// Accepts specifications whenever this instance is the acceptor, until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut state = None;
    loop {
        if !has_role(&instance) {
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
                warn!(%cause, "the acceptor cannot use the store");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Whether this instance is the acceptor, as far as it knows.
pub fn has_role(instance: &Instance) -> bool {
    instance.with_membership(|membership| {
        let candidates =
            membership.store_candidates(instance.is_stopping(), instance.reaches_store());
        let names = candidates.iter().map(|name| &**name);
        rendezvous::choose(ROLE, names) == Some(&*instance.id.name)
    })
}

async fn load_state(instance: &Instance) -> Result<State, Error> {
    let mut state = State {
        revision: 0,
        accepted: HashMap::new(),
        table: ConfigTable::default(),
        rejected: HashMap::new(),
        reread_count: 0,
        reread_ms: instance.now_ms(),
    };
    for object in instance.platform.list(ACCEPTED_KIND).await?.objects {
        state.apply_accepted(instance, &object);
    }
    let mut revision = u64::MAX;
    let (mut present, mut deleted) = (Vec::new(), Vec::new());
    for kind in Kind::ALL {
        let list = instance.platform.list(&store::spec_kind(kind)).await?;
        revision = revision.min(list.revision);
        deleted.extend(state.missed_deletions(kind, &list.objects, list.revision));
        present.extend(list.objects);
    }
    info!(specifications = present.len(), "took over as acceptor");
    state.revision = revision;
    for object in present.into_iter().chain(deleted) {
        state.process_specification(instance, object).await?;
    }
    state.reprocess_rejected(instance).await?;
    Ok(state)
}

async fn poll_changes(instance: &Instance, mut state: State) -> Result<State, Error> {
    let kinds = Kind::ALL.map(store::spec_kind);
    let kinds: Vec<&str> = kinds.iter().map(String::as_str).collect();
    let batch = match instance
        .platform
        .watch(&kinds, state.revision, WATCH_WAIT_MS)
        .await
    {
        Ok(batch) => batch,
        Err(cause) if cause.classify() == Category::Gone => return load_state(instance).await,
        Err(cause) => {
            // The state stays valid, because a failed watch has processed nothing.
            warn!(%cause, "the acceptor cannot watch the store");
            sleep(Duration::from_millis(RETRY_MS)).await;
            return Ok(state);
        }
    };
    let has_events = !batch.events.is_empty();
    for object in batch.events {
        state.process_specification(instance, object).await?;
    }
    if has_events {
        state.reprocess_rejected(instance).await?;
    }
    state.revision = batch.revision;
    if instance.now_ms() >= state.reread_ms + REREAD_PERIOD_MS {
        state.reread(instance).await?;
    }
    Ok(state)
}

impl State {
    /// Records an accepted object and puts it in force here, so that peers can pull it from this
    /// instance even if every watch omits it.
    fn apply_accepted(&mut self, instance: &Instance, object: &Object) {
        let record = store::read_record(object, ACCEPTED_KIND).ok();
        let entry = store::accepted_entry(object);
        if let (Some(record), Some(entry)) = (record, entry) {
            self.accepted
                .insert(entry.key.clone(), (object.version, record));
            config_sync::apply(instance, vec![entry.clone()]);
            self.table.apply(entry);
        }
    }

    /// Lists the next kind of specification, because a watch may have omitted a change.
    async fn reread(&mut self, instance: &Instance) -> Result<(), Error> {
        let kind = REREAD_ORDER[self.reread_count % REREAD_ORDER.len()];
        self.reread_count += 1;
        self.reread_ms = instance.now_ms();
        let list = instance.platform.list(&store::spec_kind(kind)).await?;
        let deleted = self.missed_deletions(kind, &list.objects, list.revision);
        let is_rejected = |object: &Object| {
            let key = ObjectKey {
                kind,
                name: object.name.clone(),
            };
            self.rejected.get(&key).map(|known| known.version) == Some(object.version)
        };
        let present: Vec<Object> = list
            .objects
            .into_iter()
            .filter(|object| !is_rejected(object))
            .collect();
        for object in present.into_iter().chain(deleted) {
            self.process_specification(instance, object).await?;
        }
        Ok(())
    }

    /// Deletions that the watch omitted: accepted resources of a kind without a specification.
    fn missed_deletions(&self, kind: Kind, present: &[Object], revision: u64) -> Vec<Object> {
        let names: HashSet<&str> = present.iter().map(|object| &*object.name).collect();
        let is_deleted = |key: &ObjectKey, record: &AcceptedRecord| {
            key.kind == kind && record.spec.is_some() && !names.contains(&*key.name)
        };
        let accepted = self.accepted.iter();
        accepted
            .filter(|(key, (_, record))| is_deleted(key, record))
            .map(|(key, _)| Object {
                kind: store::spec_kind(kind).into(),
                name: key.name.clone(),
                version: revision,
                value: Value::Null,
                deleted: true,
            })
            .collect()
    }

    /// Validates one version of a specification and writes the accepted object or the rejection.
    async fn process_specification(
        &mut self,
        instance: &Instance,
        object: Object,
    ) -> Result<(), Error> {
        let Some(kind) = store::resource_kind(&object.kind) else {
            return Ok(());
        };
        let key = ObjectKey {
            kind,
            name: object.name.clone(),
        };
        let known = self.accepted.get(&key).map(|(_, record)| record);
        match acceptance::decide(kind, &object, known, &self.table) {
            Acceptance::UpToDate => {}
            Acceptance::Accept(record) => {
                self.write_accepted(instance, &key, record).await?;
                self.rejected.remove(&key);
            }
            Acceptance::Reject(status) => {
                write_status(instance, &key, &status).await?;
                self.rejected.insert(key, object);
            }
        }
        Ok(())
    }

    /// Validates the rejected specifications again until no more of them become valid.
    async fn reprocess_rejected(&mut self, instance: &Instance) -> Result<(), Error> {
        loop {
            let before = self.rejected.len();
            let rejected: Vec<Object> = self.rejected.values().cloned().collect();
            for object in rejected {
                self.process_specification(instance, object).await?;
            }
            if self.rejected.len() == before {
                return Ok(());
            }
        }
    }

    async fn write_accepted(
        &mut self,
        instance: &Instance,
        key: &ObjectKey,
        record: AcceptedRecord,
    ) -> Result<(), Error> {
        let name = store::qualified_name(key.kind, &key.name);
        let precondition = match self.accepted.get(key) {
            Some((version, _)) => Precondition::Version(*version),
            None => Precondition::Absent,
        };
        let value = store::to_value(&record);
        let object = instance
            .platform
            .put(ACCEPTED_KIND, &name, &value, precondition)
            .await?;
        info!(resource = %name, generation = record.generation, "accepted a change");
        // `rollout` writes its status, with the number of instances.
        instance.record_accepted(&object);
        self.apply_accepted(instance, &object);
        Ok(())
    }
}

/// Writes the status of a rejected specification unless a newer one has a status already.
async fn write_status(
    instance: &Instance,
    key: &ObjectKey,
    status: &StatusRecord,
) -> Result<(), Error> {
    let name = store::qualified_name(key.kind, &key.name);
    let value = store::to_value(status);
    loop {
        let known = match instance.platform.get(STATUS_KIND, &name).await {
            Ok(object) => Some(object),
            Err(cause) if cause.classify() == Category::NotFound => None,
            Err(cause) => return Err(cause),
        };
        if known
            .as_ref()
            .is_some_and(|object| is_current(object, status))
        {
            return Ok(());
        }
        let precondition = known.map_or(Precondition::Absent, |object| {
            Precondition::Version(object.version)
        });
        let put = instance
            .platform
            .put(STATUS_KIND, &name, &value, precondition);
        match put.await {
            // A status, such as that of an older specification, was written in between; it is read
            // and compared again.
            Err(cause) if cause.classify() == Category::Conflict => {}
            written => return written.map(|_| ()),
        }
    }
}

/// Whether the stored status equals `status` or belongs to a newer specification.
fn is_current(object: &Object, status: &StatusRecord) -> bool {
    let stored: Option<StatusRecord> = store::read_record(object, STATUS_KIND).ok();
    stored.is_some_and(|stored| {
        stored.observed_generation > status.observed_generation || stored == *status
    })
}
