//! The monotonic clock of this process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Bits of an incarnation that are random, below the start time.
const RANDOM_BITS: u32 = 16;

/// Milliseconds since the start of this process. Cloning it shares the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Wall-clock time of the start, in milliseconds since 1970.
    start_unix_ms: u64,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            start_unix_ms: unix_ms(),
        }
    }

    /// Wall-clock time at 0 ms, in milliseconds since 1970.
    pub fn start_unix_ms(&self) -> u64 {
        self.start_unix_ms
    }

    /// Wall-clock time in milliseconds since 1970, without the jumps of the wall clock since the
    /// start.
    pub fn unix_ms(&self) -> u64 {
        self.start_unix_ms + self.now_ms()
    }

    /// Milliseconds since the start; never decreases.
    pub fn now_ms(&self) -> u64 {
        millis(self.start.elapsed())
    }

    /// The instant at `at_ms`, for timers.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        (self.start + Duration::from_millis(at_ms)).into()
    }
}

/// Wall-clock time in milliseconds since 1970, for records that people read.
pub fn unix_ms() -> u64 {
    millis(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
    )
}

/// Milliseconds since the machine was started; counts also while it is suspended.
pub fn boot_ms() -> u64 {
    clock_ms(ClockId::CLOCK_BOOTTIME)
}

/// Reading of a clock of the system, in milliseconds. These clocks exist on all systems that run the
/// daemon.
pub fn clock_ms(clock: ClockId) -> u64 {
    clock_gettime(clock).map_or(0, |time| millis(Duration::from(time)))
}

/// Incarnation for this process: larger than those of processes started in earlier milliseconds.
pub fn new_incarnation() -> u64 {
    let random: u16 = rand::random();
    (unix_ms() << RANDOM_BITS) | u64::from(random)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
