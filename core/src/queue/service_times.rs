//! Moving averages of a server's run and load times, used to predict waits.

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponential moving average that starts with its first sample.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage(Option<f64>);

impl MovingAverage {
    fn add(&mut self, sample: f64) {
        let mean = self.0.unwrap_or(sample);
        self.0 = Some(mean + SAMPLE_WEIGHT * (sample - mean));
    }
}

/// Moving averages of a server's run and load times.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    run_ms: MovingAverage,
    run_ms_per_token: MovingAverage,
    load_ms: MovingAverage,
    load_interval_ms: MovingAverage,
    /// Monotonic time since which the next load has been waiting for its start, if there is one.
    load_due_ms: Option<u64>,
}

impl ServiceTimes {
    /// Records the end of a run that was charged `tokens`.
    pub(super) fn record_run(&mut self, tokens: u64, run_ms: u64) {
        let tokens = tokens.max(1) as f64;
        self.run_ms.add(run_ms as f64);
        self.run_ms_per_token.add(run_ms as f64 / tokens);
    }

    /// Returns the average duration of a run in milliseconds; zero before the first run.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn run_ms(&self) -> usize {
        self.run_ms.0.unwrap_or(0.0).round() as usize
    }

    /// Records the end of a load.
    pub(super) fn record_load(&mut self, load_ms: u64) {
        self.load_ms.add(load_ms as f64);
    }

    /// Records that a load is needed and cannot start yet.
    pub(super) fn record_load_due(&mut self, now_ms: u64) {
        self.load_due_ms.get_or_insert(now_ms);
    }

    /// Records that no load is waiting for its start.
    pub(super) fn clear_load_due(&mut self) {
        self.load_due_ms = None;
    }

    /// Records the start of a load.
    pub(super) fn record_load_start(&mut self, now_ms: u64) {
        let due_ms = self.load_due_ms.take().unwrap_or(now_ms);
        let waited_ms = now_ms.saturating_sub(due_ms);
        self.load_interval_ms.add(waited_ms as f64);
    }

    /// Returns the time in which a server that runs `batch` requests concurrently serves `tokens`,
    /// in milliseconds; zero before the first run.
    pub(super) fn tokens_ms(&self, tokens: f64, batch: usize) -> f64 {
        let run_ms_per_token = self.run_ms_per_token.0.unwrap_or(0.0);
        tokens * run_ms_per_token / batch.max(1) as f64
    }

    /// Returns the time until `loads` loads have started and the last of them has ended, in
    /// milliseconds.
    pub(super) fn loads_ms(&self, loads: f64) -> f64 {
        loads * self.load_interval_ms.0.unwrap_or(0.0) + self.load_ms.0.unwrap_or(0.0)
    }

    /// Returns the remaining time of a load that started at `since_ms`, in milliseconds.
    pub(super) fn remaining_load_ms(&self, since_ms: u64, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(since_ms) as f64;
        let load_ms = self.load_ms.0.unwrap_or(0.0);
        (load_ms - passed_ms).max(0.0)
    }
}
