//! Names under which adapters are loaded into backend servers.

use std::fmt;

use crate::name::{AdapterVersion, InstanceId, Name};

/// Separates the adapter from the process that loaded it.
const LOADER_SEPARATOR: char = '~';
/// Separates the parts of the loader.
const PART_SEPARATOR: char = '.';

crate::key_record! {
    /// Name of one load of an adapter by one process.
    ///
    /// A handle is never reused for another load, so that a delayed order can only refer to the load
    /// for which it was sent.
    pub struct Handle {
        /// Adapter and version.
        pub model: AdapterVersion,
        /// Process that loaded the adapter.
        pub loader: InstanceId,
        /// Number of the load, unique in the process.
        pub number: u64,
    }
}

impl Handle {
    /// Parses a handle. Returns `None` if the name does not have the format of a handle.
    ///
    /// ```
    /// use mimosabay_core::handle::Handle;
    ///
    /// let handle = Handle::parse("tender@v2~instance-1.1f.7").unwrap();
    /// assert_eq!(handle.loader.incarnation, 0x1f);
    /// assert_eq!(handle.to_string(), "tender@v2~instance-1.1f.7");
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (model, loader) = text.rsplit_once(LOADER_SEPARATOR)?;
        let (adapter, version) = model.split_once('@')?;
        let (loader, number) = loader.rsplit_once(PART_SEPARATOR)?;
        let (name, incarnation) = loader.rsplit_once(PART_SEPARATOR)?;
        Some(Self {
            model: AdapterVersion {
                adapter: adapter.into(),
                version: version.into(),
            },
            loader: InstanceId::new(name, u64::from_str_radix(incarnation, 16).ok()?),
            number: number.parse().ok()?,
        })
    }

    /// Returns the name that is used at the backend server.
    pub fn name(&self) -> Name {
        self.to_string().into()
    }
}

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            model,
            loader,
            number,
        } = self;
        write!(
            f,
            "{model}{LOADER_SEPARATOR}{}{PART_SEPARATOR}",
            loader.name
        )?;
        write!(f, "{:x}{PART_SEPARATOR}{number}", loader.incarnation)
    }
}
