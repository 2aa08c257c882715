//! The software version to which a new stream is bound until its first event arrives.
//!
//! A placer notes the version of the server that it assigns, and the note outlasts the placer and the
//! instance. It stays true because the instance sends the stream to servers of that version only, unless
//! a placer assigns another one, which it notes too.

use crate::name::Name;
use crate::stream_placement::RequiredVersion;

/// What is known of the version at which a new stream may begin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionBinding {
    /// No server was assigned.
    #[default]
    Unbound,
    /// A placer may have assigned a server and noted its version, but its answer has not arrived.
    InDoubt,
    /// A placer assigned a server of this version, and has noted it.
    Noted(Name),
    /// The instance assigned a server of this version by itself. No placer has noted it.
    Own(Name),
}

impl VersionBinding {
    /// Records that a server of a version was assigned, by a placer or by the instance itself. Nothing is
    /// bound to a version that is not known.
    pub fn record_assignment(&mut self, version: Option<&Name>, is_by_placer: bool) {
        let Some(version) = version else {
            return;
        };
        if is_by_placer {
            *self = Self::Noted(version.clone());
        } else if self.version().is_none() {
            *self = Self::Own(version.clone());
        }
    }

    /// Records that a placer has received a placement request and has not answered it.
    pub fn record_unanswered(&mut self) {
        if *self == Self::Unbound {
            *self = Self::InDoubt;
        }
    }

    /// Returns the version that a server must have which the instance assigns by itself. `has_several` tells
    /// whether it knows several versions of the service; a placer may know one that it does not.
    pub fn required_version(&self, has_several: bool) -> RequiredVersion {
        match self {
            Self::InDoubt if has_several => RequiredVersion::Unknown,
            Self::Unbound | Self::InDoubt => RequiredVersion::Any,
            Self::Noted(version) | Self::Own(version) => RequiredVersion::Version(version.clone()),
        }
    }

    /// Returns the version, if it is bound to one.
    pub fn version(&self) -> Option<&Name> {
        match self {
            Self::Noted(version) | Self::Own(version) => Some(version),
            Self::Unbound | Self::InDoubt => None,
        }
    }

    /// Returns whether a placer may assign a server of another version. It does not know a version that
    /// only the instance has assigned, so that it would note the other one as the only one.
    pub fn may_change(&self) -> bool {
        !matches!(self, Self::Own(_))
    }
}
