//! Errors of calls between instances.

use std::fmt;

/// Category of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The connection was refused, as no process listens on the address.
    Refused,
    /// The message was not sent.
    NotSent,
    /// The stream ended after the peer may have received the message.
    Interrupted,
    /// The peer does not have the same shared secret.
    Unauthenticated,
    /// A message could not be encoded or decoded.
    Malformed,
}

/// The error of a call to another instance.
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

    /// Returns whether the peer may have acted on the message.
    pub fn may_have_run(&self) -> bool {
        matches!(self.classify(), Category::Interrupted | Category::Malformed)
    }

    pub(crate) fn new(category: Category, message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Self {
            inner: Box::new(Inner { category, message }),
        }
    }

    pub(crate) fn not_sent(message: impl fmt::Display) -> Self {
        Self::new(Category::NotSent, message)
    }

    pub(crate) fn interrupted(message: impl fmt::Display) -> Self {
        Self::new(Category::Interrupted, message)
    }

    pub(crate) fn malformed(message: impl fmt::Display) -> Self {
        Self::new(Category::Malformed, message)
    }
}

mimosabay_core::opaque_error!(Error);
