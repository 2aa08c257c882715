//! Keyed requests: the journal in the store, and the runs that it permits.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::once::{
    Action, DispatchDecision, DuplicateResponse, Journal, KeyId, KeyedRequest, Settings, StoreCall,
    StoreFailure, Ticket, running_elsewhere_refusal,
};
use mimosabay_core::request::{Code, Refusal, Request, RunEvent, Usage};
use mimosabay_platform::{Category, Error, Platform, Precondition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use tracing::{debug, warn};

use crate::instance::Instance;
use crate::recording::Recording;

/// Kind of the journal's objects in the store.
const KIND: &str = "journal";
/// Time between two readings of the store's time.
const CLOCK_PERIOD_MS: u64 = 30_000;
/// Time until a key that another instance holds is looked up again; it doubles each time.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest time until such a key is looked up again.
const MAX_PAUSE_MS: u64 = 1_000;
/// Time for which a repeat waits for a process that is not heard: it may be new or just ended.
const UNHEARD_WAIT_MS: u64 = 3_000;
/// Time between two ticks of the journal.
const TICK_PERIOD_MS: u64 = 20;

/// The journal of one instance and those who wait for it.
pub struct KeyedRuns {
    /// Taken alone, never over an await.
    state: Mutex<State>,
}

struct State {
    journal: Journal,
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
    last_ticket: Ticket,
}

/// What the journal says to a request.
enum Answer {
    /// It may run, after one more check.
    Permit,
    /// It is answered without a run.
    Verdict(DuplicateResponse),
}

/// A request that the journal knows. Dropping it gives the request up.
struct Open {
    instance: Arc<Instance>,
    ticket: Ticket,
    ended: bool,
}

impl KeyedRuns {
    /// Builds the journal of a process.
    pub fn new(instance: InstanceId) -> Self {
        let state = State {
            journal: Journal::new(instance, Settings::default()),
            waiting: HashMap::new(),
            last_ticket: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Whether every run has ended and is recorded.
    pub fn is_settled(&self) -> bool {
        self.with(|state| state.journal.is_settled())
    }

    fn with<T>(&self, visit: impl FnOnce(&mut State) -> T) -> T {
        visit(&mut self.state.lock().expect("journal lock"))
    }
}

/// Runs a request with an idempotency key at most once: `dispatch` is called if the journal has
/// recorded that this attempt may run, and otherwise the request gets the answer of its key.
///
/// # Errors
///
/// A refusal that says whether the work may have run.
pub async fn run(
    instance: &Arc<Instance>,
    request: &Request,
    deadline_ms: u64,
    sender: &mpsc::Sender<RunEvent>,
    dispatch: impl AsyncFnOnce(mpsc::Sender<RunEvent>) -> Result<Usage, Refusal>,
) -> Result<Usage, Refusal> {
    let Some(key) = &request.idempotency_key else {
        let refusal = Refusal::not_run(Code::BadRequest, "no idempotency key");
        return Err(refusal);
    };
    let key = KeyId::new(request.organisation.clone(), key.clone());
    let mut open = match permit(instance, request, &key, deadline_ms).await {
        Ok(open) => open,
        Err(verdict) => return give(verdict, sender).await,
    };
    if let Some(verdict) = open.check_dispatch() {
        return give(verdict, sender).await;
    }
    let (recording, tee) = Recording::start(sender.clone());
    let ended = dispatch(tee).await;
    let recorded = recording.finish(&request.work).await;
    open.end(&ended, recorded);
    ended
}

/// Ticks the journal until the process ends.
pub async fn run_ticks(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(TICK_PERIOD_MS);
    while ticks.recv().await.is_some() {
        let now_ms = instance.now_ms();
        visit(&instance, |journal| {
            let due = journal.wake_ms().is_some_and(|wake_ms| wake_ms <= now_ms);
            if due {
                journal.tick(now_ms)
            } else {
                Vec::new()
            }
        });
    }
}

/// Returns once the outcomes of all keyed runs are recorded.
pub async fn settled(instance: &Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(TICK_PERIOD_MS);
    while !instance.keyed.is_settled() {
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Follows the store's time until the process ends.
pub async fn run_clock(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(CLOCK_PERIOD_MS);
    loop {
        observe_clock(&instance).await;
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Waits for the permission to dispatch. While another instance may be running the work, it is
/// asked again, as long as that instance lives.
async fn permit(
    instance: &Arc<Instance>,
    request: &Request,
    key: &KeyId,
    deadline_ms: u64,
) -> Result<Open, DuplicateResponse> {
    let started_ms = instance.now_ms();
    let mut pause_ms = FIRST_PAUSE_MS;
    loop {
        let (mut open, answer) = begin(instance, request, key.clone(), deadline_ms);
        // The sender is only dropped unused when the process ends.
        let verdict = match answer.await.unwrap_or_else(|_| Answer::stopped()) {
            Answer::Permit => return Ok(open),
            Answer::Verdict(verdict) => verdict,
        };
        open.ended = true;
        let DuplicateResponse::Running(dispatcher) = &verdict else {
            return Err(verdict);
        };
        let until_ms = match liveness(instance, dispatcher) {
            Liveness::Live => deadline_ms,
            Liveness::Unheard => deadline_ms.min(started_ms + UNHEARD_WAIT_MS),
            Liveness::Gone => return Err(verdict),
        };
        if instance.now_ms() + pause_ms >= until_ms {
            return Err(verdict);
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
    }
}

/// Whether a process runs, as far as this instance knows.
enum Liveness {
    Live,
    /// It has not been heard, or not yet.
    Unheard,
    Gone,
}

fn liveness(instance: &Instance, process: &InstanceId) -> Liveness {
    if process.name == instance.id.name {
        // A claim of this process that no run belongs to is about to be released.
        return if *process == instance.id {
            Liveness::Live
        } else {
            Liveness::Gone
        };
    }
    instance.with_membership(|membership| {
        let is_heard = membership.live().any(|member| {
            member.listed.name == process.name && member.incarnation == process.incarnation
        });
        let is_listed = membership.member(&process.name).is_some();
        match (is_heard, is_listed && membership.has_terminated(process)) {
            (true, _) => Liveness::Live,
            (false, true) => Liveness::Gone,
            (false, false) => Liveness::Unheard,
        }
    })
}

fn begin(
    instance: &Arc<Instance>,
    request: &Request,
    key: KeyId,
    deadline_ms: u64,
) -> (Open, oneshot::Receiver<Answer>) {
    let (sender, answer) = oneshot::channel();
    let ticket = instance.keyed.with(|state| {
        state.last_ticket += 1;
        state.waiting.insert(state.last_ticket, sender);
        state.last_ticket
    });
    let begin = KeyedRequest {
        ticket,
        key,
        fingerprint: request.fingerprint,
        request_id: request.id.clone(),
        deadline_ms,
    };
    let now_ms = instance.now_ms();
    visit(instance, |journal| journal.begin_request(begin, now_ms));
    let open = Open {
        instance: instance.clone(),
        ticket,
        ended: false,
    };
    (open, answer)
}

impl Open {
    /// The last check before sending; a verdict means that nothing may be sent.
    fn check_dispatch(&mut self) -> Option<DuplicateResponse> {
        let (ticket, now_ms) = (self.ticket, self.instance.now_ms());
        let dispatch = self
            .instance
            .keyed
            .with(|state| state.journal.confirm_dispatch(ticket, now_ms));
        let DispatchDecision::Reject(actions) = dispatch else {
            return None;
        };
        self.ended = true;
        visit(&self.instance, |_| actions);
        let refusal = Refusal::not_run(Code::Timeout, "too late to dispatch");
        Some(DuplicateResponse::Refused(refusal))
    }

    fn end(mut self, ended: &Result<Usage, Refusal>, recorded: crate::recording::Recorded) {
        self.ended = true;
        let end = recorded.into_end(ended);
        let (ticket, now_ms) = (self.ticket, self.instance.now_ms());
        visit(&self.instance, |journal| {
            journal.finish_run(ticket, end, now_ms)
        });
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (ticket, now_ms) = (self.ticket, self.instance.now_ms());
        self.instance
            .keyed
            .with(|state| state.waiting.remove(&ticket));
        visit(&self.instance, |journal| {
            let mut actions = journal.cancel(ticket, now_ms);
            // Has no effect unless it was dispatched.
            actions.extend(journal.finish_run(
                ticket,
                mimosabay_core::once::RunOutcome::Unknown,
                now_ms,
            ));
            actions
        });
    }
}

impl Answer {
    fn stopped() -> Self {
        let refusal = Refusal::not_run(Code::InstanceFailed, "the instance stops");
        Answer::Verdict(DuplicateResponse::Refused(refusal))
    }
}

/// Hands the answer of another run on.
async fn give(
    verdict: DuplicateResponse,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    let answer = match verdict {
        DuplicateResponse::Refused(refusal) => return Err(refusal),
        DuplicateResponse::Running(_) => return Err(running_elsewhere_refusal()),
        DuplicateResponse::Recorded(answer) => answer,
    };
    let mut used = Usage::default();
    for event in answer.to_events() {
        if let RunEvent::Finished { usage } = event {
            used = usage;
            continue;
        }
        // A reader that left is noticed by its own side.
        let _ = sender.send(event).await;
    }
    Ok(used)
}

/// Changes the journal and carries out what follows from it.
fn visit(instance: &Arc<Instance>, change: impl FnOnce(&mut Journal) -> Vec<Action>) {
    instance.keyed.with(|state| {
        for action in change(&mut state.journal) {
            match action {
                Action::Store { shard, call } => {
                    tokio::spawn(call_store(instance.clone(), shard, call));
                }
                Action::DeleteArchive(archive) => {
                    let instance = instance.clone();
                    tokio::spawn(async move {
                        let platform = &instance.platform;
                        let deleted = platform.delete(KIND, &archive.name, archive.version).await;
                        if let Err(cause) = deleted {
                            debug!(archive = %archive.name, %cause, "archive not deleted");
                        }
                    });
                }
                Action::Permit { ticket } => state.tell(ticket, Answer::Permit),
                Action::Answer { ticket, response } => {
                    state.tell(ticket, Answer::Verdict(response));
                }
            }
        }
    });
}

impl State {
    fn tell(&mut self, ticket: Ticket, answer: Answer) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            // A request that stopped waiting gives itself up when its `Open` is dropped.
            let _ = waiting.send(answer);
        }
    }
}

async fn call_store(instance: Arc<Instance>, shard: u32, call: StoreCall) {
    let platform = &instance.platform;
    let head_name = format!("head-{shard}");
    match call {
        StoreCall::ReadHead => {
            if !instance.keyed.with(|state| state.journal.has_store_time()) {
                observe_clock(&instance).await;
            }
            let found = read(platform, &head_name).await;
            let now_ms = instance.now_ms();
            visit(&instance, |journal| {
                journal.on_head_read(shard, found, now_ms)
            });
        }
        StoreCall::ReadArchive { name } => {
            let found = read(platform, &name).await;
            let found = found.map(|found| found.map(|(_, archive)| archive));
            let now_ms = instance.now_ms();
            visit(&instance, |journal| {
                journal.on_archive_read(shard, found, now_ms)
            });
        }
        StoreCall::WriteHead { base_version, head } => {
            instance.metrics.count("journal.write");
            let precondition = base_version.map_or(Precondition::Absent, Precondition::Version);
            let written = write(platform, &head_name, &head, precondition).await;
            if written == Err(StoreFailure::Conflict) {
                instance.metrics.count("journal.conflict");
            }
            let now_ms = instance.now_ms();
            visit(&instance, |journal| {
                journal.on_head_written(shard, written, now_ms)
            });
        }
        StoreCall::WriteArchive { name, archive } => {
            let written = write(platform, &name, &archive, Precondition::Absent).await;
            let now_ms = instance.now_ms();
            visit(&instance, |journal| {
                journal.on_archive_written(shard, written, now_ms)
            });
        }
    }
}

async fn observe_clock(instance: &Arc<Instance>) {
    let sent_ms = instance.now_ms();
    match instance.platform.fetch_unix_ms().await {
        Ok(unix_ms) => {
            let now_ms = instance.now_ms();
            instance
                .keyed
                .with(|state| state.journal.observe_clock(unix_ms, sent_ms, now_ms));
        }
        Err(cause) => debug!(%cause, "the store's time is not known"),
    }
}

async fn read<T: DeserializeOwned>(
    platform: &Platform,
    name: &str,
) -> Result<Option<(u64, T)>, StoreFailure> {
    match platform.get(KIND, name).await {
        Ok(object) => {
            let value = T::deserialize(object.value).map_err(|cause| {
                warn!(name, %cause, "cannot read an object of the journal");
                StoreFailure::Unavailable
            })?;
            Ok(Some((object.version, value)))
        }
        Err(cause) if cause.classify() == Category::NotFound => Ok(None),
        Err(cause) => Err(failure(&cause)),
    }
}

async fn write(
    platform: &Platform,
    name: &str,
    value: &impl Serialize,
    precondition: Precondition,
) -> Result<u64, StoreFailure> {
    let value = serde_json::to_value(value).map_err(|cause| {
        warn!(name, %cause, "cannot write an object of the journal");
        StoreFailure::Unavailable
    })?;
    let written = platform.put(KIND, name, &value, precondition).await;
    let object = written.map_err(|cause| failure(&cause))?;
    Ok(object.version)
}

fn failure(cause: &Error) -> StoreFailure {
    match cause.classify() {
        // An object that is gone has no longer the version that the write needs.
        Category::Conflict | Category::NotFound => StoreFailure::Conflict,
        Category::Unavailable | Category::TooLarge | Category::Gone => StoreFailure::Unavailable,
        Category::Unknown | Category::Protocol => StoreFailure::Unknown,
    }
}

/// Name of the instance that should record the keys of a shard, so that writes rarely conflict.
pub fn home_item(request: &Request) -> Option<Name> {
    let key = request.idempotency_key.as_ref()?;
    let key = KeyId::new(request.organisation.clone(), key.clone());
    Some(format!("journal-{}", key.shard()).into())
}
