//! Token buckets that hold the servers to the limits that they state.

use std::collections::HashMap;

use crate::bucket::Bucket;
use crate::name::Name;
use crate::stated_limit::{StatedLimit, StatedLimits};

/// Time at the stated limit whose requests a bucket holds, in seconds.
const BURST_S: f64 = 0.25;
/// Smallest number of requests that a bucket holds.
const MIN_BURST: f64 = 1.0;
/// Lowest rate of a bucket, in requests a second. A server that receives nothing cannot lift its limit.
const MIN_RATE_PER_S: f64 = 0.2;
/// Number of instances that share the limits while there is no placer and their number is unknown.
const ASSUMED_INSTANCES: usize = 10;

/// The limits of all servers, and what may be sent to them now.
#[derive(Debug)]
pub struct ServerRates {
    stated: StatedLimits,
    /// Buckets of the servers with a limit in force.
    buckets: HashMap<Name, Bucket>,
    /// Share of each limit that is granted here.
    share: f64,
}

impl ServerRates {
    /// Creates buckets with the full limits, for the placer.
    pub fn for_placer() -> Self {
        Self {
            stated: StatedLimits::default(),
            buckets: HashMap::new(),
            share: 1.0,
        }
    }

    /// Creates buckets with one instance's share of the limits, for an instance without a placer.
    pub fn for_entry() -> Self {
        Self {
            share: 1.0 / ASSUMED_INSTANCES as f64,
            ..Self::for_placer()
        }
    }

    /// Divides the limits among `instances`.
    pub fn set_instance_count(&mut self, instances: usize, now_ms: u64) {
        self.share = 1.0 / instances.max(1) as f64;
        let stated: Vec<StatedLimit> = self.stated.iter().cloned().collect();
        for limit in &stated {
            self.configure(limit, now_ms);
        }
    }

    /// Applies a statement. Returns whether the limit in force has changed.
    pub fn apply(&mut self, stated: &StatedLimit, now_ms: u64) -> bool {
        let is_changed = self.stated.apply(stated);
        if is_changed {
            self.configure(stated, now_ms);
            let stated = &self.stated;
            self.buckets
                .retain(|server, _| stated.get(server).is_some());
        }
        is_changed
    }

    fn configure(&mut self, stated: &StatedLimit, now_ms: u64) {
        let Some(requests_per_s) = stated.requests_per_s else {
            self.buckets.remove(&stated.server);
            return;
        };
        let rate_per_s = requests_per_s.max(MIN_RATE_PER_S) * self.share;
        let burst = (rate_per_s * BURST_S).max(MIN_BURST);
        let bucket = self
            .buckets
            .entry(stated.server.clone())
            .or_insert_with(|| Bucket::empty(rate_per_s, burst, now_ms));
        bucket.reconfigure(rate_per_s, burst, now_ms);
    }

    /// The statements of all servers.
    pub fn stated(&self) -> &StatedLimits {
        &self.stated
    }

    /// Returns whether a limit is in force for this start of the server.
    pub fn is_limited(&self, server: &str, boot: u64) -> bool {
        self.stated.requests_per_s(server, boot).is_some()
    }

    /// Returns whether a request may be sent to the server now.
    pub fn may_send(&self, server: &str, boot: u64, now_ms: u64) -> bool {
        let bucket = self.limited_bucket(server, boot);
        bucket.is_none_or(|bucket| bucket.level_at(now_ms) >= 1.0)
    }

    /// Counts a request to the server if it may be sent now. Returns whether it may.
    pub fn try_take(&mut self, server: &str, boot: u64, now_ms: u64) -> bool {
        if !self.is_limited(server, boot) {
            return true;
        }
        let bucket = self.buckets.get_mut(server);
        bucket.is_none_or(|bucket| bucket.try_take(1.0, now_ms))
    }

    /// Returns a request that was counted and is not sent.
    pub fn refund(&mut self, server: &str, now_ms: u64) {
        if let Some(bucket) = self.buckets.get_mut(server) {
            bucket.refund(1.0, now_ms);
        }
    }

    /// Returns the time until one of these servers may be sent a request after `ahead` others, in
    /// milliseconds; `None` if none of them has a limit.
    pub fn wait_ms<'a>(
        &self,
        servers: impl IntoIterator<Item = (&'a str, u64)>,
        ahead: usize,
        now_ms: u64,
    ) -> Option<u64> {
        let mut rate_per_s = 0.0;
        let mut available = 0.0;
        for (server, boot) in servers {
            if let Some(bucket) = self.limited_bucket(server, boot) {
                rate_per_s += bucket.rate_per_s();
                available += bucket.level_at(now_ms).max(0.0);
            }
        }
        let missing = (ahead as f64 + 1.0 - available).max(0.0);
        (rate_per_s > 0.0).then(|| crate::rounding::seconds_to_ms(missing / rate_per_s))
    }

    fn limited_bucket(&self, server: &str, boot: u64) -> Option<&Bucket> {
        let bucket = self.buckets.get(server);
        bucket.filter(|_| self.is_limited(server, boot))
    }
}
