//! One instance's share of the retries of a service over all instances.

/// Minimum number of instances among which the burst is divided, also while their number is unknown.
const MIN_INSTANCES: f64 = 12.0;
/// Factor by which the number of instances within a window may exceed the known number, because some
/// have been replaced.
const REPLACED_FACTOR: f64 = 1.5;
/// Used share of the allowed ratio. The rest covers retries whose requests were counted in an earlier
/// window.
const RATIO_SHARE: f64 = 0.8;

/// Retries of one service at one instance. Works without messages between instances.
#[derive(Clone, Debug)]
pub struct RetryShare {
    /// Number of retries that each request adds.
    per_request: f64,
    /// Number of retries over all instances that is allowed whatever the number of requests.
    burst: f64,
    /// Maximum number of stored retries.
    max_stored: f64,
    /// Number of retries available now. Invariant: at most `max_stored`.
    stored: f64,
}

impl RetryShare {
    /// Creates a share with one retry, because the previous process may have used the rest. `ratio` and
    /// `burst` are the limits over all instances.
    pub fn new(ratio: f64, burst: f64) -> Self {
        let max_stored = instance_share(burst, MIN_INSTANCES);
        Self {
            per_request: ratio * RATIO_SHARE,
            burst,
            max_stored,
            stored: max_stored.min(1.0),
        }
    }

    /// Divides the burst among the current number of instances.
    pub fn set_instance_count(&mut self, instances: usize) {
        let instances = instances as f64 * REPLACED_FACTOR;
        self.max_stored = instance_share(self.burst, instances.max(MIN_INSTANCES));
        self.stored = self.stored.min(self.max_stored);
    }

    /// Adds the retries for one request.
    pub fn count_request(&mut self) {
        self.stored = (self.stored + self.per_request).min(self.max_stored);
    }

    /// Takes one retry if available. Returns whether it was taken.
    pub fn try_take_retry(&mut self) -> bool {
        let is_available = self.stored >= 1.0;
        if is_available {
            self.stored -= 1.0;
        }
        is_available
    }

    /// Returns a retry that was taken and not used.
    pub fn return_retry(&mut self) {
        self.stored = (self.stored + 1.0).min(self.max_stored);
    }
}

/// Returns one instance's share of the burst, at least one retry. In a large fleet, the unused part of
/// the ratio covers this minimum.
fn instance_share(burst: f64, instances: f64) -> f64 {
    (burst / instances).max(1.0)
}
