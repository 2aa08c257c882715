//! State shared by the tasks of an instance.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{AdapterKey, Rates};
use mimosabay_core::name::Name;
use mimosabay_core::plain::PlainServers;
use mimosabay_core::quarantine_log::QuarantineLog;
use mimosabay_core::retry_share::RetryShare;
use mimosabay_core::site::Site;
use mimosabay_core::stream_log::StreamLog;
use mimosabay_peer::{Members, SenderFacts};
use mimosabay_platform::ProcessSettings;
use mimosabay_platform::store::Store;
use tokio::sync::watch;
use tracing_appender::non_blocking::ErrorCounter;

use super::answer_buffer::AnswerBuffers;
use super::backends::Backends;
use super::link::Link;
use super::members::MemberList;
use super::metrics::Metrics;
use super::order_permission::OrderPermission;
use super::pool::Pool;
use super::replicas::Replicas;
use super::server_connection::Relays;
use super::server_limits::ServerLimits;
use super::server_links::Links;
use super::server_pauses::ServerPauses;
use super::store_era::StoreEra;
use super::streams::Streams;
use super::suspects::Suspects;
use super::uneven_services::UnevenServices;
use crate::clock::Clock;

/// Largest age of the store's last response at which what it holds counts as known, in milliseconds.
const STORE_FRESH_MS: u64 = 1_100;

/// Shared by all tasks of an instance. Each lock is held for a single step, never across an await,
/// and never while another lock is held.
pub(crate) struct State {
    settings: RwLock<Arc<ProcessSettings>>,
    pub(crate) clock: Clock,
    /// Incarnation number of this process.
    pub(crate) incarnation: u64,
    pub(crate) store: Store,
    /// Era of the store.
    pub(crate) store_era: StoreEra,
    /// The configuration in force; `None` until it has been read once.
    pub(crate) site: watch::Sender<Option<Arc<Site>>>,
    pub(crate) backends: Backends,
    /// Newest versions of adapters of which a version was released after the first.
    pub(crate) releases: watch::Sender<Arc<HashMap<AdapterKey, u64>>>,
    pub(crate) plain: Mutex<PlainServers>,
    pub(crate) retries: Mutex<HashMap<Name, RetryShare>>,
    /// Rates of organisations that this instance applies while there is no placer.
    pub(crate) own_rates: Mutex<Rates>,
    pub(crate) suspects: Suspects,
    pub(crate) server_limits: ServerLimits,
    pub(crate) server_pauses: ServerPauses,
    pub(crate) uneven_services: UnevenServices,
    /// This instance's own links to the servers.
    pub(crate) server_links: Links,
    /// Instances through which servers are reached.
    pub(crate) relays: Relays,
    pub(crate) streams: Streams,
    /// Streams that the placer in this process tells other instances of.
    pub(crate) stream_log: Mutex<StreamLog>,
    /// Quarantine of requests that ran on servers that crashed, as reported by the placer in this
    /// process.
    pub(crate) quarantine: Mutex<QuarantineLog>,
    pub(crate) pool: Pool,
    /// Memory of answers in progress.
    pub(crate) answer_buffers: Arc<AnswerBuffers>,
    pub(crate) link: Link,
    pub(crate) members: MemberList,
    /// Permission of the placer in this process to send orders.
    pub(crate) order_permission: OrderPermission,
    /// Phase of the planned stop.
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) metrics: Metrics,
    /// Whether backend servers were listed since the start.
    has_listed_backends: AtomicBool,
    pub(crate) replicas: Replicas,
    /// Number of outages of the store that have ended.
    pub(crate) ended_outages: watch::Sender<u64>,
    /// Time of the store's last response to a watch of the servers, in milliseconds.
    store_responded_ms: AtomicU64,
    next_request_number: AtomicU64,
    /// Time at which a planned stop ends the process, in milliseconds; the largest number before it.
    stop_end_ms: AtomicU64,
}

/// Phases of the planned stop of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The process was not asked to stop.
    Serving,
    /// The process is not ready any more, but the platform may still send callers here.
    Leaving,
    /// Kept connections are closed once idle; streams, and requests that may outlast the process, are
    /// refused.
    Closing,
    /// Every request is refused.
    Refusing,
}

impl State {
    pub(crate) fn new(
        settings: ProcessSettings,
        clock: Clock,
        incarnation: u64,
        dropped_lines: ErrorCounter,
    ) -> Arc<Self> {
        let store = Store::new(&settings.store_address);
        let backends = Backends::new(settings.is_first_start);
        let answer_buffers = Arc::new(AnswerBuffers::new(settings.memory_bytes));
        Arc::new(Self {
            link: Link::new(&settings, incarnation),
            members: MemberList::default(),
            order_permission: OrderPermission::new(settings.lease_ms),
            settings: RwLock::new(Arc::new(settings)),
            clock,
            incarnation,
            store,
            site: watch::Sender::new(None),
            backends,
            releases: watch::Sender::new(Arc::default()),
            plain: Mutex::default(),
            retries: Mutex::default(),
            own_rates: Mutex::new(Rates::for_entry()),
            suspects: Suspects::new(clock),
            server_limits: ServerLimits::new(clock),
            server_pauses: ServerPauses::new(clock),
            uneven_services: UnevenServices::default(),
            server_links: Links::new(clock),
            relays: Relays::default(),
            streams: Streams::new(clock),
            stream_log: Mutex::default(),
            quarantine: Mutex::default(),
            pool: Pool::new(clock),
            answer_buffers,
            phase: watch::Sender::new(Phase::Serving),
            metrics: Metrics::new(dropped_lines),
            has_listed_backends: AtomicBool::new(false),
            replicas: Replicas::default(),
            store_era: StoreEra::new(),
            ended_outages: watch::Sender::new(0),
            store_responded_ms: AtomicU64::new(0),
            next_request_number: AtomicU64::new(1),
            stop_end_ms: AtomicU64::new(u64::MAX),
        })
    }

    pub(crate) fn settings(&self) -> Arc<ProcessSettings> {
        self.settings.read().expect("settings lock").clone()
    }

    /// Replaces the settings; returns whether they differ from the previous ones.
    pub(crate) fn set_settings(&self, settings: ProcessSettings) -> bool {
        let mut current = self.settings.write().expect("settings lock");
        let is_changed = **current != settings;
        *current = Arc::new(settings);
        is_changed
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn site(&self) -> Option<Arc<Site>> {
        self.site.borrow().clone()
    }

    pub(crate) fn backend(&self, id: &str) -> Option<Arc<Backend>> {
        self.backends.get(id)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Puts a version of the configuration in force.
    pub(crate) fn set_site(&self, mut site: Site) {
        site.features = self.settings().features;
        self.server_limits.set_start_policies(site.start_policies());
        self.configure_own_rates(&site);
        self.metrics.set_configuration_version(site.version);
        self.site.send_replace(Some(Arc::new(site)));
    }

    /// Applies the list of instances, among which retries are divided and, while there is no
    /// placer, rates.
    pub(crate) fn apply_members(&self, members: Members) {
        self.members.apply(members);
        self.relays.retain(&self.members.addresses());
        let instances = self.members.count();
        for share in self.retries.lock().expect("retries lock").values_mut() {
            share.set_instance_count(instances);
        }
        self.server_limits.set_instance_count(instances);
        self.set_own_rate_instances(instances);
    }

    fn set_own_rate_instances(&self, instances: usize) {
        let mut rates = self.own_rates.lock().expect("rates lock");
        rates.set_instance_count(instances);
        drop(rates);
        if let Some(site) = self.site() {
            self.configure_own_rates(&site);
        }
    }

    fn configure_own_rates(&self, site: &Site) {
        let organisations = site.organisations().map(|organisation| &**organisation);
        let mut rates = self.own_rates.lock().expect("rates lock");
        rates.configure(organisations, self.now_ms());
    }

    /// What this process says of itself to other instances.
    pub(crate) fn sender_facts(&self) -> SenderFacts {
        SenderFacts {
            processor: self.settings().processor,
            largest_processor: self.members.largest_processor(),
            ..SenderFacts::of_this_build(self.store_era.known())
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Records the release of a version of an adapter.
    pub(crate) fn record_release(&self, key: AdapterKey, version: u64) {
        self.releases.send_modify(|releases| {
            let newest = Arc::make_mut(releases).entry(key).or_default();
            *newest = (*newest).max(version);
        });
    }

    /// Records that the backend servers were listed.
    pub(crate) fn mark_backends_listed(&self) {
        self.has_listed_backends.store(true, Ordering::Relaxed);
    }

    /// Records a response of the store to a watch of the servers.
    pub(crate) fn record_store_response(&self, now_ms: u64) {
        self.store_responded_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time since the store's last response to a watch of the servers, in milliseconds.
    fn store_response_age_ms(&self) -> u64 {
        let responded_ms = self.store_responded_ms.load(Ordering::Relaxed);
        self.now_ms().saturating_sub(responded_ms)
    }

    /// Whether the list of backend servers is current: the store, or a placer that reaches it,
    /// answered recently.
    pub(crate) fn has_current_backends(&self) -> bool {
        let is_relayed = self.link.relay_fresh_ms(self.now_ms()) > 0;
        is_relayed || self.reaches_store()
    }

    /// Whether the store answered recently.
    pub(crate) fn reaches_store(&self) -> bool {
        self.store_response_age_ms() <= STORE_FRESH_MS
    }

    /// Whether the instance is ready to receive callers.
    pub(crate) fn is_ready(&self) -> bool {
        let has_listed_backends = self.has_listed_backends.load(Ordering::Relaxed);
        has_listed_backends && self.site.borrow().is_some() && !self.is_stopping()
    }

    /// Records when a planned stop ends the process.
    pub(crate) fn set_stop_end(&self, end_ms: u64) {
        self.stop_end_ms.store(end_ms, Ordering::Relaxed);
    }

    /// Whether a request that may last until `deadline_ms` is refused because of a planned stop, once
    /// callers are sent elsewhere.
    pub(crate) fn is_too_late(&self, deadline_ms: u64) -> bool {
        self.phase() >= Phase::Closing && deadline_ms > self.stop_end_ms.load(Ordering::Relaxed)
    }

    /// Returns a number that is unique among the requests of this process.
    pub(crate) fn next_request_number(&self) -> u64 {
        self.next_request_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request of a service towards its retry budget.
    pub(crate) fn count_request(&self, service: &Name) {
        self.with_retry_share(service, RetryShare::count_request);
    }

    /// Takes a retry from the budget of a service if one is left.
    pub(crate) fn try_take_retry(&self, service: &Name) -> bool {
        self.with_retry_share(service, RetryShare::try_take_retry)
    }

    /// Returns a retry that was taken and not used.
    pub(crate) fn return_retry(&self, service: &Name) {
        self.with_retry_share(service, RetryShare::return_retry);
    }

    fn with_retry_share<T>(&self, service: &Name, act: impl FnOnce(&mut RetryShare) -> T) -> T {
        let new_share = || {
            let settings = self.settings();
            let mut share = RetryShare::new(settings.retry_ratio, settings.retry_burst);
            share.set_instance_count(self.members.count());
            share
        };
        let mut retries = self.retries.lock().expect("retries lock");
        act(retries.entry(service.clone()).or_insert_with(new_share))
    }
}
