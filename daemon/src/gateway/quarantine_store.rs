//! Keeps the quarantine in the platform's store, so that it outlives all instances.
//!
//! Only the placer reads and writes it: it reads the object when it starts, and writes it when the
//! quarantine has changed. Objects of several placers are merged.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::quarantine::Quarantine;
use mimosabay_platform::store::StoredObject;
use mimosabay_platform::{Category, Error, wire_names};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::{info, warn};

use super::state::State;

/// Name of the store object.
const OBJECT_NAME: &str = "cell-0";
/// Time between two calls of the store, in milliseconds.
const PAUSE_MS: u64 = 1_000;
/// Largest number of fingerprints that are stored, which keeps the object below the size that the
/// store accepts.
const MAX_STORED: usize = 2_000;

/// What one placer knows of the stored object.
pub(super) struct QuarantineStore {
    state: Arc<State>,
    /// Revision of the object; `None` if it does not exist as far as known.
    revision: Option<u64>,
    /// Content of the object as far as known.
    stored: Quarantine,
    /// Whether the object has to be read before it is written.
    is_unread: bool,
    /// Whether the quarantine has changed since it was written.
    is_unwritten: bool,
    /// Changes when the store has come back from an older copy.
    eras: watch::Receiver<Option<u64>>,
}

impl QuarantineStore {
    /// Creates the store of a placer that starts. At the first start of a site nothing is stored.
    pub(super) fn new(state: Arc<State>) -> Self {
        let is_unread = !state.settings().is_first_start;
        let eras = state.store_era.subscribe();
        Self {
            eras,
            state,
            revision: None,
            stored: Quarantine::default(),
            is_unread,
            is_unwritten: false,
        }
    }

    /// Reads the stored quarantine and passes it to `merge`, and stores the quarantine after each
    /// change, until the placer stops and drops the sender of `changes`.
    pub(super) async fn run(
        mut self,
        mut changes: watch::Receiver<()>,
        merge: impl Fn(Quarantine),
    ) {
        loop {
            let step = if self.is_unread {
                self.read(&merge).await
            } else if self.is_unwritten {
                self.write().await
            } else {
                tokio::select! {
                    result = changes.changed() => match result {
                        Ok(()) => self.is_unwritten = true,
                        Err(_) => return,
                    },
                    Ok(()) = self.eras.changed() => self.on_store_era(),
                }
                continue;
            };
            if let Err(cause) = step {
                warn!(event = "quarantine_not_stored", %cause);
            }
            sleep(Duration::from_millis(PAUSE_MS)).await;
            match changes.has_changed() {
                Ok(has_changed) => self.is_unwritten |= has_changed,
                Err(_) => return,
            }
            if self.eras.has_changed().unwrap_or(false) {
                self.eras.mark_unchanged();
                self.on_store_era();
            }
        }
    }

    /// Reads the object again, and writes what the copy of the store lacks.
    fn on_store_era(&mut self) {
        self.is_unread = true;
        self.is_unwritten = true;
    }

    async fn read(&mut self, merge: impl Fn(Quarantine)) -> Result<(), Error> {
        let kind = wire_names::kind::QUARANTINE;
        match self.state.store.get(kind, OBJECT_NAME).await {
            Ok(object) => {
                self.revision = Some(object.metadata.revision);
                self.stored = stored_quarantine(&object);
                merge(self.stored.clone());
            }
            Err(cause) if cause.classify() == Category::NotFound => {
                self.revision = None;
                self.stored = Quarantine::default();
            }
            Err(cause) => return Err(cause),
        }
        self.is_unread = false;
        Ok(())
    }

    fn latest_quarantine(&self) -> Quarantine {
        let log = self.state.quarantine.lock().expect("quarantine lock");
        log.table().most_quarantined(MAX_STORED)
    }

    async fn write(&mut self) -> Result<(), Error> {
        let quarantine = self.latest_quarantine();
        if quarantine == self.stored {
            self.is_unwritten = false;
            return Ok(());
        }
        let kind = wire_names::kind::QUARANTINE;
        let store = &self.state.store;
        let written = match self.revision {
            Some(revision) => {
                store
                    .replace(kind, OBJECT_NAME, revision, &quarantine)
                    .await
            }
            None => store.create(kind, OBJECT_NAME, &quarantine).await,
        };
        match written {
            Ok(object) => {
                self.revision = Some(object.metadata.revision);
                self.is_unwritten = false;
                let refused = quarantine.quarantined().count();
                info!(
                    event = "quarantine_stored",
                    refused,
                    revision = self.revision
                );
                self.stored = quarantine;
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

/// Decodes the stored quarantine; empty if it is invalid.
fn stored_quarantine(object: &StoredObject) -> Quarantine {
    match Quarantine::deserialize(&object.spec) {
        Ok(quarantine) => {
            let refused = quarantine.quarantined().count();
            let revision = object.metadata.revision;
            info!(event = "quarantine_read", refused, revision);
            quarantine
        }
        Err(cause) => {
            warn!(event = "quarantine_unreadable", %cause);
            Quarantine::default()
        }
    }
}
