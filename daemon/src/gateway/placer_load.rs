//! Observes whether the placer in this process keeps up with its work.

use mimosabay_core::cell::CellStatus;
use mimosabay_core::placer_machine::PlacerPace;
use tracing::info;

use super::metrics::PlacerGauges;
use super::state::State;

/// Time between two log lines, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// What the placer has done since the last log line.
#[derive(Debug)]
pub(super) struct PlacerLoad {
    /// Time at which the placer started, in milliseconds.
    started_ms: u64,
    /// Time of the last log line, in milliseconds.
    logged_ms: u64,
    /// Number of inputs.
    inputs: u64,
    /// Longest time that an input waited, in milliseconds.
    longest_wait_ms: u64,
    /// Longest time by which a timer was late, in milliseconds.
    longest_late_ms: u64,
    pace: PlacerPace,
}

impl PlacerLoad {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            logged_ms: now_ms,
            inputs: 0,
            longest_wait_ms: 0,
            longest_late_ms: 0,
            pace: PlacerPace::default(),
        }
    }

    /// Records that an input of `sent_ms` is handled.
    pub(super) fn record_input(&mut self, sent_ms: u64, now_ms: u64) {
        self.inputs += 1;
        self.longest_wait_ms = self.longest_wait_ms.max(now_ms.saturating_sub(sent_ms));
    }

    /// Records that a timer for `due_ms` has fired.
    pub(super) fn record_timer(&mut self, due_ms: u64, now_ms: u64) {
        self.longest_late_ms = self.longest_late_ms.max(now_ms.saturating_sub(due_ms));
    }

    /// Returns whether a log line is due.
    pub(super) fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.logged_ms + PERIOD_MS
    }

    /// Logs the load. Returns whether the placer is behind.
    pub(super) fn log(&mut self, state: &State, cell: &CellStatus, waiting_inputs: usize) -> bool {
        let now_ms = state.now_ms();
        let delay_ms = self.longest_wait_ms.max(self.longest_late_ms);
        let is_behind = self.pace.observe(delay_ms, now_ms);
        info!(
            event = "placer_load",
            placer_ms = now_ms - self.started_ms,
            over_ms = now_ms - self.logged_ms,
            inputs = self.inputs,
            waiting_inputs,
            input_wait_ms = self.longest_wait_ms,
            timer_late_ms = self.longest_late_ms,
            is_behind,
            engines = cell.engines,
            confirmed = cell.confirmed,
            reports_missing = cell.reports_requested,
            adapters = cell.adapters,
            waiting = cell.waiting,
            running = cell.running,
            loads = cell.loads,
            load_ms = cell.load_ms,
            full_speed_loads = cell.full_speed_loads
        );
        state.metrics.set_placer(&PlacerGauges {
            delay_ms,
            waiting_inputs,
            engines: cell.engines,
            confirmed: cell.confirmed,
        });
        self.logged_ms = now_ms;
        self.inputs = 0;
        self.longest_wait_ms = 0;
        self.longest_late_ms = 0;
        is_behind
    }
}
