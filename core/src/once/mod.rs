//! At most one run of a request with an idempotency key.
//!
//! The arbiter is the platform's store. The journal of keys is cut into shards; each shard has one
//! *head* object that is only ever changed by conditional update, and immutable *archives* of
//! settled entries that the head lists. The instance that dispatches a request writes its claim
//! into the head as the last step before sending, and may send only after it has proof that the
//! claim is recorded. A write whose answer was lost is settled by reading back who is recorded.
//!
//! A claim that was given up may still be recorded by a write that arrives late. That is harmless
//! to safety, because its claimant never sends it, and the shard removes it: it either finds the
//! claim and releases it, or moves the head on, so that the late write's version no longer holds.
//!
//! Nothing here reads a clock. `now_ms` is monotonic and local; records carry the store's time,
//! which [`StoreClock`] derives from the store's answers.

mod answer;
mod claim;
mod clock;
mod duplicate_response;
mod entry;
mod event;
mod head;
mod journal;
mod run;
mod shard;
mod store_call;

pub use answer::{Body, RecordedAnswer};
pub use clock::StoreClock;
pub use duplicate_response::{DuplicateResponse, running_elsewhere_refusal};
pub use entry::{Claimant, JournalEntry, KeyId, Outcome};
pub use event::{Action, DispatchDecision, KeyedRequest, RunOutcome, Settings, Ticket};
pub use head::{Archive, ArchiveRef, Head};
pub use journal::Journal;
pub use store_call::{StoreCall, StoreFailure};

/// Number of shards. Every instance uses the same number for as long as the store keeps entries.
pub const SHARDS: u32 = 64;
/// Time for which a key is remembered, in the store's time.
pub const WINDOW_MS: u64 = 3_600_000;
/// Allowance for the difference between two instances' views of the store's time.
pub const SKEW_ALLOWANCE_MS: u64 = 30_000;
/// Time after its claim was sent within which a request has to be dispatched.
pub const PERMIT_MS: u64 = 10_000;
/// Time after which a claim without an outcome is settled as unknown.
pub const RUN_LIMIT_MS: u64 = 1_800_000;
/// Time that a claim waits for the store before it is refused.
pub const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// Time between the starts of two writes to one shard by one instance.
pub const MIN_WRITE_INTERVAL_MS: u64 = 200;
/// Time without calls after the store did not answer.
pub const STORE_BACKOFF_MS: u64 = 500;
/// When a request that the store could not record is worth repeating.
pub const RETRY_AFTER_MS: u64 = 1_000;
/// Longest idempotency key.
pub const MAX_KEY_BYTES: usize = 256;
/// Largest answer that is recorded, in its stored form.
pub const MAX_ANSWER_BYTES: usize = 4_096;
/// Size of settled entries at which they are moved from the head into an archive.
pub const ROTATE_BYTES: usize = 64_000;
/// Largest head, room for the outcomes of running requests included. Claims beyond it are refused.
pub const MAX_HEAD_BYTES: usize = 900_000;
