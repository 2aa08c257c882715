//! Estimates the duration of adapter loads. Beyond a number of concurrent loads over all engines,
//! each load takes proportionally longer. That number, and the duration of a load with few others in
//! progress, are estimated from whether loads had ended by their forecast time when the adapters were
//! first used.

use crate::rounding::floor_ms;

/// Bounds of the duration of a load with few others in progress, in milliseconds; the first one is the
/// initial estimate.
const LOAD_BOUNDS_MS: std::ops::RangeInclusive<f64> = 255.0..=5_000.0;
/// Factor applied to the duration if loads with few others in progress are late.
const LONGER_LOAD_FACTOR: f64 = 1.04;
/// Factor applied to the duration after a timely load with few others in progress.
const TIMELY_LOAD_FACTOR: f64 = 0.9999;
/// Share of the initial full-speed number up to which there are few other loads in progress.
const FEW_LOADS_SHARE: f64 = 0.6;
/// Share of late loads with few others in progress from which nothing is learned from the late ones among
/// many.
const UNSURE_LATE_SHARE: f64 = 0.1;
/// Weight of a load in the moving average of late loads with few others in progress.
const LATE_SHARE_WEIGHT: f64 = 0.15;
/// Share of late loads with few others in progress from which the duration is too short.
const MAX_LATE_SHARE: f64 = 0.35;
/// Duration of a load if the server held the adapter before, in milliseconds.
const RELOAD_MS: u64 = 30;
/// Initial number of concurrent full-speed loads for each engine.
const INITIAL_FULL_SPEED_LOADS_PER_ENGINE: f64 = 0.42;
/// Bounds of the number of concurrent full-speed loads.
const FULL_SPEED_LOADS_BOUNDS: std::ops::RangeInclusive<f64> = 4.0..=128.0;
/// Factor applied after loads that took longer than forecast.
const LATE_LOAD_FACTOR: f64 = 0.9;
/// Period within which late loads are attributed to one cause, in milliseconds.
const LATE_LOAD_WINDOW_MS: u64 = 400;
/// Increment after a load on time with at least the full-speed number of others in progress.
const TIMELY_LOAD_STEP: f64 = 0.2;

/// Estimated load speed over all engines.
#[derive(Clone, Debug)]
pub(crate) struct LoadSpeed {
    /// Duration of a load with few others in progress, in milliseconds.
    load_ms: f64,
    /// Moving average of the share of late loads among those with few others in progress.
    late_share: f64,
    /// Number of concurrent loads beyond which each takes proportionally longer.
    max_full_speed_loads: f64,
    /// Initial estimate of that number.
    initial_full_speed_loads: f64,
    /// Whether the estimate has been updated by any load.
    is_measured: bool,
    /// Time of the last counted late load, in milliseconds.
    last_late_ms: Option<u64>,
}

impl LoadSpeed {
    /// Sets the initial estimate for the number of engines, unless a load has updated it already.
    pub(crate) fn set_engine_count(&mut self, engines: usize) {
        let initial = clamped(engines as f64 * INITIAL_FULL_SPEED_LOADS_PER_ENGINE);
        self.initial_full_speed_loads = initial;
        if !self.is_measured {
            self.max_full_speed_loads = initial;
        }
    }

    /// Returns the duration of the next load with `under_way` others in progress, in milliseconds.
    pub(crate) fn load_ms(&self, is_recently_held: bool, under_way: usize) -> u64 {
        if is_recently_held {
            return RELOAD_MS;
        }
        let at_once = (under_way + 1) as f64;
        floor_ms(self.load_ms * (at_once / self.max_full_speed_loads).max(1.0))
    }

    /// Returns the number of concurrent loads beyond which each takes longer.
    pub(crate) fn full_speed_loads(&self) -> u64 {
        floor_ms(self.max_full_speed_loads)
    }

    /// Records that a load with `under_way` others in progress had ended by its forecast time.
    pub(crate) fn record_timely_load(&mut self, under_way: usize) {
        if self.is_among_few(under_way) {
            self.late_share -= self.late_share * LATE_SHARE_WEIGHT;
            self.set_duration(self.load_ms * TIMELY_LOAD_FACTOR);
        }
        if under_way as f64 >= self.max_full_speed_loads {
            self.set_estimate(self.max_full_speed_loads + TIMELY_LOAD_STEP);
        }
    }

    /// Records that a load with `under_way` others in progress had not ended after `forecast_ms`.
    pub(crate) fn record_late_load(&mut self, forecast_ms: u64, under_way: usize, now_ms: u64) {
        if self.is_among_few(under_way) {
            // The estimate may have grown since the load began.
            if forecast_ms < floor_ms(self.load_ms) {
                return;
            }
            self.late_share += (1.0 - self.late_share) * LATE_SHARE_WEIGHT;
            if self.late_share > MAX_LATE_SHARE {
                self.late_share = 0.0;
                self.set_duration(self.load_ms * LONGER_LOAD_FACTOR);
            }
            return;
        }
        if self.late_share > UNSURE_LATE_SHARE {
            return;
        }
        let since_ms = self
            .last_late_ms
            .map_or(u64::MAX, |last_late_ms| now_ms - last_late_ms);
        if since_ms >= LATE_LOAD_WINDOW_MS {
            self.last_late_ms = Some(now_ms);
            self.set_estimate(self.max_full_speed_loads * LATE_LOAD_FACTOR);
        }
    }

    /// Whether so few loads are in progress that they do not slow each other.
    fn is_among_few(&self, under_way: usize) -> bool {
        (under_way as f64) < self.initial_full_speed_loads * FEW_LOADS_SHARE
    }

    fn set_duration(&mut self, load_ms: f64) {
        self.load_ms = load_ms.clamp(*LOAD_BOUNDS_MS.start(), *LOAD_BOUNDS_MS.end());
    }

    fn set_estimate(&mut self, max_full_speed_loads: f64) {
        self.max_full_speed_loads = clamped(max_full_speed_loads);
        self.is_measured = true;
    }
}

impl Default for LoadSpeed {
    fn default() -> Self {
        Self {
            load_ms: *LOAD_BOUNDS_MS.start(),
            late_share: 0.0,
            max_full_speed_loads: *FULL_SPEED_LOADS_BOUNDS.start(),
            initial_full_speed_loads: *FULL_SPEED_LOADS_BOUNDS.start(),
            is_measured: false,
            last_late_ms: None,
        }
    }
}

fn clamped(max_full_speed_loads: f64) -> f64 {
    max_full_speed_loads.clamp(
        *FULL_SPEED_LOADS_BOUNDS.start(),
        *FULL_SPEED_LOADS_BOUNDS.end(),
    )
}
