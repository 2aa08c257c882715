//! One instance: its identity, its shared tables and its links to the outside.

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
/// Lock order: `config`, `membership`, `proof`, `owned`, the queue of one owned server, `peers`,
/// `placing`, `retry_budget`, `slo`, `accepted_here`, then [`Instance::budgets`]. A task that holds one
/// takes only later ones, and holds none over an await.
pub struct Tables {
    /// The configuration in force.
    pub config: RwLock<ConfigTable>,
    /// What is known of the other instances.
    pub membership: Mutex<Membership>,
    /// Proofs that the configuration is fresh.
    pub freshness: Mutex<FreshnessTracker>,
    /// Backend servers that this instance dispatches to.
    pub owned_servers: Mutex<HashMap<Name, Arc<OwnedServer>>>,
    /// Connections to other instances, by address.
    pub peers: Mutex<HashMap<Name, Peer>>,
    /// What is known for the choice of backend servers.
    pub placement: Mutex<ConfiguredPlacement>,
    /// Retries that may be made.
    pub retry_budget: Mutex<RetryBudget>,
    /// Service-level counters that are not stored yet.
    pub slo: Mutex<SloRecorder>,
    /// Accepted objects that this instance wrote and has not reported on yet.
    pub unreported_accepted: Mutex<Vec<Object>>,
}

/// One instance.
pub struct Instance {
    /// This process.
    pub id: InstanceId,
    /// The settings it was started with.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// Its timer service.
    pub timer: Timer,
    /// Tables that all tasks share.
    pub tables: Tables,
    /// Runs of requests with an idempotency key. Its lock is taken alone.
    pub keyed: KeyedRuns,
    /// Budgets of organisations and of the weight store.
    pub budgets: BudgetTable,
    /// The platform.
    pub platform: Platform,
    /// Connections to backend servers.
    pub http: Client,
    /// Workers for orders to backend servers.
    pub workers: Workers,
    /// Counters and times.
    pub metrics: Metrics,
    /// Configuration revision, for those who wait for a change.
    pub config_changed: watch::Sender<u64>,
    /// Whether the last call that followed the configuration in the store was answered.
    pub store_reached: AtomicBool,
    /// Earliest time of the next comparison of the whole configuration with a peer's.
    next_comparison_ms: AtomicU64,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Requests that this instance answers or runs.
    pub open_requests: watch::Sender<u64>,
    secret: Secret,
}

impl Instance {
    /// Builds an instance; nothing runs yet.
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

    /// The secret that peers prove to know.
    pub fn secret(&self) -> Secret {
        self.secret.clone()
    }

    /// Whether this instance reaches the platform's store.
    pub fn reaches_store(&self) -> bool {
        self.store_reached.load(Ordering::Relaxed)
    }

    /// Reads the configuration.
    pub fn with_config<T>(&self, read: impl FnOnce(&ConfigTable) -> T) -> T {
        read(&self.tables.config.read().expect("config lock"))
    }

    /// Reads or changes what is known of the other instances.
    pub fn with_membership<T>(&self, access: impl FnOnce(&mut Membership) -> T) -> T {
        access(&mut self.tables.membership.lock().expect("membership lock"))
    }

    /// Reads or changes what is known for the choice of backend servers.
    pub fn with_placement<T>(&self, access: impl FnOnce(&mut ConfiguredPlacement) -> T) -> T {
        access(&mut self.tables.placement.lock().expect("placing lock"))
    }

    /// Reads or adds to the service-level counters.
    pub fn with_slo<T>(&self, access: impl FnOnce(&mut SloRecorder) -> T) -> T {
        access(&mut self.tables.slo.lock().expect("service-level lock"))
    }

    /// Notes an accepted object that this instance wrote.
    pub fn record_accepted(&self, object: &Object) {
        let mut accepted = self
            .tables
            .unreported_accepted
            .lock()
            .expect("accepted lock");
        accepted.push(object.clone());
    }

    /// Takes the accepted objects that this instance wrote since the last call.
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

    /// Reads or adds to the proofs that the configuration is fresh.
    pub fn with_freshness<T>(&self, access: impl FnOnce(&mut FreshnessTracker) -> T) -> T {
        access(&mut self.tables.freshness.lock().expect("freshness lock"))
    }

    /// Whether the configuration is fresh enough to admit requests by it.
    pub fn is_fresh(&self) -> bool {
        let reaches_majority = self.with_membership(|membership| membership.reaches_majority());
        let state =
            self.with_freshness(|freshness| freshness.state(self.now_ms(), reaches_majority));
        matches!(state, Freshness::Fresh | Freshness::StoreUnreachable)
    }

    /// Whether the whole configuration may be compared with a peer's now; bounds how often.
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

    /// How fresh the configuration is, to be told to peers.
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
            .expect("owned lock")
            .values()
            .cloned()
            .collect()
    }

    /// Removes a backend server that another instance owns now.
    pub fn remove_owned(&self, server: &Arc<OwnedServer>) {
        let mut owned_servers = self.tables.owned_servers.lock().expect("owned lock");
        if owned_servers
            .get(&server.name)
            .is_some_and(|known| Arc::ptr_eq(known, server))
        {
            owned_servers.remove(&server.name);
        }
    }

    /// The connection to the instance at `address`.
    pub fn peer(&self, address: &Name) -> Peer {
        let mut peers = self.tables.peers.lock().expect("peers lock");
        peers
            .entry(address.clone())
            .or_insert_with(|| Peer::new(&**address, self.secret()))
            .clone()
    }

    /// Puts this process's name on a message.
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
