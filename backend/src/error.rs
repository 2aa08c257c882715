//! Errors of calls to backend servers.

use std::fmt;

use http::StatusCode;
use mimosabay_core::request::Ran;

/// Category of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// No connection could be opened; the call was not sent.
    NotSent,
    /// The server has accepted a larger fencing number.
    StaleFencing,
    /// All adapter slots are in use.
    NoSlot,
    /// The adapter's weights could not be loaded.
    LoadFailed,
    /// The handle is not loaded; nothing ran.
    NotLoaded,
    /// The server rejected the request as invalid; nothing ran.
    Rejected,
    /// The connection was lost after the call may have been sent.
    Interrupted,
    /// No response or no progress arrived within the timeout.
    Timeout,
    /// The response violates the server's protocol.
    Protocol,
}

/// The error of a call to a backend server.
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

    /// Returns whether the server may have run the request.
    pub fn ran(&self) -> Ran {
        match self.classify() {
            Category::NotSent
            | Category::StaleFencing
            | Category::NoSlot
            | Category::LoadFailed
            | Category::NotLoaded
            | Category::Rejected => Ran::No,
            Category::Interrupted | Category::Timeout | Category::Protocol => Ran::Unknown,
        }
    }

    pub(crate) fn from_status(status: StatusCode, message: &str) -> Self {
        let category = match status {
            StatusCode::PRECONDITION_FAILED => Category::StaleFencing,
            StatusCode::INSUFFICIENT_STORAGE => Category::NoSlot,
            StatusCode::BAD_GATEWAY => Category::LoadFailed,
            StatusCode::NOT_FOUND => Category::NotLoaded,
            status if status.is_client_error() => Category::Rejected,
            _ => Category::Protocol,
        };
        Self::new(
            category,
            format_args!("server responded with {status}: {message}"),
        )
    }

    pub(crate) fn new(category: Category, message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Self {
            inner: Box::new(Inner { category, message }),
        }
    }
}

impl From<mimosabay_http::Error> for Error {
    fn from(cause: mimosabay_http::Error) -> Self {
        let category = match cause.classify() {
            mimosabay_http::Category::NotSent => Category::NotSent,
            mimosabay_http::Category::Interrupted => Category::Interrupted,
            mimosabay_http::Category::Timeout => Category::Timeout,
            mimosabay_http::Category::Malformed => Category::Protocol,
        };
        Self::new(category, cause)
    }
}

mimosabay_core::opaque_error!(Error);
