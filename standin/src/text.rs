//! The text that engines generate: a function of the adapter's weights, the prompt and the
//! position, so that a test can check that an answer is complete and comes from the right adapter.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the token at a position, with a trailing space.
pub fn token(source: &str, prompt: &str, index: u64) -> String {
    let parts = [source.as_bytes(), &[0], prompt.as_bytes(), &[0]];
    let hash = parts.concat().into_iter().fold(FNV_OFFSET, fnv1a_step);
    let hash = index.to_le_bytes().into_iter().fold(hash, fnv1a_step);
    format!("t{index}-{:06x} ", hash & 0x00ff_ffff)
}

/// Returns the first `count` tokens as one text.
pub fn generate_text(source: &str, prompt: &str, count: u64) -> String {
    (0..count)
        .map(|index| token(source, prompt, index))
        .collect()
}

/// Returns the number of tokens of a text, which is its number of words.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

fn fnv1a_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}
