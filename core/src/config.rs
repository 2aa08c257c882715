//! Table of the configuration in force, which keeps the largest store revision of each object.
//!
//! The revisions of the store only grow. An instance that receives an object from the store or from
//! a peer keeps the entry with the larger revision, and keeps deletions as tombstones, so that the
//! configuration never reverts, whatever the order of arrival.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

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
    /// Accepted generation of a resource, or its deletion.
    pub struct ConfigEntry {
        /// Identity of the resource.
        pub key: ObjectKey,
        /// Store revision of the accepted object. Invariant: only grows for a key.
        pub revision: u64,
        /// Content of the resource; `None` is a tombstone.
        pub spec: Option<Spec>,
    }
}

/// Accepted resources by identity, with indices for admission.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    entries: HashMap<Kind, HashMap<Name, ConfigEntry>>,
    /// Names of keys by the SHA-256 of the key.
    key_by_sha256: HashMap<Name, Name>,
    /// Names of plain routes by path prefix.
    plain_by_prefix: BTreeMap<Name, Name>,
    /// Names of backend servers by pool, sorted.
    servers_by_pool: HashMap<Name, Vec<Name>>,
    /// Keys of entries by revision, for range queries without a scan.
    by_revision: BTreeMap<u64, ObjectKey>,
    /// XOR of the hashes of all entries, independent of their order.
    digest: u64,
}

impl ConfigTable {
    /// Applies an entry if its revision is larger than the known one. Returns whether it was applied.
    pub fn apply(&mut self, entry: ConfigEntry) -> bool {
        let known = self.entry(entry.key.kind, &entry.key.name).cloned();
        if let Some(known) = &known
            && known.revision >= entry.revision
        {
            return false;
        }
        if let Some(known) = known {
            self.by_revision.remove(&known.revision);
            self.digest ^= hash_entry(&known);
            self.remove_from_indices(&known);
        }
        self.by_revision.insert(entry.revision, entry.key.clone());
        self.digest ^= hash_entry(&entry);
        self.add_to_indices(&entry);
        let of_kind = self.entries.entry(entry.key.kind).or_default();
        of_kind.insert(entry.key.name.clone(), entry);
        true
    }

    /// Returns the largest applied revision; 0 if the table is empty.
    pub fn revision(&self) -> u64 {
        self.by_revision
            .last_key_value()
            .map_or(0, |(revision, _)| *revision)
    }

    /// Returns a hash that is equal for two tables with the same revisions of the same resources.
    ///
    /// The largest revision alone does not show whether an earlier entry is missing.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the entry of a resource, which may be a tombstone.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<&ConfigEntry> {
        self.entries.get(&kind)?.get(name)
    }

    /// Returns the content of a resource, unless it is absent or deleted.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.entry(kind, name)?.spec.as_ref()
    }

    /// Returns the organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        match self.get(Kind::Organisation, name)? {
            Spec::Organisation(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the key with this hash, and its name.
    pub fn key_by_sha256(&self, sha256: &str) -> Option<(&Name, &Key)> {
        let name = self.key_by_sha256.get(sha256)?;
        Some((name, self.key(name)?))
    }

    /// Returns the key with this name.
    pub fn key(&self, name: &str) -> Option<&Key> {
        match self.get(Kind::Key, name)? {
            Spec::Key(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the route with this name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        match self.get(Kind::Route, name)? {
            Spec::Route(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the plain route with the longest matching prefix of `path`, and its name.
    pub fn plain_route(&self, path: &str) -> Option<(&Name, &Route)> {
        let name = prefixes(path).find_map(|prefix| self.plain_by_prefix.get(prefix))?;
        Some((name, self.route(name)?))
    }

    /// Returns the adapter with this name, and the name as a shared string.
    pub fn adapter(&self, name: &str) -> Option<(&Name, &Adapter)> {
        let (name, entry) = self.entries.get(&Kind::Adapter)?.get_key_value(name)?;
        match entry.spec.as_ref()? {
            Spec::Adapter(spec) => Some((name, spec)),
            _ => None,
        }
    }

    /// Returns the backend server with this name.
    pub fn server(&self, name: &str) -> Option<&BackendServer> {
        match self.get(Kind::BackendServer, name)? {
            Spec::BackendServer(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the names of the backend servers of a pool, sorted.
    pub fn servers_in_pool(&self, pool: &str) -> &[Name] {
        self.servers_by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the settings of the site, if they exist.
    pub fn site(&self) -> Option<&Site> {
        self.of_kind(Kind::Site).find_map(|(_, spec)| match spec {
            Spec::Site(spec) => Some(spec),
            _ => None,
        })
    }

    /// Returns all resources that are not deleted, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&ObjectKey, &Spec)> {
        let entries = self.entries.values().flat_map(HashMap::values);
        entries.filter_map(|entry| Some((&entry.key, entry.spec.as_ref()?)))
    }

    /// Returns all resources of a kind that are not deleted, in arbitrary order.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&Name, &Spec)> {
        let entries = self.entries.get(&kind).into_iter().flatten();
        entries.filter_map(|(name, entry)| Some((name, entry.spec.as_ref()?)))
    }

    /// Returns up to `limit` entries with a revision above `revision`, oldest first, including
    /// tombstones.
    pub fn newer_than(&self, revision: u64, limit: usize) -> Vec<ConfigEntry> {
        self.by_revision
            .range(revision + 1..)
            .take(limit)
            .filter_map(|(_, key)| self.entry(key.kind, &key.name).cloned())
            .collect()
    }

    fn add_to_indices(&mut self, entry: &ConfigEntry) {
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
                if let Err(position) = pool.binary_search(name) {
                    pool.insert(position, name.clone());
                }
            }
            _ => {}
        }
    }

    fn remove_from_indices(&mut self, entry: &ConfigEntry) {
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

/// Returns a hash of an entry's identity and revision.
fn hash_entry(entry: &ConfigEntry) -> u64 {
    let kind = xxh3_64_with_seed(entry.key.kind.as_str().as_bytes(), entry.revision);
    xxh3_64_with_seed(entry.key.name.as_bytes(), kind)
}

/// Returns the prefixes of a path that end at a segment boundary, longest first.
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
