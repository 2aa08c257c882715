//! The journal as one instance uses it: its runs, and the shards that record them.

use std::collections::BTreeMap;

use crate::name::InstanceId;
use crate::request::{Code, Ran, Refusal};

use super::answer::RecordedAnswer;
use super::clock::StoreClock;
use super::entry::{Claimant, Entry, KeyId, Outcome};
use super::event::{Action, Begin, Dispatch, End, Settings, Ticket};
use super::head::{Archive, Head};
use super::run::{Run, RunState, RunTable};
use super::shard::Shard;
use super::store_call::{ClaimAnswer, Context, ShardAction, StoreFailure};
use super::verdict::{Verdict, key_reused, outcome_lost, store_unavailable, verdict_of};
use super::{CLAIM_TIMEOUT_MS, MAX_KEY_BYTES, PERMIT_MS, RETRY_AFTER_MS, STORE_BACKOFF_MS};

/// The journal at one instance.
#[derive(Debug)]
pub struct Journal {
    instance: InstanceId,
    settings: Settings,
    clock: StoreClock,
    shards: BTreeMap<u32, Shard>,
    runs: RunTable,
    /// Number of the last attempt.
    last_run: u64,
    /// Monotonic time until which the store is not asked, in milliseconds.
    away_until_ms: u64,
}

impl Journal {
    /// Builds the journal of a process that has not claimed anything.
    pub fn new(instance: InstanceId, settings: Settings) -> Self {
        Self {
            instance,
            settings,
            clock: StoreClock::default(),
            shards: BTreeMap::new(),
            runs: RunTable::default(),
            last_run: 0,
            away_until_ms: 0,
        }
    }

    /// The process that this journal belongs to.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// The answer to a call that was sent at `sent_ms` carried the time `unix_ms`, in
    /// milliseconds since 1970.
    pub fn observe_clock(&mut self, unix_ms: u64, sent_ms: u64, now_ms: u64) {
        self.clock.observe(unix_ms, sent_ms, now_ms);
    }

    /// Whether the store's time is known.
    pub fn knows_time(&self) -> bool {
        self.clock.unix_ms(0).is_some()
    }

    /// A request wants to be dispatched. It ends in [`Action::Permit`] or [`Action::Answer`].
    pub fn begin(&mut self, begin: Begin, now_ms: u64) -> Vec<Action> {
        if begin.key.key.len() > MAX_KEY_BYTES {
            let refusal = Refusal::not_run(Code::BadRequest, "idempotency key too long");
            return vec![answer(begin.ticket, Verdict::Refused(refusal))];
        }
        let mut actions = self.forget_outlived(&begin.key, now_ms);
        if let Some(run) = self.runs.by_key(&begin.key) {
            return join(run, begin);
        }
        self.last_run += 1;
        let claimant = Claimant {
            dispatcher: self.instance.clone(),
            run: self.last_run,
        };
        let run = Run {
            first: begin.clone(),
            claimant: claimant.clone(),
            began_ms: now_ms,
            state: RunState::Claiming,
            attached: Vec::new(),
        };
        self.runs.insert(begin.key.clone(), run);
        let entry = Entry {
            key: begin.key,
            fingerprint: begin.fingerprint,
            claimant,
            request: begin.request,
            claimed_unix_ms: 0,
            outcome: None,
        };
        actions.extend(self.drive(entry.key.shard(), now_ms, |shard, context| {
            shard.claim(entry, context)
        }));
        actions
    }

    /// The last check before a permitted request is sent. The caller sends it without any wait in
    /// between; a process that was paused before this call is found here.
    pub fn dispatch(&mut self, ticket: Ticket, now_ms: u64) -> Dispatch {
        let Some(run) = self.runs.by_ticket(ticket) else {
            return Dispatch::Stop(Vec::new());
        };
        match run.state {
            RunState::Permitted { until_ms } if now_ms < until_ms => {
                run.state = RunState::Dispatched;
                Dispatch::Go
            }
            RunState::Permitted { .. } => {
                let refusal = Refusal::not_run(Code::Timeout, "too late to dispatch")
                    .retry_after_ms(RETRY_AFTER_MS);
                Dispatch::Stop(self.withdraw(ticket, &refusal, now_ms))
            }
            RunState::Claiming | RunState::Dispatched | RunState::Ended { .. } => {
                Dispatch::Stop(Vec::new())
            }
        }
    }

    /// A dispatched run ended; answers its repeats and records its outcome.
    pub fn ended(&mut self, ticket: Ticket, end: End, now_ms: u64) -> Vec<Action> {
        match end {
            End::NotRun(refusal) => self.release(&refusal, ticket, now_ms),
            End::Finished(answer) => {
                let outcome = Outcome::finished(&answer);
                self.settle(ticket, Some(answer), outcome, now_ms)
            }
            End::Unknown => self.settle(ticket, None, Outcome::Unknown, now_ms),
        }
    }

    /// A request that has not been dispatched is given up by its caller. It will not run; the
    /// driver answers it, and repeats that wait for it are refused.
    pub fn cancel(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        if self.runs.detach(ticket) {
            return Vec::new();
        }
        let waiting = self.runs.by_ticket(ticket).is_some_and(|run| {
            matches!(run.state, RunState::Claiming | RunState::Permitted { .. })
        });
        if !waiting {
            return Vec::new();
        }
        let refusal = Refusal::not_run(Code::Cancelled, "the first request was given up")
            .retry_after_ms(RETRY_AFTER_MS);
        self.release(&refusal, ticket, now_ms)
    }

    /// Time has passed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for ticket in self.overdue(now_ms) {
            let refusal = store_unavailable("the store did not record the key in time");
            actions.extend(self.withdraw(ticket, &refusal, now_ms));
        }
        let due: Vec<u32> = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.wake_ms().is_some_and(|wake_ms| wake_ms <= now_ms))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            actions.extend(self.drive(number, now_ms, Shard::advance));
        }
        actions
    }

    /// When [`Journal::tick`] has something to do, in monotonic milliseconds.
    pub fn wake_ms(&self) -> Option<u64> {
        let shards = self.shards.values().filter_map(Shard::wake_ms);
        let shards = shards.map(|wake_ms| wake_ms.max(self.away_until_ms));
        let runs = self.runs.iter().filter_map(|(_, run)| give_up_ms(run));
        shards.chain(runs).min()
    }

    /// A read of a head ended; `None` if there is no such object.
    pub fn head_read(
        &mut self,
        shard: u32,
        result: Result<Option<(u64, Head)>, StoreFailure>,
        now_ms: u64,
    ) -> Vec<Action> {
        // Without the store's time no record can be made.
        let known_time = self.clock.unix_ms(now_ms).is_some();
        let result = result.and_then(|found| {
            if known_time {
                Ok(found)
            } else {
                Err(StoreFailure::Unavailable)
            }
        });
        self.note_failure(result.is_err(), now_ms);
        self.drive(shard, now_ms, |shard, context| {
            shard.head_read(result, context)
        })
    }

    /// A read of an archive ended; `None` if there is no such object.
    pub fn archive_read(
        &mut self,
        shard: u32,
        result: Result<Option<Archive>, StoreFailure>,
        now_ms: u64,
    ) -> Vec<Action> {
        self.note_failure(!matches!(result, Ok(Some(_))), now_ms);
        self.drive(shard, now_ms, |shard, context| {
            shard.archive_read(result, context)
        })
    }

    /// A write of an archive ended; the value is its version.
    pub fn archive_written(
        &mut self,
        shard: u32,
        result: Result<u64, StoreFailure>,
        now_ms: u64,
    ) -> Vec<Action> {
        self.note_failure(result.is_err(), now_ms);
        self.drive(shard, now_ms, |shard, context| {
            shard.archive_written(result, context)
        })
    }

    /// A write of a head ended; the value is its new version.
    pub fn head_written(
        &mut self,
        shard: u32,
        result: Result<u64, StoreFailure>,
        now_ms: u64,
    ) -> Vec<Action> {
        let away = result == Err(StoreFailure::Unavailable);
        self.note_failure(away, now_ms);
        self.drive(shard, now_ms, |shard, context| {
            shard.head_written(result, context)
        })
    }

    /// Whether every run has ended and is recorded, so that the process may stop.
    pub fn is_settled(&self) -> bool {
        self.runs.iter().next().is_none() && !self.shards.values().any(Shard::has_work)
    }

    /// Drops a run that is older than the window, as happens to a process that was paused. The
    /// key may have been used again since, so a repeat must not wait for this run.
    fn forget_outlived(&mut self, key: &KeyId, now_ms: u64) -> Vec<Action> {
        let window_ms = self.settings.window_ms;
        let outlived = self.runs.by_key(key).is_some_and(|run| {
            let started = matches!(run.state, RunState::Dispatched | RunState::Ended { .. });
            started && run.began_ms + window_ms <= now_ms
        });
        if !outlived {
            return Vec::new();
        }
        let attached = self.runs.remove(key).map(|run| run.attached);
        let lost = |begin: Begin| answer(begin.ticket, Verdict::Refused(outcome_lost()));
        attached.into_iter().flatten().map(lost).collect()
    }

    fn overdue(&self, now_ms: u64) -> Vec<Ticket> {
        self.runs
            .iter()
            .filter(|(_, run)| give_up_ms(run).is_some_and(|at_ms| at_ms <= now_ms))
            .map(|(_, run)| run.first.ticket)
            .collect()
    }

    fn note_failure(&mut self, failed: bool, now_ms: u64) {
        if failed {
            self.away_until_ms = now_ms + STORE_BACKOFF_MS;
        }
    }

    /// Gives a run up that was not dispatched, and answers all who wait for it.
    fn withdraw(&mut self, ticket: Ticket, refusal: &Refusal, now_ms: u64) -> Vec<Action> {
        let mut actions = self.release(refusal, ticket, now_ms);
        actions.push(answer(ticket, Verdict::Refused(refusal.clone())));
        actions
    }

    /// Releases the claim of a run that did not happen, and refuses its repeats.
    fn release(&mut self, refusal: &Refusal, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        debug_assert_eq!(refusal.ran, Ran::No);
        let Some(key) = self.runs.key_of(ticket) else {
            return Vec::new();
        };
        let Some(run) = self.runs.remove(&key) else {
            return Vec::new();
        };
        let refused = |attached: Begin| answer(attached.ticket, Verdict::Refused(refusal.clone()));
        let mut actions: Vec<Action> = run.attached.into_iter().map(refused).collect();
        let claimant = run.claimant;
        actions.extend(self.drive(key.shard(), now_ms, |shard, context| {
            if run.state == RunState::Claiming {
                shard.abandon(&claimant);
                shard.advance(context)
            } else {
                shard.settle(key, claimant, None, context)
            }
        }));
        actions
    }

    fn settle(
        &mut self,
        ticket: Ticket,
        recorded: Option<RecordedAnswer>,
        outcome: Outcome,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(key) = self.runs.key_of(ticket) else {
            return Vec::new();
        };
        let Some(run) = self.runs.by_key(&key) else {
            return Vec::new();
        };
        let claimant = run.claimant.clone();
        let verdict = match &recorded {
            Some(answer) => Verdict::Recorded(answer.clone()),
            None => Verdict::Refused(outcome_lost()),
        };
        let attached = self.runs.end(ticket, recorded);
        let answered = |attached: Begin| answer(attached.ticket, verdict.clone());
        let mut actions: Vec<Action> = attached.into_iter().map(answered).collect();
        actions.extend(self.drive(key.shard(), now_ms, |shard, context| {
            shard.settle(key, claimant, Some(outcome), context)
        }));
        actions
    }

    fn drive(
        &mut self,
        number: u32,
        now_ms: u64,
        step: impl FnOnce(&mut Shard, Context) -> Vec<ShardAction>,
    ) -> Vec<Action> {
        let context = Context {
            now_ms,
            unix_ms: self.clock.unix_ms(now_ms),
            expired_before_ms: self
                .clock
                .expired_before_ms(now_ms, self.settings.window_ms),
            store_away: now_ms < self.away_until_ms,
            rotate_bytes: self.settings.rotate_bytes,
        };
        let instance = &self.instance;
        let shard = self.shards.entry(number).or_insert_with(|| {
            Shard::new(format!("{number}.{}.{:x}", instance.name, instance.incarnation).into())
        });
        let actions = step(shard, context);
        let actions = actions
            .into_iter()
            .flat_map(|action| self.translate(number, action, now_ms))
            .collect();
        self.forget_settled(number);
        actions
    }

    fn translate(&mut self, shard: u32, action: ShardAction, now_ms: u64) -> Vec<Action> {
        match action {
            ShardAction::Store(call) => vec![Action::Store { shard, call }],
            ShardAction::DeleteArchive(archive) => vec![Action::DeleteArchive(archive)],
            ShardAction::Answer(claimant, answer) => self.claim_answered(&claimant, answer, now_ms),
        }
    }

    fn claim_answered(
        &mut self,
        claimant: &Claimant,
        claim_answer: ClaimAnswer,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(key) = self.runs.key_of_claimant(claimant) else {
            return Vec::new();
        };
        match claim_answer {
            ClaimAnswer::Granted { sent_ms } => self.granted(&key, sent_ms),
            ClaimAnswer::Held(entry) => self.held(&key, &entry, now_ms),
            ClaimAnswer::Full => self.refuse(&key, "the journal is full"),
            ClaimAnswer::Unavailable => self.refuse(&key, "the store cannot record the key"),
        }
    }

    fn granted(&mut self, key: &KeyId, sent_ms: u64) -> Vec<Action> {
        let Some(run) = self.runs.by_key(key) else {
            return Vec::new();
        };
        let until_ms = run.first.deadline_ms.min(sent_ms + PERMIT_MS);
        run.state = RunState::Permitted { until_ms };
        let fingerprint = run.first.fingerprint;
        let (same, other): (Vec<Begin>, Vec<Begin>) = std::mem::take(&mut run.attached)
            .into_iter()
            .partition(|attached| attached.fingerprint == fingerprint);
        run.attached = same;
        let permit = Action::Permit {
            ticket: run.first.ticket,
        };
        let reused = |attached: Begin| answer(attached.ticket, Verdict::Refused(key_reused()));
        std::iter::once(permit)
            .chain(other.into_iter().map(reused))
            .collect()
    }

    /// Another attempt holds the key.
    fn held(&mut self, key: &KeyId, entry: &Entry, now_ms: u64) -> Vec<Action> {
        let Some(run) = self.runs.remove(key) else {
            return Vec::new();
        };
        let mut actions = vec![answer(
            run.first.ticket,
            verdict_of(entry, run.first.fingerprint),
        )];
        for attached in run.attached {
            if entry.is_settled() {
                let verdict = verdict_of(entry, attached.fingerprint);
                actions.push(answer(attached.ticket, verdict));
            } else {
                // It may have arrived after `entry` was read, and the run have ended meanwhile.
                actions.extend(self.begin(attached, now_ms));
            }
        }
        actions
    }

    /// The store did not record a claim, so nobody who waits for it runs.
    fn refuse(&mut self, key: &KeyId, message: &'static str) -> Vec<Action> {
        let Some(run) = self.runs.remove(key) else {
            return Vec::new();
        };
        std::iter::once(run.first)
            .chain(run.attached)
            .map(|begin| answer(begin.ticket, Verdict::Refused(store_unavailable(message))))
            .collect()
    }

    /// Drops ended runs whose outcome the shard has recorded.
    fn forget_settled(&mut self, number: u32) {
        let Some(shard) = self.shards.get(&number) else {
            return;
        };
        let settled: Vec<KeyId> = self
            .runs
            .iter()
            .filter(|(key, run)| {
                matches!(run.state, RunState::Ended { .. })
                    && key.shard() == number
                    && !shard.is_settling(&run.claimant)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in settled {
            self.runs.remove(&key);
        }
    }
}

/// Answers a repeat from a run at this instance, or lets it wait for that run.
fn join(run: &mut Run, begin: Begin) -> Vec<Action> {
    let same_work = run.first.fingerprint == begin.fingerprint;
    match &run.state {
        // A claim that is not recorded yet says nothing about what the key was used for.
        RunState::Claiming => {}
        _ if !same_work => return vec![answer(begin.ticket, Verdict::Refused(key_reused()))],
        RunState::Ended {
            answer: Some(recorded),
        } => return vec![answer(begin.ticket, Verdict::Recorded(recorded.clone()))],
        RunState::Ended { answer: None } => {
            return vec![answer(begin.ticket, Verdict::Refused(outcome_lost()))];
        }
        RunState::Permitted { .. } | RunState::Dispatched => {}
    }
    run.attached.push(begin);
    Vec::new()
}

/// When a run that was not dispatched is given up.
fn give_up_ms(run: &Run) -> Option<u64> {
    match run.state {
        RunState::Claiming => Some(run.first.deadline_ms.min(run.began_ms + CLAIM_TIMEOUT_MS)),
        RunState::Permitted { until_ms } => Some(until_ms),
        RunState::Dispatched | RunState::Ended { .. } => None,
    }
}

fn answer(ticket: Ticket, verdict: Verdict) -> Action {
    Action::Answer { ticket, verdict }
}
