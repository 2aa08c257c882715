//! Reads all resources from the store.

use std::collections::BTreeMap;

use futures::future::try_join_all;
use mimosabay_core::config::{ConfigEntry, ConfigTable, ObjectKey};
use mimosabay_core::resource::{Kind, Spec};
use mimosabay_operator::store::{self, ACCEPTED_KIND, STATUS_KIND};
use mimosabay_operator::{AcceptedRecord, SpecRecord, StatusRecord, validate, validate_deletion};
use mimosabay_platform::{Object, Platform};

use crate::conversion::object_key;
use crate::error::Error;

/// All resources of the store at the time of reading.
#[derive(Debug)]
pub(crate) struct Snapshot {
    /// Specification objects.
    pub(crate) specs: BTreeMap<ObjectKey, Object>,
    /// Accepted records, including those of deletions.
    pub(crate) accepted: BTreeMap<ObjectKey, AcceptedRecord>,
    pub(crate) statuses: BTreeMap<ObjectKey, StatusRecord>,
    /// Accepted resources, including pending changes that the acceptor is expected to accept.
    pub(crate) table: ConfigTable,
}

impl Snapshot {
    pub(crate) async fn load(platform: &Platform) -> Result<Self, Error> {
        let lists = Kind::ALL.map(|kind| list_specs(platform, kind));
        let lists = try_join_all(lists);
        let accepted = platform.list(ACCEPTED_KIND);
        let statuses = platform.list(STATUS_KIND);
        let (lists, accepted, statuses) = tokio::join!(lists, accepted, statuses);
        let (accepted, statuses) = (accepted?.objects, statuses?.objects);
        let mut snapshot = Self {
            specs: lists?.into_iter().flatten().collect(),
            accepted: read_all(&accepted, ACCEPTED_KIND),
            statuses: read_all(&statuses, STATUS_KIND),
            table: store::accepted_table(&accepted),
        };
        snapshot.apply_pending();
        Ok(snapshot)
    }

    /// Returns the specification record of a resource, or `None` if it is absent or malformed.
    pub(crate) fn spec(&self, key: &ObjectKey) -> Option<SpecRecord> {
        store::read_record(self.specs.get(key)?, "specification").ok()
    }

    /// Updates the table as if the acceptor had accepted the change of a resource.
    pub(crate) fn apply_as_accepted(&mut self, key: ObjectKey, spec: Option<Spec>) {
        let revision = self.table.revision() + 1;
        self.table.apply(ConfigEntry {
            key,
            revision,
            spec,
        });
    }

    fn apply_pending(&mut self) {
        for kind in Kind::ALL {
            self.apply_pending_changes(kind);
        }
        for kind in Kind::ALL.into_iter().rev() {
            self.apply_pending_deletions(kind);
        }
    }

    fn apply_pending_changes(&mut self, kind: Kind) {
        let observed = |key: &ObjectKey| self.accepted.get(key).map_or(0, |known| known.generation);
        let pending: Vec<_> = self
            .specs
            .iter()
            .filter(|(key, object)| key.kind == kind && object.version > observed(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in pending {
            let Some(record) = self.spec(&key) else {
                continue;
            };
            if let Ok(spec) = validate(kind, &key.name, &record.spec, &self.table) {
                self.apply_as_accepted(key, Some(spec));
            }
        }
    }

    fn apply_pending_deletions(&mut self, kind: Kind) {
        let pending: Vec<_> = self
            .accepted
            .iter()
            .filter(|(key, record)| key.kind == kind && record.spec.is_some())
            .filter(|(key, _)| !self.specs.contains_key(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in pending {
            if validate_deletion(kind, &key.name, &self.table).is_ok() {
                self.apply_as_accepted(key, None);
            }
        }
    }
}

async fn list_specs(platform: &Platform, kind: Kind) -> Result<Vec<(ObjectKey, Object)>, Error> {
    let list = platform.list(&store::spec_kind(kind)).await?;
    let keyed = |object: Object| (object_key(kind, &object.name), object);
    Ok(list.objects.into_iter().map(keyed).collect())
}

fn read_all<T: serde::de::DeserializeOwned>(
    objects: &[Object],
    expected: &'static str,
) -> BTreeMap<ObjectKey, T> {
    let read = |object: &Object| {
        let key = store::parse_qualified_name(&object.name)?;
        let record = store::read_record(object, expected).ok()?;
        Some((key, record))
    };
    objects.iter().filter_map(read).collect()
}
