//! One instance's view of a shard of the journal.
//!
//! At most one store call is pending for a shard at a time. Claims that arrive during the call are
//! combined in the next write.

use std::collections::HashMap;

use crate::name::Name;

use super::claim::{Claim, EntryUpdate, OrphanedClaim, WriteAttempt, with_claim_time};
use super::entry::{Claimant, JournalEntry, KeyId, Outcome};
use super::head::{Archive, ArchiveRef, Head};
use super::store_call::{ClaimResult, ShardAction, ShardContext, StoreCall, StoreFailure};
use super::{MAX_HEAD_BYTES, MIN_WRITE_INTERVAL_MS};

#[derive(Clone, Debug)]
struct CachedHead {
    version: Option<u64>,
    head: Head,
    /// Number of the call that returned this version.
    call_number: u64,
}

#[derive(Clone, Debug)]
struct Rotation {
    archive: Archive,
    reference: ArchiveRef,
    /// Version of the head from which the archive was taken. Invariant: the reference is only
    /// written on top of this version.
    base_version: Option<u64>,
}

#[derive(Clone, Debug)]
enum PendingCall {
    Idle,
    ReadingHead,
    ReadingArchive(ArchiveRef),
    WritingArchive(Rotation),
    WritingHead {
        head: Head,
        expired: Vec<ArchiveRef>,
    },
}

/// One instance's view of a shard.
#[derive(Debug)]
pub(super) struct Shard {
    /// Prefix of the names of this shard's archives, unique to this process and shard.
    archive_prefix: Name,
    archives_written: u64,
    cached_head: Option<CachedHead>,
    cached_archives: HashMap<Name, HashMap<KeyId, JournalEntry>>,
    claims: Vec<Claim>,
    updates: Vec<EntryUpdate>,
    /// Invariant: a late write may still record each of them on top of the cached version.
    orphaned_claims: Vec<OrphanedClaim>,
    rotation: Option<Rotation>,
    pending_call: PendingCall,
    /// Number of store calls started so far.
    calls_started: u64,
    last_write_ms: Option<u64>,
    /// Monotonic time until which no store call is made, in milliseconds.
    paused_until_ms: u64,
}

impl Shard {
    pub(super) fn new(archive_prefix: Name) -> Self {
        Self {
            archive_prefix,
            archives_written: 0,
            cached_head: None,
            cached_archives: HashMap::new(),
            claims: Vec::new(),
            updates: Vec::new(),
            orphaned_claims: Vec::new(),
            rotation: None,
            pending_call: PendingCall::Idle,
            calls_started: 0,
            last_write_ms: None,
            paused_until_ms: 0,
        }
    }

    /// Queues a claim to be recorded.
    pub(super) fn add_claim(
        &mut self,
        entry: JournalEntry,
        context: ShardContext,
    ) -> Vec<ShardAction> {
        self.claims.push(Claim {
            entry,
            calls_before: self.calls_started,
            last_write: None,
        });
        self.advance(context)
    }

    /// Abandons a claim that has not been answered.
    pub(super) fn abandon_claim(&mut self, claimant: &Claimant) {
        let position = self
            .claims
            .iter()
            .position(|claim| claim.entry.claimant == *claimant);
        if let Some(position) = position {
            let claim = self.claims.remove(position);
            self.track_orphaned_claim(claim);
        }
    }

    /// Queues the outcome of a granted claim to be recorded, or the claim's release if it is
    /// `None`.
    pub(super) fn record_outcome(
        &mut self,
        key: KeyId,
        claimant: Claimant,
        outcome: Option<Outcome>,
        context: ShardContext,
    ) -> Vec<ShardAction> {
        self.updates.push(EntryUpdate {
            key,
            claimant,
            outcome,
        });
        self.advance(context)
    }

    /// Returns whether an update of the claim still has to be written.
    pub(super) fn has_pending_update(&self, claimant: &Claimant) -> bool {
        self.updates
            .iter()
            .any(|update| update.claimant == *claimant)
    }

    /// Handles the end of a read of the head; `None` if the object does not exist.
    pub(super) fn on_head_read(
        &mut self,
        result: Result<Option<(u64, Head)>, StoreFailure>,
        context: ShardContext,
    ) -> Vec<ShardAction> {
        self.pending_call = PendingCall::Idle;
        match result {
            Ok(found) => {
                let (version, head) = match found {
                    Some((version, head)) => (Some(version), head),
                    None => (None, Head::default()),
                };
                if version < self.cached_version() {
                    // A stale read from a lagging replica cannot show which attempt holds a key.
                    self.paused_until_ms = context.now_ms + MIN_WRITE_INTERVAL_MS;
                    return self.refuse_all_claims();
                }
                let mut actions = self.apply_head(version, head);
                actions.extend(self.advance(context));
                actions
            }
            Err(_) => self.refuse_all_claims(),
        }
    }

    /// Handles the end of a read of an archive; `None` if the object does not exist.
    pub(super) fn on_archive_read(
        &mut self,
        result: Result<Option<Archive>, StoreFailure>,
        context: ShardContext,
    ) -> Vec<ShardAction> {
        let pending_call = std::mem::replace(&mut self.pending_call, PendingCall::Idle);
        match (pending_call, result) {
            (PendingCall::ReadingArchive(reference), Ok(Some(archive))) => {
                self.cache_archive(&reference, &archive);
                self.advance(context)
            }
            (_, Ok(_)) => {
                // The archive expired after the head was read, so the cached head is outdated.
                self.cached_head = None;
                self.refuse_all_claims()
            }
            (_, Err(_)) => self.refuse_all_claims(),
        }
    }

    /// Handles the end of a write of an archive; the value is the archive's version.
    pub(super) fn on_archive_written(
        &mut self,
        result: Result<u64, StoreFailure>,
        context: ShardContext,
    ) -> Vec<ShardAction> {
        let pending_call = std::mem::replace(&mut self.pending_call, PendingCall::Idle);
        match (pending_call, result) {
            (PendingCall::WritingArchive(mut rotation), Ok(version)) => {
                rotation.reference.version = version;
                self.rotation = Some(rotation);
                self.advance(context)
            }
            // An archive to which no head refers is never read.
            _ => self.refuse_all_claims(),
        }
    }

    /// Handles the end of a write of the head; the value is its new version.
    pub(super) fn on_head_written(
        &mut self,
        result: Result<u64, StoreFailure>,
        context: ShardContext,
    ) -> Vec<ShardAction> {
        let pending_call = std::mem::replace(&mut self.pending_call, PendingCall::Idle);
        let PendingCall::WritingHead { head, expired } = pending_call else {
            return Vec::new();
        };
        match result {
            Ok(version) => {
                let mut actions = self.apply_head(Some(version), head);
                let deletions = expired.into_iter().map(ShardAction::DeleteArchive);
                actions.extend(deletions);
                actions.extend(self.advance(context));
                actions
            }
            Err(StoreFailure::Conflict | StoreFailure::Unknown) => self.read_head(),
            Err(StoreFailure::Unavailable) => self.refuse_all_claims(),
        }
    }

    /// Starts the next store call or answers claims, if either is possible now.
    pub(super) fn advance(&mut self, context: ShardContext) -> Vec<ShardAction> {
        let is_idle = matches!(self.pending_call, PendingCall::Idle);
        if !is_idle || !self.has_work() || context.now_ms < self.paused_until_ms {
            return Vec::new();
        }
        if context.store_backing_off {
            return self.answer_from_cache(context);
        }
        let (Some(unix_ms), true) = (context.unix_ms, self.cached_head.is_some()) else {
            return self.read_head();
        };
        if let Some(missing) = self.uncached_archive() {
            return self.start_call(
                StoreCall::ReadArchive {
                    name: missing.name.clone(),
                },
                PendingCall::ReadingArchive(missing),
            );
        }
        self.process_claims(unix_ms, context)
    }

    /// Returns when [`Shard::advance`] has work to do without another event.
    pub(super) fn wake_ms(&self) -> Option<u64> {
        let is_idle = matches!(self.pending_call, PendingCall::Idle);
        let wake_ms = self.next_write_ms().max(self.paused_until_ms);
        (is_idle && self.has_work()).then_some(wake_ms)
    }

    fn process_claims(&mut self, unix_ms: u64, context: ShardContext) -> Vec<ShardAction> {
        let mut head = self.cached_head_or_default();
        let expired = head.remove_expired(context.expired_before_ms, unix_ms);
        self.updates.retain(|update| update.apply(&mut head));
        let mut actions = Vec::new();
        let mut needs_read = false;
        for claim in std::mem::take(&mut self.claims) {
            match self.decide_claim(&claim, &head, context) {
                ClaimDecision::Answer(answer) => {
                    let claimant = claim.entry.claimant.clone();
                    actions.push(ShardAction::ClaimAnswered(claimant, answer));
                    self.track_orphaned_claim(claim);
                }
                ClaimDecision::Write => {
                    head.insert_claim(with_claim_time(&claim.entry, unix_ms));
                    self.claims.push(claim);
                }
                ClaimDecision::Read => {
                    needs_read = true;
                    self.claims.push(claim);
                }
            }
        }
        if needs_read {
            actions.extend(self.read_head());
        } else if self.has_work() && self.next_write_ms() <= context.now_ms {
            actions.extend(self.write_head(head, expired, context));
        }
        actions
    }

    fn decide_claim(&self, claim: &Claim, head: &Head, context: ShardContext) -> ClaimDecision {
        let entry = &claim.entry;
        let Some(found) = self.find_entry(head, &entry.key, context.expired_before_ms) else {
            let is_full = head.reserved_bytes() + entry.reserved_bytes() > MAX_HEAD_BYTES;
            return if is_full {
                ClaimDecision::Answer(ClaimResult::Full)
            } else {
                ClaimDecision::Write
            };
        };
        let is_fresh = self
            .cached_head
            .as_ref()
            .is_some_and(|cached| cached.call_number > claim.calls_before);
        if found.is_settled() || is_fresh {
            return ClaimDecision::Answer(ClaimResult::Held(found.clone()));
        }
        ClaimDecision::Read
    }

    fn find_entry<'a>(
        &'a self,
        head: &'a Head,
        key: &KeyId,
        expired_before_ms: u64,
    ) -> Option<&'a JournalEntry> {
        let archived = || {
            head.archives
                .iter()
                .filter_map(|archive| self.cached_archives.get(&archive.name)?.get(key))
                .max_by_key(|entry| entry.claimed_unix_ms)
        };
        head.find(key)
            .or_else(archived)
            .filter(|entry| entry.claimed_unix_ms >= expired_before_ms)
    }

    fn write_head(
        &mut self,
        mut head: Head,
        expired: Vec<ArchiveRef>,
        context: ShardContext,
    ) -> Vec<ShardAction> {
        let now_ms = context.now_ms;
        let base_version = self.cached_version();
        if self.rotation.is_none()
            && let Some(rotation) = self.plan_rotation(base_version, context.rotate_bytes)
        {
            let call = StoreCall::WriteArchive {
                name: rotation.reference.name.clone(),
                archive: rotation.archive.clone(),
            };
            return self.start_call(call, PendingCall::WritingArchive(rotation));
        }
        if let Some(rotation) = &self.rotation {
            head.move_to_archive(&rotation.archive, rotation.reference.clone());
        }
        for claim in &mut self.claims {
            let first_sent_ms = claim.last_write.map_or(now_ms, |write| write.first_sent_ms);
            claim.last_write = Some(WriteAttempt {
                first_sent_ms,
                base_version,
            });
        }
        self.last_write_ms = Some(now_ms);
        let call = StoreCall::WriteHead {
            base_version,
            head: head.clone(),
        };
        let pending_call = PendingCall::WritingHead { head, expired };
        self.start_call(call, pending_call)
    }

    fn plan_rotation(
        &mut self,
        base_version: Option<u64>,
        rotate_bytes: usize,
    ) -> Option<Rotation> {
        let cached = self.cached_head.as_ref()?;
        if cached.head.settled_bytes() < rotate_bytes {
            return None;
        }
        let archive = Archive {
            entries: cached.head.settled_entries(),
        };
        self.archives_written += 1;
        let name = format!("{}.{}", self.archive_prefix, self.archives_written);
        let reference = ArchiveRef {
            name: name.into(),
            version: 0,
            last_unix_ms: archive.last_unix_ms(),
        };
        Some(Rotation {
            archive,
            reference,
            base_version,
        })
    }

    /// Applies a version of the head that the store held after the last call was started.
    fn apply_head(&mut self, version: Option<u64>, head: Head) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        let head_names = |name: &Name| head.archives.iter().any(|archive| archive.name == *name);
        if let Some(rotation) = self.rotation.take() {
            if head_names(&rotation.reference.name) {
                self.cache_archive(&rotation.reference, &rotation.archive);
            } else if rotation.base_version == version {
                self.rotation = Some(rotation);
            } else {
                actions.push(ShardAction::DeleteArchive(rotation.reference));
            }
        }
        self.cached_archives.retain(|name, _| head_names(name));
        for orphan in std::mem::take(&mut self.orphaned_claims) {
            if head.find_claim(&orphan.key, &orphan.claimant).is_some() {
                self.updates.push(orphan.into_release());
            } else if orphan.base_version == version {
                self.orphaned_claims.push(orphan);
            }
        }
        for claim in std::mem::take(&mut self.claims) {
            let entry = &claim.entry;
            match claim.last_write {
                Some(WriteAttempt { first_sent_ms, .. })
                    if head.find_claim(&entry.key, &entry.claimant).is_some() =>
                {
                    let answer = ClaimResult::Granted {
                        sent_ms: first_sent_ms,
                    };
                    actions.push(ShardAction::ClaimAnswered(entry.claimant.clone(), answer));
                }
                _ => self.claims.push(claim),
            }
        }
        self.cached_head = Some(CachedHead {
            version,
            head,
            call_number: self.calls_started,
        });
        actions
    }

    /// Answers claims whose keys are settled in the cached state, and refuses the others.
    fn answer_from_cache(&mut self, context: ShardContext) -> Vec<ShardAction> {
        let head = self.cached_head_or_default();
        let mut actions = Vec::new();
        for claim in std::mem::take(&mut self.claims) {
            let settled = self
                .find_entry(&head, &claim.entry.key, context.expired_before_ms)
                .filter(|entry| entry.is_settled());
            let answer = match settled {
                Some(entry) => ClaimResult::Held(entry.clone()),
                None => ClaimResult::Unavailable,
            };
            actions.push(ShardAction::ClaimAnswered(
                claim.entry.claimant.clone(),
                answer,
            ));
            self.track_orphaned_claim(claim);
        }
        actions
    }

    fn refuse_all_claims(&mut self) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        for claim in std::mem::take(&mut self.claims) {
            let claimant = claim.entry.claimant.clone();
            actions.push(ShardAction::ClaimAnswered(
                claimant,
                ClaimResult::Unavailable,
            ));
            self.track_orphaned_claim(claim);
        }
        actions
    }

    /// Tracks a claim that will not be dispatched, if a late write may still record it.
    fn track_orphaned_claim(&mut self, claim: Claim) {
        let Some(WriteAttempt { base_version, .. }) = claim.last_write else {
            return;
        };
        let is_resolved = self.cached_head.is_some() && self.cached_version() != base_version;
        if !is_resolved {
            self.orphaned_claims.push(OrphanedClaim {
                key: claim.entry.key,
                claimant: claim.entry.claimant,
                base_version,
            });
        }
    }

    fn read_head(&mut self) -> Vec<ShardAction> {
        self.start_call(StoreCall::ReadHead, PendingCall::ReadingHead)
    }

    fn start_call(&mut self, call: StoreCall, pending_call: PendingCall) -> Vec<ShardAction> {
        self.calls_started += 1;
        self.pending_call = pending_call;
        vec![ShardAction::Store(call)]
    }

    /// Returns whether a call to the store is still needed.
    pub(super) fn has_work(&self) -> bool {
        !self.claims.is_empty() || !self.updates.is_empty() || !self.orphaned_claims.is_empty()
    }

    fn next_write_ms(&self) -> u64 {
        self.last_write_ms
            .map_or(0, |last_write_ms| last_write_ms + MIN_WRITE_INTERVAL_MS)
    }

    fn uncached_archive(&self) -> Option<ArchiveRef> {
        let cached = self.cached_head.as_ref()?;
        let missing = |archive: &&ArchiveRef| !self.cached_archives.contains_key(&archive.name);
        cached.head.archives.iter().find(missing).cloned()
    }

    fn cache_archive(&mut self, reference: &ArchiveRef, archive: &Archive) {
        let entries = archive.entries.iter();
        let by_key = entries.map(|entry| (entry.key.clone(), entry.clone()));
        self.cached_archives
            .insert(reference.name.clone(), by_key.collect());
    }

    fn cached_version(&self) -> Option<u64> {
        self.cached_head.as_ref().and_then(|cached| cached.version)
    }

    fn cached_head_or_default(&self) -> Head {
        let cached = self.cached_head.as_ref();
        cached.map(|cached| cached.head.clone()).unwrap_or_default()
    }
}

enum ClaimDecision {
    Answer(ClaimResult),
    Write,
    Read,
}
