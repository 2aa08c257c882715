//! What the machine of a placer can carry: which instances should become the placer, and when a placer falls
//! behind.
//!
//! Handles sites with machines of several sizes, of which small ones cannot place all requests.

/// Delay after which an instance with a much smaller machine than others takes over, beyond that of
/// others, in milliseconds.
const SMALL_MACHINE_DELAY_MS: u64 = 600;
/// Factor by which a machine has to be larger than another one to be preferred to it.
const MUCH_LARGER: u64 = 2;
/// Delay of the placer's work at which it counts as late, in milliseconds.
const LATE_MS: u64 = 200;
/// Time for which the placer has to be late at each observation until it counts as behind, in milliseconds.
const BEHIND_AFTER_MS: u64 = 2_000;
/// Shortest time between two times that a placer hands over because it is behind, in milliseconds.
const HAND_OVER_PAUSE_MS: u64 = 30_000;
/// Largest number of thousandths of a core that is believed.
const MAX_MILLICORES: u64 = 1_024_000;

/// Processor time of a machine, in thousandths of a core; 0 if it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Processor {
    millicores: u64,
}

impl Processor {
    /// Returns the processor time of a machine that states `millicores`. A machine that states nothing, or
    /// something absurd, counts as the smallest.
    pub fn stated(millicores: Option<u64>) -> Self {
        let believed = millicores.filter(|millicores| *millicores <= MAX_MILLICORES);
        Self {
            millicores: believed.unwrap_or(0),
        }
    }

    /// Returns the processor time of a machine with a share of some cores.
    pub fn of_cores(share: f64, cores: f64) -> Self {
        let millicores = share * cores * 1_000.0;
        let is_believed =
            millicores.is_finite() && (0.0..=MAX_MILLICORES as f64).contains(&millicores);
        if !is_believed {
            return Self::default();
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let millicores = millicores.round() as u64;
        Self { millicores }
    }

    /// Thousandths of a core.
    pub fn millicores(self) -> u64 {
        self.millicores
    }

    /// Returns whether another machine is so much larger that it should be the placer instead.
    pub fn is_much_smaller_than(self, other: Self) -> bool {
        self.millicores * MUCH_LARGER < other.millicores
    }

    /// Returns whether a placer on this machine that is behind or idle removes its record, so that an
    /// instance on a larger machine follows it. `since_last_ms` is the time since it last did, in
    /// milliseconds: if it has become the placer again soon, nobody else can.
    pub fn hands_over_to(self, largest_other: Self, since_last_ms: Option<u64>) -> bool {
        let is_repeated = since_last_ms.is_some_and(|since_ms| since_ms < HAND_OVER_PAUSE_MS);
        self.is_much_smaller_than(largest_other) && !is_repeated
    }

    /// Returns the time by which an instance on this machine takes over later than others, if the largest
    /// machine of other instances is `largest_other`, in milliseconds.
    pub fn takeover_delay_ms(self, largest_other: Self) -> u64 {
        if self.is_much_smaller_than(largest_other) {
            SMALL_MACHINE_DELAY_MS
        } else {
            0
        }
    }
}

/// Whether a placer keeps up with its work.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacerPace {
    /// Since when it has been late, in milliseconds.
    late_since_ms: Option<u64>,
}

impl PlacerPace {
    /// Records the longest delay of the placer's work since the last observation, in milliseconds. Returns
    /// whether it is behind.
    pub fn observe(&mut self, delay_ms: u64, now_ms: u64) -> bool {
        if delay_ms < LATE_MS {
            self.late_since_ms = None;
            return false;
        }
        let since_ms = *self.late_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + BEHIND_AFTER_MS
    }
}
