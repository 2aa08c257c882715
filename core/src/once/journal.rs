//! The journal of one instance: its keyed runs and the shards that record them.

use std::collections::BTreeMap;

use crate::name::InstanceId;
use crate::request::{Code, Ran, Refusal};

use super::answer::RecordedAnswer;
use super::clock::StoreClock;
use super::duplicate_response::{
    DuplicateResponse, duplicate_response, key_reused_refusal, outcome_lost_refusal,
    store_unavailable_refusal,
};
use super::entry::{Claimant, JournalEntry, KeyId, Outcome};
use super::event::{Action, DispatchDecision, KeyedRequest, RunOutcome, Settings, Ticket};
use super::head::{Archive, Head};
use super::run::{Run, RunState, RunTable};
use super::shard::Shard;
use super::store_call::{ClaimResult, ShardAction, ShardContext, StoreFailure};
use super::{CLAIM_TIMEOUT_MS, MAX_KEY_BYTES, PERMIT_MS, RETRY_AFTER_MS, STORE_BACKOFF_MS};

/// The journal of one instance.
#[derive(Debug)]
pub struct Journal {
    instance: InstanceId,
    settings: Settings,
    clock: StoreClock,
    shards: BTreeMap<u32, Shard>,
    runs: RunTable,
    /// Number of the last attempt to run a request.
    last_attempt: u64,
    /// Monotonic time until which no call to the store is made, in milliseconds.
    store_backoff_until_ms: u64,
}

impl Journal {
    /// Builds the journal of a process that has no claims yet.
    pub fn new(instance: InstanceId, settings: Settings) -> Self {
        Self {
            instance,
            settings,
            clock: StoreClock::default(),
            shards: BTreeMap::new(),
            runs: RunTable::default(),
            last_attempt: 0,
            store_backoff_until_ms: 0,
        }
    }

    /// Returns the process that this journal belongs to.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Records that the response to a store call sent at `sent_ms` contained the time `unix_ms`, in
    /// milliseconds since 1970.
    pub fn observe_clock(&mut self, unix_ms: u64, sent_ms: u64, now_ms: u64) {
        self.clock.observe(unix_ms, sent_ms, now_ms);
    }

    /// Returns whether the store's time is known.
    pub fn has_store_time(&self) -> bool {
        self.clock.unix_ms(0).is_some()
    }

    /// Claims the key of a request. The request ends in [`Action::Permit`] or [`Action::Answer`].
    pub fn begin_request(&mut self, request: KeyedRequest, now_ms: u64) -> Vec<Action> {
        if request.key.key.len() > MAX_KEY_BYTES {
            let refusal = Refusal::not_run(Code::BadRequest, "the idempotency key is too long");
            return vec![answer_action(
                request.ticket,
                DuplicateResponse::Refused(refusal),
            )];
        }
        let mut actions = self.drop_outdated_run(&request.key, now_ms);
        if let Some(run) = self.runs.get_mut(&request.key) {
            return attach_duplicate(run, request);
        }
        self.last_attempt += 1;
        let claimant = Claimant {
            dispatcher: self.instance.clone(),
            run: self.last_attempt,
        };
        let run = Run {
            request: request.clone(),
            claimant: claimant.clone(),
            started_ms: now_ms,
            state: RunState::Claiming,
            duplicates: Vec::new(),
        };
        self.runs.insert(request.key.clone(), run);
        let entry = JournalEntry {
            key: request.key,
            fingerprint: request.fingerprint,
            claimant,
            request: request.request_id,
            claimed_unix_ms: 0,
            outcome: None,
        };
        actions.extend(
            self.with_shard(entry.key.shard(), now_ms, |shard, context| {
                shard.add_claim(entry, context)
            }),
        );
        actions
    }

    /// Checks that a permitted request may still be sent. The caller sends it immediately
    /// afterwards, without waiting. A process that was paused before this call is detected here.
    pub fn confirm_dispatch(&mut self, ticket: Ticket, now_ms: u64) -> DispatchDecision {
        let Some(run) = self.runs.get_mut_by_ticket(ticket) else {
            return DispatchDecision::Reject(Vec::new());
        };
        match run.state {
            RunState::Permitted { until_ms } if now_ms < until_ms => {
                run.state = RunState::Dispatched;
                DispatchDecision::Send
            }
            RunState::Permitted { .. } => {
                let refusal = Refusal::not_run(
                    Code::Timeout,
                    "the permit to dispatch expired before the request was sent",
                )
                .retry_after_ms(RETRY_AFTER_MS);
                DispatchDecision::Reject(self.abort_run(ticket, &refusal, now_ms))
            }
            RunState::Claiming | RunState::Dispatched | RunState::Ended { .. } => {
                DispatchDecision::Reject(Vec::new())
            }
        }
    }

    /// Ends a dispatched run: answers its duplicates and records its outcome.
    pub fn finish_run(&mut self, ticket: Ticket, outcome: RunOutcome, now_ms: u64) -> Vec<Action> {
        match outcome {
            RunOutcome::NotRun(refusal) => self.release_claim(&refusal, ticket, now_ms),
            RunOutcome::Finished(answer) => {
                let outcome = Outcome::finished(&answer);
                self.record_outcome(ticket, Some(answer), outcome, now_ms)
            }
            RunOutcome::Unknown => self.record_outcome(ticket, None, Outcome::Unknown, now_ms),
        }
    }

    /// Cancels a request that has not been dispatched. It will not run. The caller answers it, and
    /// duplicates that wait for it are refused.
    pub fn cancel(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        if self.runs.remove_duplicate(ticket) {
            return Vec::new();
        }
        let waiting = self.runs.get_mut_by_ticket(ticket).is_some_and(|run| {
            matches!(run.state, RunState::Claiming | RunState::Permitted { .. })
        });
        if !waiting {
            return Vec::new();
        }
        let refusal = Refusal::not_run(
            Code::Cancelled,
            "the first request with this idempotency key was cancelled",
        )
        .retry_after_ms(RETRY_AFTER_MS);
        self.release_claim(&refusal, ticket, now_ms)
    }

    /// Aborts overdue runs and advances the shards that have work to do.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for ticket in self.overdue_tickets(now_ms) {
            let refusal =
                store_unavailable_refusal("the store did not record the idempotency key in time");
            actions.extend(self.abort_run(ticket, &refusal, now_ms));
        }
        let due: Vec<u32> = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.wake_ms().is_some_and(|wake_ms| wake_ms <= now_ms))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            actions.extend(self.with_shard(number, now_ms, Shard::advance));
        }
        actions
    }

    /// Returns when [`Journal::tick`] has work to do, in monotonic milliseconds.
    pub fn wake_ms(&self) -> Option<u64> {
        let shards = self.shards.values().filter_map(Shard::wake_ms);
        let shards = shards.map(|wake_ms| wake_ms.max(self.store_backoff_until_ms));
        let runs = self.runs.iter().filter_map(|(_, run)| abort_at_ms(run));
        shards.chain(runs).min()
    }

    /// Handles the end of a read of a head; `None` if the object does not exist.
    pub fn on_head_read(
        &mut self,
        shard: u32,
        result: Result<Option<(u64, Head)>, StoreFailure>,
        now_ms: u64,
    ) -> Vec<Action> {
        // Without the store's time no entry can be recorded.
        let has_store_time = self.clock.unix_ms(now_ms).is_some();
        let result = result.and_then(|found| {
            if has_store_time {
                Ok(found)
            } else {
                Err(StoreFailure::Unavailable)
            }
        });
        self.record_store_failure(result.is_err(), now_ms);
        self.with_shard(shard, now_ms, |shard, context| {
            shard.on_head_read(result, context)
        })
    }

    /// Handles the end of a read of an archive; `None` if the object does not exist.
    pub fn on_archive_read(
        &mut self,
        shard: u32,
        result: Result<Option<Archive>, StoreFailure>,
        now_ms: u64,
    ) -> Vec<Action> {
        self.record_store_failure(!matches!(result, Ok(Some(_))), now_ms);
        self.with_shard(shard, now_ms, |shard, context| {
            shard.on_archive_read(result, context)
        })
    }

    /// Handles the end of a write of an archive; the value is the archive's version.
    pub fn on_archive_written(
        &mut self,
        shard: u32,
        result: Result<u64, StoreFailure>,
        now_ms: u64,
    ) -> Vec<Action> {
        self.record_store_failure(result.is_err(), now_ms);
        self.with_shard(shard, now_ms, |shard, context| {
            shard.on_archive_written(result, context)
        })
    }

    /// Handles the end of a write of a head; the value is its new version.
    pub fn on_head_written(
        &mut self,
        shard: u32,
        result: Result<u64, StoreFailure>,
        now_ms: u64,
    ) -> Vec<Action> {
        let is_unavailable = result == Err(StoreFailure::Unavailable);
        self.record_store_failure(is_unavailable, now_ms);
        self.with_shard(shard, now_ms, |shard, context| {
            shard.on_head_written(result, context)
        })
    }

    /// Returns whether every run has ended and is recorded, so that the process may stop.
    pub fn is_settled(&self) -> bool {
        self.runs.iter().next().is_none() && !self.shards.values().any(Shard::has_work)
    }

    /// Removes a run that is older than the window, which occurs after the process was paused. The
    /// key may have been used again since, so a duplicate must not wait for this run.
    fn drop_outdated_run(&mut self, key: &KeyId, now_ms: u64) -> Vec<Action> {
        let window_ms = self.settings.window_ms;
        let is_outdated = self.runs.get_mut(key).is_some_and(|run| {
            let is_started = matches!(run.state, RunState::Dispatched | RunState::Ended { .. });
            is_started && run.started_ms + window_ms <= now_ms
        });
        if !is_outdated {
            return Vec::new();
        }
        let duplicates = self.runs.remove(key).map(|run| run.duplicates);
        let refused = |request: KeyedRequest| {
            answer_action(
                request.ticket,
                DuplicateResponse::Refused(outcome_lost_refusal()),
            )
        };
        duplicates.into_iter().flatten().map(refused).collect()
    }

    fn overdue_tickets(&self, now_ms: u64) -> Vec<Ticket> {
        self.runs
            .iter()
            .filter(|(_, run)| abort_at_ms(run).is_some_and(|at_ms| at_ms <= now_ms))
            .map(|(_, run)| run.request.ticket)
            .collect()
    }

    fn record_store_failure(&mut self, failed: bool, now_ms: u64) {
        if failed {
            self.store_backoff_until_ms = now_ms + STORE_BACKOFF_MS;
        }
    }

    /// Aborts a run that was not dispatched, and refuses its request and all duplicates.
    fn abort_run(&mut self, ticket: Ticket, refusal: &Refusal, now_ms: u64) -> Vec<Action> {
        let mut actions = self.release_claim(refusal, ticket, now_ms);
        actions.push(answer_action(
            ticket,
            DuplicateResponse::Refused(refusal.clone()),
        ));
        actions
    }

    /// Releases the claim of a run that did not happen, and refuses its duplicates.
    fn release_claim(&mut self, refusal: &Refusal, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        debug_assert_eq!(refusal.ran, Ran::No);
        let Some(key) = self.runs.key_of(ticket) else {
            return Vec::new();
        };
        let Some(run) = self.runs.remove(&key) else {
            return Vec::new();
        };
        let refused = |duplicate: KeyedRequest| {
            answer_action(
                duplicate.ticket,
                DuplicateResponse::Refused(refusal.clone()),
            )
        };
        let mut actions: Vec<Action> = run.duplicates.into_iter().map(refused).collect();
        let claimant = run.claimant;
        actions.extend(self.with_shard(key.shard(), now_ms, |shard, context| {
            if run.state == RunState::Claiming {
                shard.abandon_claim(&claimant);
                shard.advance(context)
            } else {
                shard.record_outcome(key, claimant, None, context)
            }
        }));
        actions
    }

    fn record_outcome(
        &mut self,
        ticket: Ticket,
        recorded: Option<RecordedAnswer>,
        outcome: Outcome,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(key) = self.runs.key_of(ticket) else {
            return Vec::new();
        };
        let Some(run) = self.runs.get_mut(&key) else {
            return Vec::new();
        };
        let claimant = run.claimant.clone();
        let response = match &recorded {
            Some(answer) => DuplicateResponse::Recorded(answer.clone()),
            None => DuplicateResponse::Refused(outcome_lost_refusal()),
        };
        let duplicates = self.runs.mark_ended(ticket, recorded);
        let answered = |duplicate: KeyedRequest| answer_action(duplicate.ticket, response.clone());
        let mut actions: Vec<Action> = duplicates.into_iter().map(answered).collect();
        actions.extend(self.with_shard(key.shard(), now_ms, |shard, context| {
            shard.record_outcome(key, claimant, Some(outcome), context)
        }));
        actions
    }

    /// Runs `change` on a shard, which is created if needed, and carries out the resulting actions.
    fn with_shard(
        &mut self,
        number: u32,
        now_ms: u64,
        change: impl FnOnce(&mut Shard, ShardContext) -> Vec<ShardAction>,
    ) -> Vec<Action> {
        let context = ShardContext {
            now_ms,
            unix_ms: self.clock.unix_ms(now_ms),
            expired_before_ms: self
                .clock
                .expired_before_ms(now_ms, self.settings.window_ms),
            store_backing_off: now_ms < self.store_backoff_until_ms,
            rotate_bytes: self.settings.rotate_bytes,
        };
        let instance = &self.instance;
        let shard = self.shards.entry(number).or_insert_with(|| {
            Shard::new(format!("{number}.{}.{:x}", instance.name, instance.incarnation).into())
        });
        let actions = change(shard, context);
        let actions = actions
            .into_iter()
            .flat_map(|action| self.handle_shard_action(number, action, now_ms))
            .collect();
        self.remove_recorded_runs(number);
        actions
    }

    fn handle_shard_action(&mut self, shard: u32, action: ShardAction, now_ms: u64) -> Vec<Action> {
        match action {
            ShardAction::Store(call) => vec![Action::Store { shard, call }],
            ShardAction::DeleteArchive(archive) => vec![Action::DeleteArchive(archive)],
            ShardAction::ClaimAnswered(claimant, answer) => {
                self.handle_claim_result(&claimant, answer, now_ms)
            }
        }
    }

    fn handle_claim_result(
        &mut self,
        claimant: &Claimant,
        claim_result: ClaimResult,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(key) = self.runs.key_of_claimant(claimant) else {
            return Vec::new();
        };
        match claim_result {
            ClaimResult::Granted { sent_ms } => self.handle_granted(&key, sent_ms),
            ClaimResult::Held(entry) => self.handle_held(&key, &entry, now_ms),
            ClaimResult::Full => self.refuse_run(&key, "the journal shard is full"),
            ClaimResult::Unavailable => {
                self.refuse_run(&key, "the store cannot record the idempotency key")
            }
        }
    }

    fn handle_granted(&mut self, key: &KeyId, sent_ms: u64) -> Vec<Action> {
        let Some(run) = self.runs.get_mut(key) else {
            return Vec::new();
        };
        let until_ms = run.request.deadline_ms.min(sent_ms + PERMIT_MS);
        run.state = RunState::Permitted { until_ms };
        let fingerprint = run.request.fingerprint;
        let (same, other): (Vec<KeyedRequest>, Vec<KeyedRequest>) =
            std::mem::take(&mut run.duplicates)
                .into_iter()
                .partition(|duplicate| duplicate.fingerprint == fingerprint);
        run.duplicates = same;
        let permit = Action::Permit {
            ticket: run.request.ticket,
        };
        let reused = |duplicate: KeyedRequest| {
            answer_action(
                duplicate.ticket,
                DuplicateResponse::Refused(key_reused_refusal()),
            )
        };
        std::iter::once(permit)
            .chain(other.into_iter().map(reused))
            .collect()
    }

    /// Ends a run whose key is held by another attempt.
    fn handle_held(&mut self, key: &KeyId, entry: &JournalEntry, now_ms: u64) -> Vec<Action> {
        let Some(run) = self.runs.remove(key) else {
            return Vec::new();
        };
        let mut actions = vec![answer_action(
            run.request.ticket,
            duplicate_response(entry, run.request.fingerprint),
        )];
        for duplicate in run.duplicates {
            if entry.is_settled() {
                let response = duplicate_response(entry, duplicate.fingerprint);
                actions.push(answer_action(duplicate.ticket, response));
            } else {
                // The duplicate may have arrived after `entry` was read, and the run may have ended
                // since.
                actions.extend(self.begin_request(duplicate, now_ms));
            }
        }
        actions
    }

    /// Refuses a run whose claim the store did not record, and all its duplicates.
    fn refuse_run(&mut self, key: &KeyId, message: &'static str) -> Vec<Action> {
        let Some(run) = self.runs.remove(key) else {
            return Vec::new();
        };
        std::iter::once(run.request)
            .chain(run.duplicates)
            .map(|request| {
                answer_action(
                    request.ticket,
                    DuplicateResponse::Refused(store_unavailable_refusal(message)),
                )
            })
            .collect()
    }

    /// Removes ended runs whose outcome the shard has recorded.
    fn remove_recorded_runs(&mut self, number: u32) {
        let Some(shard) = self.shards.get(&number) else {
            return;
        };
        let settled: Vec<KeyId> = self
            .runs
            .iter()
            .filter(|(key, run)| {
                matches!(run.state, RunState::Ended { .. })
                    && key.shard() == number
                    && !shard.has_pending_update(&run.claimant)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in settled {
            self.runs.remove(&key);
        }
    }
}

/// Answers a duplicate from a run at this instance, or makes it wait for that run.
fn attach_duplicate(run: &mut Run, request: KeyedRequest) -> Vec<Action> {
    let same_work = run.request.fingerprint == request.fingerprint;
    match &run.state {
        // A claim that is not recorded yet does not show what the key was used for.
        RunState::Claiming => {}
        _ if !same_work => {
            return vec![answer_action(
                request.ticket,
                DuplicateResponse::Refused(key_reused_refusal()),
            )];
        }
        RunState::Ended {
            answer: Some(recorded),
        } => {
            return vec![answer_action(
                request.ticket,
                DuplicateResponse::Recorded(recorded.clone()),
            )];
        }
        RunState::Ended { answer: None } => {
            return vec![answer_action(
                request.ticket,
                DuplicateResponse::Refused(outcome_lost_refusal()),
            )];
        }
        RunState::Permitted { .. } | RunState::Dispatched => {}
    }
    run.duplicates.push(request);
    Vec::new()
}

/// Returns when a run that was not dispatched is aborted, in monotonic milliseconds.
fn abort_at_ms(run: &Run) -> Option<u64> {
    match run.state {
        RunState::Claiming => Some(
            run.request
                .deadline_ms
                .min(run.started_ms + CLAIM_TIMEOUT_MS),
        ),
        RunState::Permitted { until_ms } => Some(until_ms),
        RunState::Dispatched | RunState::Ended { .. } => None,
    }
}

fn answer_action(ticket: Ticket, response: DuplicateResponse) -> Action {
    Action::Answer { ticket, response }
}
