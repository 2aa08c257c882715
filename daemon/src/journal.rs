//! Requests with an idempotency key: the journal in the store and the runs that it permits.

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
/// Time between two reads of the store's time.
const CLOCK_SYNC_PERIOD_MS: u64 = 30_000;
/// Time until a key that another instance holds is looked up again; doubles each time.
const FIRST_LOOKUP_PAUSE_MS: u64 = 100;
/// Longest time until such a key is looked up again.
const MAX_LOOKUP_PAUSE_MS: u64 = 1_000;
/// Time that a duplicate request waits for a process that has not been seen: the process may be
/// new or may just have terminated.
const UNSEEN_WAIT_MS: u64 = 3_000;
/// Time between two ticks of the journal.
const TICK_PERIOD_MS: u64 = 20;

/// The journal of one instance and the requests that wait for its decisions.
pub struct KeyedRuns {
    /// No other lock is held with it, and it is not held over an await.
    state: Mutex<State>,
}

struct State {
    journal: Journal,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    last_ticket: Ticket,
}

/// Decision of the journal on a request.
enum Decision {
    /// The request may run after one more check.
    Permit,
    /// The request is answered without a run.
    Respond(DuplicateResponse),
}

/// A request that the journal knows. Dropping it before it is finished cancels the request.
struct TrackedRequest {
    instance: Arc<Instance>,
    ticket: Ticket,
    is_finished: bool,
}

impl KeyedRuns {
    /// Builds an empty journal for the process `instance`.
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
        self.with_state(|state| state.journal.is_settled())
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.lock().expect("journal lock"))
    }
}

/// Runs a request with an idempotency key at most once. `dispatch` is called if the journal has
/// recorded that this attempt may run; otherwise the request gets the response for its key.
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
    let mut tracked = match wait_for_permit(instance, request, &key, deadline_ms).await {
        Ok(tracked) => tracked,
        Err(response) => return send_response(response, sender).await,
    };
    if let Some(response) = tracked.check_dispatch() {
        return send_response(response, sender).await;
    }
    let (recording, recording_sender) = Recording::start(sender.clone());
    let result = dispatch(recording_sender).await;
    let recorded = recording.finish(&request.work).await;
    tracked.finish(&result, recorded);
    result
}

/// Ticks the journal until the process ends.
pub async fn run_ticks(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(TICK_PERIOD_MS);
    while ticks.recv().await.is_some() {
        let now_ms = instance.now_ms();
        update_journal(&instance, |journal| {
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
pub async fn wait_until_settled(instance: &Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(TICK_PERIOD_MS);
    while !instance.keyed.is_settled() {
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Synchronises the journal with the store's time until the process ends.
pub async fn run_clock_sync(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(CLOCK_SYNC_PERIOD_MS);
    loop {
        sync_clock(&instance).await;
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Waits for the permission to dispatch. While another instance may be running the work, the key
/// is looked up again as long as that instance is live.
async fn wait_for_permit(
    instance: &Arc<Instance>,
    request: &Request,
    key: &KeyId,
    deadline_ms: u64,
) -> Result<TrackedRequest, DuplicateResponse> {
    let started_ms = instance.now_ms();
    let mut pause_ms = FIRST_LOOKUP_PAUSE_MS;
    loop {
        let (mut tracked, decision) = begin_request(instance, request, key.clone(), deadline_ms);
        // The sender is dropped unused only when the process ends.
        let response = match decision
            .await
            .unwrap_or_else(|_| Decision::instance_stopping())
        {
            Decision::Permit => return Ok(tracked),
            Decision::Respond(response) => response,
        };
        tracked.is_finished = true;
        let DuplicateResponse::Running(dispatcher) = &response else {
            return Err(response);
        };
        let until_ms = match liveness(instance, dispatcher) {
            Liveness::Live => deadline_ms,
            Liveness::NotSeen => deadline_ms.min(started_ms + UNSEEN_WAIT_MS),
            Liveness::Terminated => return Err(response),
        };
        if instance.now_ms() + pause_ms >= until_ms {
            return Err(response);
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(MAX_LOOKUP_PAUSE_MS);
    }
}

/// Whether a process is running, as far as this instance knows.
enum Liveness {
    Live,
    /// The process has not been seen, or not yet.
    NotSeen,
    Terminated,
}

fn liveness(instance: &Instance, process: &InstanceId) -> Liveness {
    if process.name == instance.id.name {
        // A claim of this process without a run is about to be released.
        return if *process == instance.id {
            Liveness::Live
        } else {
            Liveness::Terminated
        };
    }
    instance.with_membership(|membership| {
        let is_live = membership.live().any(|member| {
            member.listed.name == process.name && member.incarnation == process.incarnation
        });
        let is_listed = membership.member(&process.name).is_some();
        match (is_live, is_listed && membership.has_terminated(process)) {
            (true, _) => Liveness::Live,
            (false, true) => Liveness::Terminated,
            (false, false) => Liveness::NotSeen,
        }
    })
}

fn begin_request(
    instance: &Arc<Instance>,
    request: &Request,
    key: KeyId,
    deadline_ms: u64,
) -> (TrackedRequest, oneshot::Receiver<Decision>) {
    let (sender, decision) = oneshot::channel();
    let ticket = instance.keyed.with_state(|state| {
        state.last_ticket += 1;
        state.waiting.insert(state.last_ticket, sender);
        state.last_ticket
    });
    let keyed_request = KeyedRequest {
        ticket,
        key,
        fingerprint: request.fingerprint,
        request_id: request.id.clone(),
        deadline_ms,
    };
    let now_ms = instance.now_ms();
    update_journal(instance, |journal| {
        journal.begin_request(keyed_request, now_ms)
    });
    let tracked = TrackedRequest {
        instance: instance.clone(),
        ticket,
        is_finished: false,
    };
    (tracked, decision)
}

impl TrackedRequest {
    /// Makes the last check before dispatch; a response means that nothing may be sent.
    fn check_dispatch(&mut self) -> Option<DuplicateResponse> {
        let (ticket, now_ms) = (self.ticket, self.instance.now_ms());
        let dispatch = self
            .instance
            .keyed
            .with_state(|state| state.journal.confirm_dispatch(ticket, now_ms));
        let DispatchDecision::Reject(actions) = dispatch else {
            return None;
        };
        self.is_finished = true;
        update_journal(&self.instance, |_| actions);
        let refusal = Refusal::not_run(Code::Timeout, "too late to dispatch");
        Some(DuplicateResponse::Refused(refusal))
    }

    fn finish(mut self, result: &Result<Usage, Refusal>, recorded: crate::recording::Recorded) {
        self.is_finished = true;
        let outcome = recorded.into_outcome(result);
        let (ticket, now_ms) = (self.ticket, self.instance.now_ms());
        update_journal(&self.instance, |journal| {
            journal.finish_run(ticket, outcome, now_ms)
        });
    }
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let (ticket, now_ms) = (self.ticket, self.instance.now_ms());
        self.instance
            .keyed
            .with_state(|state| state.waiting.remove(&ticket));
        update_journal(&self.instance, |journal| {
            let mut actions = journal.cancel(ticket, now_ms);
            // Has no effect unless the request was dispatched.
            actions.extend(journal.finish_run(
                ticket,
                mimosabay_core::once::RunOutcome::Unknown,
                now_ms,
            ));
            actions
        });
    }
}

impl Decision {
    fn instance_stopping() -> Self {
        let refusal = Refusal::not_run(Code::InstanceFailed, "the instance is stopping");
        Decision::Respond(DuplicateResponse::Refused(refusal))
    }
}

/// Answers a request without a run: sends the recorded answer of another run, or returns a refusal.
async fn send_response(
    response: DuplicateResponse,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    let answer = match response {
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
        // A disconnected receiver is handled by its own side.
        let _ = sender.send(event).await;
    }
    Ok(used)
}

/// Calls `change` on the journal under the lock and carries out the actions that it returns.
fn update_journal(instance: &Arc<Instance>, change: impl FnOnce(&mut Journal) -> Vec<Action>) {
    instance.keyed.with_state(|state| {
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
                Action::Permit { ticket } => state.send_decision(ticket, Decision::Permit),
                Action::Answer { ticket, response } => {
                    state.send_decision(ticket, Decision::Respond(response));
                }
            }
        }
    });
}

impl State {
    fn send_decision(&mut self, ticket: Ticket, decision: Decision) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            // A request that stopped waiting is cancelled when its `TrackedRequest` is dropped.
            let _ = waiting.send(decision);
        }
    }
}

async fn call_store(instance: Arc<Instance>, shard: u32, call: StoreCall) {
    let platform = &instance.platform;
    let head_name = format!("head-{shard}");
    match call {
        StoreCall::ReadHead => {
            if !instance
                .keyed
                .with_state(|state| state.journal.has_store_time())
            {
                sync_clock(&instance).await;
            }
            let found = read_object(platform, &head_name).await;
            let now_ms = instance.now_ms();
            update_journal(&instance, |journal| {
                journal.on_head_read(shard, found, now_ms)
            });
        }
        StoreCall::ReadArchive { name } => {
            let found = read_object(platform, &name).await;
            let found = found.map(|found| found.map(|(_, archive)| archive));
            let now_ms = instance.now_ms();
            update_journal(&instance, |journal| {
                journal.on_archive_read(shard, found, now_ms)
            });
        }
        StoreCall::WriteHead { base_version, head } => {
            instance.metrics.count("journal.write");
            let precondition = base_version.map_or(Precondition::Absent, Precondition::Version);
            let written = write_object(platform, &head_name, &head, precondition).await;
            if written == Err(StoreFailure::Conflict) {
                instance.metrics.count("journal.conflict");
            }
            let now_ms = instance.now_ms();
            update_journal(&instance, |journal| {
                journal.on_head_written(shard, written, now_ms)
            });
        }
        StoreCall::WriteArchive { name, archive } => {
            let written = write_object(platform, &name, &archive, Precondition::Absent).await;
            let now_ms = instance.now_ms();
            update_journal(&instance, |journal| {
                journal.on_archive_written(shard, written, now_ms)
            });
        }
    }
}

async fn sync_clock(instance: &Arc<Instance>) {
    let sent_ms = instance.now_ms();
    match instance.platform.fetch_unix_ms().await {
        Ok(unix_ms) => {
            let now_ms = instance.now_ms();
            instance
                .keyed
                .with_state(|state| state.journal.observe_clock(unix_ms, sent_ms, now_ms));
        }
        Err(cause) => debug!(%cause, "cannot read the store's time"),
    }
}

async fn read_object<T: DeserializeOwned>(
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
        Err(cause) => Err(store_failure(&cause)),
    }
}

async fn write_object(
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
    let object = written.map_err(|cause| store_failure(&cause))?;
    Ok(object.version)
}

fn store_failure(cause: &Error) -> StoreFailure {
    match cause.classify() {
        // A removed object no longer has the version that the write needs.
        Category::Conflict | Category::NotFound => StoreFailure::Conflict,
        Category::Unavailable | Category::TooLarge | Category::Gone => StoreFailure::Unavailable,
        Category::Unknown | Category::Protocol => StoreFailure::Unknown,
    }
}

/// Item whose rendezvous choice is the instance that records the keys of the request's shard, so
/// that writes rarely conflict; `None` without a key.
pub fn shard_item(request: &Request) -> Option<Name> {
    let key = request.idempotency_key.as_ref()?;
    let key = KeyId::new(request.organisation.clone(), key.clone());
    Some(format!("journal-{}", key.shard()).into())
}
