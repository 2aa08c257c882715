//! Keys that callers present, and the hashes that are stored of them.

use std::fmt::Write;

use mimosabay_core::name::Name;
use sha2::{Digest, Sha256};

use crate::secret::Secret;

/// Number of random bytes in a key.
pub const KEY_BYTES: usize = 32;

/// First characters of every key, so that a leaked one is recognised.
pub const KEY_PREFIX: &str = "mb_";

/// Writes random bytes as a key.
pub fn encode(random: &[u8; KEY_BYTES]) -> Secret {
    Secret::new(format!("{KEY_PREFIX}{}", hex(random)))
}

/// The hash by which a key is stored and looked up, as [`Key::sha256`] holds it.
///
/// A key has 256 random bits, so that one round without a salt is enough.
///
/// [`Key::sha256`]: mimosabay_core::resource::Key::sha256
pub fn hash(key: &str) -> Name {
    hex(&Sha256::digest(key.as_bytes())).into()
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}
