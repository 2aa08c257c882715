//! Token budgets shared by all instances: no organisation gets more than its rate and burst, summed
//! over all instances and over any interval.
//!
//! A token can be spent on one instance only. Each member of the [roster](crate::roster) has a
//! share of each budget and lends it for a short time to the budget's coordinator, which grants
//! tokens by demand. Lender and borrower measure the duration of a loan or grant on their own
//! monotonic clocks, the borrower from its request and the lender, with an allowance for drift,
//! from its response, so the borrower stops first whatever fails. This needs no access to the
//! store.
//!
//! Invariant over all instances: the tokens that can be spent anywhere never exceed the burst, and
//! tokens are created at no more than the rate. A charge counts from the call of
//! [`Budgets::charge`].
//!
//! ```
//! use mimosabay_core::budget::{BudgetSettings, Budgets, Charge, Limit};
//! use mimosabay_core::name::InstanceId;
//! use mimosabay_core::roster::Roster;
//!
//! let own_id = InstanceId::new("instance-1", 1);
//! let mut budgets = Budgets::new(own_id.clone(), BudgetSettings::default(), 0);
//! let limit = Limit { rate_per_s: 100.0, burst_tokens: 200.0 };
//! budgets.configure(&"clinic".into(), limit, 1, 0);
//! let roster = Roster::default().join(&own_id).unwrap();
//! let roster = roster.confirm(&own_id, roster.version).unwrap();
//! budgets.set_roster(&roster, 0, 0);
//!
//! assert_eq!(budgets.charge(&"clinic".into(), 7, 100, 0, 1_000), Charge::Granted);
//! budgets.settle(&"clinic".into(), 7, 60, 1_500);
//! ```

mod account;
mod charge;
mod demand;
mod exchange;
mod granted_tokens;
mod holding;
mod loan;
mod message;
mod pool;
mod reserve;
mod settings;
mod share;
mod suffix_minimum;

use std::collections::{BTreeMap, HashMap};

use crate::name::{InstanceId, Name};
use crate::rendezvous;
use crate::roster::Roster;
use account::{Account, ChargeRequest, TokenSupply};
use exchange::Outbox;
use pool::Pool;

pub use charge::Ticket;
pub use message::{
    BudgetMessage, LoanStatement, OutgoingMessage, Refund, ReturnedLoan, TokenRequest,
    TokenResponse,
};
pub use settings::{BudgetPolicy, BudgetSettings};

/// Retry delay reported for an organisation that is not configured.
const UNKNOWN_ORGANISATION_RETRY_MS: u64 = 1_000;

crate::record! {
    /// Rate and burst of a budget.
    #[derive(Copy)]
    pub struct Limit {
        /// Tokens per second.
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
    /// The tokens are expected in time: try again with the same ticket after `wait_ms` or after the
    /// next message, whichever comes first.
    Wait {
        /// Time until the next attempt.
        wait_ms: u64,
    },
    /// The tokens will not be available in time.
    Refused {
        /// Time from now after which the caller may retry.
        retry_after_ms: u64,
    },
    /// This process may not use its share and has no recent response from a coordinator with lent
    /// shares.
    Unavailable {
        /// Time from now after which the caller may retry.
        retry_after_ms: u64,
    },
    /// The request needs more tokens than the burst; no retry can succeed.
    TooLarge,
}

/// This process's state of one budget.
#[derive(Debug)]
struct Budget {
    limit: Limit,
    /// Invariant: grows with each change of the limit.
    generation: u64,
    /// Whether the organisation is removed. The rest is kept until nothing is lent or held.
    is_removed: bool,
    policy: BudgetPolicy,
    account: Account,
    pool: Pool,
}

/// All budgets of this process, as a member and as a coordinator.
#[derive(Debug)]
pub struct Budgets {
    own_id: InstanceId,
    settings: BudgetSettings,
    by_organisation: BTreeMap<Name, Budget>,
    peers: HashMap<Name, InstanceId>,
    share: f64,
    /// Fraction of each burst that this process holds from the bootstrap of the site.
    initial_share: f64,
    /// Local time until which loans made under a larger share or by a removed member may be in use.
    old_loans_until_ms: u64,
    /// Roster version that this process acts on.
    version: u64,
    /// Local time until which all members of that version count as live, so that they are not
    /// treated as failed before the first contact.
    assume_live_until_ms: u64,
    /// The other members of that version with their shares.
    other_members: Vec<(InstanceId, f64)>,
    /// Local time until which this process is known to be on the roster.
    share_valid_until_ms: u64,
    /// Whether it is known now. Invariant: the same in every budget.
    is_share_valid: bool,
    /// Whether a peer has reported a newer roster version.
    is_behind: bool,
    last_request_number: u64,
    /// Local time of the last call, used to detect pauses of the process.
    last_call_ms: u64,
    has_left: bool,
}

impl Budgets {
    /// Creates the budgets of a process that is on no roster yet.
    pub fn new(own_id: InstanceId, settings: BudgetSettings, now_ms: u64) -> Self {
        Self {
            own_id,
            settings,
            by_organisation: BTreeMap::new(),
            peers: HashMap::new(),
            share: 0.0,
            initial_share: 0.0,
            old_loans_until_ms: 0,
            version: 0,
            assume_live_until_ms: 0,
            other_members: Vec::new(),
            share_valid_until_ms: 0,
            is_share_valid: false,
            is_behind: false,
            last_request_number: 0,
            last_call_ms: now_ms,
            has_left: false,
        }
    }

    /// Sets rate and burst of an organisation. An older generation is ignored.
    pub fn configure(&mut self, organisation: &Name, limit: Limit, generation: u64, now_ms: u64) {
        self.observe_time(now_ms);
        let share = self.share;
        let fraction = self.initial_share;
        let is_share_valid = self.is_share_valid;
        let policy = self.settings.policy;
        let budget = self
            .by_organisation
            .entry(organisation.clone())
            .or_insert_with(|| {
                let mut budget = Budget::new(policy, share, is_share_valid, limit, now_ms);
                budget.account.own_share.set_initial_share(fraction, limit);
                budget
            });
        if generation > budget.generation {
            budget.generation = generation;
            budget.is_removed = false;
            budget.set_limit(limit, share, now_ms);
        }
    }

    /// Sets how the budget of an organisation is divided, overriding the settings.
    pub fn set_policy(&mut self, organisation: &Name, policy: BudgetPolicy) {
        if let Some(budget) = self.by_organisation.get_mut(organisation) {
            budget.policy = policy;
        }
    }

    /// Removes an organisation: its requests are refused from now on.
    pub fn remove(&mut self, organisation: &Name, generation: u64, now_ms: u64) {
        self.observe_time(now_ms);
        let share = self.share;
        if let Some(budget) = self.by_organisation.get_mut(organisation)
            && generation > budget.generation
        {
            budget.generation = generation;
            budget.is_removed = true;
            budget.set_limit(Limit::NONE, share, now_ms);
        }
    }

    /// Applies a roster that was requested from the store at `requested_ms`. An older one is
    /// ignored.
    pub fn set_roster(&mut self, roster: &Roster, requested_ms: u64, now_ms: u64) {
        self.observe_time(now_ms);
        if roster.version < self.version {
            return;
        }
        let confirmed = roster
            .member(&self.own_id)
            .map_or(0, |member| member.confirmed_version);
        if roster.version > self.version && roster.removed_version > confirmed {
            let removal_ms = now_ms + self.settings.removal_ms();
            self.old_loans_until_ms = self.old_loans_until_ms.max(removal_ms);
        }
        if roster.version > self.version {
            self.assume_live_until_ms = now_ms + self.settings.validity_ms();
        }
        self.version = roster.version;
        self.is_behind = false;
        let ids = roster.members.iter().map(|member| &member.id);
        let other_members = ids.filter(|id| **id != self.own_id);
        self.other_members = other_members
            .map(|id| (id.clone(), roster.share_of(id)))
            .collect();
        self.set_initial_share(roster.initial_share(&self.own_id));
        self.set_share(roster.share_of(&self.own_id), now_ms);
        self.extend_validity(requested_ms);
        if self.other_members.is_empty() {
            // No other process can use the share; only a pause of this process ends its validity.
            self.share_valid_until_ms = u64::MAX;
        }
    }

    /// Records the roster version that a peer reported in response to a request sent at
    /// `requested_ms`; 0 if the report is no response.
    ///
    /// A share freed by a removal is used only some time after every remaining member acts on that
    /// version. So a member that does not yet act on a newer version confirms that this process's
    /// share is still valid; this needs no access to the store.
    pub fn record_peer_version(
        &mut self,
        from: &InstanceId,
        version: u64,
        requested_ms: u64,
        now_ms: u64,
    ) {
        self.observe_time(now_ms);
        if version > self.version {
            self.is_behind = true;
        } else if self.other_members.iter().any(|(member, _)| member == from) {
            self.extend_validity(requested_ms);
        }
    }

    /// Roster version that this process acts on, to report to peers.
    pub fn roster_version(&self) -> u64 {
        self.version
    }

    /// Whether the roster should be read now: a newer one exists, or the validity of the own share
    /// has ended.
    pub fn needs_roster_read(&self, now_ms: u64) -> bool {
        self.is_behind || now_ms >= self.share_valid_until_ms
    }

    /// Whether this process can use its share or has tokens available from a coordinator, so that
    /// it can admit requests. While no organisation is known, only a share counts.
    pub fn can_admit_requests(&self, now_ms: u64) -> bool {
        if self.by_organisation.is_empty() {
            return self.share > 0.0;
        }
        let mut budgets = self.by_organisation.values();
        budgets.all(|budget| !budget.account.has_no_supply(&self.settings, now_ms))
    }

    /// Whether another member should be asked for its roster version, because the validity of the
    /// own share ends soon.
    pub fn needs_validation(&self, now_ms: u64) -> bool {
        now_ms + self.settings.validity_ms() * 2 / 3 >= self.share_valid_until_ms
    }

    /// The roster version that this process may confirm: nothing that it uses or lends exceeds what
    /// that version allows.
    pub fn confirmable_version(&self, now_ms: u64) -> Option<u64> {
        (now_ms >= self.old_loans_until_ms).then_some(self.version)
    }

    /// Sets the live processes, including this one unless it is leaving. They are the candidates
    /// for coordinator; instances may safely disagree on this list.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = InstanceId>, now_ms: u64) {
        self.observe_time(now_ms);
        self.peers.clear();
        for budget in self.by_organisation.values_mut() {
            budget.account.expedite_request();
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
    /// After [`Charge::Wait`] call [`Budgets::tick`] at once, so that the token request is sent. A
    /// charge counts from this call, so read the clock again afterwards: if the process was paused
    /// between reading `now_ms` and the return, settle the charge as unused.
    pub fn charge(
        &mut self,
        organisation: &Name,
        ticket: Ticket,
        tokens: u64,
        max_wait_ms: u64,
        now_ms: u64,
    ) -> Charge {
        self.observe_time(now_ms);
        let next_request = self.last_request_number + 1;
        let has_left = self.has_left;
        let budget = self.by_organisation.get_mut(organisation);
        let Some(budget) = budget.filter(|budget| !budget.is_removed && !has_left) else {
            return Charge::UNKNOWN;
        };
        let charge_request = ChargeRequest {
            ticket,
            tokens: tokens as f64,
            max_wait_ms,
        };
        if charge_request.tokens > budget.limit.burst_tokens {
            budget.account.abandon(ticket);
            return Charge::TooLarge;
        }
        budget.account.advance(budget.limit, now_ms);
        if budget
            .account
            .try_charge(charge_request, next_request, now_ms)
        {
            return Charge::Granted;
        }
        self.wait_or_refuse(organisation, charge_request, now_ms)
    }

    /// Queues a request that lacks tokens, or refuses it.
    fn wait_or_refuse(
        &mut self,
        organisation: &Name,
        charge_request: ChargeRequest,
        now_ms: u64,
    ) -> Charge {
        let supply = self.supply(organisation, now_ms);
        let Some(budget) = self.by_organisation.get_mut(organisation) else {
            return Charge::UNKNOWN;
        };
        let charge = budget.account.wait_or_refuse(
            charge_request,
            budget.limit,
            &self.settings,
            supply,
            now_ms,
        );
        match charge {
            Charge::Refused { retry_after_ms }
                if budget.account.has_no_supply(&self.settings, now_ms) =>
            {
                Charge::Unavailable { retry_after_ms }
            }
            charge => charge,
        }
    }

    /// Settles the charge of `ticket`, of which `used` tokens were used.
    ///
    /// Unused tokens are refunded as far as they would have fitted below the burst at every moment
    /// since the charge; tokens used beyond the charge are added to the next one.
    ///
    /// Returns whether [`Budgets::tick`] should be called soon, because the refund is large.
    pub fn settle(&mut self, organisation: &Name, ticket: Ticket, used: u64, now_ms: u64) -> bool {
        self.observe_time(now_ms);
        let Some(budget) = self.by_organisation.get_mut(organisation) else {
            return false;
        };
        budget.account.advance(budget.limit, now_ms);
        budget.account.settle(ticket, used as f64, budget.limit);
        budget.account.has_large_refund(budget.limit)
    }

    /// Removes the request `ticket` from the queue.
    pub fn abandon(&mut self, organisation: &Name, ticket: Ticket) {
        if let Some(budget) = self.by_organisation.get_mut(organisation) {
            budget.account.abandon(ticket);
        }
    }

    /// Handles a message from another process and returns the messages to send.
    pub fn on_message(
        &mut self,
        from: &InstanceId,
        message: BudgetMessage,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        self.observe_time(now_ms);
        let mut outbox = Outbox::default();
        self.handle(from, message, &mut outbox, now_ms);
        self.deliver_local(outbox, now_ms)
    }

    /// Returns the messages that are due. Cheap when none are.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OutgoingMessage> {
        self.observe_time(now_ms);
        let mut outbox = Outbox::default();
        if !self.has_left {
            self.send_requests(&mut outbox, now_ms);
        }
        self.drop_removed(now_ms);
        self.deliver_local(outbox, now_ms)
    }

    /// Ends this process's participation in all budgets: returns grants and loans, and refuses
    /// every charge from now on. Earlier charges can still be settled.
    pub fn leave(&mut self, now_ms: u64) -> Vec<OutgoingMessage> {
        self.observe_time(now_ms);
        self.has_left = true;
        let mut outbox = Outbox::default();
        self.return_grants_and_loans(&mut outbox, now_ms);
        self.deliver_local(outbox, now_ms)
    }

    /// Whether [`Budgets::leave`] was called.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// The coordinator of an organisation in this process's view; `None` if there is none.
    pub fn coordinator(&self, organisation: &Name) -> Option<&InstanceId> {
        let budget = self.by_organisation.get(organisation)?;
        if budget.policy == BudgetPolicy::StaticShare {
            return None;
        }
        let names = self.peers.keys().map(|name| &**name);
        let chosen = rendezvous::choose(organisation, names)?;
        self.peers.get(chosen)
    }

    fn supply(&self, organisation: &Name, now_ms: u64) -> TokenSupply {
        match self.coordinator(organisation) {
            Some(_) => TokenSupply::Coordinator {
                live_share: self.live_share(now_ms),
            },
            None => TokenSupply::OwnShare,
        }
    }

    /// Sum of the shares of the live members; 1 while this process has no share.
    fn live_share(&self, now_ms: u64) -> f64 {
        if self.share <= 0.0 {
            return 1.0;
        }
        let assumes_live = now_ms < self.assume_live_until_ms;
        let live = self.other_members.iter();
        let live = live.filter(|(id, _)| assumes_live || self.peers.get(&id.name) == Some(id));
        self.share + live.map(|(_, share)| share).sum::<f64>()
    }

    /// Sets the fraction of each burst that no other process has used.
    fn set_initial_share(&mut self, fraction: f64) {
        if self.initial_share >= fraction {
            return;
        }
        self.initial_share = fraction;
        for budget in self.by_organisation.values_mut() {
            budget
                .account
                .own_share
                .set_initial_share(fraction, budget.limit);
        }
    }

    fn set_share(&mut self, share: f64, now_ms: u64) {
        let shrinks = share < self.share;
        self.share = share;
        for budget in self.by_organisation.values_mut() {
            if shrinks {
                self.old_loans_until_ms = self
                    .old_loans_until_ms
                    .max(budget.account.own_share.reclaim_ms());
            }
            budget.account.own_share.advance(budget.limit, now_ms);
            budget.account.own_share.resize(share, budget.limit);
        }
    }

    /// Ends the validity of the own share once it has expired, or if the process was paused and is
    /// the only member.
    fn observe_time(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.last_call_ms);
        self.last_call_ms = self.last_call_ms.max(now_ms);
        if self.share_valid_until_ms == u64::MAX && passed_ms >= self.settings.validity_ms() {
            self.share_valid_until_ms = 0;
        }
        self.apply_validity();
    }

    fn extend_validity(&mut self, requested_ms: u64) {
        let until_ms = requested_ms + self.settings.validity_ms();
        self.share_valid_until_ms = match self.share_valid_until_ms {
            u64::MAX => until_ms,
            earlier_ms => earlier_ms.max(until_ms),
        };
        self.apply_validity();
    }

    fn apply_validity(&mut self) {
        let is_share_valid = self.last_call_ms < self.share_valid_until_ms;
        if is_share_valid != self.is_share_valid {
            self.is_share_valid = is_share_valid;
            for budget in self.by_organisation.values_mut() {
                budget.account.own_share.set_valid(is_share_valid);
            }
        }
    }

    fn drop_removed(&mut self, now_ms: u64) {
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
        retry_after_ms: UNKNOWN_ORGANISATION_RETRY_MS,
    };
}

impl Limit {
    /// The limit of a removed organisation.
    const NONE: Self = Self {
        rate_per_s: 0.0,
        burst_tokens: 0.0,
    };
}

impl Budget {
    fn new(
        policy: BudgetPolicy,
        share: f64,
        is_share_valid: bool,
        limit: Limit,
        now_ms: u64,
    ) -> Self {
        let mut account = Account::new(share, limit, now_ms);
        account.own_share.set_valid(is_share_valid);
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
        self.account.own_share.resize(share, limit);
        self.pool.resize(limit);
    }
}
