//! Identity of work that may crash backend servers.
//!
//! A request can crash servers by itself, or because of one part of its prompt, whatever else it
//! holds. Its work therefore has a fingerprint of the whole request and one of each part that other
//! requests can share.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::prompt::Prompt;

/// When a request that was answered was sent to its server and when its answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimes {
    /// In Unix milliseconds.
    pub sent_unix_ms: u64,
    /// In Unix milliseconds.
    pub arrived_unix_ms: u64,
}

impl AnswerTimes {
    /// Returns the time up to which crashes do not count against work, in Unix milliseconds. A
    /// request may have begun to crash servers after it was sent.
    pub fn proven_unix_ms(&self, fingerprint: Fingerprint) -> u64 {
        match fingerprint {
            Fingerprint::Request(_) => self.sent_unix_ms,
            Fingerprint::PromptPart(_) => self.arrived_unix_ms,
        }
    }
}

/// Time with data from a server after which it no longer begins to answer, in milliseconds.
const BEGIN_MS: u64 = 1_000;
/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;
/// Prefix of the text of a part's fingerprint.
const PART_PREFIX: &str = "part:";

crate::key_record! {
    /// Identifies work.
    #[derive(Copy)]
    pub enum Fingerprint {
        /// All requests with this hash of path, organisation and body.
        Request(u64),
        /// All requests with the part of this identifier in their prompts, except as the last.
        PromptPart(u64),
    }
}

crate::key_record! {
    /// The work of one request.
    pub struct Work {
        request_hash: u64,
        /// Identifiers of the parts of the prompt but the last. Invariant: sorted, without duplicates.
        parts: Vec<u64>,
    }
}

impl Work {
    /// Returns the work of a request with this hash of path, organisation and body. The last part of
    /// a prompt belongs to the request itself or to its session. Each other one may be what crashes servers, so
    /// that all count: their number is bounded by the size of a request's head.
    pub fn new(request_hash: u64, prompt: Option<&Prompt>) -> Self {
        let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
        let shared = parts.iter().rev().skip(1).rev();
        let mut parts: Vec<u64> = shared.map(|part| part.id).collect();
        parts.sort_unstable();
        parts.dedup();
        Self {
            request_hash,
            parts,
        }
    }

    /// Returns the hash of the whole request.
    pub fn request_hash(&self) -> u64 {
        self.request_hash
    }

    /// Returns the fingerprint of the whole request.
    pub fn request(&self) -> Fingerprint {
        Fingerprint::Request(self.request_hash)
    }

    /// Returns all fingerprints of the work.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        [self.request()].into_iter().chain(self.parts())
    }

    /// Returns the fingerprints of the parts of its prompt.
    pub fn parts(&self) -> impl Iterator<Item = Fingerprint> {
        self.parts.iter().map(|id| Fingerprint::PromptPart(*id))
    }

    /// Returns the work that may have crashed a server which broke off after it had sent data for
    /// `streamed_ms` milliseconds. A part of a prompt crashes servers that begin to answer.
    #[must_use]
    pub fn interrupted_after(&self, streamed_ms: u64) -> Self {
        let parts = if streamed_ms > BEGIN_MS {
            Vec::new()
        } else {
            self.parts.clone()
        };
        Self {
            request_hash: self.request_hash,
            parts,
        }
    }

    /// Returns whether a fingerprint is one of the work's.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        match fingerprint {
            Fingerprint::Request(hash) => self.request_hash == hash,
            Fingerprint::PromptPart(id) => self.parts.binary_search(&id).is_ok(),
        }
    }

    /// Returns the number of fingerprints.
    pub fn size(&self) -> usize {
        1 + self.parts.len()
    }

    /// Removes the parts that the other work has as well.
    pub fn remove_parts_of(&mut self, other: &Work) {
        let mut others = other.parts.iter().peekable();
        self.parts.retain(|id| {
            while others.next_if(|other| *other < id).is_some() {}
            others.peek() != Some(&id)
        });
    }

    /// Returns the identifiers of the first parts in hexadecimal, separated by commas, for logs.
    pub fn parts_text(&self) -> String {
        let logged = self.parts.iter().take(MAX_LOGGED_PARTS);
        let texts: Vec<String> = logged.map(|id| format!("{id:x}")).collect();
        texts.join(",")
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(hash) => write!(formatter, "{hash:x}"),
            Self::PromptPart(id) => write!(formatter, "{PART_PREFIX}{id:x}"),
        }
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    /// Parses the text that `Display` writes.
    ///
    /// # Errors
    ///
    /// The number is not hexadecimal or too large.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(PART_PREFIX) {
            Some(id) => u64::from_str_radix(id, 16).map(Self::PromptPart),
            None => u64::from_str_radix(text, 16).map(Self::Request),
        }
    }
}
