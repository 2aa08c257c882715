//! How long loads of adapters take. A load that begins beside more than some number of others over all
//! engines takes proportionally longer. The number is learnt from whether adapters had arrived when
//! they were used.

use crate::rounding::floor_ms;

/// Time that a load takes while few are under way, in milliseconds.
const LOAD_MS: f64 = 255.0;
/// Time that a load takes if the server held the adapter before, in milliseconds.
const RELOAD_MS: u64 = 30;
/// Loads at once that do not slow each other for each engine, before anything was learnt.
const INITIAL_FULL_SPEED_LOADS_PER_ENGINE: f64 = 0.42;
/// Bounds of that number.
const FULL_SPEED_LOADS_BOUNDS: std::ops::RangeInclusive<f64> = 4.0..=128.0;
/// Factor after loads that took longer than forecast.
const LATE_LOAD_FACTOR: f64 = 0.9;
/// Time within which late loads have one cause, in milliseconds.
const LATE_LOAD_WINDOW_MS: u64 = 400;
/// Step after a load among that many which arrived in time.
const TIMELY_LOAD_STEP: f64 = 0.2;

/// Speed of loads over all engines.
#[derive(Clone, Debug)]
pub(crate) struct LoadSpeed {
    /// Loads at once beyond which each takes proportionally longer.
    max_full_speed_loads: f64,
    /// Whether any load has told.
    is_measured: bool,
    /// When a load was late last, in milliseconds.
    last_late_ms: Option<u64>,
}

impl LoadSpeed {
    /// There are `engines` for which adapters are loaded.
    pub(crate) fn set_engine_count(&mut self, engines: usize) {
        if !self.is_measured {
            self.max_full_speed_loads =
                clamped(engines as f64 * INITIAL_FULL_SPEED_LOADS_PER_ENGINE);
        }
    }

    /// Time that the next load takes beside `under_way` others, in milliseconds.
    pub(crate) fn load_ms(&self, is_recently_held: bool, under_way: usize) -> u64 {
        if is_recently_held {
            return RELOAD_MS;
        }
        let at_once = (under_way + 1) as f64;
        floor_ms(LOAD_MS * (at_once / self.max_full_speed_loads).max(1.0))
    }

    /// A load beside `under_way` others had arrived as forecast.
    pub(crate) fn record_timely_load(&mut self, under_way: usize) {
        if under_way as f64 >= self.max_full_speed_loads {
            self.set(self.max_full_speed_loads + TIMELY_LOAD_STEP);
        }
    }

    /// A load had not arrived when it was forecast.
    pub(crate) fn record_late_load(&mut self, now_ms: u64) {
        let since_ms = self
            .last_late_ms
            .map_or(u64::MAX, |last_late_ms| now_ms - last_late_ms);
        if since_ms >= LATE_LOAD_WINDOW_MS {
            self.last_late_ms = Some(now_ms);
            self.set(self.max_full_speed_loads * LATE_LOAD_FACTOR);
        }
    }

    fn set(&mut self, max_full_speed_loads: f64) {
        self.max_full_speed_loads = clamped(max_full_speed_loads);
        self.is_measured = true;
    }
}

impl Default for LoadSpeed {
    fn default() -> Self {
        Self {
            max_full_speed_loads: *FULL_SPEED_LOADS_BOUNDS.start(),
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
