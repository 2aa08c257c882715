//! Which servers probably have the prefix of a prompt in their cache.
//!
//! Requests that were sent are the first source. Cache events correct it; they come late and with
//! gaps, so their absence proves nothing and a gap only lowers confidence.

use std::collections::HashMap;

use super::servers::ServerIndex;

/// Prefixes kept in each of two generations; the older one is dropped when the newer is full.
const MAX_PREFIXES_PER_GENERATION: usize = 16_384;
/// Servers kept for each prefix.
const SERVERS_PER_PREFIX: usize = 4;
/// Time in which confidence halves without news, in milliseconds.
const CONFIDENCE_HALF_LIFE_MS: f64 = 60_000.0;
/// Confidence in what was known before a gap in the events.
const GAP_CONFIDENCE_FACTOR: f64 = 0.5;

/// News of the prefix cache of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CacheEvent {
    /// The server keeps the prefix.
    Stored {
        /// Hash of the prefix.
        prompt_hash: u64,
    },
    /// The server dropped the prefix.
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
    seen_ms: u64,
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
    last_events: HashMap<ServerIndex, LastEvents>,
}

impl Prefixes {
    /// A request with the prefix was sent, or an event says that it is kept.
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
        let seen_ms = now_ms;
        servers.insert(0, CachedAt { server, seen_ms });
    }

    /// Takes in an event.
    pub(super) fn apply_event(&mut self, server: ServerIndex, event: CacheEvent, now_ms: u64) {
        match event {
            CacheEvent::Stored { prompt_hash } => self.record(prompt_hash, server, now_ms),
            CacheEvent::Removed { prompt_hash } => self.remove(prompt_hash, server),
            CacheEvent::Gap => self.last_events.entry(server).or_default().gap_ms = Some(now_ms),
            CacheEvent::Cleared => {
                self.last_events.entry(server).or_default().cleared_ms = Some(now_ms)
            }
        }
    }

    /// Probable servers of a prefix with the confidence in each, 0 to 1.
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

    /// The server is gone. What was noted of it dates from before its place was reused.
    pub(super) fn remove_server(&mut self, server: ServerIndex, now_ms: u64) {
        self.apply_event(server, CacheEvent::Cleared, now_ms);
    }

    fn confidence(&self, seen: CachedAt, now_ms: u64) -> f64 {
        let last_events = self
            .last_events
            .get(&seen.server)
            .copied()
            .unwrap_or_default();
        if last_events
            .cleared_ms
            .is_some_and(|time_ms| time_ms >= seen.seen_ms)
        {
            return 0.0;
        }
        let has_gap = last_events
            .gap_ms
            .is_some_and(|time_ms| time_ms >= seen.seen_ms);
        let age_ms = now_ms.saturating_sub(seen.seen_ms) as f64;
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
