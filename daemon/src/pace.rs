//! How fast the tokens of one request came.

/// Times of the tokens of one request, on the monotonic clock of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Time of the first token.
    first_ms: Option<u64>,
    /// Time of the last token. Invariant: at least that of the first.
    last_ms: u64,
    /// Number of tokens.
    tokens: u64,
}

impl Pace {
    /// Notes that `count` tokens came.
    pub fn tokens(&mut self, count: u64, now_ms: u64) {
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
}
