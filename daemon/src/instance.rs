//! State of one instance: its identity, shared tables and connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use mimosabay_core::config::ConfigTable;
use mimosabay_core::freshness::{Freshness, FreshnessTracker, PeerFreshness};
use mimosabay_core::membership::{ListedInstance, Membership, MembershipSettings};
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::retry::RetryBudget;
use mimosabay_http::Client;
use mimosabay_operator::{Settings, SloRecorder};
use mimosabay_peer::{Envelope, Message, Peer, Secret};
use mimosabay_platform::{Object, Platform};
use tokio::sync::watch;

use crate::budgets::BudgetTable;
use crate::clock::{Clock, new_incarnation};
use crate::journal::KeyedRuns;
use crate::metrics::Metrics;
use crate::owner::OwnedServer;
use crate::placement::ConfiguredPlacement;
use crate::timer::Timer;
use crate::workers::{PendingOrders, Workers};

/// Smallest time between two comparisons of the whole configuration with peers.
const COMPARISON_PERIOD_MS: u64 = 1_000;

/// Tables that all tasks share.
///
/// Lock order: `config`, `membership`, `freshness`, `owned_servers`, the queue of one owned server,
/// `peers`, `placement`, `retry_budget`, `slo`, `unreported_accepted`, then [`Instance::budgets`]. A
/// task that holds one takes only later ones, and holds none over an await.
pub struct Tables {
    /// The configuration in force.
    pub config: RwLock<ConfigTable>,
    /// Known state of the other instances.
    pub membership: Mutex<Membership>,
    /// Confirmations that the configuration is fresh.
    pub freshness: Mutex<FreshnessTracker>,
    /// Backend servers that this instance dispatches to.
    pub owned_servers: Mutex<HashMap<Name, Arc<OwnedServer>>>,
    /// Connections to other instances, by address.
    pub peers: Mutex<HashMap<Name, Peer>>,
    /// State for the choice of backend servers.
    pub placement: Mutex<ConfiguredPlacement>,
    /// Budget of retries.
    pub retry_budget: Mutex<RetryBudget>,
    /// Service-level counters that are not stored yet.
    pub slo: Mutex<SloRecorder>,
    /// Accepted objects that this instance wrote and `rollout` has not read yet.
    pub unreported_accepted: Mutex<Vec<Object>>,
}

/// State that all tasks of one instance share.
pub struct Instance {
    /// Name and incarnation of this process.
    pub id: InstanceId,
    /// Settings read at the start.
    pub settings: Settings,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Timer service of the process.
    pub timer: Timer,
    /// Tables with their own locks.
    pub tables: Tables,
    /// Runs of requests with an idempotency key. No other lock is held with its lock.
    pub keyed: KeyedRuns,
    /// Budgets of organisations and of the weight store.
    pub budgets: BudgetTable,
    /// Client of the platform.
    pub platform: Platform,
    /// HTTP client for backend servers.
    pub http: Client,
    /// Worker pool for orders to backend servers.
    pub workers: Workers,
    /// Counters and timings, sent to statsd.
    pub metrics: Metrics,
    /// Configuration revision in force, for tasks that wait for a change.
    pub config_changed: watch::Sender<u64>,
    /// Whether the last call to the store for the configuration succeeded.
    pub store_reached: AtomicBool,
    /// Earliest time of the next comparison of the whole configuration with a peer's.
    next_comparison_ms: AtomicU64,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Number of requests that this instance is answering or running.
    pub open_requests: watch::Sender<u64>,
    secret: Secret,
}

impl Instance {
    /// Builds an instance without starting any task.
    pub fn new(settings: Settings, clock: Clock, timer: Timer) -> (Arc<Self>, PendingOrders) {
        let (workers, pending_orders) = Workers::new();
        let membership_settings = MembershipSettings {
            peer_timeout_ms: settings.timing.peer_timeout_ms,
        };
        let id = InstanceId::new(settings.instance.name.clone(), new_incarnation());
        let tables = Tables {
            config: RwLock::default(),
            membership: Mutex::new(Membership::new(listed(&settings), membership_settings)),
            freshness: Mutex::new(FreshnessTracker::new(settings.timing.config_stale_ms)),
            owned_servers: Mutex::default(),
            peers: Mutex::default(),
            placement: Mutex::new(ConfiguredPlacement::new(
                settings.policy.placement,
                id.incarnation,
            )),
            retry_budget: Mutex::default(),
            slo: Mutex::new(SloRecorder::new(id.incarnation)),
            unreported_accepted: Mutex::default(),
        };
        let instance = Self {
            keyed: KeyedRuns::new(id.clone()),
            budgets: BudgetTable::new(id.clone(), settings.policy.budget),
            id,
            clock,
            timer,
            tables,
            platform: Platform::new(&settings.platform.address.to_string()),
            http: Client::new(),
            workers,
            metrics: Metrics::new(&settings.metrics),
            config_changed: watch::Sender::new(0),
            store_reached: AtomicBool::new(false),
            next_comparison_ms: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            open_requests: watch::Sender::new(0),
            secret: Secret::new(settings.peers.secret.reveal()),
            settings,
        };
        (Arc::new(instance), pending_orders)
    }

    /// Milliseconds since the start of this process.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Shared secret by which peers authenticate.
    pub fn secret(&self) -> Secret {
        self.secret.clone()
    }

    /// Whether the last call to the store for the configuration succeeded.
    pub fn reaches_store(&self) -> bool {
        self.store_reached.load(Ordering::Relaxed)
    }

    /// Calls `read` with the configuration under a read lock.
    pub fn with_config<T>(&self, read: impl FnOnce(&ConfigTable) -> T) -> T {
        read(&self.tables.config.read().expect("config lock"))
    }

    /// Calls `access` with the membership under its lock.
    pub fn with_membership<T>(&self, access: impl FnOnce(&mut Membership) -> T) -> T {
        access(&mut self.tables.membership.lock().expect("membership lock"))
    }

    /// Calls `access` with the placement state under its lock.
    pub fn with_placement<T>(&self, access: impl FnOnce(&mut ConfiguredPlacement) -> T) -> T {
        access(&mut self.tables.placement.lock().expect("placement lock"))
    }

    /// Calls `access` with the service-level counters under their lock.
    pub fn with_slo<T>(&self, access: impl FnOnce(&mut SloRecorder) -> T) -> T {
        access(&mut self.tables.slo.lock().expect("service-level lock"))
    }

    /// Records an accepted object that this instance wrote, for `rollout`.
    pub fn record_accepted(&self, object: &Object) {
        let mut accepted = self
            .tables
            .unreported_accepted
            .lock()
            .expect("accepted lock");
        accepted.push(object.clone());
    }

    /// Returns the accepted objects that this instance wrote since the last call.
    pub fn drain_accepted(&self) -> Vec<Object> {
        let mut accepted = self
            .tables
            .unreported_accepted
            .lock()
            .expect("accepted lock");
        std::mem::take(&mut accepted)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Calls `access` with the freshness tracker under its lock.
    pub fn with_freshness<T>(&self, access: impl FnOnce(&mut FreshnessTracker) -> T) -> T {
        access(&mut self.tables.freshness.lock().expect("freshness lock"))
    }

    /// Whether the configuration is fresh enough to admit requests.
    pub fn is_fresh(&self) -> bool {
        let reaches_majority = self.with_membership(|membership| membership.reaches_majority());
        let state =
            self.with_freshness(|freshness| freshness.state(self.now_ms(), reaches_majority));
        matches!(state, Freshness::Fresh | Freshness::StoreUnreachable)
    }

    /// Returns whether the whole configuration may be compared with a peer's now. `true` starts
    /// the interval until the next comparison.
    pub fn try_begin_config_comparison(&self) -> bool {
        let now_ms = self.now_ms();
        let next_ms = self.next_comparison_ms.load(Ordering::SeqCst);
        now_ms >= next_ms
            && self
                .next_comparison_ms
                .compare_exchange(
                    next_ms,
                    now_ms + COMPARISON_PERIOD_MS,
                    Ordering::SeqCst,
                    Ordering::SeqCst,
                )
                .is_ok()
    }

    /// Revision and freshness of the configuration, for heartbeats.
    pub fn freshness(&self) -> PeerFreshness {
        let revision = self.with_config(ConfigTable::revision);
        let age_ms = self.with_freshness(|freshness| freshness.age_ms(self.now_ms()));
        PeerFreshness { revision, age_ms }
    }

    /// The backend servers that this instance dispatches to.
    pub fn owned_servers(&self) -> Vec<Arc<OwnedServer>> {
        self.tables
            .owned_servers
            .lock()
            .expect("owned servers lock")
            .values()
            .cloned()
            .collect()
    }

    /// Removes a backend server, unless another entry has taken its name since.
    pub fn remove_owned(&self, server: &Arc<OwnedServer>) {
        let mut owned_servers = self
            .tables
            .owned_servers
            .lock()
            .expect("owned servers lock");
        if owned_servers
            .get(&server.name)
            .is_some_and(|known| Arc::ptr_eq(known, server))
        {
            owned_servers.remove(&server.name);
        }
    }

    /// Client of the instance at `address`, created on first use.
    pub fn peer(&self, address: &Name) -> Peer {
        let mut peers = self.tables.peers.lock().expect("peers lock");
        peers
            .entry(address.clone())
            .or_insert_with(|| Peer::new(&**address, self.secret()))
            .clone()
    }

    /// Builds an envelope with this process as the sender.
    pub fn envelope(&self, message: Message) -> Envelope {
        Envelope {
            from: self.id.clone(),
            message,
        }
    }

    /// Counts a request as open until the returned value is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.send_modify(|open| *open += 1);
        OpenRequest {
            instance: self.clone(),
        }
    }
}

/// A request that is counted as open.
pub struct OpenRequest {
    instance: Arc<Instance>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.instance.open_requests.send_modify(|open| *open -= 1);
    }
}

fn listed(settings: &Settings) -> ListedInstance {
    ListedInstance {
        name: settings.instance.name.clone(),
        peer_address: settings.instance.peer_address.to_string().into(),
        zone: settings.instance.zone.clone(),
        leaving: false,
    }
}
