//! Pace of a server that has started, recovered or turned cold.
//!
//! Answers the load that arrives at a server which looks idle because it has just come back: all
//! instances together send it a low rate at first, and the rate grows with each timely answer, so
//! that the pace follows from how fast the server answers. While the server states that it is cold,
//! the rate stays at what it takes then.

use crate::bucket::Bucket;
use crate::name::Name;

/// Time at the current rate whose timely answers multiply the rate by e, in seconds.
const GROWTH_S: f64 = 0.5;
/// The same once an answer was late or a request was rejected, in seconds.
const GROWTH_AFTER_CUT_S: f64 = 4.0;
/// Factor applied to the rate after a late answer or a rejection.
const CUT_FACTOR: f64 = 0.6;
/// Time within which late answers and rejections count as one, in milliseconds.
const CUT_WINDOW_MS: u64 = 250;
/// Multiple of the first rate at which the server counts as fully started.
const END_FACTOR: f64 = 24.0;
/// Longest time from the end of the cold time until the server counts as fully started, in
/// milliseconds.
const MAX_DURATION_MS: u64 = 10_000;
/// Time at the current rate whose requests may be sent at once, in seconds.
const BURST_S: f64 = 0.25;
/// Smallest number of requests that may be sent at once.
const MIN_BURST: f64 = 1.0;

crate::key_record! {
    /// How a server answered a request.
    #[derive(Copy)]
    pub enum AnswerSign {
        /// Within its target.
        Timely,
        /// After its target, or with an error.
        Late,
        /// The server rejected it for want of room.
        Rejected,
    }
}

crate::record! {
    /// How a server that has just started answered a request.
    pub struct ServerAnswer {
        /// Identifier of the server.
        pub server: Name,
        /// Time of its start in Unix milliseconds.
        pub boot: u64,
        /// How it answered.
        pub sign: AnswerSign,
    }
}

/// Pace of one start of a server.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Time of the server's start in Unix milliseconds.
    boot: u64,
    /// Requests that may be sent now. Its rate is the share of the pace that is granted here.
    bucket: Bucket,
    /// Rate over all instances at which it began, in requests a second. Invariant: above 0.
    first_per_s: f64,
    /// Current rate over all instances, in requests a second. Invariant: at least `first_per_s`.
    per_s: f64,
    /// Share of the rate that is granted here.
    share: f64,
    /// Until when the server is cold, in milliseconds.
    cold_until_ms: u64,
    /// Time of the last cut of the rate, in milliseconds.
    cut_ms: Option<u64>,
}

impl SlowStart {
    /// Begins with `first_per_s` requests a second over all instances, of which `share` is granted
    /// here.
    pub fn new(boot: u64, first_per_s: f64, share: f64, cold_until_ms: u64, now_ms: u64) -> Self {
        let mut slow_start = Self {
            boot,
            bucket: Bucket::empty(0.0, MIN_BURST, now_ms),
            first_per_s,
            per_s: first_per_s,
            share,
            cold_until_ms,
            cut_ms: None,
        };
        slow_start.configure(now_ms);
        slow_start
    }

    /// Returns the time of the server's start, in Unix milliseconds.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Returns the rate over all instances at which it began, in requests a second.
    pub fn first_per_s(&self) -> f64 {
        self.first_per_s
    }

    /// Returns the current rate over all instances, in requests a second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Returns until when the server is cold, in milliseconds.
    pub fn cold_until_ms(&self) -> u64 {
        self.cold_until_ms
    }

    /// Extends the time for which the server is cold. The rate falls back to the first one.
    pub fn extend_cold(&mut self, cold_until_ms: u64, now_ms: u64) {
        self.cold_until_ms = self.cold_until_ms.max(cold_until_ms);
        self.set_rate(self.first_per_s, now_ms);
    }

    /// Sets the share of the rate that is granted here.
    pub fn set_share(&mut self, share: f64, now_ms: u64) {
        self.share = share;
        self.configure(now_ms);
    }

    /// Adapts the rate to an answer. While the server is cold, the rate stays.
    pub fn record(&mut self, sign: AnswerSign, now_ms: u64) {
        if now_ms < self.cold_until_ms {
            return;
        }
        match sign {
            AnswerSign::Timely => {
                let growth_s = match self.cut_ms {
                    None => GROWTH_S,
                    Some(_) => GROWTH_AFTER_CUT_S,
                };
                let answers_per_growth = (self.per_s * growth_s).max(1.0);
                self.set_rate(self.per_s * (1.0 + 1.0 / answers_per_growth), now_ms);
            }
            AnswerSign::Late | AnswerSign::Rejected => self.cut(now_ms),
        }
    }

    /// Returns whether the server takes as much as any other.
    pub fn is_over(&self, now_ms: u64) -> bool {
        let has_grown = self.per_s >= self.first_per_s * END_FACTOR;
        now_ms >= self.cold_until_ms
            && (has_grown || now_ms >= self.cold_until_ms + MAX_DURATION_MS)
    }

    /// Returns the requests that may be sent now.
    pub fn level_at(&self, now_ms: u64) -> f64 {
        self.bucket.level_at(now_ms)
    }

    /// Returns the rate that is granted here, in requests a second.
    pub fn granted_per_s(&self) -> f64 {
        self.bucket.rate_per_s()
    }

    /// Counts a request that is sent now. Returns whether it may be sent.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        self.bucket.try_take(1.0, now_ms)
    }

    /// Returns a request that was counted and is not sent.
    pub fn refund(&mut self, now_ms: u64) {
        self.bucket.refund(1.0, now_ms);
    }

    fn cut(&mut self, now_ms: u64) {
        let is_same = |cut_ms| now_ms < cut_ms + CUT_WINDOW_MS;
        if !self.cut_ms.is_some_and(is_same) {
            self.cut_ms = Some(now_ms);
            self.set_rate(self.per_s * CUT_FACTOR, now_ms);
        }
    }

    fn set_rate(&mut self, per_s: f64, now_ms: u64) {
        self.per_s = per_s.max(self.first_per_s);
        self.configure(now_ms);
    }

    fn configure(&mut self, now_ms: u64) {
        let rate_per_s = self.per_s * self.share;
        let burst = (rate_per_s * BURST_S).max(MIN_BURST);
        self.bucket.reconfigure(rate_per_s, burst, now_ms);
    }
}
