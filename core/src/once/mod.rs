//! Runs a request with an idempotency key at most once.
//!
//! The platform's store decides which attempt may run. The journal of keys is divided into shards.
//! Each shard has one *head* object, which is changed only by conditional updates, and immutable
//! *archives* of settled entries, which the head lists. The instance that dispatches a request
//! writes its claim to the head as the last step before sending, and may send only after the store
//! has confirmed that the claim is recorded. If the response to a write is lost, the instance reads
//! the head back to find which attempt is recorded.
//!
//! A late write may still record an abandoned claim. This is safe, because the claimant never sends
//! the request, and the shard removes the claim: it either finds the claim and releases it, or
//! writes a new version of the head, so that the late write's precondition fails.
//!
//! The journal reads no clock. `now_ms` is a local monotonic time. Entries contain the store's
//! time, which [`StoreClock`] estimates from the store's responses.

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

/// Number of shards. All instances must use the same number while the store keeps entries.
pub const SHARDS: u32 = 64;
/// Time for which a key is remembered, in the store's time.
pub const WINDOW_MS: u64 = 3_600_000;
/// Allowance for the difference between two instances' estimates of the store's time.
pub const SKEW_ALLOWANCE_MS: u64 = 30_000;
/// Time after the first write of its claim within which a request must be dispatched.
pub const PERMIT_MS: u64 = 10_000;
/// Time after which a claim without an outcome is settled as unknown.
pub const RUN_LIMIT_MS: u64 = 1_800_000;
/// Time that a claim waits for the store before its request is refused.
pub const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// Time between the starts of two writes to a shard by one instance. Claims made in between are
/// combined in one write.
pub const MIN_WRITE_INTERVAL_MS: u64 = 200;
/// Pause between store calls after the store failed to respond.
pub const STORE_BACKOFF_MS: u64 = 500;
/// Retry delay advised to a request whose key could not be recorded.
pub const RETRY_AFTER_MS: u64 = 1_000;
/// Longest idempotency key.
pub const MAX_KEY_BYTES: usize = 256;
/// Largest answer that is recorded, in its stored form.
pub const MAX_ANSWER_BYTES: usize = 4_096;
/// Size of the settled entries at which they are moved from the head to an archive.
pub const ROTATE_BYTES: usize = 64_000;
/// Largest head, including space for the outcomes of running requests. Further claims are refused.
pub const MAX_HEAD_BYTES: usize = 900_000;
