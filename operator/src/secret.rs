//! A secret whose `Debug` output does not contain it.

use std::fmt;

use mimosabay_core::name::Name;

/// A secret, such as the shared peer secret or an API key. Its `Debug` output omits the content.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Name);

impl Secret {
    /// Wraps a secret.
    pub fn new(text: impl Into<Name>) -> Self {
        Self(text.into())
    }

    /// Returns the content. For use only where the secret is sent, hashed or shown on purpose.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
