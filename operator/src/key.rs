//! API keys of callers, and the hashes under which they are stored.

use std::fmt::Write;

use mimosabay_core::name::Name;
use sha2::{Digest, Sha256};

use crate::secret::Secret;

/// Number of random bytes in a key.
pub const KEY_BYTES: usize = 32;

/// Prefix of every key, by which leaked keys can be recognised.
pub const KEY_PREFIX: &str = "mb_";

/// Encodes random bytes as a key: the prefix and lower-case hexadecimal digits.
pub fn encode(random: &[u8; KEY_BYTES]) -> Secret {
    Secret::new(format!("{KEY_PREFIX}{}", hex(random)))
}

/// Returns the hash under which a key is stored and looked up, in the format of [`Key::sha256`].
///
/// A key has 256 random bits, so a single unsalted round of SHA-256 is sufficient.
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
