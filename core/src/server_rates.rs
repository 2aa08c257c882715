//! Token buckets that hold the servers to the limits that they state, and to the pace of those that
//! have just started.

use std::collections::HashMap;

use crate::bucket::Bucket;
use crate::name::Name;
use crate::slow_start::{AnswerSign, SlowStart};
use crate::stated_limit::{StatedLimit, StatedLimits};

/// Time at the stated limit whose requests a bucket holds, in seconds.
const BURST_S: f64 = 0.25;
/// Smallest number of requests that a bucket holds.
const MIN_BURST: f64 = 1.0;
/// Lowest rate of a bucket, in requests a second. A server that receives nothing cannot lift its limit.
const MIN_RATE_PER_S: f64 = 0.2;
/// Number of instances that share the limits while there is no placer and their number is unknown.
const ASSUMED_INSTANCES: usize = 10;

/// A server that has started, recovered or turned cold.
#[derive(Clone, Copy, Debug)]
pub struct ServerStart<'a> {
    /// Identifier of the server.
    pub server: &'a Name,
    /// Time of its start in Unix milliseconds.
    pub boot: u64,
    /// Requests a second from all instances together that it is sent at first.
    pub first_per_s: f64,
    /// Until when it is cold, in milliseconds.
    pub cold_until_ms: u64,
}

/// The limits of all servers, and what may be sent to them now.
#[derive(Clone, Debug)]
pub struct ServerRates {
    stated: StatedLimits,
    /// Buckets of the servers with a limit in force.
    buckets: HashMap<Name, Bucket>,
    /// Servers that have started, recovered or turned cold a short time ago.
    starting: HashMap<Name, SlowStart>,
    /// Share of each limit that is granted here.
    share: f64,
}

impl ServerRates {
    /// Creates buckets with the full limits, for the placer.
    pub fn for_placer() -> Self {
        Self {
            stated: StatedLimits::default(),
            buckets: HashMap::new(),
            starting: HashMap::new(),
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
        for slow_start in self.starting.values_mut() {
            slow_start.set_share(self.share, now_ms);
        }
    }

    /// Begins the slow start of a server, or extends the time for which it is cold. Returns whether
    /// it begins.
    pub fn start_slowly(&mut self, start: &ServerStart<'_>, now_ms: u64) -> bool {
        let known = self.starting.get_mut(start.server);
        if let Some(known) = known.filter(|known| known.boot() == start.boot) {
            if start.cold_until_ms > known.cold_until_ms() {
                known.extend_cold(start.cold_until_ms, now_ms);
            }
            return false;
        }
        let slow_start = SlowStart::new(
            start.boot,
            start.first_per_s,
            self.share,
            start.cold_until_ms,
            now_ms,
        );
        self.starting.insert(start.server.clone(), slow_start);
        true
    }

    /// Adapts the pace of a server that has just started to one of its answers.
    pub fn record_answer(&mut self, server: &str, boot: u64, sign: AnswerSign, now_ms: u64) {
        let slow_start = self.starting.get_mut(server);
        if let Some(slow_start) = slow_start.filter(|it| it.boot() == boot) {
            slow_start.record(sign, now_ms);
        }
    }

    /// Ends slow starts. Returns the servers that count as fully started, with their last rate in
    /// requests a second.
    pub fn end_slow_starts(&mut self, now_ms: u64) -> Vec<(Name, f64)> {
        let ended = self.starting.extract_if(|_, it| it.is_over(now_ms));
        ended.map(|(server, it)| (server, it.per_s())).collect()
    }

    /// Returns the servers that have started a short time ago.
    pub fn starting(&self) -> impl Iterator<Item = ServerStart<'_>> {
        self.starting.iter().map(|(server, it)| ServerStart {
            server,
            boot: it.boot(),
            first_per_s: it.first_per_s(),
            cold_until_ms: it.cold_until_ms(),
        })
    }

    /// Returns whether this start of the server was a short time ago.
    pub fn is_starting(&self, server: &str, boot: u64) -> bool {
        self.slow_start(server, boot).is_some()
    }

    /// Returns the number of servers that have started a short time ago.
    pub fn starting_count(&self) -> usize {
        self.starting.len()
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

    /// Returns whether a limit is in force for this start of the server, stated or because it has just
    /// started.
    pub fn is_limited(&self, server: &str, boot: u64) -> bool {
        self.is_stated(server, boot) || self.slow_start(server, boot).is_some()
    }

    fn is_stated(&self, server: &str, boot: u64) -> bool {
        self.stated.requests_per_s(server, boot).is_some()
    }

    /// Returns whether a request may be sent to the server now.
    pub fn may_send(&self, server: &str, boot: u64, now_ms: u64) -> bool {
        let limits = self.limits(server, boot, now_ms);
        limits.is_none_or(|limits| limits.available >= 1.0)
    }

    /// Counts a request to the server if it may be sent now. Returns whether it may.
    pub fn try_take(&mut self, server: &str, boot: u64, now_ms: u64) -> bool {
        if !self.may_send(server, boot, now_ms) {
            return false;
        }
        if self.is_stated(server, boot)
            && let Some(bucket) = self.buckets.get_mut(server)
        {
            bucket.try_take(1.0, now_ms);
        }
        let slow_start = self.starting.get_mut(server);
        if let Some(slow_start) = slow_start.filter(|it| it.boot() == boot) {
            slow_start.try_take(now_ms);
        }
        true
    }

    /// Returns a request that was counted and is not sent.
    pub fn refund(&mut self, server: &str, now_ms: u64) {
        if let Some(bucket) = self.buckets.get_mut(server) {
            bucket.refund(1.0, now_ms);
        }
        if let Some(slow_start) = self.starting.get_mut(server) {
            slow_start.refund(now_ms);
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
            if let Some(limits) = self.limits(server, boot, now_ms) {
                rate_per_s += limits.per_s;
                available += limits.available.max(0.0);
            }
        }
        let missing = (ahead as f64 + 1.0 - available).max(0.0);
        (rate_per_s > 0.0).then(|| crate::rounding::seconds_to_ms(missing / rate_per_s))
    }

    /// Returns what the limits in force allow; `None` if there are none.
    fn limits(&self, server: &str, boot: u64, now_ms: u64) -> Option<Allowed> {
        let bucket = self.buckets.get(server);
        let stated = bucket.filter(|_| self.is_stated(server, boot));
        let stated = stated.map(|bucket| Allowed {
            per_s: bucket.rate_per_s(),
            available: bucket.level_at(now_ms),
        });
        let starting = self.slow_start(server, boot).map(|it| Allowed {
            per_s: it.granted_per_s(),
            available: it.level_at(now_ms),
        });
        match (stated, starting) {
            (Some(stated), Some(starting)) => Some(stated.and(starting)),
            (stated, starting) => stated.or(starting),
        }
    }

    fn slow_start(&self, server: &str, boot: u64) -> Option<&SlowStart> {
        let slow_start = self.starting.get(server);
        slow_start.filter(|it| it.boot() == boot)
    }
}

/// What may be sent to a server.
#[derive(Clone, Copy, Debug)]
struct Allowed {
    /// Requests a second.
    per_s: f64,
    /// Requests that may be sent now.
    available: f64,
}

impl Allowed {
    fn and(self, other: Self) -> Self {
        Self {
            per_s: self.per_s.min(other.per_s),
            available: self.available.min(other.available),
        }
    }
}
