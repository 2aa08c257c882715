//! Errors of commands.

use std::fmt;

use mimosabay_operator::FieldError;
use mimosabay_platform::Category as PlatformCategory;
use serde_json::json;

use crate::output::OutputFormat;

/// Category of an error, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Any other failure.
    Failed,
    /// The command line is invalid.
    Usage,
    /// Someone else changed the resource in the meantime; their change was not overwritten.
    Conflict,
    /// No such resource.
    NotFound,
    /// The platform does not respond, or the outcome of a write is unknown.
    Unavailable,
    /// The resource or the settings are invalid.
    Rejected,
}

/// Error of a command.
pub struct Error {
    inner: Box<Inner>,
}

struct Inner {
    category: Category,
    message: String,
}

impl Category {
    /// Returns the exit code of the command.
    pub const fn exit_code(self) -> u8 {
        match self {
            Category::Failed => 1,
            Category::Usage => 2,
            Category::Conflict => 3,
            Category::NotFound => 4,
            Category::Unavailable => 5,
            Category::Rejected => 6,
        }
    }

    /// Returns the error code used in JSON output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Category::Failed => "failed",
            Category::Usage => "usage",
            Category::Conflict => "conflict",
            Category::NotFound => "not_found",
            Category::Unavailable => "unavailable",
            Category::Rejected => "rejected",
        }
    }
}

impl Error {
    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    pub(crate) fn new(category: Category, message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Self {
            inner: Box::new(Inner { category, message }),
        }
    }

    pub(crate) fn rejected(errors: &[FieldError]) -> Self {
        let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
        Self::new(Category::Rejected, lines.join("\n"))
    }

    /// Appends a line to the message.
    pub(crate) fn with_note(mut self, line: impl fmt::Display) -> Self {
        self.inner.message = format!("{}\n{line}", self.inner.message);
        self
    }

    pub(crate) fn render(&self, output: OutputFormat) -> String {
        match output {
            OutputFormat::Json => {
                let error = json!({
                    "code": self.classify().as_str(),
                    "message": self.inner.message,
                });
                json!({ "error": error }).to_string()
            }
            OutputFormat::Table | OutputFormat::Html => {
                format!("mimosabay: {}: {self}", self.classify().as_str())
            }
        }
    }
}

impl From<mimosabay_platform::Error> for Error {
    fn from(cause: mimosabay_platform::Error) -> Self {
        let category = match cause.classify() {
            PlatformCategory::Conflict => Category::Conflict,
            PlatformCategory::NotFound => Category::NotFound,
            PlatformCategory::TooLarge => Category::Rejected,
            PlatformCategory::Unavailable | PlatformCategory::Unknown => Category::Unavailable,
            PlatformCategory::Gone | PlatformCategory::Protocol => Category::Failed,
        };
        Self::new(category, format_args!("platform: {cause}"))
    }
}

impl From<mimosabay_operator::store::MalformedObject> for Error {
    fn from(cause: mimosabay_operator::store::MalformedObject) -> Self {
        Self::new(Category::Failed, cause)
    }
}

mimosabay_core::opaque_error!(Error);
