//! Checks a merged history of one organisation, independently of the code under test.

/// Largest difference that rounding may cause.
const TOLERANCE_TOKENS: f64 = 1e-3;

/// Tokens used by a request, at the time of its charge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spend {
    pub(crate) at_ms: u64,
    pub(crate) tokens: f64,
}

/// Largest rate and burst that some instance may act on from `from_ms` on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InForce {
    pub(crate) from_ms: u64,
    pub(crate) rate_per_s: f64,
    pub(crate) burst_tokens: f64,
}

impl InForce {
    /// Whether rate and burst equal those of `other`.
    pub(crate) fn is_equal_within_tolerance(self, other: Self) -> bool {
        (self.rate_per_s - other.rate_per_s).abs() < TOLERANCE_TOKENS
            && (self.burst_tokens - other.burst_tokens).abs() < TOLERANCE_TOKENS
    }
}

/// Checks the history against one bucket for all instances. The bucket starts full and stays at or
/// above zero exactly if no interval has more than rate times its length plus burst.
///
/// Returns the first spend that overdraws it, and by how much.
pub(crate) fn overdraft(limits: &[InForce], spends: &[Spend]) -> Option<(Spend, f64)> {
    let mut spends = spends.to_vec();
    spends.sort_by_key(|spend| spend.at_ms);
    let mut limits = limits.iter().peekable();
    let mut limit = *limits.next().expect("a first limit");
    let mut level_tokens = limit.burst_tokens;
    let mut filled_ms = limit.from_ms;
    for spend in spends {
        while let Some(next) = limits.next_if(|next| next.from_ms <= spend.at_ms) {
            level_tokens = filled(level_tokens, limit, next.from_ms - filled_ms);
            level_tokens += (next.burst_tokens - limit.burst_tokens).max(0.0);
            level_tokens = level_tokens.min(next.burst_tokens);
            filled_ms = next.from_ms;
            limit = *next;
        }
        level_tokens = filled(level_tokens, limit, spend.at_ms - filled_ms) - spend.tokens;
        filled_ms = spend.at_ms;
        if level_tokens < -TOLERANCE_TOKENS {
            return Some((spend, -level_tokens));
        }
    }
    None
}

fn filled(level_tokens: f64, limit: InForce, passed_ms: u64) -> f64 {
    let created = limit.rate_per_s * passed_ms as f64 / 1_000.0;
    (level_tokens + created).min(limit.burst_tokens)
}
