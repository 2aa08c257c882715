//! A secret that is never printed.

use std::fmt;

use mimosabay_core::name::Name;

/// A secret from the settings. Its `Debug` form leaves the content out.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Name);

impl Secret {
    /// Wraps a secret.
    pub fn new(text: impl Into<Name>) -> Self {
        Self(text.into())
    }

    /// The content, for the one place that proves knowledge of it.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
