//! Estimates which servers have the prefix of a prompt in their cache.
//!
//! The primary source is the requests sent by this instance. Cache events correct it. They are late
//! and may be lost, so a missing event is not evidence, and a gap only lowers the confidence.

use std::collections::HashMap;

use super::servers::ServerIndex;

/// Maximum number of prefixes in each of two generations; the older one is dropped when the newer
/// is full.
const MAX_PREFIXES_PER_GENERATION: usize = 16_384;
/// Maximum number of servers for each prefix.
const SERVERS_PER_PREFIX: usize = 4;
/// Time in which the confidence halves without a new request or event, in milliseconds.
const CONFIDENCE_HALF_LIFE_MS: f64 = 60_000.0;
/// Factor on the confidence in entries recorded before a gap in the events.
const GAP_CONFIDENCE_FACTOR: f64 = 0.5;

/// Event of the prefix cache of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CacheEvent {
    /// The server cached the prefix.
    Stored {
        /// Hash of the prefix.
        prompt_hash: u64,
    },
    /// The server evicted the prefix.
    Removed {
        /// Hash of the prefix.
        prompt_hash: u64,
    },
    /// Events were lost.
    Gap,
    /// The cache is empty.
    Cleared,
}

#[derive(Clone, Copy, Debug)]
struct CachedAt {
    server: ServerIndex,
    recorded_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct LastEvents {
    cleared_ms: Option<u64>,
    gap_ms: Option<u64>,
}

/// Servers by prefix.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    newer: HashMap<u64, Vec<CachedAt>>,
    older: HashMap<u64, Vec<CachedAt>>,
    events: HashMap<ServerIndex, LastEvents>,
}

impl Prefixes {
    /// Records that the server has the prefix, after a request with it was sent or an event
    /// reported it.
    pub(super) fn record(&mut self, prompt_hash: u64, server: ServerIndex, now_ms: u64) {
        if prompt_hash == 0 {
            return;
        }
        if self.newer.len() >= MAX_PREFIXES_PER_GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        let older = &mut self.older;
        let servers = self
            .newer
            .entry(prompt_hash)
            .or_insert_with(|| older.remove(&prompt_hash).unwrap_or_default());
        servers.retain(|seen| seen.server != server);
        servers.truncate(SERVERS_PER_PREFIX - 1);
        let recorded_ms = now_ms;
        servers.insert(
            0,
            CachedAt {
                server,
                recorded_ms,
            },
        );
    }

    /// Applies an event of the server's cache.
    pub(super) fn apply_event(&mut self, server: ServerIndex, event: CacheEvent, now_ms: u64) {
        match event {
            CacheEvent::Stored { prompt_hash } => self.record(prompt_hash, server, now_ms),
            CacheEvent::Removed { prompt_hash } => self.remove(prompt_hash, server),
            CacheEvent::Gap => self.events.entry(server).or_default().gap_ms = Some(now_ms),
            CacheEvent::Cleared => self.events.entry(server).or_default().cleared_ms = Some(now_ms),
        }
    }

    /// Returns the servers that may have a prefix with the confidence in each, from 0 to 1.
    pub(super) fn servers(
        &self,
        prompt_hash: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = (ServerIndex, f64)> {
        let newer = self.newer.get(&prompt_hash);
        let seen = newer.or_else(|| self.older.get(&prompt_hash));
        let seen = seen.map_or(&[][..], Vec::as_slice);
        seen.iter()
            .map(move |seen| (seen.server, self.confidence(*seen, now_ms)))
    }

    /// Invalidates the entries of a removed server, because its index may be reused.
    pub(super) fn remove_server(&mut self, server: ServerIndex, now_ms: u64) {
        self.apply_event(server, CacheEvent::Cleared, now_ms);
    }

    fn confidence(&self, seen: CachedAt, now_ms: u64) -> f64 {
        let events = self.events.get(&seen.server).copied().unwrap_or_default();
        if events
            .cleared_ms
            .is_some_and(|time_ms| time_ms >= seen.recorded_ms)
        {
            return 0.0;
        }
        let has_gap = events
            .gap_ms
            .is_some_and(|time_ms| time_ms >= seen.recorded_ms);
        let age_ms = now_ms.saturating_sub(seen.recorded_ms) as f64;
        let fresh = (-age_ms / CONFIDENCE_HALF_LIFE_MS).exp2();
        if has_gap {
            fresh * GAP_CONFIDENCE_FACTOR
        } else {
            fresh
        }
    }

    fn remove(&mut self, prompt_hash: u64, server: ServerIndex) {
        for generation in [&mut self.newer, &mut self.older] {
            if let Some(servers) = generation.get_mut(&prompt_hash) {
                servers.retain(|seen| seen.server != server);
            }
        }
    }
}
