//! Backend servers that this instance uses: those that are registered, as far as what it has observed
//! of them allows.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};

use mimosabay_core::backend::{Backend, ServerState};
use mimosabay_core::evacuations::Evacuations;
use mimosabay_core::name::Name;
use mimosabay_core::registrations::{RegistrationChange, Registrations};
use mimosabay_core::software_versions::{SoftwareVersions, VersionHistory};
use tokio::sync::watch;
use tracing::info;

/// Time after an outage of the store within which live servers are registered again, in
/// milliseconds.
const RETURN_GRACE_MS: u64 = 2_000;

/// Time for which an entry that a new era of the store still has, although the server was removed, is
/// not used, in milliseconds. A server that is gone is removed again within it.
const HOLD_BACK_MS: u64 = 6_000;
/// Time for which removed servers are remembered, in milliseconds.
const REMEMBER_REMOVED_MS: u64 = 60_000;

/// All registered servers at one point in time.
pub(crate) type Snapshot = Arc<BTreeMap<Name, Arc<Backend>>>;

/// The registered servers. Readers take a snapshot.
pub(crate) struct Backends {
    table: Mutex<Table>,
    snapshot: watch::Sender<Snapshot>,
}

#[derive(Default)]
struct Table {
    /// What the store says, whatever this instance has observed.
    registrations: Registrations,
    /// The servers in use: the registrations with what was observed applied to them.
    servers: BTreeMap<Name, Arc<Backend>>,
    /// Servers whose entry is missing, and when they count as removed, in milliseconds.
    missing: HashMap<Name, u64>,
    /// Until when missing entries may be registered again, in milliseconds.
    grace_until_ms: u64,
    /// Servers that were removed.
    removed: HashMap<Name, Removal>,
    /// Servers that leave, whatever their entries say.
    leaving: HashMap<Name, Leaving>,
    /// When the era of the store began, in milliseconds; `None` if it has not changed.
    era_began_ms: Option<u64>,
    /// Entries of servers that were removed in an earlier era of the store. They are used once
    /// [`HOLD_BACK_MS`] have passed since the era began.
    held_back: BTreeMap<Name, Backend>,
    evacuations: Evacuations,
    software_versions: SoftwareVersions,
}

/// Removal of a server.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Start of the removed server in Unix milliseconds.
    started_unix_ms: u64,
    /// Time of the removal, in milliseconds.
    removed_ms: u64,
}

/// A server that leaves, which holds until it starts again.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// Its start in Unix milliseconds.
    started_unix_ms: u64,
    /// Time at which it was noted, in milliseconds.
    noted_ms: u64,
}

impl Backends {
    /// Creates an empty table. At the first start of a site no stream began before.
    pub(crate) fn new(is_first_start: bool) -> Self {
        let software_versions = if is_first_start {
            SoftwareVersions::of_first_start()
        } else {
            SoftwareVersions::default()
        };
        let table = Table {
            software_versions,
            ..Table::default()
        };
        Self {
            table: Mutex::new(table),
            snapshot: watch::Sender::new(Arc::default()),
        }
    }

    pub(crate) fn get(&self, id: &str) -> Option<Arc<Backend>> {
        self.snapshot.borrow().get(id).cloned()
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        self.snapshot.borrow().clone()
    }

    /// Returns the software versions of the servers.
    pub(crate) fn software_versions(&self) -> SoftwareVersions {
        let table = self.table.lock().expect("backends lock");
        table.software_versions.clone()
    }

    /// Returns the software versions of the servers, for processes that start later.
    pub(crate) fn version_history(&self, now_ms: u64) -> VersionHistory {
        let table = self.table.lock().expect("backends lock");
        table.software_versions.history(now_ms)
    }

    /// Takes over the software versions that earlier processes have observed.
    pub(crate) fn adopt_version_history(&self, history: &VersionHistory, now_ms: u64) {
        let mut table = self.table.lock().expect("backends lock");
        table.software_versions.adopt(history, now_ms);
        self.publish(&mut table, now_ms);
    }

    /// Returns whether streams of some service can have begun at several software versions.
    pub(crate) fn have_several_versions(&self, now_ms: u64) -> bool {
        let table = self.table.lock().expect("backends lock");
        table.software_versions.any_with_several(now_ms)
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Snapshot> {
        self.snapshot.subscribe()
    }

    /// Starts the grace period after an outage of the store, during which entries may have expired.
    pub(crate) fn start_return_grace(&self, now_ms: u64) {
        self.table.lock().expect("backends lock").grace_until_ms = now_ms + RETURN_GRACE_MS;
    }

    /// Prepares for entries from an older copy of the store. Servers that registered after the copy was
    /// made have time to return, and those that leave stay so although the copy may be older.
    pub(crate) fn begin_store_era(&self, now_ms: u64) {
        let mut table = self.table.lock().expect("backends lock");
        table.grace_until_ms = now_ms + RETURN_GRACE_MS;
        table.era_began_ms = Some(now_ms);
        table.evacuations.begin_store_era(now_ms);
        table.note_all_leaving(now_ms);
    }

    /// Records that a server has said in an answer that it leaves.
    pub(crate) fn note_leaving(&self, backend: &Backend, now_ms: u64) {
        let mut table = self.table.lock().expect("backends lock");
        if table.is_leaving(backend) {
            return;
        }
        info!(event = "server_leaving", server = %backend.id, source = "answer");
        table.note_leaving(backend, now_ms);
        let current = table.servers.get(&backend.id).cloned();
        if let Some(current) = current.filter(|it| it.is_ready()) {
            table.put(Backend::clone(&current), now_ms);
            self.publish(&mut table, now_ms);
        }
    }

    /// Returns the servers of a service that have said in an answer that they leave, or that left when
    /// the store came back from an older copy. The placer may not know.
    pub(crate) fn noted_leaving(&self, service: &Name) -> Vec<Name> {
        let table = self.table.lock().expect("backends lock");
        let leaving = table.leaving.keys();
        let leaving = leaving.filter(|id| {
            let server = table.servers.get(*id);
            server.is_some_and(|it| it.service == *service && table.is_leaving(it))
        });
        leaving.cloned().collect()
    }

    /// Replaces the table by a complete list.
    pub(crate) fn reset(&self, list: impl IntoIterator<Item = Backend>, now_ms: u64) {
        let list: Vec<Backend> = list.into_iter().collect();
        let mut table = self.table.lock().expect("backends lock");
        table.registrations.reset(list.iter().cloned());
        let mut unseen: Vec<Name> = table.servers.keys().cloned().collect();
        table.held_back.clear();
        for backend in list {
            unseen.retain(|id| *id != backend.id);
            table.put(backend, now_ms);
        }
        for id in unseen {
            table.remove(&id, now_ms);
        }
        self.publish(&mut table, now_ms);
    }

    /// Applies single changes in their order; returns for each whether it concerns other instances.
    pub(crate) fn apply_changes(
        &self,
        changes: impl IntoIterator<Item = RegistrationChange>,
        now_ms: u64,
    ) -> Vec<bool> {
        let mut table = self.table.lock().expect("backends lock");
        let changes = changes.into_iter();
        let are_relevant = changes.map(|change| table.apply(change, now_ms)).collect();
        self.publish(&mut table, now_ms);
        are_relevant
    }

    /// Removes servers whose entry was not registered again in time.
    pub(crate) fn remove_expired(&self, now_ms: u64) {
        let mut table = self.table.lock().expect("backends lock");
        let is_changed = table.remove_expired(now_ms) | table.release_held_back(now_ms);
        if table.evacuations.release_held(now_ms) | is_changed {
            self.publish(&mut table, now_ms);
        }
    }

    /// Applies changes of the evacuated zones. Returns them all if they have changed.
    pub(crate) fn update_evacuations(
        &self,
        update: impl FnOnce(&mut Evacuations),
        now_ms: u64,
    ) -> Option<BTreeSet<Name>> {
        let mut table = self.table.lock().expect("backends lock");
        let before = table.evacuations.zones();
        update(&mut table.evacuations);
        let zones = table.evacuations.zones();
        if zones == before {
            return None;
        }
        self.publish(&mut table, now_ms);
        Some(zones)
    }

    fn publish(&self, table: &mut Table, now_ms: u64) {
        table.observe_software_versions(now_ms);
        self.snapshot.send_replace(Arc::new(table.in_use()));
    }
}

impl Table {
    /// Applies a change of the entries; returns whether it concerns other instances.
    fn apply(&mut self, change: RegistrationChange, now_ms: u64) -> bool {
        self.log_start(&change);
        let is_relevant = self.registrations.apply(&change);
        match change {
            RegistrationChange::Put(backend) => self.put(backend, now_ms),
            RegistrationChange::Removed(id) => self.remove(&id, now_ms),
        }
        is_relevant
    }

    /// Logs an entry that is new, or that shows another start of its server.
    fn log_start(&self, change: &RegistrationChange) {
        let RegistrationChange::Put(backend) = change else {
            return;
        };
        let known = self.registrations.get(&backend.id);
        if known.is_none_or(|it| it.started_unix_ms < backend.started_unix_ms) {
            info!(
                event = "server_registered",
                server = %backend.id,
                service = %backend.service,
                software_version = backend.software_version.as_deref(),
                boot = backend.started_unix_ms
            );
        }
    }

    /// Returns the servers, with those marked whose availability zone is evacuated.
    fn in_use(&self) -> BTreeMap<Name, Arc<Backend>> {
        let mut servers = self.servers.clone();
        for backend in servers.values_mut() {
            if self.evacuations.contains(&backend.zone) {
                Arc::make_mut(backend).is_evacuated = true;
            }
        }
        servers
    }

    fn observe_software_versions(&mut self, now_ms: u64) {
        let servers = self.servers.values().map(|backend| &**backend);
        for service in self.software_versions.observe(servers, now_ms) {
            let versions = self.software_versions.registered_of(&service);
            info!(event = "software_versions_changed", %service, ?versions);
        }
    }

    fn put(&mut self, mut backend: Backend, now_ms: u64) {
        self.missing.remove(&backend.id);
        if self.is_held_back(&backend, now_ms) {
            info!(event = "server_held_back", server = %backend.id);
            self.held_back.insert(backend.id.clone(), backend);
            return;
        }
        self.removed.remove(&backend.id);
        let known = self.servers.get(&backend.id);
        if known.is_some_and(|known| known.started_unix_ms > backend.started_unix_ms) {
            return;
        }
        if self.is_leaving(&backend) && backend.is_ready() {
            info!(event = "server_stays_leaving", server = %backend.id);
            backend.state = ServerState::Draining;
        }
        self.servers.insert(backend.id.clone(), Arc::new(backend));
    }

    fn is_leaving(&self, backend: &Backend) -> bool {
        let leaving = self.leaving.get(&backend.id);
        leaving.is_some_and(|leaving| leaving.started_unix_ms == backend.started_unix_ms)
    }

    fn note_all_leaving(&mut self, now_ms: u64) {
        let servers: Vec<Arc<Backend>> = self.servers.values().cloned().collect();
        for backend in servers.iter().filter(|backend| !backend.is_ready()) {
            self.note_leaving(backend, now_ms);
        }
    }

    fn note_leaving(&mut self, backend: &Backend, now_ms: u64) {
        let noted = Leaving {
            started_unix_ms: backend.started_unix_ms,
            noted_ms: now_ms,
        };
        self.leaving.insert(backend.id.clone(), noted);
    }

    /// Whether an entry may be from an older copy of the store, and the server was removed since.
    fn is_held_back(&self, backend: &Backend, now_ms: u64) -> bool {
        let Some(era_began_ms) = self.era_began_ms else {
            return false;
        };
        let removal = self.removed.get(&backend.id);
        now_ms < era_began_ms + HOLD_BACK_MS
            && removal.is_some_and(|removal| {
                removal.started_unix_ms == backend.started_unix_ms
                    && removal.removed_ms <= era_began_ms
            })
    }

    /// Uses the entries that were held back, once they have been there long enough.
    fn release_held_back(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .era_began_ms
            .is_some_and(|era_began_ms| now_ms >= era_began_ms + HOLD_BACK_MS);
        if !is_due || self.held_back.is_empty() {
            return false;
        }
        for backend in std::mem::take(&mut self.held_back).into_values() {
            self.put(backend, now_ms);
        }
        true
    }

    fn drop_server(&mut self, id: &Name, now_ms: u64) {
        self.missing.remove(id);
        self.removed
            .retain(|_, it| now_ms.saturating_sub(it.removed_ms) <= REMEMBER_REMOVED_MS);
        let servers = &self.servers;
        self.leaving.retain(|id, it| {
            let age_ms = now_ms.saturating_sub(it.noted_ms);
            servers.contains_key(id) || age_ms <= REMEMBER_REMOVED_MS
        });
        if let Some(backend) = self.servers.remove(id) {
            let removal = Removal {
                started_unix_ms: backend.started_unix_ms,
                removed_ms: now_ms,
            };
            self.removed.insert(id.clone(), removal);
        }
    }

    fn remove(&mut self, id: &Name, now_ms: u64) {
        self.held_back.remove(id);
        let may_return = self
            .servers
            .get(id)
            .is_some_and(|backend| backend.is_ready());
        if may_return && now_ms < self.grace_until_ms {
            self.missing
                .entry(id.clone())
                .or_insert(self.grace_until_ms);
        } else {
            self.drop_server(id, now_ms);
        }
    }

    fn remove_expired(&mut self, now_ms: u64) -> bool {
        let before = self.servers.len();
        let expired: Vec<Name> = self
            .missing
            .iter()
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.drop_server(&id, now_ms);
        }
        self.servers.len() != before
    }
}
