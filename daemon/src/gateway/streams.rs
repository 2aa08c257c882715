//! Software versions at which streams began, as this instance knows them.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};

use futures::future::join_all;
use mimosabay_core::name::Name;
use mimosabay_core::software_versions::SoftwareVersions;
use mimosabay_core::stream_log::{StreamChanges, StreamLogPosition};
use mimosabay_core::stream_placement::{RequiredVersion, StreamPlacement};
use mimosabay_core::stream_versions::{StreamVersion, StreamVersions};
use mimosabay_peer::{Message, Peer, Reply};
use tracing::info;

use super::election;
use super::link::{envelope, peer_secret};
use super::state::State;
use crate::clock::Clock;

/// Timeout of a question to another instance, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 200;

/// The streams that this instance began, and those that it keeps for others.
pub(crate) struct Streams {
    clock: Clock,
    known: Mutex<Known>,
}

#[derive(Default)]
struct Known {
    versions: StreamVersions,
    /// Streams that this instance began and that the placer has not been told of.
    unsent: BTreeSet<Name>,
    /// Position up to which the placer's log is known.
    position: StreamLogPosition,
}

impl Streams {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            known: Mutex::default(),
        }
    }

    /// Records that the first event of a stream has arrived.
    pub(crate) fn record_begun(&self, stream: &StreamVersion) {
        let mut known = self.known();
        known.versions.record(stream, self.clock.now_ms());
        known.unsent.insert(stream.stream.clone());
    }

    /// Returns what is known of a stream.
    pub(crate) fn get(&self, stream: &str) -> Option<StreamVersion> {
        self.known().versions.get(stream, self.clock.now_ms())
    }

    /// Returns what is known of all streams.
    pub(crate) fn all(&self) -> Vec<StreamVersion> {
        self.known().versions.all(self.clock.now_ms()).collect()
    }

    /// Returns the version that the servers of a service must have.
    pub(crate) fn required_version(
        &self,
        stream: &StreamPlacement,
        service: &str,
        software: &SoftwareVersions,
    ) -> RequiredVersion {
        let known = self.known();
        stream.required_version(service, &known.versions, software, self.clock.now_ms())
    }

    /// Applies changes of the placer's log.
    pub(crate) fn apply(&self, changes: &StreamChanges) {
        let now_ms = self.clock.now_ms();
        let mut known = self.known();
        known.position = changes.position;
        for stream in &changes.streams {
            known.versions.record(stream, now_ms);
        }
    }

    /// Position up to which the placer's log is known.
    pub(crate) fn position(&self) -> StreamLogPosition {
        self.known().position
    }

    /// Takes what the placer has not been told of: everything if it is new, else the streams of
    /// services with several software versions.
    pub(crate) fn take_unsent(
        &self,
        software: &SoftwareVersions,
        is_new_placer: bool,
    ) -> Vec<StreamVersion> {
        let now_ms = self.clock.now_ms();
        let mut known = self.known();
        if is_new_placer {
            known.unsent.clear();
            return known.versions.all(now_ms).collect();
        }
        let Known {
            versions, unsent, ..
        } = &mut *known;
        let mut taken = Vec::new();
        unsent.retain(|stream| match versions.get(stream, now_ms) {
            Some(stream) if software.has_several(&stream.service, now_ms) => {
                taken.push(stream);
                false
            }
            Some(_) => true,
            None => false,
        });
        taken
    }

    /// Adds streams that the placer was not told of to what is sent next.
    pub(crate) fn requeue(&self, streams: &[StreamVersion]) {
        let streams = streams.iter().map(|stream| stream.stream.clone());
        self.known().unsent.extend(streams);
    }

    /// Removes the streams that no caller takes up any more.
    pub(crate) fn expire(&self) {
        self.known().versions.expire(self.clock.now_ms());
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("streams lock")
    }
}

/// Asks other instances at which version a stream began, and records their answers.
pub(crate) async fn ask_instances(state: &State, stream: &Name) {
    let instances = election::sample_other_members(state);
    let queries = instances
        .iter()
        .map(|address| query(state, address, stream));
    let answers: Vec<StreamVersion> = join_all(queries).await.into_iter().flatten().collect();
    info!(
        event = "stream_version_requested",
        %stream,
        asked = instances.len(),
        known = answers.len()
    );
    let now_ms = state.now_ms();
    let mut known = state.streams.known();
    for answer in &answers {
        known.versions.record(answer, now_ms);
    }
}

async fn query(state: &State, address: &Name, stream: &Name) -> Option<StreamVersion> {
    let peer = Peer::new(&**address, peer_secret());
    let message = Message::GetStreamVersion {
        stream: stream.clone(),
    };
    let reply = peer
        .call_unary(&envelope(state, message), QUERY_TIMEOUT_MS)
        .await;
    match reply {
        Ok(Reply::StreamVersion(known)) => known,
        _ => None,
    }
}
