//! The streams of which a placer tells other instances at which software versions they began.
//!
//! A few instances keep each stream, so that what is known of it outlasts the placer and the instance
//! that began it. Each receives the changes since the position that it knows.

use std::cmp::Reverse;
use std::collections::VecDeque;

use crate::name::Name;
use crate::rendezvous;
use crate::stream_versions::StreamVersion;

/// Number of instances that keep a stream. The placer and the instance that began it may be among them.
const REPLICAS: usize = 3;

crate::key_record! {
    /// A position in the log of a placer.
    #[derive(Copy, Default)]
    pub struct StreamLogPosition {
        /// Fencing number of the placer.
        pub fencing_number: u64,
        /// Number of changes before the position.
        pub sequence: u64,
    }
}

crate::record! {
    /// Changes for one instance up to a position.
    pub struct StreamChanges {
        /// The position.
        pub position: StreamLogPosition,
        /// The changed streams that the instance keeps.
        pub streams: Vec<StreamVersion>,
    }
}

/// The log of one placer.
#[derive(Clone, Debug, Default)]
pub struct StreamLog {
    /// Position after the last change.
    position: StreamLogPosition,
    changes: VecDeque<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    sequence: u64,
    stream: StreamVersion,
    /// Time of the change in milliseconds.
    changed_ms: u64,
    /// Addresses of the instances that keep the stream.
    replicas: Vec<Name>,
}

impl StreamLog {
    /// Creates the log of the placer with this fencing number.
    pub fn new(fencing_number: u64) -> Self {
        Self {
            position: StreamLogPosition {
                fencing_number,
                sequence: 0,
            },
            changes: VecDeque::new(),
        }
    }

    /// Records a stream, to be kept by some of these instances.
    pub fn record(&mut self, stream: StreamVersion, instances: &[Name], now_ms: u64) {
        self.position.sequence += 1;
        self.changes.push_back(Change {
            sequence: self.position.sequence,
            replicas: replicas(&stream.stream, instances),
            stream,
            changed_ms: now_ms,
        });
        let is_expired =
            |change: &Change| now_ms >= change.changed_ms.saturating_add(change.stream.keep_ms);
        while self.changes.front().is_some_and(is_expired) {
            self.changes.pop_front();
        }
    }

    /// Returns the changes for an instance that knows the log up to `known`, `None` if it knows all. An
    /// instance that knows the position of another placer receives all that it keeps.
    pub fn changes_since(
        &self,
        known: StreamLogPosition,
        address: &Name,
        now_ms: u64,
    ) -> Option<StreamChanges> {
        if known == self.position {
            return None;
        }
        let is_own = known.fencing_number == self.position.fencing_number;
        let after = if is_own { known.sequence } else { 0 };
        let newest_first = self.changes.iter().rev();
        let unknown = newest_first.take_while(|change| change.sequence > after);
        let kept = unknown.filter(|change| change.replicas.contains(address));
        Some(StreamChanges {
            position: self.position,
            streams: kept.map(|change| change.stream_at(now_ms)).collect(),
        })
    }
}

impl Change {
    fn stream_at(&self, now_ms: u64) -> StreamVersion {
        let age_ms = now_ms.saturating_sub(self.changed_ms);
        StreamVersion {
            keep_ms: self.stream.keep_ms.saturating_sub(age_ms),
            ..self.stream.clone()
        }
    }
}

/// Returns the instances that keep a stream.
fn replicas(stream: &str, instances: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<&Name> = instances.iter().collect();
    ranked.sort_by_cached_key(|address| Reverse(rendezvous::weight(stream, address)));
    ranked.into_iter().take(REPLICAS).cloned().collect()
}
