//! Minimum of a varying value since any earlier moment.

use std::collections::VecDeque;

/// Maximum number of steps kept; older ones are merged, which can only make the minimum smaller.
const MAX_STEPS: usize = 128;
/// Number of low bits by which the start time is shifted to form the first mark, so that marks of
/// an earlier structure for the same budget are older.
const MARK_BITS: u32 = 20;

/// Sum of subtractions at which they are applied to each step, to keep the sum precise.
const REBASE_AT: f64 = 1e9;

/// Minimum of a value since any mark, as a step function of the mark.
#[derive(Clone, Debug)]
pub(super) struct SuffixMinimum {
    /// Marks and the minimum since each, before `lowered` is subtracted. Invariant: both grow
    /// strictly.
    steps: VecDeque<(u64, f64)>,
    next_mark: u64,
    /// Total subtracted from all values so far.
    lowered: f64,
}

impl SuffixMinimum {
    pub(super) fn starting_at(now_ms: u64) -> Self {
        Self {
            steps: VecDeque::new(),
            next_mark: now_ms << MARK_BITS,
            lowered: 0.0,
        }
    }

    /// Records the current value and returns its mark.
    pub(super) fn record(&mut self, value: f64) -> u64 {
        let value = value + self.lowered;
        let mark = self.next_mark;
        let mut first_mark = mark;
        while let Some(&(earlier, minimum)) = self.steps.back()
            && minimum >= value
        {
            first_mark = earlier;
            self.steps.pop_back();
        }
        self.steps.push_back((first_mark, value));
        self.merge_oldest();
        self.next_mark += 1;
        mark
    }

    /// Minimum of all values since `mark`; 0 if `mark` is older than this structure.
    pub(super) fn min_since(&self, mark: u64) -> f64 {
        let later = self.steps.partition_point(|&(first, _)| first <= mark);
        match later.checked_sub(1) {
            Some(index) => self.steps[index].1 - self.lowered,
            None => 0.0,
        }
    }

    /// Subtracts `amount` from all values so far.
    pub(super) fn lower(&mut self, amount: f64) {
        self.lowered += amount;
        if self.lowered > REBASE_AT {
            for (_, minimum) in &mut self.steps {
                *minimum -= self.lowered;
            }
            self.lowered = 0.0;
        }
    }

    fn merge_oldest(&mut self) {
        if self.steps.len() > MAX_STEPS {
            self.steps.remove(1);
        }
    }
}
