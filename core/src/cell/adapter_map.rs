//! Tables by adapter. The placer looks an adapter up in the table of each engine for each request.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use super::engine::AdapterKey;

/// A table by adapter. Invariant: it holds a few dozen entries, so that names chosen to collide cost
/// little.
pub(crate) type AdapterMap<V> = HashMap<AdapterKey, V, BuildHasherDefault<NameHasher>>;

/// Odd factor that spreads bits over the hash.
const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Rotation between two words, in bits.
const ROTATION_BITS: u32 = 23;

/// Fast hash of short names.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NameHasher {
    hash: u64,
}

impl NameHasher {
    fn add(&mut self, word: u64) {
        self.hash = (self.hash.rotate_left(ROTATION_BITS) ^ word).wrapping_mul(FACTOR);
    }
}

impl Hasher for NameHasher {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(size_of::<u64>()) {
            let mut word = [0; size_of::<u64>()];
            word[..chunk.len()].copy_from_slice(chunk);
            self.add(u64::from_le_bytes(word));
        }
    }

    fn write_u8(&mut self, byte: u8) {
        self.add(u64::from(byte));
    }

    fn finish(&self) -> u64 {
        // Tables use the high bits and the low ones, and the product spreads only upwards.
        self.hash ^ (self.hash >> 32)
    }
}
