//! The object store of the platform stand-in: versions, conditional writes and changes since a
//! revision.

use std::collections::{BTreeMap, HashMap};

use mimosabay_core::name::Name;
use mimosabay_platform::{MAX_VALUE_BYTES, Object, ObjectList, Precondition, WatchBatch};
use serde_json::Value;

/// Why a write was not applied.
#[derive(Debug)]
pub(crate) enum Rejection {
    /// The precondition does not hold. Contains the current object, if it exists.
    Conflict(Option<Object>),
    /// The object does not exist.
    NotFound,
    /// The value exceeds [`MAX_VALUE_BYTES`].
    TooLarge,
}

/// The latest version of each object, including deleted ones.
#[derive(Debug, Default)]
pub(crate) struct Store {
    /// Revision of the last write. Invariant: increases by one with each write.
    revision: u64,
    /// Changes since a revision before this one are no longer available.
    compacted_revision: u64,
    objects: HashMap<(Name, Name), Object>,
    /// Invariant: contains each key of `objects` once, under the object's version.
    by_version: BTreeMap<u64, (Name, Name)>,
}

impl Store {
    /// Returns the revision of the last write.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Compacts the history: changes since earlier revisions are no longer available.
    pub(crate) fn compact(&mut self) {
        self.compacted_revision = self.revision;
    }

    /// Returns all objects of a kind, sorted by name.
    pub(crate) fn list(&self, kind: &str) -> ObjectList {
        let mut objects: Vec<Object> = self
            .objects
            .values()
            .filter(|object| &*object.kind == kind && !object.deleted)
            .cloned()
            .collect();
        objects.sort_by(|a, b| a.name.cmp(&b.name));
        ObjectList {
            revision: self.revision,
            objects,
        }
    }

    /// Returns an object, unless it is deleted.
    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects
            .get(&(kind.into(), name.into()))
            .filter(|object| !object.deleted)
    }

    /// Writes an object if the precondition holds.
    pub(crate) fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        precondition: Precondition,
    ) -> Result<Object, Rejection> {
        if value.to_string().len() > MAX_VALUE_BYTES {
            return Err(Rejection::TooLarge);
        }
        self.check_precondition(kind, name, precondition)?;
        Ok(self.write(kind, name, value, false))
    }

    /// Deletes an object if it is at `version`.
    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
    ) -> Result<Object, Rejection> {
        if self.get(kind, name).is_none() {
            return Err(Rejection::NotFound);
        }
        self.check_precondition(kind, name, Precondition::Version(version))?;
        Ok(self.write(kind, name, Value::Null, true))
    }

    /// Returns the changes of `kinds` after a revision; `None` if the history is compacted.
    pub(crate) fn changes(&self, kinds: &[&str], since: u64) -> Option<WatchBatch> {
        if since < self.compacted_revision {
            return None;
        }
        let events = self
            .by_version
            .range(since + 1..)
            .filter(|(_, (kind, _))| kinds.contains(&&**kind))
            .filter_map(|(_, key)| self.objects.get(key).cloned())
            .collect();
        Some(WatchBatch {
            revision: self.revision,
            events,
        })
    }

    fn check_precondition(
        &self,
        kind: &str,
        name: &str,
        precondition: Precondition,
    ) -> Result<(), Rejection> {
        let current = self.get(kind, name);
        let holds = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => {
                current.is_some_and(|object| object.version == version)
            }
        };
        if holds {
            return Ok(());
        }
        Err(Rejection::Conflict(current.cloned()))
    }

    fn write(&mut self, kind: &str, name: &str, value: Value, deleted: bool) -> Object {
        self.revision += 1;
        let object = Object {
            kind: kind.into(),
            name: name.into(),
            version: self.revision,
            value,
            deleted,
        };
        let key = (object.kind.clone(), object.name.clone());
        if let Some(previous) = self.objects.insert(key.clone(), object.clone()) {
            self.by_version.remove(&previous.version);
        }
        self.by_version.insert(self.revision, key);
        object
    }
}
