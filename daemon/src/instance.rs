//! One instance: its identity, its shared tables and its links to the outside.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use mimosabay_core::config::ConfigTable;
use mimosabay_core::membership::{Listed, Membership, MembershipSettings};
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::retry::RetryBudget;
use mimosabay_http::Client;
use mimosabay_operator::Settings;
use mimosabay_peer::{Envelope, Message, Peer, Secret};
use mimosabay_platform::Platform;
use tokio::sync::watch;

use crate::clock::{Clock, new_incarnation};
use crate::metrics::Metrics;
use crate::owner::OwnedServer;
use crate::timer::Timer;
use crate::workers::{Waiting, Workers};

/// Tables that all tasks share.
///
/// Lock order: `config`, `membership`, `owned`, the queue of one owned server, `peers`,
/// `retry_budget`. A task that holds one takes only later ones, and holds none over an await.
pub struct Tables {
    /// The configuration in force.
    pub config: RwLock<ConfigTable>,
    /// What is known of the other instances.
    pub membership: Mutex<Membership>,
    /// Backend servers that this instance dispatches to.
    pub owned: Mutex<HashMap<Name, Arc<OwnedServer>>>,
    /// Connections to other instances, by address.
    pub peers: Mutex<HashMap<Name, Peer>>,
    /// Retries that may be made.
    pub retry_budget: Mutex<RetryBudget>,
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
    /// When the configuration was last known to be fresh, 0 for never.
    pub fresh_ms: AtomicU64,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Requests that this instance answers or runs.
    pub open_requests: watch::Sender<u64>,
    secret: Secret,
}

impl Instance {
    /// Builds an instance; nothing runs yet.
    pub fn new(settings: Settings, clock: Clock, timer: Timer) -> (Arc<Self>, Waiting) {
        let (workers, waiting) = Workers::new();
        let membership_settings = MembershipSettings {
            peer_timeout_ms: settings.timing.peer_timeout_ms,
        };
        let tables = Tables {
            config: RwLock::default(),
            membership: Mutex::new(Membership::new(listed(&settings), membership_settings)),
            owned: Mutex::default(),
            peers: Mutex::default(),
            retry_budget: Mutex::default(),
        };
        let instance = Self {
            id: InstanceId::new(settings.instance.name.clone(), new_incarnation()),
            clock,
            timer,
            tables,
            platform: Platform::new(&settings.platform.address.to_string()),
            http: Client::new(),
            workers,
            metrics: Metrics::new(&settings.metrics),
            config_changed: watch::Sender::new(0),
            fresh_ms: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            open_requests: watch::Sender::new(0),
            secret: Secret::new(settings.peers.secret.reveal()),
            settings,
        };
        (Arc::new(instance), waiting)
    }

    /// Milliseconds since the start of this process.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The secret that peers prove to know.
    pub fn secret(&self) -> Secret {
        self.secret.clone()
    }

    /// Reads the configuration.
    pub fn with_config<T>(&self, read: impl FnOnce(&ConfigTable) -> T) -> T {
        read(&self.tables.config.read().expect("config lock"))
    }

    /// Reads or changes what is known of the other instances.
    pub fn with_membership<T>(&self, visit: impl FnOnce(&mut Membership) -> T) -> T {
        visit(&mut self.tables.membership.lock().expect("membership lock"))
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Notes that the configuration is known to be fresh now.
    pub fn mark_fresh(&self) {
        self.fresh_ms.store(self.now_ms().max(1), Ordering::SeqCst);
    }

    /// Whether the configuration is fresh enough to admit requests by it.
    pub fn is_fresh(&self) -> bool {
        let fresh_ms = self.fresh_ms.load(Ordering::SeqCst);
        fresh_ms > 0 && self.now_ms() < fresh_ms + self.settings.timing.config_stale_ms
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

fn listed(settings: &Settings) -> Listed {
    Listed {
        name: settings.instance.name.clone(),
        peer_address: settings.instance.peer_address.to_string().into(),
        zone: settings.instance.zone.clone(),
        leaving: false,
    }
}
