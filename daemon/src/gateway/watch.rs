//! Keeps the replica of one kind of store objects up to date, from a watch of the store or from the
//! changes that the placer relays.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::replica::ReplicaKind;
use mimosabay_platform::store::{Changes, Listing, StoredObject};
use mimosabay_platform::{Category, Error, wire_names};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::election::{self, RECORD_NAME};
use super::evacuations;
use super::metrics::Dependency;
use super::replicate;
use super::state::State;
use super::store_era::{self, AnswerEra};

/// Longest wait of one watch call, in milliseconds.
const WATCH_WAIT_MS: u64 = 20_000;
/// Longest wait of a watch call for the servers, in milliseconds. Each response confirms that the
/// store is reachable, for all kinds.
const SERVERS_WATCH_WAIT_MS: u64 = 600;
/// Longest wait of a watch call after a failed call, in milliseconds.
const RECOVERY_WATCH_WAIT_MS: u64 = 300;
/// Time between two checks whether the placer still relays changes, in milliseconds.
const RELAY_CHECK_MS: u64 = 250;
/// Bounds of the pause after a failed call, in milliseconds.
const RETRY_PAUSE_RANGE_MS: (u64, u64) = (100, 600);
/// Pause of the placer after changes of the servers, in milliseconds, so that the changes of one
/// heartbeat arrive together.
const PLACER_SERVERS_PAUSE_MS: u64 = 300;
/// The same pause at other instances while the placer relays nothing, in milliseconds. They need
/// the entries only to avoid servers that are leaving.
const SERVERS_PAUSE_MS: u64 = 1_000;
/// Pause after changes of other kinds, in milliseconds.
const OTHER_PAUSE_MS: u64 = 50;

/// A watched kind of store objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchKind {
    /// A kind that instances relay to each other.
    Replicated(ReplicaKind),
    /// The placer record. Each instance watches it itself.
    Placer,
    /// Evacuated availability zones. Each instance watches them itself.
    Evacuations,
}

impl WatchKind {
    fn name(self) -> &'static str {
        match self {
            Self::Replicated(ReplicaKind::Configuration) => wire_names::kind::CONFIGURATION,
            Self::Replicated(ReplicaKind::Servers) => wire_names::kind::SERVERS,
            Self::Replicated(ReplicaKind::Releases) => wire_names::kind::VERSIONS,
            Self::Placer => wire_names::kind::PLACERS,
            Self::Evacuations => wire_names::kind::EVACUATIONS,
        }
    }

    fn is_servers(self) -> bool {
        self == Self::Replicated(ReplicaKind::Servers)
    }

    fn watch_wait_ms(self) -> u64 {
        if self.is_servers() {
            SERVERS_WATCH_WAIT_MS
        } else {
            WATCH_WAIT_MS
        }
    }

    fn pause_ms(self, is_placer: bool) -> u64 {
        match self {
            Self::Replicated(ReplicaKind::Servers) if is_placer => PLACER_SERVERS_PAUSE_MS,
            Self::Replicated(ReplicaKind::Servers) => SERVERS_PAUSE_MS,
            Self::Replicated(_) | Self::Placer | Self::Evacuations => OTHER_PAUSE_MS,
        }
    }
}

/// Watches one kind until the process ends.
pub(crate) async fn run(state: Arc<State>, kind: WatchKind) {
    let mut watcher = Watcher {
        ended_outages: state.ended_outages.subscribe(),
        state,
        kind,
        revision: 0,
        failures: 0,
        pause_ms: RETRY_PAUSE_RANGE_MS.0,
        era: None,
    };
    loop {
        watcher.run_once().await;
    }
}

/// Watches one kind of store objects.
struct Watcher {
    state: Arc<State>,
    kind: WatchKind,
    /// Revision up to which the kind is known; 0 if it has to be listed.
    revision: u64,
    /// Number of consecutive failed calls.
    failures: u32,
    pause_ms: u64,
    /// Era of the store in which the revision was read.
    era: Option<u64>,
    ended_outages: tokio::sync::watch::Receiver<u64>,
}

impl Watcher {
    async fn run_once(&mut self) {
        let era = self.state.store_era.known();
        if self.era != era {
            self.era = era;
            self.revision = 0;
        }
        if let WatchKind::Replicated(kind) = self.kind {
            self.revision = self.state.replicas.revision(kind);
            let fresh_ms = self.state.link.relay_fresh_ms(self.state.now_ms());
            let has_unread = self.state.replicas.has_unread(kind);
            if self.revision > 0 && fresh_ms > 0 && !has_unread {
                self.on_relay();
                self.state.replicas.set_cut_off(kind, false);
                let pause = Duration::from_millis(fresh_ms.min(RELAY_CHECK_MS));
                // The state is checked again after a notification and after a time-out alike.
                let _ = timeout(pause, self.state.replicas.wait_for_unread()).await;
                return;
            }
        }
        if self.revision == 0 {
            self.list().await;
        } else {
            self.watch().await;
        }
    }

    /// Resets the failure state, because the placer relays the store's changes.
    fn on_relay(&mut self) {
        if self.failures > 0 {
            info!(
                event = "store_regained",
                kind = self.kind.name(),
                by = "placer"
            );
        }
        self.failures = 0;
        self.pause_ms = RETRY_PAUSE_RANGE_MS.0;
    }

    async fn list(&mut self) {
        match self.state.store.list(self.kind.name()).await {
            Ok(listing) => {
                let answer_era = self.observe_era(listing.era);
                self.on_store_response();
                if answer_era == AnswerEra::Ended {
                    return;
                }
                self.era = self.state.store_era.known();
                self.revision = listing.revision;
                self.apply_list(&listing);
            }
            Err(cause) => {
                if cause.classify() == Category::Protocol {
                    self.read_by_name().await;
                }
                self.on_failure(&cause).await;
            }
        }
    }

    /// Reads the only object that counts in some kinds, because the list cannot be read.
    async fn read_by_name(&self) {
        let read = match self.kind {
            WatchKind::Replicated(ReplicaKind::Configuration) => {
                read_configuration(&self.state).await
            }
            WatchKind::Placer => election::read_record(&self.state).await,
            WatchKind::Replicated(_) | WatchKind::Evacuations => return,
        };
        if let Err(cause) = read {
            warn!(event = "object_unread", kind = self.kind.name(), %cause);
        }
    }

    async fn watch(&mut self) {
        self.ended_outages.borrow_and_update();
        let wait_ms = if self.failures > 0 {
            RECOVERY_WATCH_WAIT_MS
        } else {
            self.kind.watch_wait_ms()
        };
        let name = self.kind.name();
        let watch = self.state.store.watch(name, self.revision, wait_ms);
        let result = tokio::select! {
            result = watch => result,
            // The store was unreachable in the meantime, so this watch may never be answered.
            Ok(()) = self.ended_outages.changed() => return,
        };
        match result {
            Ok(changes) => {
                let answer_era = self.observe_era(changes.era);
                self.on_store_response();
                match answer_era {
                    AnswerEra::Same => self.apply_changes(changes).await,
                    AnswerEra::New | AnswerEra::Ended => self.reset_revision(),
                }
            }
            Err(cause) if cause.classify() == Category::Gone => {
                info!(
                    event = "history_gone",
                    kind = name,
                    revision = self.revision
                );
                self.reset_revision();
            }
            Err(cause) => self.on_failure(&cause).await,
        }
    }

    fn observe_era(&self, stated: Option<u64>) -> AnswerEra {
        store_era::observe_answer(&self.state, stated, self.era)
    }

    fn reset_revision(&mut self) {
        self.revision = 0;
        if let WatchKind::Replicated(kind) = self.kind {
            self.state.replicas.reset(kind);
        }
    }

    fn apply_list(&self, listing: &Listing) {
        match self.kind {
            WatchKind::Replicated(kind) => replicate::apply_list(&self.state, kind, listing),
            WatchKind::Placer => match listing.objects.iter().find(|it| is_placer_record(it)) {
                Some(object) => {
                    let now_ms = self.state.now_ms();
                    self.state.link.apply_record(object, self.era, now_ms);
                }
                None => self.state.link.on_record_absent(self.era),
            },
            WatchKind::Evacuations => evacuations::apply_list(&self.state, listing),
        }
    }

    async fn apply_changes(&mut self, changes: Changes) {
        self.revision = changes.revision;
        let is_empty = changes.events.is_empty();
        match self.kind {
            WatchKind::Replicated(kind) => replicate::apply_changes(&self.state, kind, &changes),
            WatchKind::Evacuations => evacuations::apply_changes(&self.state, &changes),
            WatchKind::Placer => {
                let events = changes.events.into_iter();
                for event in events.filter(|event| is_placer_record(&event.object)) {
                    if event.deleted {
                        self.state.link.on_record_absent(self.era);
                    } else {
                        let now_ms = self.state.now_ms();
                        self.state
                            .link
                            .apply_record(&event.object, self.era, now_ms);
                    }
                }
            }
        }
        if !is_empty {
            let is_placer = self.state.link.local_placer().is_some();
            sleep(Duration::from_millis(self.kind.pause_ms(is_placer))).await;
        }
    }

    /// Records a response of the store and resets the failure state.
    fn on_store_response(&mut self) {
        let now_ms = self.state.now_ms();
        if let WatchKind::Replicated(kind) = self.kind {
            self.state.replicas.mark_read(kind);
            self.state.replicas.set_cut_off(kind, false);
        }
        if self.kind.is_servers() {
            self.state.record_store_response(now_ms);
        }
        if self.failures > 0 {
            info!(
                event = "store_regained",
                kind = self.kind.name(),
                failures = self.failures
            );
            self.state.backends.start_return_grace(now_ms);
            // A watch of another kind that began during the outage may never be answered.
            self.state
                .ended_outages
                .send_modify(|ended_outages| *ended_outages += 1);
            self.ended_outages.borrow_and_update();
        }
        self.failures = 0;
        self.pause_ms = RETRY_PAUSE_RANGE_MS.0;
    }

    async fn on_failure(&mut self, cause: &Error) {
        if self.failures == 0 {
            warn!(event = "store_lost", kind = self.kind.name(), %cause);
            self.state.metrics.count_dependency_loss(Dependency::Store);
        }
        self.failures += 1;
        if let WatchKind::Replicated(kind) = self.kind {
            self.state.replicas.set_cut_off(kind, true);
        }
        sleep(Duration::from_millis(self.pause_ms)).await;
        self.pause_ms = (self.pause_ms * 2).min(RETRY_PAUSE_RANGE_MS.1);
    }
}

async fn read_configuration(state: &State) -> Result<(), Error> {
    let sent_in = state.store_era.known();
    let kind = wire_names::kind::CONFIGURATION;
    let object = state
        .store
        .get(kind, wire_names::CONFIGURATION_NAME)
        .await?;
    if store_era::observe_answer(state, object.era, sent_in) != AnswerEra::Ended {
        replicate::apply_configuration(state, &object);
    }
    Ok(())
}

fn is_placer_record(object: &StoredObject) -> bool {
    *object.metadata.name == *RECORD_NAME
}
