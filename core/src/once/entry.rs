//! What the journal records about a key.

use crate::name::{InstanceId, Name};

use super::answer::{RecordedAnswer, max_json_bytes};
use super::{MAX_ANSWER_BYTES, SHARDS};

crate::key_record! {
    /// An idempotency key in the scope of its organisation.
    pub struct KeyId {
        /// Name of the organisation; empty on a route open to all.
        pub organisation: Name,
        /// Key as the caller sent it.
        pub key: Name,
    }

    /// One attempt to run a request.
    pub struct Claimant {
        /// The process that dispatches.
        pub dispatcher: InstanceId,
        /// Number of the attempt. Invariant: used once in the life of the process.
        pub run: u64,
    }
}

crate::record! {
    /// How a run ended. Invariant: never changes once it is recorded.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// It ran to its end.
        Finished {
            /// Its answer; `None` if that is larger than [`MAX_ANSWER_BYTES`].
            answer: Option<RecordedAnswer>,
        },
        /// It was dispatched, and nobody knows how it ended.
        Unknown,
    }

    /// A key and the attempt that may run it.
    pub struct JournalEntry {
        /// The key.
        pub key: KeyId,
        /// Hash of the work, to tell another request under the same key.
        pub fingerprint: u64,
        /// The attempt. Invariant: no other attempt may dispatch while this entry is in force.
        pub claimant: Claimant,
        /// Request id, for operators.
        pub request: Name,
        /// Store's time of the claim, in milliseconds since 1970.
        pub claimed_unix_ms: u64,
        /// How the run ended; `None` while it may still run.
        pub outcome: Option<Outcome>,
    }
}

impl KeyId {
    /// Builds the identity of a key.
    pub fn new(organisation: impl Into<Name>, key: impl Into<Name>) -> Self {
        Self {
            organisation: organisation.into(),
            key: key.into(),
        }
    }

    /// Number of the shard that records this key.
    pub fn shard(&self) -> u32 {
        let hash = crate::rendezvous::weight(&self.organisation, &self.key);
        u32::try_from(hash % u64::from(SHARDS)).unwrap_or_default()
    }
}

impl Outcome {
    /// A finished run; an answer that is too large is left out.
    pub fn finished(answer: &RecordedAnswer) -> Self {
        let fits = answer.stored_bytes() <= MAX_ANSWER_BYTES;
        Outcome::Finished {
            answer: fits.then(|| answer.clone()),
        }
    }
}

impl JournalEntry {
    /// Whether the run has ended.
    pub fn is_settled(&self) -> bool {
        self.outcome.is_some()
    }

    /// Upper bound of the size in the store, in bytes.
    pub fn stored_bytes(&self) -> usize {
        const FIELDS_BYTES: usize = 300;
        let answer = match &self.outcome {
            Some(Outcome::Finished {
                answer: Some(answer),
            }) => answer.stored_bytes(),
            _ => 0,
        };
        let names = [
            &self.key.organisation,
            &self.key.key,
            &self.claimant.dispatcher.name,
            &self.request,
        ];
        FIELDS_BYTES + answer + names.iter().map(|name| max_json_bytes(name)).sum::<usize>()
    }

    /// Size in the store once the run has ended, in bytes.
    pub fn reserved_bytes(&self) -> usize {
        let outcome = if self.is_settled() {
            0
        } else {
            MAX_ANSWER_BYTES
        };
        self.stored_bytes() + outcome
    }
}
