//! Software versions of the servers of each service.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::backend::Backend;
use crate::name::Name;

/// Time for which a version is kept after its last server has left, in milliseconds. Callers may still
/// take up streams that began at it.
const KEEP_MS: u64 = 60_000;

/// Software versions that servers have, or had until recently.
///
/// A process that has just started knows the versions of registered servers only. Streams may have begun
/// at versions whose last server left before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SoftwareVersions {
    by_service: HashMap<Name, BTreeMap<Name, Presence>>,
    /// Whether the versions of before the first observation are known.
    knows_earlier: bool,
    /// Time of the first observation, in milliseconds; `None` before it.
    observed_from_ms: Option<u64>,
}

crate::record! {
    /// The versions that the services have, or had until recently, for processes that start later.
    #[derive(Default)]
    pub struct VersionHistory {
        /// Whether there are no others.
        pub is_complete: bool,
        /// Versions of each service.
        pub versions: BTreeMap<Name, BTreeSet<Name>>,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// A server with this version is registered.
    Registered,
    /// The last one has left at this time, in milliseconds.
    LeftAt(u64),
}

impl SoftwareVersions {
    /// Creates the versions of a site that starts for the first time, so that no stream began before.
    pub fn of_first_start() -> Self {
        Self {
            knows_earlier: true,
            ..Self::default()
        }
    }

    /// Takes over what earlier processes have observed. The versions that are not registered count as
    /// having left now.
    pub fn adopt(&mut self, history: &VersionHistory, now_ms: u64) {
        for (service, recorded) in &history.versions {
            let versions = self.by_service.entry(service.clone()).or_default();
            for version in recorded {
                let presence = versions.entry(version.clone());
                presence.or_insert(Presence::LeftAt(now_ms));
            }
        }
        self.knows_earlier |= history.is_complete;
    }

    /// Returns the versions that streams which a caller may still take up can have begun at.
    pub fn history(&self, now_ms: u64) -> VersionHistory {
        let services = self.by_service.keys();
        let versions = services.map(|service| {
            let kept = self.kept(service, now_ms);
            (service.clone(), kept.cloned().collect())
        });
        VersionHistory {
            is_complete: self.is_complete(now_ms),
            versions: versions.collect(),
        }
    }

    /// Returns whether every version is known at which a stream can have begun that a caller may still take
    /// up.
    fn is_complete(&self, now_ms: u64) -> bool {
        let observed_from_ms = self.observed_from_ms;
        self.knows_earlier || observed_from_ms.is_some_and(|from_ms| now_ms >= from_ms + KEEP_MS)
    }

    /// Applies the list of registered servers. Returns the services whose registered versions have
    /// changed.
    pub fn observe<'a>(
        &mut self,
        backends: impl Iterator<Item = &'a Backend>,
        now_ms: u64,
    ) -> Vec<Name> {
        self.observed_from_ms.get_or_insert(now_ms);
        let before = self.registered();
        for versions in self.by_service.values_mut() {
            for presence in versions.values_mut() {
                if *presence == Presence::Registered {
                    *presence = Presence::LeftAt(now_ms);
                }
            }
            versions.retain(|_, presence| presence.is_kept(now_ms));
        }
        for backend in backends {
            if let Some(version) = &backend.software_version {
                let versions = self.by_service.entry(backend.service.clone()).or_default();
                versions.insert(version.clone(), Presence::Registered);
            }
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
        let after = self.registered();
        let services = after.keys().chain(before.keys());
        let mut changed: Vec<Name> = services
            .filter(|service| before.get(*service) != after.get(*service))
            .cloned()
            .collect();
        changed.sort();
        changed.dedup();
        changed
    }

    /// Returns the version at which each stream of a service has begun that a caller may still take
    /// up; `None` if there are several such versions, or none, or if there may be others.
    pub fn only_version(&self, service: &str, now_ms: u64) -> Option<&Name> {
        if !self.is_complete(now_ms) {
            return None;
        }
        let mut kept = self.kept(service, now_ms);
        let first = kept.next()?;
        kept.next().is_none().then_some(first)
    }

    /// Returns whether streams of a service that a caller may still take up can have begun at several
    /// versions.
    pub fn has_several(&self, service: &str, now_ms: u64) -> bool {
        self.kept(service, now_ms).nth(1).is_some()
    }

    /// Returns whether there is a service whose streams can have begun at several versions.
    pub fn any_with_several(&self, now_ms: u64) -> bool {
        let mut services = self.by_service.keys();
        services.any(|service| self.has_several(service, now_ms))
    }

    /// Returns the services whose streams can have begun at several versions.
    pub fn services_with_several(&self, now_ms: u64) -> BTreeSet<Name> {
        let services = self.by_service.keys();
        let several = services.filter(|service| self.has_several(service, now_ms));
        several.cloned().collect()
    }

    /// Returns the versions of the registered servers of a service.
    pub fn registered_of(&self, service: &str) -> Vec<&Name> {
        let versions = self.by_service.get(service).into_iter().flatten();
        let registered = versions.filter(|(_, presence)| **presence == Presence::Registered);
        registered.map(|(version, _)| version).collect()
    }

    fn kept(&self, service: &str, now_ms: u64) -> impl Iterator<Item = &Name> {
        let versions = self.by_service.get(service).into_iter().flatten();
        let kept = versions.filter(move |(_, presence)| presence.is_kept(now_ms));
        kept.map(|(version, _)| version)
    }

    fn registered(&self) -> HashMap<Name, Vec<Name>> {
        let services = self.by_service.keys();
        let with_versions = services.map(|service| {
            let versions = self.registered_of(service).into_iter();
            (service.clone(), versions.cloned().collect::<Vec<Name>>())
        });
        with_versions
            .filter(|(_, versions)| !versions.is_empty())
            .collect()
    }
}

impl Presence {
    fn is_kept(self, now_ms: u64) -> bool {
        match self {
            Self::Registered => true,
            Self::LeftAt(left_ms) => now_ms < left_ms + KEEP_MS,
        }
    }
}
