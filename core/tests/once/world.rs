//! Simulates several instances, a store, and a network that delays calls and loses answers.

use arbtest::arbitrary::{Result, Unstructured};
use mimosabay_core::name::InstanceId;
use mimosabay_core::once::{
    Action, Body, DispatchDecision, DuplicateResponse, Journal, KeyId, KeyedRequest, Outcome,
    RecordedAnswer, RunOutcome, SKEW_ALLOWANCE_MS, Settings, StoreCall, StoreFailure, Ticket,
};
use mimosabay_core::request::{Code, Ran, Refusal};

use crate::oracle::Oracle;
use crate::store::{Store, StoreAnswer};

pub(crate) const WINDOW_MS: u64 = 200_000;
const INSTANCES: usize = 3;
const KEYS: usize = 3;
const UNIX_MS: u64 = 1_000_000_000;
const SETTINGS: Settings = Settings {
    window_ms: WINDOW_MS,
    rotate_bytes: 1_500,
};

struct Instance {
    journal: Journal,
    incarnation: u64,
    frozen: bool,
    permits: Vec<Ticket>,
    running: Vec<Ticket>,
}

struct Call {
    instance: usize,
    incarnation: u64,
    shard: u32,
    kind: StoreCall,
    sent_ms: u64,
    /// The store's answer and its time, once the store has applied the call.
    answer: Option<(StoreAnswer, u64)>,
    /// Whether the instance was notified that the answer is lost.
    lost: bool,
}

pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) oracle: Oracle,
    now_ms: u64,
    instances: Vec<Instance>,
    calls: Vec<Call>,
    keys: Vec<KeyId>,
    last_ticket: Ticket,
    /// Answers recorded for the same key and work when the request arrived, with their expiry time.
    recorded_answers: Vec<(Ticket, RecordedAnswer, u64)>,
}

impl World {
    pub(crate) fn new() -> Self {
        let keys = (0..)
            .map(|number: u32| KeyId::new("clinics", number.to_string()))
            .filter(|key| key.shard() == 0)
            .take(KEYS);
        let mut world = Self {
            store: Store::default(),
            oracle: Oracle::new(WINDOW_MS),
            now_ms: 0,
            instances: Vec::new(),
            calls: Vec::new(),
            keys: keys.collect(),
            last_ticket: 0,
            recorded_answers: Vec::new(),
        };
        for number in 0..INSTANCES {
            let instance = Self::start_instance(number, 1);
            world.instances.push(instance);
        }
        world
    }

    pub(crate) fn step(&mut self, u: &mut Unstructured) -> Result<()> {
        let instance = u.choose_index(INSTANCES)?;
        match u.int_in_range(0..=31)? {
            0..=5 => {
                let key = u.choose_index(KEYS)?;
                let other_work = u.ratio(1, 8)?;
                self.begin_request(instance, key, u64::from(other_work));
            }
            6..=8 => self.advance_time(u.int_in_range(1..=400)?),
            9 => self.advance_time(u.int_in_range(1_000..=20_000)?),
            10 if u.ratio(1, 8)? => self.advance_time(u.int_in_range(1_000..=WINDOW_MS * 3 / 2)?),
            11..=16 => self.with_call(u, Self::apply_call)?,
            17..=21 => self.with_call(u, Self::deliver_answer)?,
            22 => self.with_call(u, Self::lose_answer)?,
            23 => self.with_call(u, Self::refuse_call)?,
            24..=26 => self.dispatch(instance),
            27 | 28 => {
                let end = u.int_in_range(0..=7)?;
                self.end_run(instance, end);
            }
            29 if u.ratio(1, 4)? => self.restart_instance(instance),
            30 => self.instances[instance].frozen ^= u.ratio(1, 2)?,
            31 => self.cancel(u)?,
            _ => {}
        }
        Ok(())
    }

    /// Completes all work without faults, and checks that no work or claim remains.
    pub(crate) fn finish_without_faults(&mut self) {
        for instance in &mut self.instances {
            instance.frozen = false;
        }
        for _ in 0..400 {
            self.run_without_faults();
        }
        for instance in &self.instances {
            assert!(instance.journal.is_settled(), "pending work remains");
        }
        for entry in self.store.entries() {
            let is_live = self
                .instances
                .iter()
                .any(|instance| *instance.journal.instance() == entry.claimant.dispatcher);
            let expired =
                entry.claimed_unix_ms + WINDOW_MS + SKEW_ALLOWANCE_MS < UNIX_MS + self.now_ms;
            let is_left_unsettled = is_live && !expired && !entry.is_settled();
            assert!(!is_left_unsettled, "unsettled claim remains: {entry:?}");
        }
        self.keys.push(KeyId::new("clinics", "fresh"));
        self.begin_request(0, KEYS, 0);
        let runs = self.oracle.runs();
        for _ in 0..20 {
            self.run_without_faults();
        }
        assert_eq!(self.oracle.runs(), runs + 1, "a new key is not dispatched");
    }

    pub(crate) fn run_without_faults(&mut self) {
        self.advance_time(250);
        self.apply_and_deliver_all();
        for instance in 0..INSTANCES {
            self.dispatch(instance);
            self.end_run(instance, 0);
        }
    }

    pub(crate) fn apply_and_deliver_all(&mut self) {
        for _ in 0..self.calls.len() {
            self.apply_call(0);
            self.deliver_answer(0);
        }
    }

    fn start_instance(number: usize, incarnation: u64) -> Instance {
        let id = InstanceId::new(format!("instance-{number}"), incarnation);
        Instance {
            journal: Journal::new(id, SETTINGS),
            incarnation,
            frozen: false,
            permits: Vec::new(),
            running: Vec::new(),
        }
    }

    pub(crate) fn begin_request(&mut self, instance: usize, key: usize, fingerprint: u64) {
        if self.instances[instance].frozen {
            return;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let key = self.keys[key].clone();
        self.oracle.record_request(ticket, key.clone(), fingerprint);
        for entry in self.store.entries() {
            if let Some(Outcome::Finished {
                answer: Some(answer),
            }) = &entry.outcome
                && entry.key == key
                && entry.fingerprint == fingerprint
            {
                let until_ms = entry.claimed_unix_ms + WINDOW_MS - UNIX_MS;
                self.recorded_answers
                    .push((ticket, answer.clone(), until_ms));
            }
        }
        let request = KeyedRequest {
            ticket,
            key,
            fingerprint,
            request_id: format!("request-{ticket}").into(),
            deadline_ms: self.now_ms + 60_000,
        };
        let actions = self.instances[instance]
            .journal
            .begin_request(request, self.now_ms);
        self.apply_actions(instance, actions);
    }

    pub(crate) fn advance_time(&mut self, ms: u64) {
        self.now_ms += ms;
        for instance in 0..INSTANCES {
            if !self.instances[instance].frozen {
                let actions = self.instances[instance].journal.tick(self.now_ms);
                self.apply_actions(instance, actions);
            }
        }
    }

    /// Applies a call to the store.
    pub(crate) fn apply_call(&mut self, call: usize) {
        let now_ms = self.now_ms;
        let call = &mut self.calls[call];
        if call.answer.is_none() {
            let answer = self.store.apply(call.shard, &call.kind);
            call.answer = Some((answer, UNIX_MS + now_ms));
        }
    }

    /// Delivers the answer of an applied call to its instance.
    pub(crate) fn deliver_answer(&mut self, call: usize) {
        let call = &self.calls[call];
        let (instance, shard) = (call.instance, call.shard);
        let Some((answer, unix_ms)) = call.answer.clone() else {
            return;
        };
        let (sent_ms, is_pending) = (call.sent_ms, self.is_pending(call));
        if self.instances[instance].frozen {
            return;
        }
        let call = self.calls.remove(self.position(call));
        if !is_pending {
            return;
        }
        let journal = &mut self.instances[instance].journal;
        journal.observe_clock(unix_ms, sent_ms, self.now_ms);
        let actions = match answer {
            StoreAnswer::Head(found) => journal.on_head_read(shard, Ok(found), self.now_ms),
            StoreAnswer::Archive(found) => journal.on_archive_read(shard, Ok(found), self.now_ms),
            StoreAnswer::Written(result) if matches!(call.kind, StoreCall::WriteHead { .. }) => {
                journal.on_head_written(shard, result, self.now_ms)
            }
            StoreAnswer::Written(result) => journal.on_archive_written(shard, result, self.now_ms),
        };
        self.apply_actions(instance, actions);
    }

    /// Loses the answer of a call. The store may still apply the call later.
    pub(crate) fn lose_answer(&mut self, call: usize) {
        self.fail(call, StoreFailure::Unknown);
    }

    /// Lets the store refuse a call that it has not applied.
    pub(crate) fn refuse_call(&mut self, call: usize) {
        if self.calls[call].answer.is_none() && !self.calls[call].lost {
            self.fail(call, StoreFailure::Unavailable);
        }
    }

    /// Dispatches the permitted requests of an instance.
    pub(crate) fn dispatch(&mut self, instance: usize) {
        if self.instances[instance].frozen {
            return;
        }
        for ticket in std::mem::take(&mut self.instances[instance].permits) {
            match self.instances[instance]
                .journal
                .confirm_dispatch(ticket, self.now_ms)
            {
                DispatchDecision::Send => {
                    self.check_not_recorded(ticket);
                    check(self.oracle.check_dispatch(ticket, self.now_ms));
                    self.instances[instance].running.push(ticket);
                }
                DispatchDecision::Reject(actions) => self.apply_actions(instance, actions),
            }
        }
    }

    /// Makes an instance treat a request as permitted although its claim is not recorded.
    pub(crate) fn add_unconfirmed_permit(&mut self, instance: usize, ticket: Ticket) {
        self.instances[instance].permits.push(ticket);
    }

    /// Ends the oldest run of an instance; 6 loses its answer, 7 reports that it did not run.
    pub(crate) fn end_run(&mut self, instance: usize, kind: u8) {
        let state = &mut self.instances[instance];
        if state.frozen || state.running.is_empty() {
            return;
        }
        let ticket = state.running.remove(0);
        let answer = RecordedAnswer::Plain {
            status: 200,
            content_type: "text/plain".into(),
            body: Body::new(format!("{ticket}:{}", "x".repeat(400)).as_bytes()),
        };
        let outcome = match kind {
            6 => RunOutcome::Unknown,
            7 => {
                self.oracle.remove_run(ticket);
                RunOutcome::NotRun(Refusal::not_run(Code::NoServer, "not sent"))
            }
            _ => {
                self.oracle.record_answer(ticket, &answer);
                RunOutcome::Finished(answer)
            }
        };
        let actions = state.journal.finish_run(ticket, outcome, self.now_ms);
        self.apply_actions(instance, actions);
    }

    pub(crate) fn restart_instance(&mut self, instance: usize) {
        let incarnation = self.instances[instance].incarnation + 1;
        self.instances[instance] = Self::start_instance(instance, incarnation);
    }

    pub(crate) fn set_frozen(&mut self, instance: usize, frozen: bool) {
        self.instances[instance].frozen = frozen;
    }

    pub(crate) fn pending_calls(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn response(&self, ticket: Ticket) -> Option<&DuplicateResponse> {
        self.oracle.requests[&ticket].response.as_ref()
    }

    fn cancel(&mut self, u: &mut Unstructured) -> Result<()> {
        let instance = u.choose_index(INSTANCES)?;
        let ticket = u.int_in_range(0..=self.last_ticket)?;
        if !self.instances[instance].frozen {
            let actions = self.instances[instance].journal.cancel(ticket, self.now_ms);
            self.apply_actions(instance, actions);
        }
        Ok(())
    }

    fn with_call(&mut self, u: &mut Unstructured, act: fn(&mut Self, usize)) -> Result<()> {
        if !self.calls.is_empty() {
            let call = u.choose_index(self.calls.len())?;
            act(self, call);
        }
        Ok(())
    }

    fn fail(&mut self, call: usize, failure: StoreFailure) {
        let (instance, shard) = (self.calls[call].instance, self.calls[call].shard);
        if self.instances[instance].frozen || !self.is_pending(&self.calls[call]) {
            return;
        }
        self.calls[call].lost = true;
        let kind = self.calls[call].kind.clone();
        if failure == StoreFailure::Unavailable || self.calls[call].answer.is_some() {
            self.calls.remove(call);
        }
        let journal = &mut self.instances[instance].journal;
        let actions = match kind {
            StoreCall::ReadHead => journal.on_head_read(shard, Err(failure), self.now_ms),
            StoreCall::ReadArchive { .. } => {
                journal.on_archive_read(shard, Err(failure), self.now_ms)
            }
            StoreCall::WriteHead { .. } => {
                journal.on_head_written(shard, Err(failure), self.now_ms)
            }
            StoreCall::WriteArchive { .. } => {
                journal.on_archive_written(shard, Err(failure), self.now_ms)
            }
        };
        self.apply_actions(instance, actions);
    }

    fn apply_actions(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { shard, call } => self.calls.push(Call {
                    instance,
                    incarnation: self.instances[instance].incarnation,
                    shard,
                    kind: call,
                    sent_ms: self.now_ms,
                    answer: None,
                    lost: false,
                }),
                Action::DeleteArchive(archive) => self.store.delete_archive(&archive.name),
                Action::Permit { ticket } => self.instances[instance].permits.push(ticket),
                Action::Answer { ticket, response } => {
                    let refused = matches!(&response, DuplicateResponse::Refused(refusal)
                        if refusal.ran == Ran::No && refusal.code != Code::KeyReused);
                    if !refused && !matches!(response, DuplicateResponse::Recorded(_)) {
                        self.check_not_recorded(ticket);
                    }
                    check(self.oracle.check_response(ticket, &response));
                }
            }
        }
    }

    /// Checks that a request whose answer is recorded is neither dispatched nor in doubt.
    fn check_not_recorded(&self, ticket: Ticket) {
        let recorded = self
            .recorded_answers
            .iter()
            .find(|(other, _, until_ms)| *other == ticket && *until_ms > self.now_ms);
        assert!(
            recorded.is_none(),
            "request {ticket} did not get {recorded:?}"
        );
    }

    fn is_pending(&self, call: &Call) -> bool {
        !call.lost && self.instances[call.instance].incarnation == call.incarnation
    }

    fn position(&self, call: &Call) -> usize {
        let same = |other: &Call| std::ptr::eq(other, call);
        self.calls
            .iter()
            .position(same)
            .expect("call is in the list")
    }
}

fn check(judgement: std::result::Result<(), String>) {
    if let Err(violation) = judgement {
        panic!("{violation}");
    }
}
