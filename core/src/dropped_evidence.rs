//! Counts of what was dropped of the evidence against work, because a bound was reached.

/// What was dropped since it was last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedEvidence {
    /// Requests that broke, of which it was not decided whether their servers had crashed.
    pub broken_requests: usize,
    /// Fingerprints against which crashes count.
    pub fingerprints: usize,
    /// Fingerprints of own evidence that a new placer is not told of.
    pub own_fingerprints: usize,
    /// Crashes that are not retracted any more.
    pub retractable_crashes: usize,
    /// Answers that still proved work sound.
    pub answers: usize,
}

impl DroppedEvidence {
    /// Returns whether nothing was dropped.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the number of all that was dropped.
    pub fn count(&self) -> usize {
        self.broken_requests
            + self.fingerprints
            + self.own_fingerprints
            + self.retractable_crashes
            + self.answers
    }
}
