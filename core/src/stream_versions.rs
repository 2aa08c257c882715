//! Software versions at which streams began.

use std::collections::HashMap;

use crate::name::Name;

/// Time for which a stream is kept after its request has ended, in milliseconds, so that its caller can
/// take it up.
const KEEP_AFTER_END_MS: u64 = 5_000;

crate::record! {
    /// What is known of the software version at which a stream began.
    pub struct StreamVersion {
        /// Identifier of the caller's attempt that brings its first event.
        pub stream: Name,
        /// Service of its servers.
        pub service: Name,
        /// The version; `None` if it may be one of several.
        pub version: Option<Name>,
        /// Whether the first event has arrived. Until then, `version` is that of the server that was
        /// assigned.
        pub has_begun: bool,
        /// Time for which it is kept, in milliseconds.
        pub keep_ms: u64,
    }
}

impl StreamVersion {
    /// Returns the note for a stream whose request has `left_ms` left.
    pub fn new(
        stream: Name,
        service: Name,
        version: Option<Name>,
        has_begun: bool,
        left_ms: u64,
    ) -> Self {
        Self {
            stream,
            service,
            version,
            has_begun,
            keep_ms: left_ms + KEEP_AFTER_END_MS,
        }
    }

    /// Adds what another instance knows. Returns whether the version has changed.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.version.clone();
        if self.has_begun == other.has_begun {
            if self.version != other.version {
                self.version = None;
            }
        } else if other.has_begun {
            self.version.clone_from(&other.version);
            self.has_begun = true;
        }
        self.version != before
    }
}

/// The streams that callers may still take up.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    by_stream: HashMap<Name, Kept>,
}

#[derive(Clone, Debug)]
struct Kept {
    known: StreamVersion,
    /// Time up to which it is kept, in milliseconds.
    until_ms: u64,
}

impl StreamVersions {
    /// Adds what is known of a stream. Returns whether this has changed its version.
    pub fn record(&mut self, known: &StreamVersion, now_ms: u64) -> bool {
        let until_ms = now_ms + known.keep_ms;
        if let Some(kept) = self.by_stream.get_mut(&known.stream) {
            kept.until_ms = kept.until_ms.max(until_ms);
            return kept.known.merge(known);
        }
        let kept = Kept {
            known: known.clone(),
            until_ms,
        };
        self.by_stream.insert(known.stream.clone(), kept);
        true
    }

    /// Returns the version at which a stream began, if it is known.
    pub fn version(&self, stream: &str) -> Option<&Name> {
        self.by_stream.get(stream)?.known.version.as_ref()
    }

    /// Returns whether the first event of a stream is known to have arrived.
    pub fn has_begun(&self, stream: &str) -> bool {
        let kept = self.by_stream.get(stream);
        kept.is_some_and(|kept| kept.known.has_begun)
    }

    /// Returns what is known of a stream.
    pub fn get(&self, stream: &str, now_ms: u64) -> Option<StreamVersion> {
        Some(self.by_stream.get(stream)?.at(now_ms))
    }

    /// Returns what is known of all streams.
    pub fn all(&self, now_ms: u64) -> impl Iterator<Item = StreamVersion> {
        self.by_stream.values().map(move |kept| kept.at(now_ms))
    }

    /// Removes the streams that no caller takes up any more.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_stream.retain(|_, kept| now_ms < kept.until_ms);
    }
}

impl Kept {
    fn at(&self, now_ms: u64) -> StreamVersion {
        StreamVersion {
            keep_ms: self.until_ms.saturating_sub(now_ms),
            ..self.known.clone()
        }
    }
}
