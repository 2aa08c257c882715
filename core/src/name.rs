//! Names of resources, instances and requests.

use std::sync::Arc;

/// Shared immutable name. Cloning copies a pointer.
pub type Name = Arc<str>;

crate::key_record! {
    /// Identity of one process of an instance.
    ///
    /// Successive processes of the same instance differ in `incarnation`.
    pub struct InstanceId {
        /// Name of the instance in the platform's list.
        pub name: Name,
        /// Number of the process start. Invariant: larger than that of every earlier process with the
        /// same name, because its high bits hold the start time.
        pub incarnation: u64,
    }

    /// Adapter and version, as pinned at admission.
    pub struct AdapterVersion {
        /// Name of the adapter.
        pub adapter: Name,
        /// Name of the version.
        pub version: Name,
    }
}

impl InstanceId {
    /// Creates an identity from an instance name and the number of a process start.
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
