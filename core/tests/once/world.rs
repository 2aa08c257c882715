//! Several instances, a store and a network that loses and delays.

use arbtest::arbitrary::{Result, Unstructured};
use mimosabay_core::name::InstanceId;
use mimosabay_core::once::{
    Action, Begin, Body, Dispatch, End, Journal, KeyId, Outcome, RecordedAnswer, SKEW_ALLOWANCE_MS,
    Settings, StoreCall, StoreFailure, Ticket, Verdict,
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
    owner: usize,
    incarnation: u64,
    shard: u32,
    kind: StoreCall,
    sent_ms: u64,
    /// The store's answer and its time, once the call has landed.
    landed: Option<(StoreAnswer, u64)>,
    /// Whether the instance has been told that the answer is lost.
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
    /// Answers that the store held for the key and work when the request arrived.
    expected: Vec<(Ticket, RecordedAnswer, u64)>,
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
            expected: Vec::new(),
        };
        for number in 0..INSTANCES {
            let instance = Self::start(number, 1);
            world.instances.push(instance);
        }
        world
    }

    pub(crate) fn step(&mut self, u: &mut Unstructured) -> Result<()> {
        let owner = u.choose_index(INSTANCES)?;
        match u.int_in_range(0..=31)? {
            0..=5 => {
                let key = u.choose_index(KEYS)?;
                let other_work = u.ratio(1, 8)?;
                self.begin(owner, key, u64::from(other_work));
            }
            6..=8 => self.pass(u.int_in_range(1..=400)?),
            9 => self.pass(u.int_in_range(1_000..=20_000)?),
            10 if u.ratio(1, 8)? => self.pass(u.int_in_range(1_000..=WINDOW_MS * 3 / 2)?),
            11..=16 => self.with_call(u, Self::land)?,
            17..=21 => self.with_call(u, Self::deliver)?,
            22 => self.with_call(u, Self::lose)?,
            23 => self.with_call(u, Self::refuse)?,
            24..=26 => self.dispatch(owner),
            27 | 28 => {
                let end = u.int_in_range(0..=7)?;
                self.end(owner, end);
            }
            29 if u.ratio(1, 4)? => self.replace(owner),
            30 => self.instances[owner].frozen ^= u.ratio(1, 2)?,
            31 => self.cancel(u)?,
            _ => {}
        }
        Ok(())
    }

    /// Lets everything settle without faults, and checks that nothing is left over.
    pub(crate) fn settle(&mut self) {
        for instance in &mut self.instances {
            instance.frozen = false;
        }
        for _ in 0..400 {
            self.run_without_faults();
        }
        for instance in &self.instances {
            assert!(instance.journal.is_settled(), "work left over");
        }
        for entry in self.store.entries() {
            let alive = self
                .instances
                .iter()
                .any(|instance| *instance.journal.instance() == entry.claimant.dispatcher);
            let expired =
                entry.claimed_unix_ms + WINDOW_MS + SKEW_ALLOWANCE_MS < UNIX_MS + self.now_ms;
            let left_over = alive && !expired && !entry.is_settled();
            assert!(!left_over, "claim left over: {entry:?}");
        }
        self.keys.push(KeyId::new("clinics", "fresh"));
        self.begin(0, KEYS, 0);
        let runs = self.oracle.runs();
        for _ in 0..20 {
            self.run_without_faults();
        }
        assert_eq!(self.oracle.runs(), runs + 1, "a new key is not dispatched");
    }

    pub(crate) fn run_without_faults(&mut self) {
        self.pass(250);
        self.land_and_deliver_all();
        for owner in 0..INSTANCES {
            self.dispatch(owner);
            self.end(owner, 0);
        }
    }

    pub(crate) fn land_and_deliver_all(&mut self) {
        for _ in 0..self.calls.len() {
            self.land(0);
            self.deliver(0);
        }
    }

    fn start(number: usize, incarnation: u64) -> Instance {
        let id = InstanceId::new(format!("instance-{number}"), incarnation);
        Instance {
            journal: Journal::new(id, SETTINGS),
            incarnation,
            frozen: false,
            permits: Vec::new(),
            running: Vec::new(),
        }
    }

    pub(crate) fn begin(&mut self, owner: usize, key: usize, fingerprint: u64) {
        if self.instances[owner].frozen {
            return;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let key = self.keys[key].clone();
        self.oracle.asked(ticket, key.clone(), fingerprint);
        for entry in self.store.entries() {
            if let Some(Outcome::Finished {
                answer: Some(answer),
            }) = &entry.outcome
                && entry.key == key
                && entry.fingerprint == fingerprint
            {
                let until_ms = entry.claimed_unix_ms + WINDOW_MS - UNIX_MS;
                self.expected.push((ticket, answer.clone(), until_ms));
            }
        }
        let begin = Begin {
            ticket,
            key,
            fingerprint,
            request: format!("request-{ticket}").into(),
            deadline_ms: self.now_ms + 60_000,
        };
        let actions = self.instances[owner].journal.begin(begin, self.now_ms);
        self.perform(owner, actions);
    }

    pub(crate) fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        for owner in 0..INSTANCES {
            if !self.instances[owner].frozen {
                let actions = self.instances[owner].journal.tick(self.now_ms);
                self.perform(owner, actions);
            }
        }
    }

    /// A call reaches the store.
    pub(crate) fn land(&mut self, call: usize) {
        let now_ms = self.now_ms;
        let call = &mut self.calls[call];
        if call.landed.is_none() {
            let answer = self.store.apply(call.shard, &call.kind);
            call.landed = Some((answer, UNIX_MS + now_ms));
        }
    }

    /// The answer of a call reaches its instance.
    pub(crate) fn deliver(&mut self, call: usize) {
        let call = &self.calls[call];
        let (owner, shard) = (call.owner, call.shard);
        let Some((answer, unix_ms)) = call.landed.clone() else {
            return;
        };
        let (sent_ms, ours) = (call.sent_ms, self.is_waited_for(call));
        if self.instances[owner].frozen {
            return;
        }
        let call = self.calls.remove(self.position(call));
        if !ours {
            return;
        }
        let journal = &mut self.instances[owner].journal;
        journal.observe_clock(unix_ms, sent_ms, self.now_ms);
        let actions = match answer {
            StoreAnswer::Head(found) => journal.head_read(shard, Ok(found), self.now_ms),
            StoreAnswer::Archive(found) => journal.archive_read(shard, Ok(found), self.now_ms),
            StoreAnswer::Written(result) if matches!(call.kind, StoreCall::WriteHead { .. }) => {
                journal.head_written(shard, result, self.now_ms)
            }
            StoreAnswer::Written(result) => journal.archive_written(shard, result, self.now_ms),
        };
        self.perform(owner, actions);
    }

    /// The answer of a call is lost. The call itself may still land.
    pub(crate) fn lose(&mut self, call: usize) {
        self.fail(call, StoreFailure::Unknown);
    }

    /// The store refuses a call that has not landed.
    pub(crate) fn refuse(&mut self, call: usize) {
        if self.calls[call].landed.is_none() && !self.calls[call].lost {
            self.fail(call, StoreFailure::Unavailable);
        }
    }

    /// An instance sends the requests that were permitted.
    pub(crate) fn dispatch(&mut self, owner: usize) {
        if self.instances[owner].frozen {
            return;
        }
        for ticket in std::mem::take(&mut self.instances[owner].permits) {
            match self.instances[owner].journal.dispatch(ticket, self.now_ms) {
                Dispatch::Go => {
                    self.check_not_recorded(ticket);
                    check(self.oracle.dispatched(ticket, self.now_ms));
                    self.instances[owner].running.push(ticket);
                }
                Dispatch::Stop(actions) => self.perform(owner, actions),
            }
        }
    }

    /// An instance takes a request for permitted that is not.
    pub(crate) fn permit_too_early(&mut self, owner: usize, ticket: Ticket) {
        self.instances[owner].permits.push(ticket);
    }

    /// The oldest run of an instance ends.
    pub(crate) fn end(&mut self, owner: usize, how: u8) {
        let instance = &mut self.instances[owner];
        if instance.frozen || instance.running.is_empty() {
            return;
        }
        let ticket = instance.running.remove(0);
        let answer = RecordedAnswer::Plain {
            status: 200,
            content_type: "text/plain".into(),
            body: Body::new(format!("{ticket}:{}", "x".repeat(400)).as_bytes()),
        };
        let end = match how {
            6 => End::Unknown,
            7 => {
                self.oracle.not_run(ticket);
                End::NotRun(Refusal::not_run(Code::NoServer, "not sent"))
            }
            _ => {
                self.oracle.finished(ticket, &answer);
                End::Finished(answer)
            }
        };
        let actions = instance.journal.ended(ticket, end, self.now_ms);
        self.perform(owner, actions);
    }

    pub(crate) fn replace(&mut self, owner: usize) {
        let incarnation = self.instances[owner].incarnation + 1;
        self.instances[owner] = Self::start(owner, incarnation);
    }

    pub(crate) fn freeze(&mut self, owner: usize, frozen: bool) {
        self.instances[owner].frozen = frozen;
    }

    pub(crate) fn calls(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn verdict(&self, ticket: Ticket) -> Option<&Verdict> {
        self.oracle.asked[&ticket].verdict.as_ref()
    }

    fn cancel(&mut self, u: &mut Unstructured) -> Result<()> {
        let owner = u.choose_index(INSTANCES)?;
        let ticket = u.int_in_range(0..=self.last_ticket)?;
        if !self.instances[owner].frozen {
            let actions = self.instances[owner].journal.cancel(ticket, self.now_ms);
            self.perform(owner, actions);
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
        let (owner, shard) = (self.calls[call].owner, self.calls[call].shard);
        if self.instances[owner].frozen || !self.is_waited_for(&self.calls[call]) {
            return;
        }
        self.calls[call].lost = true;
        let kind = self.calls[call].kind.clone();
        if failure == StoreFailure::Unavailable || self.calls[call].landed.is_some() {
            self.calls.remove(call);
        }
        let journal = &mut self.instances[owner].journal;
        let actions = match kind {
            StoreCall::ReadHead => journal.head_read(shard, Err(failure), self.now_ms),
            StoreCall::ReadArchive { .. } => journal.archive_read(shard, Err(failure), self.now_ms),
            StoreCall::WriteHead { .. } => journal.head_written(shard, Err(failure), self.now_ms),
            StoreCall::WriteArchive { .. } => {
                journal.archive_written(shard, Err(failure), self.now_ms)
            }
        };
        self.perform(owner, actions);
    }

    fn perform(&mut self, owner: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { shard, call } => self.calls.push(Call {
                    owner,
                    incarnation: self.instances[owner].incarnation,
                    shard,
                    kind: call,
                    sent_ms: self.now_ms,
                    landed: None,
                    lost: false,
                }),
                Action::DeleteArchive(archive) => self.store.delete_archive(&archive.name),
                Action::Permit { ticket } => self.instances[owner].permits.push(ticket),
                Action::Answer { ticket, verdict } => {
                    let refused = matches!(&verdict, Verdict::Refused(refusal)
                        if refusal.ran == Ran::No && refusal.code != Code::KeyReused);
                    if !refused && !matches!(verdict, Verdict::Recorded(_)) {
                        self.check_not_recorded(ticket);
                    }
                    check(self.oracle.answered(ticket, &verdict));
                }
            }
        }
    }

    /// A request whose answer is recorded neither runs nor stays in doubt.
    fn check_not_recorded(&self, ticket: Ticket) {
        let recorded = self
            .expected
            .iter()
            .find(|(other, _, until_ms)| *other == ticket && *until_ms > self.now_ms);
        assert!(
            recorded.is_none(),
            "request {ticket} did not get {recorded:?}"
        );
    }

    fn is_waited_for(&self, call: &Call) -> bool {
        !call.lost && self.instances[call.owner].incarnation == call.incarnation
    }

    fn position(&self, call: &Call) -> usize {
        let same = |other: &Call| std::ptr::eq(other, call);
        self.calls
            .iter()
            .position(same)
            .expect("a call in the list")
    }
}

fn check(judgement: std::result::Result<(), String>) {
    if let Err(violation) = judgement {
        panic!("{violation}");
    }
}
