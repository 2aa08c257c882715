//! Names of resources, instances and requests.

use std::sync::Arc;

/// A shared immutable name. Cloning it copies a pointer.
pub type Name = Arc<str>;

crate::key_record! {
    /// One start of one instance process.
    ///
    /// Two processes of the same instance, one after the other, differ in `incarnation`.
    pub struct InstanceId {
        /// Name of the instance in the platform's list.
        pub name: Name,
        /// Number of this process start. Invariant: larger than that of every earlier process of
        /// the same name, because it holds the start time in its high bits.
        pub incarnation: u64,
    }

    /// An adapter and one of its versions, as pinned at admission.
    pub struct AdapterVersion {
        /// Name of the adapter.
        pub adapter: Name,
        /// Name of the version.
        pub version: Name,
    }
}

impl InstanceId {
    /// Builds an identity from its parts.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        let name = name.into();
        Self { name, incarnation }
    }
}

impl std::fmt::Display for InstanceId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

impl std::fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}
