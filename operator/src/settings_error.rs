//! Errors in a settings file.

use std::fmt;

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Line in the file, from 1; `None` if the key or section is absent.
    pub line: Option<usize>,
    /// Section; empty for keys before the first section and for syntax errors.
    pub section: String,
    /// Key; empty if the error concerns the section as a whole.
    pub key: String,
    /// Description of the error, with the value unless it is a secret.
    pub problem: String,
    /// Allowed values, with unit and range.
    pub allowed: String,
}

/// All errors in a settings file, sorted by line; errors without a line come last. Invariant: not
/// empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    errors: Vec<SettingError>,
}

impl SettingsErrors {
    pub(crate) fn new(mut errors: Vec<SettingError>) -> Self {
        errors.sort_by_key(|error| error.line.unwrap_or(usize::MAX));
        Self { errors }
    }

    /// Returns the errors in their order of display.
    pub fn as_slice(&self) -> &[SettingError] {
        &self.errors
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        match (self.section.as_str(), self.key.as_str()) {
            ("", "") => {}
            ("", key) => write!(f, "{key}: ")?,
            (section, "") => write!(f, "[{section}]: ")?,
            (section, key) => write!(f, "[{section}] {key}: ")?,
        }
        f.write_str(&self.problem)?;
        if !self.allowed.is_empty() {
            write!(f, ", allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingError {}

impl std::error::Error for SettingsErrors {}
