//! One shard of the journal, as one instance sees and writes it.
//!
//! At most one call to the store is under way for a shard at a time. Claims that arrive meanwhile
//! share the next write.

use std::collections::HashMap;

use crate::name::Name;

use super::claim::{Attempt, Claim, Orphan, Update, stamped};
use super::entry::{Claimant, Entry, KeyId, Outcome};
use super::head::{Archive, ArchiveRef, Head};
use super::store_call::{ClaimAnswer, Context, ShardAction, StoreCall, StoreFailure};
use super::{GROUP_MS, MAX_HEAD_BYTES};

#[derive(Clone, Debug)]
struct Known {
    version: Option<u64>,
    head: Head,
    /// Number of the call that told it.
    call: u64,
}

#[derive(Clone, Debug)]
struct Rotation {
    archive: Archive,
    reference: ArchiveRef,
    /// Version of the head that the archive was taken from. Invariant: the reference is only
    /// written on top of this version.
    base: Option<u64>,
}

#[derive(Clone, Debug)]
enum Flight {
    Idle,
    ReadingHead,
    ReadingArchive(ArchiveRef),
    WritingArchive(Rotation),
    WritingHead {
        head: Head,
        expired: Vec<ArchiveRef>,
    },
}

/// One shard of the journal.
#[derive(Debug)]
pub(super) struct Shard {
    /// Prefix of the names of its archives, unique to this process and shard.
    archive_prefix: Name,
    archives_written: u64,
    known: Option<Known>,
    archives: HashMap<Name, HashMap<KeyId, Entry>>,
    claims: Vec<Claim>,
    updates: Vec<Update>,
    /// Invariant: each may still land on the known version.
    orphans: Vec<Orphan>,
    rotation: Option<Rotation>,
    flight: Flight,
    /// Calls started so far.
    calls: u64,
    written_ms: Option<u64>,
    /// Monotonic time until which no call is made, in milliseconds.
    paused_until_ms: u64,
}

impl Shard {
    pub(super) fn new(archive_prefix: Name) -> Self {
        Self {
            archive_prefix,
            archives_written: 0,
            known: None,
            archives: HashMap::new(),
            claims: Vec::new(),
            updates: Vec::new(),
            orphans: Vec::new(),
            rotation: None,
            flight: Flight::Idle,
            calls: 0,
            written_ms: None,
            paused_until_ms: 0,
        }
    }

    /// Wants `entry` to be recorded.
    pub(super) fn claim(&mut self, entry: Entry, context: Context) -> Vec<ShardAction> {
        self.claims.push(Claim {
            entry,
            after_call: self.calls,
            attempt: None,
        });
        self.advance(context)
    }

    /// Gives a claim up that has not been answered.
    pub(super) fn abandon(&mut self, claimant: &Claimant) {
        let position = self
            .claims
            .iter()
            .position(|claim| claim.entry.claimant == *claimant);
        if let Some(position) = position {
            let claim = self.claims.remove(position);
            self.orphan(claim);
        }
    }

    /// Wants the outcome of a granted claim recorded, or the claim released if it is `None`.
    pub(super) fn settle(
        &mut self,
        key: KeyId,
        claimant: Claimant,
        outcome: Option<Outcome>,
        context: Context,
    ) -> Vec<ShardAction> {
        self.updates.push(Update {
            key,
            claimant,
            outcome,
        });
        self.advance(context)
    }

    /// Whether the outcome of a claim still has to be written.
    pub(super) fn is_settling(&self, claimant: &Claimant) -> bool {
        self.updates
            .iter()
            .any(|update| update.claimant == *claimant)
    }

    /// A read of the head ended; `None` if there is no such object.
    pub(super) fn head_read(
        &mut self,
        result: Result<Option<(u64, Head)>, StoreFailure>,
        context: Context,
    ) -> Vec<ShardAction> {
        self.flight = Flight::Idle;
        match result {
            Ok(found) => {
                let (version, head) = match found {
                    Some((version, head)) => (Some(version), head),
                    None => (None, Head::default()),
                };
                if version < self.known_version() {
                    // A replica that lags behind cannot tell who is recorded.
                    self.paused_until_ms = context.now_ms + GROUP_MS;
                    return self.refuse_all();
                }
                let mut actions = self.learn(version, head);
                actions.extend(self.advance(context));
                actions
            }
            Err(_) => self.refuse_all(),
        }
    }

    /// A read of an archive ended; `None` if there is no such object.
    pub(super) fn archive_read(
        &mut self,
        result: Result<Option<Archive>, StoreFailure>,
        context: Context,
    ) -> Vec<ShardAction> {
        let flight = std::mem::replace(&mut self.flight, Flight::Idle);
        match (flight, result) {
            (Flight::ReadingArchive(reference), Ok(Some(archive))) => {
                self.keep_archive(&reference, &archive);
                self.advance(context)
            }
            (_, Ok(_)) => {
                // It expired after the head was read, so the head is no longer current.
                self.known = None;
                self.refuse_all()
            }
            (_, Err(_)) => self.refuse_all(),
        }
    }

    /// A write of an archive ended; the value is its version.
    pub(super) fn archive_written(
        &mut self,
        result: Result<u64, StoreFailure>,
        context: Context,
    ) -> Vec<ShardAction> {
        let flight = std::mem::replace(&mut self.flight, Flight::Idle);
        match (flight, result) {
            (Flight::WritingArchive(mut rotation), Ok(version)) => {
                rotation.reference.version = version;
                self.rotation = Some(rotation);
                self.advance(context)
            }
            // An archive that no head refers to is never read.
            _ => self.refuse_all(),
        }
    }

    /// A write of the head ended; the value is its new version.
    pub(super) fn head_written(
        &mut self,
        result: Result<u64, StoreFailure>,
        context: Context,
    ) -> Vec<ShardAction> {
        let flight = std::mem::replace(&mut self.flight, Flight::Idle);
        let Flight::WritingHead { head, expired } = flight else {
            return Vec::new();
        };
        match result {
            Ok(version) => {
                let mut actions = self.learn(Some(version), head);
                let deletions = expired.into_iter().map(ShardAction::DeleteArchive);
                actions.extend(deletions);
                actions.extend(self.advance(context));
                actions
            }
            Err(StoreFailure::Conflict | StoreFailure::Unknown) => self.read_head(),
            Err(StoreFailure::Unavailable) => self.refuse_all(),
        }
    }

    /// Does what can be done now.
    pub(super) fn advance(&mut self, context: Context) -> Vec<ShardAction> {
        let idle = matches!(self.flight, Flight::Idle);
        if !idle || !self.has_work() || context.now_ms < self.paused_until_ms {
            return Vec::new();
        }
        if context.store_away {
            return self.answer_from_memory(context);
        }
        let (Some(unix_ms), true) = (context.unix_ms, self.known.is_some()) else {
            return self.read_head();
        };
        if let Some(missing) = self.missing_archive() {
            return self.start(
                StoreCall::ReadArchive {
                    name: missing.name.clone(),
                },
                Flight::ReadingArchive(missing),
            );
        }
        self.advance_known(unix_ms, context)
    }

    /// When [`Shard::advance`] has something to do without another event.
    pub(super) fn wake_ms(&self) -> Option<u64> {
        let idle = matches!(self.flight, Flight::Idle);
        let wake_ms = self.next_write_ms().max(self.paused_until_ms);
        (idle && self.has_work()).then_some(wake_ms)
    }

    fn advance_known(&mut self, unix_ms: u64, context: Context) -> Vec<ShardAction> {
        let mut head = self.known_head();
        let expired = head.expire(context.expired_before_ms, unix_ms);
        self.updates.retain(|update| update.apply(&mut head));
        let mut actions = Vec::new();
        let mut needs_read = false;
        for claim in std::mem::take(&mut self.claims) {
            match self.judge(&claim, &head, context) {
                Judgement::Answer(answer) => {
                    let claimant = claim.entry.claimant.clone();
                    actions.push(ShardAction::Answer(claimant, answer));
                    self.orphan(claim);
                }
                Judgement::Write => {
                    head.claim(stamped(&claim.entry, unix_ms));
                    self.claims.push(claim);
                }
                Judgement::Read => {
                    needs_read = true;
                    self.claims.push(claim);
                }
            }
        }
        if needs_read {
            actions.extend(self.read_head());
        } else if self.has_work() && self.next_write_ms() <= context.now_ms {
            actions.extend(self.write(head, expired, context));
        }
        actions
    }

    fn judge(&self, claim: &Claim, head: &Head, context: Context) -> Judgement {
        let entry = &claim.entry;
        let Some(found) = self.lookup(head, &entry.key, context.expired_before_ms) else {
            let full = head.reserved_bytes() + entry.reserved_bytes() > MAX_HEAD_BYTES;
            return if full {
                Judgement::Answer(ClaimAnswer::Full)
            } else {
                Judgement::Write
            };
        };
        let fresh = self
            .known
            .as_ref()
            .is_some_and(|known| known.call > claim.after_call);
        if found.is_settled() || fresh {
            return Judgement::Answer(ClaimAnswer::Held(found.clone()));
        }
        Judgement::Read
    }

    fn lookup<'a>(
        &'a self,
        head: &'a Head,
        key: &KeyId,
        expired_before_ms: u64,
    ) -> Option<&'a Entry> {
        let archived = || {
            head.archives
                .iter()
                .filter_map(|archive| self.archives.get(&archive.name)?.get(key))
                .max_by_key(|entry| entry.claimed_unix_ms)
        };
        head.find(key)
            .or_else(archived)
            .filter(|entry| entry.claimed_unix_ms >= expired_before_ms)
    }

    fn write(
        &mut self,
        mut head: Head,
        expired: Vec<ArchiveRef>,
        context: Context,
    ) -> Vec<ShardAction> {
        let now_ms = context.now_ms;
        let base = self.known_version();
        if self.rotation.is_none()
            && let Some(rotation) = self.plan_rotation(base, context.rotate_bytes)
        {
            let call = StoreCall::WriteArchive {
                name: rotation.reference.name.clone(),
                archive: rotation.archive.clone(),
            };
            return self.start(call, Flight::WritingArchive(rotation));
        }
        if let Some(rotation) = &self.rotation {
            head.rotate(&rotation.archive, rotation.reference.clone());
        }
        for claim in &mut self.claims {
            let sent_ms = claim.attempt.map_or(now_ms, |attempt| attempt.sent_ms);
            claim.attempt = Some(Attempt { sent_ms, base });
        }
        self.written_ms = Some(now_ms);
        let call = StoreCall::WriteHead {
            base,
            head: head.clone(),
        };
        let flight = Flight::WritingHead { head, expired };
        self.start(call, flight)
    }

    fn plan_rotation(&mut self, base: Option<u64>, rotate_bytes: usize) -> Option<Rotation> {
        let known = self.known.as_ref()?;
        if known.head.settled_bytes() < rotate_bytes {
            return None;
        }
        let archive = Archive {
            entries: known.head.settled(),
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
            base,
        })
    }

    /// Takes in a version of the head that the store held after the last call was started.
    fn learn(&mut self, version: Option<u64>, head: Head) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        let head_names = |name: &Name| head.archives.iter().any(|archive| archive.name == *name);
        if let Some(rotation) = self.rotation.take() {
            if head_names(&rotation.reference.name) {
                self.keep_archive(&rotation.reference, &rotation.archive);
            } else if rotation.base == version {
                self.rotation = Some(rotation);
            } else {
                actions.push(ShardAction::DeleteArchive(rotation.reference));
            }
        }
        self.archives.retain(|name, _| head_names(name));
        for orphan in std::mem::take(&mut self.orphans) {
            if head.find_claim(&orphan.key, &orphan.claimant).is_some() {
                self.updates.push(orphan.release());
            } else if orphan.base == version {
                self.orphans.push(orphan);
            }
        }
        for claim in std::mem::take(&mut self.claims) {
            let entry = &claim.entry;
            match claim.attempt {
                Some(Attempt { sent_ms, .. })
                    if head.find_claim(&entry.key, &entry.claimant).is_some() =>
                {
                    let answer = ClaimAnswer::Granted { sent_ms };
                    actions.push(ShardAction::Answer(entry.claimant.clone(), answer));
                }
                _ => self.claims.push(claim),
            }
        }
        self.known = Some(Known {
            version,
            head,
            call: self.calls,
        });
        actions
    }

    /// Answers claims whose keys are known to be settled and refuses the others.
    fn answer_from_memory(&mut self, context: Context) -> Vec<ShardAction> {
        let head = self.known_head();
        let mut actions = Vec::new();
        for claim in std::mem::take(&mut self.claims) {
            let settled = self
                .lookup(&head, &claim.entry.key, context.expired_before_ms)
                .filter(|entry| entry.is_settled());
            let answer = match settled {
                Some(entry) => ClaimAnswer::Held(entry.clone()),
                None => ClaimAnswer::Unavailable,
            };
            actions.push(ShardAction::Answer(claim.entry.claimant.clone(), answer));
            self.orphan(claim);
        }
        actions
    }

    fn refuse_all(&mut self) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        for claim in std::mem::take(&mut self.claims) {
            let claimant = claim.entry.claimant.clone();
            actions.push(ShardAction::Answer(claimant, ClaimAnswer::Unavailable));
            self.orphan(claim);
        }
        actions
    }

    /// Remembers a claim that will not be dispatched, if a write may still record it.
    fn orphan(&mut self, claim: Claim) {
        let Some(Attempt { base, .. }) = claim.attempt else {
            return;
        };
        let settled = self.known.is_some() && self.known_version() != base;
        if !settled {
            self.orphans.push(Orphan {
                key: claim.entry.key,
                claimant: claim.entry.claimant,
                base,
            });
        }
    }

    fn read_head(&mut self) -> Vec<ShardAction> {
        self.start(StoreCall::ReadHead, Flight::ReadingHead)
    }

    fn start(&mut self, call: StoreCall, flight: Flight) -> Vec<ShardAction> {
        self.calls += 1;
        self.flight = flight;
        vec![ShardAction::Store(call)]
    }

    /// Whether a call to the store is still needed.
    pub(super) fn has_work(&self) -> bool {
        !self.claims.is_empty() || !self.updates.is_empty() || !self.orphans.is_empty()
    }

    fn next_write_ms(&self) -> u64 {
        self.written_ms
            .map_or(0, |written_ms| written_ms + GROUP_MS)
    }

    fn missing_archive(&self) -> Option<ArchiveRef> {
        let known = self.known.as_ref()?;
        let missing = |archive: &&ArchiveRef| !self.archives.contains_key(&archive.name);
        known.head.archives.iter().find(missing).cloned()
    }

    fn keep_archive(&mut self, reference: &ArchiveRef, archive: &Archive) {
        let entries = archive.entries.iter();
        let by_key = entries.map(|entry| (entry.key.clone(), entry.clone()));
        self.archives
            .insert(reference.name.clone(), by_key.collect());
    }

    fn known_version(&self) -> Option<u64> {
        self.known.as_ref().and_then(|known| known.version)
    }

    fn known_head(&self) -> Head {
        let known = self.known.as_ref();
        known.map(|known| known.head.clone()).unwrap_or_default()
    }
}

enum Judgement {
    Answer(ClaimAnswer),
    Write,
    Read,
}
