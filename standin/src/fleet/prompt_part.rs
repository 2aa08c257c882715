//! Identifiers of the parts of prompts, as callers spell them and servers read them.

/// How a caller spells the identifiers of parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PartSpelling {
    /// As short as possible.
    #[default]
    Short,
    /// Those of the requests' own parts have 128 bits.
    LongOwn,
    /// All have 128 bits.
    Long,
    /// Those of shared parts are in capitals or have leading zeros by turns.
    Mixed,
}

impl PartSpelling {
    /// Returns the identifier of a shared part in a prompt with this number.
    pub(super) fn shared(self, id: u64, prompt: u64) -> String {
        match self {
            Self::Short | Self::LongOwn => format!("{id:x}"),
            Self::Long => long(id),
            Self::Mixed if prompt.is_multiple_of(2) => format!("{id:X}"),
            Self::Mixed => format!("{id:024x}"),
        }
    }

    /// Returns the identifier of the own part of a request.
    pub(super) fn own(self, id: u64) -> String {
        match self {
            Self::Short | Self::Mixed => format!("{id:x}"),
            Self::LongOwn | Self::Long => long(id),
        }
    }
}

/// An identifier of 128 bits whose last 64 are those of `id`.
fn long(id: u64) -> String {
    format!("f{id:031x}")
}

/// Returns whether a prompt, in the text of its header, has a part with this identifier, however it is spelled. As
/// a server, this reads the header by itself.
pub fn has_part(prompt: &str, id: u64) -> bool {
    let mut parts = prompt.split(',');
    parts.any(|part| {
        let (digits, _) = part.trim().split_once(':').unwrap_or_default();
        u128::from_str_radix(digits, 16)
            .is_ok_and(|number| number & u128::from(u64::MAX) == id.into())
    })
}
