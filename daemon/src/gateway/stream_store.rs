//! Keeps the streams that have begun in the platform's store, so that callers can take them up after all
//! instances have ended.
//!
//! Only the placer reads and writes them, while a service has several software versions: it reads them when it
//! starts, and writes what has begun since at most once a second.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::stream_segments::{SEGMENTS, StoredSegment, StreamSegments};
use mimosabay_core::stream_versions::StreamVersion;
use mimosabay_platform::store::StoredObject;
use mimosabay_platform::{Category, Error, wire_names};
use serde::Deserialize;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use super::state::State;

/// Start of the name of each store object; its index follows.
const OBJECT_PREFIX: &str = "cell-0-";
/// Time between two writes, in milliseconds.
const WRITE_PERIOD_MS: u64 = 1_000;
/// Time between two checks whether a service has several versions, in milliseconds.
const CHECK_PERIOD_MS: u64 = 250;
/// Pause after a failed call of the store, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;

/// What one placer knows of the stored streams.
pub(super) struct StreamStore {
    state: Arc<State>,
    segments: StreamSegments,
    /// Whether the objects have to be read before one is written.
    is_unread: bool,
    /// Changes when the store has come back from an older copy.
    eras: watch::Receiver<Option<u64>>,
}

/// The placer has stopped.
struct Stopped;

impl StreamStore {
    /// Creates the store of a placer that starts.
    pub(super) fn new(state: Arc<State>) -> Self {
        Self {
            segments: StreamSegments::default(),
            is_unread: true,
            eras: state.store_era.subscribe(),
            state,
        }
    }

    /// Reads the stored streams and passes them to `merge`, and stores those that begin, until the placer stops
    /// and drops the sender of `begun`.
    pub(super) async fn run(
        mut self,
        mut begun: mpsc::UnboundedReceiver<Vec<StreamVersion>>,
        merge: impl Fn(Vec<StreamVersion>),
    ) {
        loop {
            let pause_ms = match self.update(&merge).await {
                Ok(pause_ms) => pause_ms,
                Err(cause) => {
                    warn!(event = "streams_not_stored", %cause);
                    RETRY_PAUSE_MS
                }
            };
            if self.receive_for(&mut begun, pause_ms).await.is_err() {
                return;
            }
            if self.eras.has_changed().unwrap_or(false) {
                self.eras.mark_unchanged();
                self.is_unread = true;
            }
        }
    }

    /// Receives streams that have begun for some time.
    async fn receive_for(
        &mut self,
        begun: &mut mpsc::UnboundedReceiver<Vec<StreamVersion>>,
        pause_ms: u64,
    ) -> Result<(), Stopped> {
        let end = Instant::now() + Duration::from_millis(pause_ms);
        loop {
            let streams = tokio::select! {
                streams = begun.recv() => streams.ok_or(Stopped)?,
                () = sleep_until(end) => return Ok(()),
            };
            let now_ms = self.state.now_ms();
            for stream in &streams {
                self.segments.add(stream, now_ms);
            }
        }
    }

    /// Makes the call of the store that is due. Returns the pause after it, in milliseconds.
    ///
    /// # Errors
    ///
    /// Those of the store.
    async fn update(&mut self, merge: impl Fn(Vec<StreamVersion>)) -> Result<u64, Error> {
        let now_ms = self.state.now_ms();
        if !self.state.backends.have_several_versions(now_ms) {
            return Ok(CHECK_PERIOD_MS);
        }
        if self.is_unread {
            merge(self.read().await?);
        }
        if self.write().await? {
            Ok(WRITE_PERIOD_MS)
        } else {
            Ok(CHECK_PERIOD_MS)
        }
    }

    async fn read(&mut self) -> Result<Vec<StreamVersion>, Error> {
        let kind = wire_names::kind::STREAM_VERSIONS;
        let listing = self.state.store.list(kind).await?;
        let now_ms = self.state.now_ms();
        self.segments.forget_stored();
        let mut streams = Vec::new();
        for object in &listing.objects {
            let Some(index) = segment_index(&object.metadata.name) else {
                warn!(event = "streams_unreadable", name = %object.metadata.name, cause = "name");
                continue;
            };
            let (revision, stored) = (object.metadata.revision, stored_segment(object));
            streams.extend(self.segments.load(index, revision, &stored, now_ms));
        }
        info!(
            event = "streams_read",
            streams = streams.len(),
            segments = listing.objects.len()
        );
        self.is_unread = false;
        Ok(streams)
    }

    /// Writes one segment; returns whether there was something to write.
    async fn write(&mut self) -> Result<bool, Error> {
        let Some(write) = self.segments.next_write(self.state.now_ms()) else {
            return Ok(false);
        };
        let kind = wire_names::kind::STREAM_VERSIONS;
        let name = format!("{OBJECT_PREFIX}{}", write.index);
        let content = write.content();
        let store = &self.state.store;
        let written = match write.revision {
            Some(revision) => store.replace(kind, &name, revision, &content).await,
            None => store.create(kind, &name, &content).await,
        };
        match written {
            Ok(object) => {
                let (segment, streams) = (write.index, write.len());
                let waiting = self
                    .segments
                    .record_written(write, object.metadata.revision);
                info!(event = "streams_stored", segment, streams, waiting);
                Ok(true)
            }
            Err(cause) => {
                // Another placer wrote, or the store's response was lost.
                self.is_unread = cause.classify() != Category::Unavailable;
                Err(cause)
            }
        }
    }
}

/// Returns the index of the segment that an object of this name holds.
fn segment_index(name: &str) -> Option<usize> {
    let index = name.strip_prefix(OBJECT_PREFIX)?.parse().ok()?;
    (index < SEGMENTS).then_some(index)
}

/// Decodes a segment; empty if it is invalid.
fn stored_segment(object: &StoredObject) -> StoredSegment {
    match StoredSegment::deserialize(&object.spec) {
        Ok(segment) => segment,
        Err(cause) => {
            warn!(event = "streams_unreadable", name = %object.metadata.name, %cause);
            StoredSegment::default()
        }
    }
}
