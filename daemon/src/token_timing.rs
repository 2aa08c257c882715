//! Arrival times of the tokens of one request.

/// Shortest time in which an engine generates a token. The first tokens can arrive closer together
/// than they were generated.
const MIN_TOKEN_INTERVAL_MS: u64 = 4;

/// Arrival times of the tokens of one request, on the monotonic clock of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenTiming {
    /// Time of the first token, in milliseconds.
    first_ms: Option<u64>,
    /// Time of the last token, in milliseconds. Invariant: at least that of the first.
    last_ms: u64,
    /// Number of tokens.
    tokens: u64,
}

impl TokenTiming {
    /// Records that `count` tokens arrived.
    pub fn record_tokens(&mut self, count: u64, now_ms: u64) {
        self.first_ms.get_or_insert(now_ms);
        self.last_ms = now_ms;
        self.tokens += count;
    }

    /// Time from `started_ms` to the first token.
    pub fn first_token_ms(&self, started_ms: u64) -> Option<u64> {
        Some(self.first_ms?.saturating_sub(started_ms))
    }

    /// Mean time between two tokens, rounded up; `None` below two tokens.
    pub fn between_tokens_ms(&self) -> Option<u64> {
        let gaps = self.tokens.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some((self.last_ms - self.first_ms?).div_ceil(gaps))
    }

    /// Upper bound of the generated tokens if the server continued at its mean speed for
    /// `further_ms` after the last token; `None` while the speed is not known.
    pub fn max_generated_tokens(&self, further_ms: u64) -> Option<u64> {
        let between_ms = self.between_tokens_ms()?.max(MIN_TOKEN_INTERVAL_MS);
        Some(self.tokens + further_ms.div_ceil(between_ms))
    }
}
