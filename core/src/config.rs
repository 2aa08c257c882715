//! The configuration in force, kept as a per-object maximum of store revisions.
//!
//! The store is the arbiter: its revisions only grow. An instance that learns of an object from
//! the store or from a peer keeps the entry with the larger revision, and keeps deletions as
//! tombstones, so that no order of arrival makes the configuration revert.

use std::collections::{BTreeMap, HashMap};

use crate::name::Name;
use crate::resource::{
    Adapter, BackendServer, Key, Kind, Organisation, Route, RouteTarget, Site, Spec,
};

crate::key_record! {
    /// Identity of a resource.
    pub struct ObjectKey {
        /// Kind of the resource.
        pub kind: Kind,
        /// Name of the resource, unique in its kind.
        pub name: Name,
    }
}

crate::record! {
    /// An accepted generation of a resource, or its deletion.
    pub struct Accepted {
        /// Identity of the resource.
        pub key: ObjectKey,
        /// Store revision of the accepted object. Invariant: only grows for a key.
        pub revision: u64,
        /// The content; `None` is a tombstone.
        pub spec: Option<Spec>,
    }
}

/// Accepted resources by identity, with the indices that admission needs.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    entries: HashMap<Kind, HashMap<Name, Accepted>>,
    /// Names of keys by the hash of the key.
    key_by_sha256: HashMap<Name, Name>,
    /// Names of plain routes by path prefix.
    plain_by_prefix: BTreeMap<Name, Name>,
    /// Names of backend servers by pool, sorted.
    servers_by_pool: HashMap<Name, Vec<Name>>,
    /// Entries by revision, so that those above a revision are found without a scan.
    by_revision: BTreeMap<u64, ObjectKey>,
}

impl ConfigTable {
    /// Takes in an entry; returns whether it is newer than what was known.
    pub fn apply(&mut self, entry: Accepted) -> bool {
        let known = self.entry(entry.key.kind, &entry.key.name).cloned();
        if let Some(known) = &known
            && known.revision >= entry.revision
        {
            return false;
        }
        if let Some(known) = known {
            self.by_revision.remove(&known.revision);
            self.unindex(&known);
        }
        self.by_revision.insert(entry.revision, entry.key.clone());
        self.index(&entry);
        let of_kind = self.entries.entry(entry.key.kind).or_default();
        of_kind.insert(entry.key.name.clone(), entry);
        true
    }

    /// Largest revision that was applied.
    pub fn revision(&self) -> u64 {
        self.by_revision
            .last_key_value()
            .map_or(0, |(revision, _)| *revision)
    }

    /// The entry of a resource, a tombstone included.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<&Accepted> {
        self.entries.get(&kind)?.get(name)
    }

    /// The content of a resource, unless it is absent or deleted.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.entry(kind, name)?.spec.as_ref()
    }

    /// The organisation of that name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        match self.get(Kind::Organisation, name)? {
            Spec::Organisation(spec) => Some(spec),
            _ => None,
        }
    }

    /// The key with that hash, and its name.
    pub fn key_by_sha256(&self, sha256: &str) -> Option<(&Name, &Key)> {
        let name = self.key_by_sha256.get(sha256)?;
        Some((name, self.key(name)?))
    }

    /// The key of that name.
    pub fn key(&self, name: &str) -> Option<&Key> {
        match self.get(Kind::Key, name)? {
            Spec::Key(spec) => Some(spec),
            _ => None,
        }
    }

    /// The route of that name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        match self.get(Kind::Route, name)? {
            Spec::Route(spec) => Some(spec),
            _ => None,
        }
    }

    /// The plain route with the longest prefix of `path`, and its name.
    pub fn plain_route(&self, path: &str) -> Option<(&Name, &Route)> {
        let name = prefixes(path).find_map(|prefix| self.plain_by_prefix.get(prefix))?;
        Some((name, self.route(name)?))
    }

    /// The adapter of that name.
    pub fn adapter(&self, name: &str) -> Option<(&Name, &Adapter)> {
        let (name, entry) = self.entries.get(&Kind::Adapter)?.get_key_value(name)?;
        match entry.spec.as_ref()? {
            Spec::Adapter(spec) => Some((name, spec)),
            _ => None,
        }
    }

    /// The backend server of that name.
    pub fn server(&self, name: &str) -> Option<&BackendServer> {
        match self.get(Kind::BackendServer, name)? {
            Spec::BackendServer(spec) => Some(spec),
            _ => None,
        }
    }

    /// Names of the backend servers of a pool, sorted.
    pub fn servers_in_pool(&self, pool: &str) -> &[Name] {
        self.servers_by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// The settings of the site, if any were written.
    pub fn site(&self) -> Option<&Site> {
        self.of_kind(Kind::Site).find_map(|(_, spec)| match spec {
            Spec::Site(spec) => Some(spec),
            _ => None,
        })
    }

    /// All resources that are not deleted, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&ObjectKey, &Spec)> {
        let entries = self.entries.values().flat_map(HashMap::values);
        entries.filter_map(|entry| Some((&entry.key, entry.spec.as_ref()?)))
    }

    /// All resources of a kind that are not deleted, in no particular order.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&Name, &Spec)> {
        let entries = self.entries.get(&kind).into_iter().flatten();
        entries.filter_map(|(name, entry)| Some((name, entry.spec.as_ref()?)))
    }

    /// Up to `limit` entries with a revision above `revision`, oldest first, tombstones included.
    pub fn newer_than(&self, revision: u64, limit: usize) -> Vec<Accepted> {
        self.by_revision
            .range(revision + 1..)
            .take(limit)
            .filter_map(|(_, key)| self.entry(key.kind, &key.name).cloned())
            .collect()
    }

    fn index(&mut self, entry: &Accepted) {
        let name = &entry.key.name;
        match &entry.spec {
            Some(Spec::Key(key)) => {
                self.key_by_sha256.insert(key.sha256.clone(), name.clone());
            }
            Some(Spec::Route(route)) => {
                if let RouteTarget::Plain { path_prefix, .. } = &route.target {
                    self.plain_by_prefix
                        .insert(path_prefix.clone(), name.clone());
                }
            }
            Some(Spec::BackendServer(server)) => {
                let pool = self.servers_by_pool.entry(server.pool.clone()).or_default();
                if let Err(place) = pool.binary_search(name) {
                    pool.insert(place, name.clone());
                }
            }
            _ => {}
        }
    }

    fn unindex(&mut self, entry: &Accepted) {
        let name = &entry.key.name;
        match &entry.spec {
            Some(Spec::Key(key)) if self.key_by_sha256.get(&key.sha256) == Some(name) => {
                self.key_by_sha256.remove(&key.sha256);
            }
            Some(Spec::Route(route)) => {
                if let RouteTarget::Plain { path_prefix, .. } = &route.target
                    && self.plain_by_prefix.get(path_prefix) == Some(name)
                {
                    self.plain_by_prefix.remove(path_prefix);
                }
            }
            Some(Spec::BackendServer(server)) => {
                if let Some(pool) = self.servers_by_pool.get_mut(&server.pool) {
                    pool.retain(|member| member != name);
                }
            }
            _ => {}
        }
    }
}

/// The prefixes of a path that end at a segment, longest first.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let path = path.split('?').next().unwrap_or(path);
    let ends = path
        .char_indices()
        .rev()
        .filter(|(_, c)| *c == '/')
        .map(|(at, _)| &path[..at]);
    std::iter::once(path)
        .chain(ends)
        .filter(|prefix| !prefix.is_empty())
}
