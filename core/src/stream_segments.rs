//! The streams that have begun, as the platform's store keeps them for a site of which all instances end.
//!
//! The version at which a stream began never changes, so that an old copy is as true as a new one, and a
//! missing one costs a refusal. The store therefore holds a ring of segments, each an object of its own. A
//! write replaces one segment by what has begun since the last write, and by what the segment still holds of
//! streams that callers may take up. Nothing waits for a write.

use std::collections::BTreeMap;

use crate::name::Name;
use crate::stream_versions::StreamVersion;

/// Number of segments. At one write a second they hold more than the time for which callers take streams up.
pub const SEGMENTS: usize = 32;
/// Size of the streams that one write adds, in bytes. More wait for the next write.
pub const MAX_ADDED_BYTES: usize = 262_144;
/// Size of a stored stream beside its identifier, in bytes.
const STREAM_OVERHEAD_BYTES: usize = 16;

/// Identifiers of streams with the times for which they are kept, in milliseconds.
type StoredStreams = BTreeMap<Name, u64>;

crate::record! {
    /// Content of a segment.
    #[derive(Default)]
    pub struct StoredSegment {
        /// Streams by the version at which they began, by service.
        pub by_service: BTreeMap<Name, BTreeMap<Name, StoredStreams>>,
    }
}

/// A write of one segment, as conditional on its revision.
#[derive(Clone, Debug)]
pub struct SegmentWrite {
    /// Index of the segment.
    pub index: usize,
    /// Revision that the object must have; `None` if it must not exist.
    pub revision: Option<u64>,
    streams: BTreeMap<Name, BegunStream>,
    now_ms: u64,
}

/// The segments as one placer knows them, and the streams that are in none.
#[derive(Clone, Debug)]
pub struct StreamSegments {
    /// Invariant: [`SEGMENTS`] entries.
    segments: Vec<Segment>,
    /// Streams that no segment holds.
    pending: BTreeMap<Name, BegunStream>,
}

#[derive(Clone, Debug, Default)]
struct Segment {
    /// Revision of the object; `None` if it does not exist as far as known.
    revision: Option<u64>,
    streams: BTreeMap<Name, BegunStream>,
}

#[derive(Clone, Debug)]
struct BegunStream {
    service: Name,
    version: Name,
    /// Time up to which callers may take it up, in milliseconds.
    until_ms: u64,
}

impl Default for StreamSegments {
    fn default() -> Self {
        Self {
            segments: vec![Segment::default(); SEGMENTS],
            pending: BTreeMap::new(),
        }
    }
}

impl StreamSegments {
    /// Adds a stream that is to be stored, unless it has not begun, its version is unknown, or a segment holds
    /// it.
    pub fn add(&mut self, stream: &StreamVersion, now_ms: u64) {
        let version = stream.version.as_ref().filter(|_| stream.has_begun);
        let Some(version) = version else {
            return;
        };
        if self.is_stored(&stream.stream) {
            return;
        }
        let begun = BegunStream {
            service: stream.service.clone(),
            version: version.clone(),
            until_ms: now_ms + stream.keep_ms,
        };
        self.pending.insert(stream.stream.clone(), begun);
    }

    /// Forgets what the segments hold, because they have to be read again. What they held is stored again unless
    /// the reading brings it.
    pub fn forget_stored(&mut self) {
        for segment in &mut self.segments {
            segment.revision = None;
            self.pending.append(&mut segment.streams);
        }
    }

    /// Records a segment that was read. Returns its streams.
    pub fn load(
        &mut self,
        index: usize,
        revision: u64,
        stored: &StoredSegment,
        now_ms: u64,
    ) -> Vec<StreamVersion> {
        let Some(segment) = self.segments.get_mut(index) else {
            return Vec::new();
        };
        segment.revision = Some(revision);
        segment.streams = stored.streams(now_ms);
        let streams = &segment.streams;
        self.pending
            .retain(|stream, _| !streams.contains_key(stream));
        let notes = streams.iter();
        notes
            .map(|(stream, begun)| begun.note(stream, now_ms))
            .collect()
    }

    /// Returns the write that is due; `None` if all streams are stored. It replaces the segment whose streams
    /// end the earliest.
    pub fn next_write(&mut self, now_ms: u64) -> Option<SegmentWrite> {
        self.pending.retain(|_, begun| now_ms < begun.until_ms);
        if self.pending.is_empty() {
            return None;
        }
        let segments = self.segments.iter().enumerate();
        let (index, segment) = segments.min_by_key(|(_, segment)| segment.until_ms())?;
        let kept = segment.streams.iter();
        let kept = kept.filter(|(_, begun)| now_ms < begun.until_ms);
        let mut left_bytes = MAX_ADDED_BYTES;
        let added = self.pending.iter().take_while(|(stream, _)| {
            let is_within = left_bytes > 0;
            left_bytes = left_bytes.saturating_sub(stream.len() + STREAM_OVERHEAD_BYTES);
            is_within
        });
        let streams = kept.chain(added);
        Some(SegmentWrite {
            index,
            revision: segment.revision,
            streams: streams
                .map(|(stream, begun)| (stream.clone(), begun.clone()))
                .collect(),
            now_ms,
        })
    }

    /// Records that a write has taken effect. Returns the number of streams that wait for the next one.
    pub fn record_written(&mut self, write: SegmentWrite, revision: u64) -> usize {
        let streams = &write.streams;
        self.pending
            .retain(|stream, _| !streams.contains_key(stream));
        self.segments[write.index] = Segment {
            revision: Some(revision),
            streams: write.streams,
        };
        self.pending.len()
    }

    fn is_stored(&self, stream: &str) -> bool {
        let mut segments = self.segments.iter();
        segments.any(|segment| segment.streams.contains_key(stream))
    }
}

impl SegmentWrite {
    /// Returns the content to write.
    pub fn content(&self) -> StoredSegment {
        let mut stored = StoredSegment::default();
        for (stream, begun) in &self.streams {
            let versions = stored.by_service.entry(begun.service.clone()).or_default();
            let streams = versions.entry(begun.version.clone()).or_default();
            streams.insert(stream.clone(), begun.until_ms.saturating_sub(self.now_ms));
        }
        stored
    }

    /// Returns the number of streams in the content.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether the content has no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

impl StoredSegment {
    fn streams(&self, now_ms: u64) -> BTreeMap<Name, BegunStream> {
        let mut streams = BTreeMap::new();
        for (service, versions) in &self.by_service {
            for (version, stored) in versions {
                for (stream, keep_ms) in stored {
                    let begun = BegunStream {
                        service: service.clone(),
                        version: version.clone(),
                        until_ms: now_ms.saturating_add(*keep_ms),
                    };
                    streams.insert(stream.clone(), begun);
                }
            }
        }
        streams
    }
}

impl Segment {
    /// Time up to which callers may take up one of its streams, in milliseconds; 0 if it has none.
    fn until_ms(&self) -> u64 {
        let streams = self.streams.values();
        streams.map(|begun| begun.until_ms).max().unwrap_or(0)
    }
}

impl BegunStream {
    fn note(&self, stream: &Name, now_ms: u64) -> StreamVersion {
        StreamVersion {
            stream: stream.clone(),
            service: self.service.clone(),
            version: Some(self.version.clone()),
            has_begun: true,
            keep_ms: self.until_ms.saturating_sub(now_ms),
        }
    }
}
