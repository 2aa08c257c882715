//! Names under which adapters are loaded into backend servers.

use std::fmt;

use crate::name::{AdapterVersion, InstanceId, Name};

/// Separates the adapter from the process that loaded it.
const LOADER_MARK: char = '~';
/// Separates the parts of the loader.
const PART_MARK: char = '.';

crate::key_record! {
    /// The name under which one process loaded an adapter, once.
    ///
    /// A handle is never used for a second load, so that an order that arrives late can only mean
    /// the load that its sender had in mind.
    pub struct Handle {
        /// Adapter and version.
        pub model: AdapterVersion,
        /// The process that loaded it.
        pub loader: InstanceId,
        /// Number of the load in that process.
        pub number: u64,
    }
}

impl Handle {
    /// Reads a handle; `None` if the name was not made by this system.
    ///
    /// ```
    /// use mimosabay_core::handle::Handle;
    ///
    /// let handle = Handle::parse("tender@v2~instance-1.1f.7").unwrap();
    /// assert_eq!(handle.loader.incarnation, 0x1f);
    /// assert_eq!(handle.to_string(), "tender@v2~instance-1.1f.7");
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (model, loader) = text.rsplit_once(LOADER_MARK)?;
        let (adapter, version) = model.split_once('@')?;
        let (loader, number) = loader.rsplit_once(PART_MARK)?;
        let (name, incarnation) = loader.rsplit_once(PART_MARK)?;
        Some(Self {
            model: AdapterVersion {
                adapter: adapter.into(),
                version: version.into(),
            },
            loader: InstanceId::new(name, u64::from_str_radix(incarnation, 16).ok()?),
            number: number.parse().ok()?,
        })
    }

    /// The name as the backend server knows it.
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
        write!(f, "{model}{LOADER_MARK}{}{PART_MARK}", loader.name)?;
        write!(f, "{:x}{PART_MARK}{number}", loader.incarnation)
    }
}
