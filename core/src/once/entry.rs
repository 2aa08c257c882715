//! Entries of the journal.

use crate::name::{InstanceId, Name};

use super::answer::{RecordedAnswer, max_json_bytes};
use super::{MAX_ANSWER_BYTES, SHARDS};

crate::key_record! {
    /// An idempotency key in the scope of its organisation.
    pub struct KeyId {
        /// Name of the organisation; empty on a route that needs no organisation.
        pub organisation: Name,
        /// Key as sent by the caller.
        pub key: Name,
    }

    /// An attempt to run a request.
    pub struct Claimant {
        /// The process that dispatches the request.
        pub dispatcher: InstanceId,
        /// Number of the attempt. Invariant: never reused by the process.
        pub run: u64,
    }
}

crate::record! {
    /// How a run ended. Invariant: does not change once it is recorded.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The run ended with an answer.
        Finished {
            /// The answer; `None` if it is larger than [`MAX_ANSWER_BYTES`].
            answer: Option<RecordedAnswer>,
        },
        /// The request was dispatched, and its result is unknown.
        Unknown,
    }

    /// A key and the attempt that holds it.
    pub struct JournalEntry {
        /// Key of the request.
        pub key: KeyId,
        /// Hash of the work. Distinguishes another request with the same key.
        pub fingerprint: u64,
        /// The attempt that holds the key. Invariant: no other attempt may dispatch while this entry
        /// is in force.
        pub claimant: Claimant,
        /// Id of the request, for operators.
        pub request: Name,
        /// Store's time of the claim, in milliseconds since 1970.
        pub claimed_unix_ms: u64,
        /// How the run ended; `None` while it may still be running.
        pub outcome: Option<Outcome>,
    }
}

impl KeyId {
    /// Builds a key in the scope of an organisation.
    pub fn new(organisation: impl Into<Name>, key: impl Into<Name>) -> Self {
        Self {
            organisation: organisation.into(),
            key: key.into(),
        }
    }

    /// Returns the number of the shard that records this key.
    pub fn shard(&self) -> u32 {
        let hash = crate::rendezvous::weight(&self.organisation, &self.key);
        u32::try_from(hash % u64::from(SHARDS)).unwrap_or_default()
    }
}

impl Outcome {
    /// Builds the outcome of a finished run. Omits the answer if it is too large to record.
    pub fn finished(answer: &RecordedAnswer) -> Self {
        let fits = answer.stored_bytes() <= MAX_ANSWER_BYTES;
        Outcome::Finished {
            answer: fits.then(|| answer.clone()),
        }
    }
}

impl JournalEntry {
    /// Returns whether the run's outcome is recorded.
    pub fn is_settled(&self) -> bool {
        self.outcome.is_some()
    }

    /// Returns an upper bound of the entry's size in the store, in bytes.
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

    /// Returns an upper bound of the entry's size in the store once its outcome is recorded, in
    /// bytes.
    pub fn reserved_bytes(&self) -> usize {
        let outcome = if self.is_settled() {
            0
        } else {
            MAX_ANSWER_BYTES
        };
        self.stored_bytes() + outcome
    }
}
