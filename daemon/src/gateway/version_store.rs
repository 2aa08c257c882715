//! Keeps the software versions of the services in the platform's store, so that processes that start know
//! at which versions streams of before can have begun, also if all others have ended.
//!
//! Each process reads the object when it starts; only the placer writes it, when versions come or go.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::software_versions::VersionHistory;
use mimosabay_platform::store::StoredObject;
use mimosabay_platform::{Category, Error, wire_names};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::{info, warn};

use super::backends::Snapshot;
use super::link::Target;
use super::state::State;

/// Name of the store object.
const OBJECT_NAME: &str = "cell-0";
/// Longest time between two checks whether the versions have changed, in milliseconds.
const CHECK_PERIOD_MS: u64 = 1_000;
/// Pause after a failed call of the store, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;

/// What this process knows of the stored object.
struct VersionStore {
    state: Arc<State>,
    /// Revision of the object; `None` if it does not exist as far as known.
    revision: Option<u64>,
    /// Content of the object as far as known.
    stored: VersionHistory,
    /// Whether the object has to be read.
    is_unread: bool,
    /// Changes when the store has come back from an older copy.
    eras: watch::Receiver<Option<u64>>,
    servers: watch::Receiver<Snapshot>,
    /// Changes when this process becomes the placer.
    placer: watch::Receiver<Target>,
}

/// Reads the versions, and writes them while this process is the placer, until the process ends.
pub(crate) async fn run(state: Arc<State>) {
    let mut store = VersionStore {
        eras: state.store_era.subscribe(),
        servers: state.backends.subscribe(),
        placer: state.link.target.subscribe(),
        // At the first start of a site nothing is stored.
        is_unread: !state.settings().is_first_start,
        state,
        revision: None,
        stored: VersionHistory::default(),
    };
    loop {
        if let Err(cause) = store.update().await {
            warn!(event = "versions_not_stored", %cause);
            sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
        store.wait_for_change().await;
    }
}

impl VersionStore {
    /// Waits until the object may have to be read or written. One that is unread is read at once.
    async fn wait_for_change(&mut self) {
        if self.is_unread {
            return;
        }
        // The senders are part of the state.
        tokio::select! {
            () = sleep(Duration::from_millis(CHECK_PERIOD_MS)) => {}
            _ = self.servers.changed() => {}
            _ = self.placer.changed() => {}
            _ = self.eras.changed() => {
                // The first era is no change.
                let is_known = self.eras.borrow_and_update().is_some();
                self.is_unread = is_known && self.revision.is_some();
            }
        }
    }

    async fn update(&mut self) -> Result<(), Error> {
        if self.is_unread {
            self.read().await?;
        }
        let history = self.state.backends.version_history(self.state.now_ms());
        let is_changed = !history.versions.is_empty() && history != self.stored;
        if is_changed && self.state.link.local_placer().is_some() {
            self.write(history).await?;
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<(), Error> {
        let kind = wire_names::kind::SOFTWARE_VERSIONS;
        match self.state.store.get(kind, OBJECT_NAME).await {
            Ok(object) => {
                self.revision = Some(object.metadata.revision);
                self.stored = stored_history(&object);
                let now_ms = self.state.now_ms();
                self.state
                    .backends
                    .adopt_version_history(&self.stored, now_ms);
            }
            Err(cause) if cause.classify() == Category::NotFound => {
                self.revision = None;
                self.stored = VersionHistory::default();
            }
            Err(cause) => return Err(cause),
        }
        self.is_unread = false;
        Ok(())
    }

    async fn write(&mut self, history: VersionHistory) -> Result<(), Error> {
        let kind = wire_names::kind::SOFTWARE_VERSIONS;
        let store = &self.state.store;
        let written = match self.revision {
            Some(revision) => store.replace(kind, OBJECT_NAME, revision, &history).await,
            None => store.create(kind, OBJECT_NAME, &history).await,
        };
        match written {
            Ok(object) => {
                let revision = object.metadata.revision;
                info!(event = "versions_stored", revision, is_complete = history.is_complete, versions = ?history.versions);
                self.revision = Some(revision);
                self.stored = history;
                Ok(())
            }
            Err(cause) => {
                // Another placer wrote, or the store's response was lost.
                self.is_unread = cause.classify() != Category::Unavailable;
                Err(cause)
            }
        }
    }
}

/// Decodes the stored versions; without any if they are invalid.
fn stored_history(object: &StoredObject) -> VersionHistory {
    let revision = object.metadata.revision;
    match VersionHistory::deserialize(&object.spec) {
        Ok(history) => {
            info!(event = "versions_read", revision, is_complete = history.is_complete, versions = ?history.versions);
            history
        }
        Err(cause) => {
            warn!(event = "versions_unreadable", revision, %cause);
            VersionHistory::default()
        }
    }
}
