//! The acceptor: copies valid specifications into accepted objects.
//!
//! Any instance can be the acceptor; rendezvous hashing names one so that the store is not asked
//! by all. Two of them at once are harmless, because the accepted object is written on condition
//! of its version.

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

/// The item by which rendezvous hashing names the acceptor.
const ROLE: &str = "acceptor";
/// Time between two looks at who the acceptor is, and before a failed call is repeated.
const RETRY_MS: u64 = 250;
/// Time that one watch for new specifications waits.
const WATCH_WAIT_MS: u64 = 1_000;

/// Time between two lists that are read beside the watch.
const REREAD_PERIOD_MS: u64 = 1_000;
/// Kinds in the order in which they are read again. Keys come every other time, because a
/// withdrawal has to be in force within seconds.
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

/// What the acceptor knows of the store. It is read anew whenever an instance takes the role.
struct State {
    /// Revision up to which specifications were judged.
    revision: u64,
    /// Accepted objects with their versions.
    accepted: HashMap<ObjectKey, (u64, AcceptedRecord)>,
    table: ConfigTable,
    /// Newest version of each specification that is not accepted.
    rejected: HashMap<ObjectKey, Object>,
    /// Number of lists read beside the watch.
    rereads: usize,
    /// Time of the last of them, on the monotonic clock of this process.
    reread_ms: u64,
}

/// Accepts specifications whenever this instance has the role, until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut state = None;
    loop {
        if !has_role(&instance) {
            state = None;
            sleep(Duration::from_millis(RETRY_MS)).await;
            continue;
        }
        let stepped = match state.take() {
            None => take_over(&instance).await,
            Some(state) => follow(&instance, state).await,
        };
        match stepped {
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

async fn take_over(instance: &Instance) -> Result<State, Error> {
    let mut state = State {
        revision: 0,
        accepted: HashMap::new(),
        table: ConfigTable::default(),
        rejected: HashMap::new(),
        rereads: 0,
        reread_ms: instance.now_ms(),
    };
    for object in instance.platform.list(ACCEPTED_KIND).await?.objects {
        state.take_accepted(instance, &object);
    }
    let mut revision = u64::MAX;
    let (mut present, mut deleted) = (Vec::new(), Vec::new());
    for kind in Kind::ALL {
        let list = instance.platform.list(&store::spec_kind(kind)).await?;
        revision = revision.min(list.revision);
        deleted.extend(state.deleted(kind, &list.objects, list.revision));
        present.extend(list.objects);
    }
    info!(specifications = present.len(), "took over as acceptor");
    state.revision = revision;
    for object in present.into_iter().chain(deleted) {
        state.settle(instance, object).await?;
    }
    state.settle_rejected(instance).await?;
    Ok(state)
}

async fn follow(instance: &Instance, mut state: State) -> Result<State, Error> {
    let kinds = Kind::ALL.map(store::spec_kind);
    let kinds: Vec<&str> = kinds.iter().map(String::as_str).collect();
    let batch = match instance
        .platform
        .watch(&kinds, state.revision, WATCH_WAIT_MS)
        .await
    {
        Ok(batch) => batch,
        Err(cause) if cause.classify() == Category::Gone => return take_over(instance).await,
        Err(cause) => {
            // The state stays usable: a failed watch has judged nothing.
            warn!(%cause, "the acceptor cannot watch the store");
            sleep(Duration::from_millis(RETRY_MS)).await;
            return Ok(state);
        }
    };
    let any = !batch.events.is_empty();
    for object in batch.events {
        state.settle(instance, object).await?;
    }
    if any {
        state.settle_rejected(instance).await?;
    }
    state.revision = batch.revision;
    if instance.now_ms() >= state.reread_ms + REREAD_PERIOD_MS {
        state.reread(instance).await?;
    }
    Ok(state)
}

impl State {
    /// Takes in an accepted object and puts it in force here, so that peers can have it from this
    /// instance even if every watch leaves it out.
    fn take_accepted(&mut self, instance: &Instance, object: &Object) {
        let record = store::read_record(object, ACCEPTED_KIND).ok();
        let entry = store::accepted_entry(object);
        if let (Some(record), Some(entry)) = (record, entry) {
            self.accepted
                .insert(entry.key.clone(), (object.version, record));
            config_sync::apply(instance, vec![entry.clone()]);
            self.table.apply(entry);
        }
    }

    /// Lists one kind of specification, because a watch may have left out a change.
    async fn reread(&mut self, instance: &Instance) -> Result<(), Error> {
        let kind = REREAD_ORDER[self.rereads % REREAD_ORDER.len()];
        self.rereads += 1;
        self.reread_ms = instance.now_ms();
        let list = instance.platform.list(&store::spec_kind(kind)).await?;
        let deleted = self.deleted(kind, &list.objects, list.revision);
        let rejected = |object: &Object| {
            let key = ObjectKey {
                kind,
                name: object.name.clone(),
            };
            self.rejected.get(&key).map(|known| known.version) == Some(object.version)
        };
        let present: Vec<Object> = list
            .objects
            .into_iter()
            .filter(|object| !rejected(object))
            .collect();
        for object in present.into_iter().chain(deleted) {
            self.settle(instance, object).await?;
        }
        Ok(())
    }

    /// Deletions that were not seen: accepted resources of a kind without a specification.
    fn deleted(&self, kind: Kind, present: &[Object], revision: u64) -> Vec<Object> {
        let names: HashSet<&str> = present.iter().map(|object| &*object.name).collect();
        let gone = |key: &ObjectKey, record: &AcceptedRecord| {
            key.kind == kind && record.spec.is_some() && !names.contains(&*key.name)
        };
        let accepted = self.accepted.iter();
        accepted
            .filter(|(key, (_, record))| gone(key, record))
            .map(|(key, _)| Object {
                kind: store::spec_kind(kind).into(),
                name: key.name.clone(),
                version: revision,
                value: Value::Null,
                deleted: true,
            })
            .collect()
    }

    /// Judges one version of a specification and writes what follows.
    async fn settle(&mut self, instance: &Instance, object: Object) -> Result<(), Error> {
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

    /// Judges rejected specifications again until no more of them become valid.
    async fn settle_rejected(&mut self, instance: &Instance) -> Result<(), Error> {
        loop {
            let before = self.rejected.len();
            let rejected: Vec<Object> = self.rejected.values().cloned().collect();
            for object in rejected {
                self.settle(instance, object).await?;
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
        // Its status is written by `rollout`, with the number of instances.
        instance.announce_accepted(&object);
        self.take_accepted(instance, &object);
        Ok(())
    }
}

/// Writes the status of a rejected specification, unless that of a newer one is there.
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
            // The status of an older specification was written in between.
            Err(cause) if cause.classify() == Category::Conflict => {}
            written => return written.map(|_| ()),
        }
    }
}

/// Whether a stored status says the same, or something of a newer specification.
fn is_current(object: &Object, status: &StatusRecord) -> bool {
    let stored: Option<StatusRecord> = store::read_record(object, STATUS_KIND).ok();
    stored.is_some_and(|stored| {
        stored.observed_generation > status.observed_generation || stored == *status
    })
}
