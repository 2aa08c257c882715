//! The stream that a placement is for, and the software version that it requires.

use crate::name::Name;
use crate::software_versions::SoftwareVersions;
use crate::stream_versions::StreamVersions;

crate::record! {
    /// The stream that a placement is for, if a caller may take it up.
    pub enum StreamPlacement {
        /// None.
        None,
        /// A new one, named by the identifier of the request.
        New,
        /// One that goes on, and whose software version is known.
        Known {
            /// Identifier of the attempt that brought its first event.
            stream: Name,
            /// Version of the servers at which it may go on.
            version: Name,
        },
        /// One that goes on, and whose software version the instance does not know.
        TakenUp {
            /// Identifier of the attempt that brought its first event; empty if the caller names none.
            stream: Name,
        },
    }
}

/// The software version that the server of a placement must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequiredVersion {
    /// Any.
    Any,
    /// This one.
    Version(Name),
    /// One of several, and it is not known which.
    Unknown,
}

impl StreamPlacement {
    /// Returns the identifier of the attempt that brings the first event; `request_id` is that of the
    /// request.
    pub fn name<'a>(&'a self, request_id: &'a Name) -> Option<&'a Name> {
        match self {
            Self::None => None,
            Self::New => Some(request_id),
            Self::Known { stream, .. } | Self::TakenUp { stream } => Some(stream),
        }
    }

    /// Returns the software version if it is known.
    pub fn version(&self) -> Option<&Name> {
        match self {
            Self::Known { version, .. } => Some(version),
            Self::None | Self::New | Self::TakenUp { .. } => None,
        }
    }

    /// Returns whether it goes on at a software version that the instance does not know.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::TakenUp { .. })
    }

    /// Returns whether a caller has received events of it.
    pub fn has_begun(&self) -> bool {
        matches!(self, Self::Known { .. } | Self::TakenUp { .. })
    }

    /// Returns the version that the servers of the service must have.
    pub fn required_version(
        &self,
        service: &str,
        known: &StreamVersions,
        software: &SoftwareVersions,
        now_ms: u64,
    ) -> RequiredVersion {
        match self {
            Self::None | Self::New => RequiredVersion::Any,
            Self::Known { version, .. } => RequiredVersion::Version(version.clone()),
            Self::TakenUp { stream } => {
                let version = known.version(stream);
                let version = version.or_else(|| software.only_version(service, now_ms));
                version
                    .cloned()
                    .map_or(RequiredVersion::Unknown, RequiredVersion::Version)
            }
        }
    }

    /// Sets the software version of a stream that is taken up.
    pub fn set_version(&mut self, version: Name) {
        if let Self::TakenUp { stream } = self {
            let stream = stream.clone();
            *self = Self::Known { stream, version };
        }
    }
}
