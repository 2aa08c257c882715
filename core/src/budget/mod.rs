//! Budgets over the whole fleet: no organisation gets more than its rate and burst, over all
//! instances together and over any interval.
//!
//! A token can be spent in one place only. Each member of the [roster](crate::roster) has a share
//! of each budget and lends it for a short time to the budget's coordinator, which grants tokens
//! back by demand. Lender and borrower count the time of a loan or grant on their own monotonic
//! clocks, the borrower from its ask and the lender, with an allowance for drift, from its answer,
//! so that the borrower stops first whatever happens to either. Nothing here needs the store.
//!
//! Invariant of the fleet: the tokens that can be spent anywhere are never more than the burst,
//! and tokens are created at no more than the rate. A charge counts at the moment of
//! [`Budgets::charge`].
//!
//! ```
//! use mimosabay_core::budget::{BudgetSettings, Budgets, Charge, Limit};
//! use mimosabay_core::name::InstanceId;
//! use mimosabay_core::roster::Roster;
//!
//! let me = InstanceId::new("instance-1", 1);
//! let mut budgets = Budgets::new(me.clone(), BudgetSettings::default(), 0);
//! let limit = Limit { rate_per_s: 100.0, burst_tokens: 200.0 };
//! budgets.configure(&"clinic".into(), limit, 1, 0);
//! let roster = Roster::default().join(&me).unwrap();
//! let roster = roster.confirm(&me, roster.version).unwrap();
//! budgets.set_roster(&roster, 0, 0);
//!
//! assert_eq!(budgets.charge(&"clinic".into(), 7, 100, 0, 1_000), Charge::Granted);
//! budgets.settle(&"clinic".into(), 7, 60, 1_500);
//! ```

mod account;
mod charge;
mod demand;
mod holding;
mod loan;
mod low_water;
mod message;
mod pool;
mod reserve;
mod settings;
mod share;
mod wallet;

use std::collections::{BTreeMap, HashMap};

use crate::name::{InstanceId, Name};
use crate::rendezvous;
use crate::roster::Roster;
use account::{Account, Claim, Reach};
use pool::Pool;

pub use charge::Ticket;
pub use message::{Answer, Ask, BudgetMessage, LoanStatement, Refund, ReturnedLoan, Send};
pub use settings::{BudgetPolicy, BudgetSettings};

/// Rounds of messages to itself that one call handles.
const MAX_LOCAL_ROUNDS: usize = 4;
/// Time until a repeat is worth trying for an organisation that is not configured.
const UNKNOWN_RETRY_MS: u64 = 1_000;

crate::record! {
    /// Rate and burst of a budget.
    #[derive(Copy)]
    pub struct Limit {
        /// Tokens a second.
        pub rate_per_s: f64,
        /// Tokens that may be used at once after a pause.
        pub burst_tokens: f64,
    }
}

/// The outcome of a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The tokens are charged.
    Granted,
    /// The tokens are expected in time: try again with the same ticket after `wait_ms` or after
    /// the next message, whichever comes first.
    Wait {
        /// Time to wait.
        wait_ms: u64,
    },
    /// The tokens will not be there in time.
    Refused {
        /// When a repeat is worth trying, from now.
        retry_after_ms: u64,
    },
    /// This process is cut off: it may not use its share and has heard of no coordinator.
    Unavailable {
        /// When a repeat is worth trying, from now.
        retry_after_ms: u64,
    },
    /// More tokens than the burst; no repeat can succeed.
    TooLarge,
}

/// A budget as this process sees it.
#[derive(Debug)]
struct Budget {
    limit: Limit,
    /// Invariant: grows with each change of the limit.
    generation: u64,
    /// Whether the organisation is gone. The rest is kept until nothing is lent or held.
    is_removed: bool,
    policy: BudgetPolicy,
    account: Account,
    pool: Pool,
}

/// All budgets of this process, as a member and as a coordinator.
#[derive(Debug)]
pub struct Budgets {
    me: InstanceId,
    settings: BudgetSettings,
    by_organisation: BTreeMap<Name, Budget>,
    peers: HashMap<Name, InstanceId>,
    share: f64,
    /// Part of each burst that this process holds from the start of the site.
    founding_part: f64,
    /// Own time until which loans made under a larger share or by a removed member may be in use.
    shrunk_ms: u64,
    /// Version that this process acts on.
    version: u64,
    /// Own time until which all of its members count as alive, so that they are not given up before
    /// they were heard for the first time.
    gathering_until_ms: u64,
    /// The other members of that version with their shares.
    fellows: Vec<(InstanceId, f64)>,
    /// Own time until which this process is known to be on the roster.
    proven_until_ms: u64,
    /// Whether it is known now. Invariant: the same in every budget.
    is_proven: bool,
    /// Whether a peer knows a newer roster.
    is_behind: bool,
    last_ask: u64,
    /// Own time of the last call, to find pauses.
    called_ms: u64,
    has_left: bool,
}

impl Budgets {
    /// Builds the budgets of a process that is on no roster yet.
    pub fn new(me: InstanceId, settings: BudgetSettings, now_ms: u64) -> Self {
        Self {
            me,
            settings,
            by_organisation: BTreeMap::new(),
            peers: HashMap::new(),
            share: 0.0,
            founding_part: 0.0,
            shrunk_ms: 0,
            version: 0,
            gathering_until_ms: 0,
            fellows: Vec::new(),
            proven_until_ms: 0,
            is_proven: false,
            is_behind: false,
            last_ask: 0,
            called_ms: now_ms,
            has_left: false,
        }
    }

    /// Sets rate and burst of an organisation. An older generation is ignored.
    pub fn configure(&mut self, organisation: &Name, limit: Limit, generation: u64, now_ms: u64) {
        self.observe(now_ms);
        let share = self.share;
        let part = self.founding_part;
        let is_proven = self.is_proven;
        let policy = self.settings.policy;
        let budget = self
            .by_organisation
            .entry(organisation.clone())
            .or_insert_with(|| {
                let mut budget = Budget::new(policy, share, is_proven, limit, now_ms);
                budget.account.native.found(part, limit);
                budget
            });
        if generation > budget.generation {
            budget.generation = generation;
            budget.is_removed = false;
            budget.set_limit(limit, share, now_ms);
        }
    }

    /// Sets how the budget of an organisation is divided, if other than by the settings.
    pub fn set_policy(&mut self, organisation: &Name, policy: BudgetPolicy) {
        if let Some(budget) = self.by_organisation.get_mut(organisation) {
            budget.policy = policy;
        }
    }

    /// Removes an organisation: its requests are refused from now on.
    pub fn remove(&mut self, organisation: &Name, generation: u64, now_ms: u64) {
        self.observe(now_ms);
        let share = self.share;
        if let Some(budget) = self.by_organisation.get_mut(organisation)
            && generation > budget.generation
        {
            budget.generation = generation;
            budget.is_removed = true;
            budget.set_limit(Limit::NONE, share, now_ms);
        }
    }

    /// Takes in a roster that was asked of the store at `asked_ms`. An older one is ignored.
    pub fn set_roster(&mut self, roster: &Roster, asked_ms: u64, now_ms: u64) {
        self.observe(now_ms);
        if roster.version < self.version {
            return;
        }
        let confirmed = roster.member(&self.me).map_or(0, |me| me.confirmed_version);
        if roster.version > self.version && roster.removed_version > confirmed {
            let removal_ms = now_ms + self.settings.removal_ms();
            self.shrunk_ms = self.shrunk_ms.max(removal_ms);
        }
        if roster.version > self.version {
            self.gathering_until_ms = now_ms + self.settings.proof_ms();
        }
        self.version = roster.version;
        self.is_behind = false;
        let ids = roster.members.iter().map(|member| &member.id);
        let fellows = ids.filter(|id| **id != self.me);
        self.fellows = fellows
            .map(|id| (id.clone(), roster.share_of(id)))
            .collect();
        self.found(roster.founding_part(&self.me));
        self.set_share(roster.share_of(&self.me), now_ms);
        self.prove(asked_ms);
        if self.fellows.is_empty() {
            // Nobody else could use the share; only a pause ends this.
            self.proven_until_ms = u64::MAX;
        }
    }

    /// A peer has said, in answer to a question at `asked_ms`, which roster version it acts on.
    ///
    /// A share that is freed by a removal is used only some time after every remaining member
    /// acts on that version. So a fellow member that does not yet act on a newer version proves
    /// that the own share is still the own one; no store is needed for that.
    pub fn heard(&mut self, from: &InstanceId, version: u64, asked_ms: u64, now_ms: u64) {
        self.observe(now_ms);
        if version > self.version {
            self.is_behind = true;
        } else if self.fellows.iter().any(|(fellow, _)| fellow == from) {
            self.prove(asked_ms);
        }
    }

    /// Roster version that this process acts on, to be told to peers.
    pub fn roster_version(&self) -> u64 {
        self.version
    }

    /// Whether the roster should be read now: a newer one exists, or nobody proves this one.
    pub fn wants_roster(&self, now_ms: u64) -> bool {
        self.is_behind || now_ms >= self.proven_until_ms
    }

    /// Whether this process has a share or is lent by a coordinator, so that it can admit requests.
    /// While no organisation is known, only a share counts.
    pub fn has_part(&self, now_ms: u64) -> bool {
        if self.by_organisation.is_empty() {
            return self.share > 0.0;
        }
        let mut budgets = self.by_organisation.values();
        budgets.all(|budget| !budget.account.is_cut_off(&self.settings, now_ms))
    }

    /// Whether a fellow member should be asked for its version: the last proof ends soon.
    pub fn wants_proof(&self, now_ms: u64) -> bool {
        now_ms + self.settings.proof_ms() * 2 / 3 >= self.proven_until_ms
    }

    /// The roster version that may be confirmed: nothing of this process exceeds what it allows.
    pub fn confirmable_version(&self, now_ms: u64) -> Option<u64> {
        (now_ms >= self.shrunk_ms).then_some(self.version)
    }

    /// Sets the live processes, this one included unless it is leaving. They are the candidates
    /// for coordinator; instances that differ in this view do no harm.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = InstanceId>, now_ms: u64) {
        self.observe(now_ms);
        self.peers.clear();
        for budget in self.by_organisation.values_mut() {
            budget.account.hurry();
        }
        for peer in peers {
            let known = self.peers.entry(peer.name.clone()).or_insert(peer.clone());
            if known.incarnation < peer.incarnation {
                *known = peer;
            }
        }
    }

    /// Charges the request `ticket`, which may wait up to `max_wait_ms`.
    ///
    /// After [`Charge::Wait`] call [`Budgets::tick`] at once, so that the ask is sent. A charge
    /// counts from the moment of this call, so read the clock again after it: if the process was
    /// paused between reading `now_ms` and the return, give the charge up unused.
    pub fn charge(
        &mut self,
        organisation: &Name,
        ticket: Ticket,
        tokens: u64,
        max_wait_ms: u64,
        now_ms: u64,
    ) -> Charge {
        self.observe(now_ms);
        let next_ask = self.last_ask + 1;
        let has_left = self.has_left;
        let budget = self.by_organisation.get_mut(organisation);
        let Some(budget) = budget.filter(|budget| !budget.is_removed && !has_left) else {
            return Charge::UNKNOWN;
        };
        let claim = Claim {
            ticket,
            tokens: tokens as f64,
            max_wait_ms,
        };
        if claim.tokens > budget.limit.burst_tokens {
            budget.account.abandon(ticket);
            return Charge::TooLarge;
        }
        budget.account.advance(budget.limit, now_ms);
        if budget.account.try_charge(claim, next_ask, now_ms) {
            return Charge::Granted;
        }
        self.wait(organisation, claim, now_ms)
    }

    /// Lets a request wait whose tokens are not here, or refuses it.
    fn wait(&mut self, organisation: &Name, claim: Claim, now_ms: u64) -> Charge {
        let reach = self.reach(organisation, now_ms);
        let Some(budget) = self.by_organisation.get_mut(organisation) else {
            return Charge::UNKNOWN;
        };
        let charge = budget
            .account
            .wait(claim, budget.limit, &self.settings, reach, now_ms);
        match charge {
            Charge::Refused { retry_after_ms }
                if budget.account.is_cut_off(&self.settings, now_ms) =>
            {
                Charge::Unavailable { retry_after_ms }
            }
            charge => charge,
        }
    }

    /// Ends the charge of `ticket`: `used` tokens were really used.
    ///
    /// What was not used comes back as far as it would have fitted below the burst ever since
    /// the charge; what was used beyond the charge is taken with the next one.
    ///
    /// Returns whether [`Budgets::tick`] should be called soon, because much comes back.
    pub fn settle(&mut self, organisation: &Name, ticket: Ticket, used: u64, now_ms: u64) -> bool {
        self.observe(now_ms);
        let Some(budget) = self.by_organisation.get_mut(organisation) else {
            return false;
        };
        budget.account.advance(budget.limit, now_ms);
        budget.account.settle(ticket, used as f64, budget.limit);
        budget.account.has_large_refund(budget.limit)
    }

    /// The request `ticket` no longer waits.
    pub fn abandon(&mut self, organisation: &Name, ticket: Ticket) {
        if let Some(budget) = self.by_organisation.get_mut(organisation) {
            budget.account.abandon(ticket);
        }
    }

    /// Takes in a message of another process.
    pub fn on_message(
        &mut self,
        from: &InstanceId,
        message: BudgetMessage,
        now_ms: u64,
    ) -> Vec<Send> {
        self.observe(now_ms);
        let mut outbox = Outbox::default();
        self.handle(from, message, &mut outbox, now_ms);
        self.deliver(outbox, now_ms)
    }

    /// Sends what is due. Cheap when nothing is.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Send> {
        self.observe(now_ms);
        let mut outbox = Outbox::default();
        if !self.has_left {
            self.ask_all(&mut outbox, now_ms);
        }
        self.forget_removed(now_ms);
        self.deliver(outbox, now_ms)
    }

    /// Ends this process's part in all budgets: gives back grants and loans, and refuses every
    /// charge from now on. Charges made before can still be settled.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Send> {
        self.observe(now_ms);
        self.has_left = true;
        let mut outbox = Outbox::default();
        self.give_back_all(&mut outbox, now_ms);
        self.deliver(outbox, now_ms)
    }

    /// Whether [`Budgets::leave`] was called.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// The coordinator of an organisation, as this process sees it.
    pub fn coordinator(&self, organisation: &Name) -> Option<&InstanceId> {
        let budget = self.by_organisation.get(organisation)?;
        if budget.policy == BudgetPolicy::StaticShare {
            return None;
        }
        let names = self.peers.keys().map(|name| &**name);
        let chosen = rendezvous::choose(organisation, names)?;
        self.peers.get(chosen)
    }

    fn reach(&self, organisation: &Name, now_ms: u64) -> Reach {
        match self.coordinator(organisation) {
            Some(_) => Reach::Coordinator {
                live_share: self.live_share(now_ms),
            },
            None => Reach::OwnShare,
        }
    }

    /// Sum of the shares of the members that live; the whole while this process knows no shares.
    fn live_share(&self, now_ms: u64) -> f64 {
        if self.share <= 0.0 {
            return 1.0;
        }
        let is_gathering = now_ms < self.gathering_until_ms;
        let live = self.fellows.iter();
        let live = live.filter(|(id, _)| is_gathering || self.peers.get(&id.name) == Some(id));
        self.share + live.map(|(_, share)| share).sum::<f64>()
    }

    /// Takes note of the part of each burst that was never used by anyone else.
    fn found(&mut self, part: f64) {
        if self.founding_part >= part {
            return;
        }
        self.founding_part = part;
        for budget in self.by_organisation.values_mut() {
            budget.account.native.found(part, budget.limit);
        }
    }

    fn set_share(&mut self, share: f64, now_ms: u64) {
        let shrinks = share < self.share;
        self.share = share;
        for budget in self.by_organisation.values_mut() {
            if shrinks {
                self.shrunk_ms = self.shrunk_ms.max(budget.account.native.reclaim_ms());
            }
            budget.account.native.advance(budget.limit, now_ms);
            budget.account.native.resize(share, budget.limit);
        }
    }

    /// Ends the proof if it is too old, or if the process was paused and stands alone.
    fn observe(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.called_ms);
        self.called_ms = self.called_ms.max(now_ms);
        if self.proven_until_ms == u64::MAX && passed_ms >= self.settings.proof_ms() {
            self.proven_until_ms = 0;
        }
        self.apply_proof();
    }

    fn prove(&mut self, asked_ms: u64) {
        let until_ms = asked_ms + self.settings.proof_ms();
        self.proven_until_ms = match self.proven_until_ms {
            u64::MAX => until_ms,
            earlier_ms => earlier_ms.max(until_ms),
        };
        self.apply_proof();
    }

    fn apply_proof(&mut self) {
        let is_proven = self.called_ms < self.proven_until_ms;
        if is_proven != self.is_proven {
            self.is_proven = is_proven;
            for budget in self.by_organisation.values_mut() {
                budget.account.native.set_proven(is_proven);
            }
        }
    }

    fn ask_all(&mut self, outbox: &mut Outbox, now_ms: u64) {
        let organisations: Vec<Name> = self.by_organisation.keys().cloned().collect();
        for organisation in organisations {
            let Some(coordinator) = self.coordinator(&organisation).cloned() else {
                continue;
            };
            let Some(budget) = self.by_organisation.get_mut(&organisation) else {
                continue;
            };
            budget.account.advance(budget.limit, now_ms);
            let settings = &self.settings;
            let limit = budget.limit;
            let is_due = budget.account.is_due(&coordinator, limit, settings, now_ms);
            if budget.is_removed || !is_due {
                continue;
            }
            let borrower = budget.account.native.lent_to().cloned();
            if let Some(borrower) = borrower.filter(|borrower| *borrower != coordinator) {
                self.last_ask += 1;
                let ask = self.last_ask;
                let recall = budget.account.recall(&organisation, &borrower, ask, now_ms);
                outbox.ask(&borrower, recall);
            }
            self.last_ask += 1;
            let ask = self.last_ask;
            let account = &mut budget.account;
            let ask = account.ask(&organisation, &coordinator, ask, settings, now_ms);
            outbox.ask(&coordinator, ask);
        }
    }

    fn give_back_all(&mut self, outbox: &mut Outbox, now_ms: u64) {
        let organisations: Vec<Name> = self.by_organisation.keys().cloned().collect();
        for organisation in organisations {
            let coordinator = self.coordinator(&organisation).cloned();
            let Some(budget) = self.by_organisation.get_mut(&organisation) else {
                continue;
            };
            budget.advance(now_ms);
            for (lender, loan) in budget.pool.give_back_all(budget.limit) {
                outbox.answer(&lender, Answer::returning(&organisation, loan));
            }
            let Some(coordinator) = coordinator.filter(|coordinator| *coordinator != self.me)
            else {
                continue;
            };
            self.last_ask += 1;
            let ask = self.last_ask;
            let account = &mut budget.account;
            let last = account.last_ask(&organisation, &coordinator, ask, &self.settings, now_ms);
            outbox.ask(&coordinator, last);
        }
    }

    fn handle(
        &mut self,
        from: &InstanceId,
        message: BudgetMessage,
        outbox: &mut Outbox,
        now_ms: u64,
    ) {
        match message {
            BudgetMessage::Asks(asks) => {
                for ask in asks {
                    self.handle_ask(from, ask, outbox, now_ms);
                }
            }
            BudgetMessage::Answers(answers) => {
                for answer in answers {
                    self.handle_answer(from, &answer, now_ms);
                }
            }
        }
    }

    fn handle_ask(&mut self, from: &InstanceId, mut ask: Ask, outbox: &mut Outbox, now_ms: u64) {
        let Some(budget) = self.by_organisation.get_mut(&ask.organisation) else {
            return;
        };
        budget.advance(now_ms);
        if self.has_left
            && let Some(loan) = &mut ask.loan
        {
            loan.recall = true;
        }
        let limit = budget.limit;
        let answer = budget
            .pool
            .answer(from, &ask, limit, &self.settings, now_ms);
        if let Some(answer) = answer {
            outbox.answer(from, answer);
        }
    }

    fn handle_answer(&mut self, from: &InstanceId, answer: &Answer, now_ms: u64) {
        if let Some(budget) = self.by_organisation.get_mut(&answer.organisation) {
            budget.account.advance(budget.limit, now_ms);
            let limit = budget.limit;
            let account = &mut budget.account;
            account.answered(from, answer, limit, &self.settings, now_ms);
        }
    }

    /// Handles what this process sends to itself and returns the rest.
    fn deliver(&mut self, mut outbox: Outbox, now_ms: u64) -> Vec<Send> {
        let me = self.me.clone();
        for _ in 0..MAX_LOCAL_ROUNDS {
            let local = outbox.take(&me);
            if local.is_empty() {
                break;
            }
            for message in local {
                self.handle(&me, message, &mut outbox, now_ms);
            }
        }
        outbox.into_sends()
    }

    fn forget_removed(&mut self, now_ms: u64) {
        self.by_organisation.retain(|_, budget| {
            if budget.is_removed {
                budget.advance(now_ms);
            }
            !(budget.is_removed && budget.account.is_idle() && budget.pool.is_idle())
        });
    }
}

impl Charge {
    /// The outcome for an organisation that is not configured here.
    const UNKNOWN: Self = Self::Refused {
        retry_after_ms: UNKNOWN_RETRY_MS,
    };
}

impl Limit {
    /// The limit of an organisation that is gone.
    const NONE: Self = Self {
        rate_per_s: 0.0,
        burst_tokens: 0.0,
    };
}

impl Budget {
    fn new(policy: BudgetPolicy, share: f64, is_proven: bool, limit: Limit, now_ms: u64) -> Self {
        let mut account = Account::new(share, limit, now_ms);
        account.native.set_proven(is_proven);
        Self {
            limit,
            generation: 0,
            is_removed: false,
            policy,
            account,
            pool: Pool::new(now_ms),
        }
    }

    fn advance(&mut self, now_ms: u64) {
        self.account.advance(self.limit, now_ms);
        self.pool.advance(self.limit, now_ms);
    }

    fn set_limit(&mut self, limit: Limit, share: f64, now_ms: u64) {
        self.advance(now_ms);
        self.limit = limit;
        self.account.native.resize(share, limit);
        self.pool.resize(limit);
    }
}

/// Messages by receiver.
#[derive(Default)]
struct Outbox {
    asks: BTreeMap<InstanceId, Vec<Ask>>,
    answers: BTreeMap<InstanceId, Vec<Answer>>,
}

impl Outbox {
    fn ask(&mut self, to: &InstanceId, ask: Ask) {
        self.asks.entry(to.clone()).or_default().push(ask);
    }

    fn answer(&mut self, to: &InstanceId, answer: Answer) {
        self.answers.entry(to.clone()).or_default().push(answer);
    }

    fn take(&mut self, to: &InstanceId) -> Vec<BudgetMessage> {
        let asks = self.asks.remove(to).map(BudgetMessage::Asks);
        let answers = self.answers.remove(to).map(BudgetMessage::Answers);
        asks.into_iter().chain(answers).collect()
    }

    fn into_sends(self) -> Vec<Send> {
        let asks = self.asks.into_iter();
        let answers = self.answers.into_iter();
        asks.map(|(to, asks)| (to, BudgetMessage::Asks(asks)))
            .chain(answers.map(|(to, answers)| (to, BudgetMessage::Answers(answers))))
            .map(|(to, message)| Send { to, message })
            .collect()
    }
}
