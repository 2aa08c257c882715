//! Decides whether a request may be cut during planned work, by the rules of the platform.

use super::injector::GRACE_S;
use super::load::{DEADLINE_MS, SentRequest};
use super::plan::{Fault, Strike};
use super::{STREAM_MS, SoakOptions};

/// Time after the stop signal up to which the caller of an excused request sent it, in
/// milliseconds.
const SENT_AFTER_STOP_MS: u64 = 3_000;
/// Time after the stop signal from which a server at work excuses its request, in milliseconds.
const LATE_IN_STOP_MS: u64 = 1_000 * GRACE_S * 5 / 6;

/// The run of a request at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerRun {
    /// Index of the server.
    pub(super) server: usize,
    /// Time from the start of the soak to the arrival, in milliseconds.
    pub(super) arrived_ms: u64,
}

/// The injected faults, as far as they excuse cut requests.
pub(super) struct Excuses<'a> {
    /// All injected faults.
    pub(super) injections: &'a [Strike],
    /// Options of the soak.
    pub(super) options: &'a SoakOptions,
    /// Number of servers of the site.
    pub(super) servers: usize,
}

impl Excuses<'_> {
    /// Returns whether a request with these runs may be cut: its deadline has passed, or a server was
    /// still at work late in the grace period of its instance.
    pub(super) fn allow_cut(&self, sent: &SentRequest, runs: &[ServerRun]) -> bool {
        let has_timed_out = sent.ended_ms - sent.sent_ms >= DEADLINE_MS;
        has_timed_out
            || self.stops_of(sent.instance).any(|stop| {
                let is_late = sent.sent_ms <= stop.at_ms + SENT_AFTER_STOP_MS
                    && sent.ended_ms >= stop.at_ms + LATE_IN_STOP_MS;
                is_late && runs.iter().any(|run| self.is_at_work(*run, stop))
            })
    }

    /// Returns the stops of an instance that was not being stopped already.
    fn stops_of(&self, instance: usize) -> impl Iterator<Item = &Strike> {
        let stops = self.injections.iter().filter(move |strike| {
            strike.fault == Fault::Stop && strike.target % self.options.instances == instance
        });
        let mut running_until_ms = 0;
        stops.filter(move |stop| {
            let is_first = stop.at_ms >= running_until_ms;
            if is_first {
                running_until_ms = stop.end_ms();
            }
            is_first
        })
    }

    /// Returns whether a server was at work late in the grace period: the request arrived shortly
    /// before, or the server paused.
    fn is_at_work(&self, run: ServerRun, stop: &Strike) -> bool {
        let late_ms = stop.at_ms + LATE_IN_STOP_MS;
        let mut pauses = self.injections.iter().filter(|strike| {
            strike.fault == Fault::ServerPauses && strike.target % self.servers == run.server
        });
        run.arrived_ms + STREAM_MS > late_ms
            || pauses.any(|pause| {
                pause.at_ms < stop.at_ms + 1_000 * GRACE_S && pause.end_ms() + STREAM_MS > late_ms
            })
    }
}
