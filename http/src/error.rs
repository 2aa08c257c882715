//! Errors of HTTP calls.

use std::fmt;

/// Category of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// No connection could be opened; the call was not sent.
    NotSent,
    /// The connection was lost after the call may have been sent.
    Interrupted,
    /// No response arrived within the timeout; the call may have taken effect.
    Timeout,
    /// The call or the response is malformed.
    Malformed,
}

/// The error of an HTTP call.
pub struct Error {
    inner: Box<Inner>,
}

struct Inner {
    category: Category,
    message: String,
}

impl Error {
    /// Returns the category of this error.
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Returns whether the call may have taken effect at the server.
    pub fn may_have_run(&self) -> bool {
        self.classify() != Category::NotSent
    }

    pub(crate) fn timeout() -> Self {
        Self::new(Category::Timeout, "no response within the timeout")
    }

    pub(crate) fn interrupted(cause: impl fmt::Display) -> Self {
        Self::new(Category::Interrupted, cause)
    }

    pub(crate) fn malformed(cause: impl fmt::Display) -> Self {
        Self::new(Category::Malformed, cause)
    }

    pub(crate) fn from_send(cause: hyper_util::client::legacy::Error) -> Self {
        let category = if cause.is_connect() {
            Category::NotSent
        } else {
            Category::Interrupted
        };
        Self::new(category, cause)
    }

    fn new(category: Category, message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Self {
            inner: Box::new(Inner { category, message }),
        }
    }
}

mimosabay_core::opaque_error!(Error);
