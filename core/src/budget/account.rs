//! A member's side of one budget.

use super::charge::{OpenCharges, Piece, Source, Ticket, Waiters};
use super::demand::Demand;
use super::message::{Answer, Ask};
use super::reserve::{EPSILON_TOKENS, Reserve, UNKNOWN_WAIT_MS};
use super::settings::BudgetSettings;
use super::share::NativeShare;
use super::wallet::Wallet;
use super::{Charge, Limit};
use crate::name::{InstanceId, Name};
use crate::rounding::seconds_to_ms;

/// Shortest and longest time until a waiting request is to be tried again.
const MIN_WAIT_MS: u64 = 2;
const MAX_WAIT_MS: u64 = 50;
/// Shortest time between two asks while the same requests wait.
const URGENT_GAP_MS: u64 = 20;
/// Asks of another member until it has given back what it holds for later: it hears with the first
/// that tokens are scarce.
const GIVE_BACK_ASKS: u64 = 2;
/// Part of the wanted tokens above which a member gives tokens back.
const KEEP_FACTOR: f64 = 1.5;
/// Part of the burst from which on unused tokens are given back at once: a request elsewhere may be
/// refused for want of them.
const LARGE_REFUND_PART: f64 = 0.05;

/// What a coordinator said of its pool.
#[derive(Debug)]
struct Told {
    by: InstanceId,
    /// Own time of the ask.
    asked_ms: u64,
    /// Own time of the answer.
    heard_ms: u64,
    /// Coordinator's time of its ask for the share.
    loan_asked_ms: u64,
    free_tokens: f64,
    lent_share: f64,
    /// Tokens that other members hold, which give them back when some are waited for.
    elsewhere_tokens: f64,
    scarce: bool,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) ticket: Ticket,
    pub(super) tokens: f64,
    pub(super) max_wait_ms: u64,
}

/// Where a member can get tokens.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reach {
    /// Only from its own share.
    OwnShare,
    /// From the coordinator, to whom the members that live lend `live_share` together.
    Coordinator { live_share: f64 },
}

/// A member's side of one budget.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) native: NativeShare,
    wallets: Vec<Wallet>,
    charges: OpenCharges,
    waiters: Waiters,
    demand: Demand,
    /// Tokens that were used beyond their charge and are taken with the next one.
    debt_tokens: f64,
    /// What the coordinator said last.
    told: Option<Told>,
    /// Backlog that the coordinator was told with the last ask.
    asked_backlog_tokens: f64,
    asked_ms: u64,
    /// Whether the state changed so that an ask should not wait for its time.
    urgent: bool,
    /// Unused tokens that no coordinator was told of yet.
    untold_refund_tokens: f64,
}

impl Account {
    pub(super) fn new(share: f64, limit: Limit, now_ms: u64) -> Self {
        Self {
            native: NativeShare::empty(share, limit, now_ms),
            wallets: Vec::new(),
            charges: OpenCharges::default(),
            waiters: Waiters::default(),
            demand: Demand::new(now_ms),
            debt_tokens: 0.0,
            told: None,
            asked_backlog_tokens: 0.0,
            asked_ms: 0,
            urgent: false,
            untold_refund_tokens: 0.0,
        }
    }

    /// Refills and drops what has expired.
    pub(super) fn advance(&mut self, limit: Limit, now_ms: u64) {
        self.native.advance(limit, now_ms);
        for wallet in &mut self.wallets {
            wallet.expire(now_ms);
        }
        self.wallets.retain(|wallet| !wallet.is_forgotten(now_ms));
        self.waiters.expire(now_ms);
    }

    /// Charges a request if its tokens are here; returns whether they are. Call after
    /// [`Account::advance`].
    pub(super) fn try_charge(&mut self, claim: Claim, next_ask: u64, now_ms: u64) -> bool {
        let is_here = self.missing_tokens(claim) <= EPSILON_TOKENS;
        if is_here {
            self.take(claim.ticket, claim.tokens, next_ask, now_ms);
        }
        is_here
    }

    /// Lets a request wait whose tokens are not here, or refuses it.
    pub(super) fn wait(
        &mut self,
        claim: Claim,
        limit: Limit,
        settings: &BudgetSettings,
        reach: Reach,
        now_ms: u64,
    ) -> Charge {
        let ticket = claim.ticket;
        let missing = self.missing_tokens(claim);
        let since_ms = self.waiters.since_ms(ticket).unwrap_or(now_ms);
        let waited_ms = now_ms - since_ms;
        let expected_wait_ms =
            self.expected_wait_ms(missing, waited_ms, limit, settings, reach, now_ms);
        let is_late = expected_wait_ms > claim.max_wait_ms;
        let is_certain = self.knows_enough(since_ms, reach, settings, now_ms);
        if claim.max_wait_ms == 0 || (is_late && is_certain) {
            self.waiters.leave(ticket);
            let retry_after_ms = expected_wait_ms.max(MAX_WAIT_MS);
            return Charge::Refused { retry_after_ms };
        }
        self.waiters.wait(ticket, claim.tokens, now_ms);
        self.urgent = true;
        let wait_ms = expected_wait_ms
            .clamp(MIN_WAIT_MS, MAX_WAIT_MS)
            .min(claim.max_wait_ms);
        Charge::Wait { wait_ms }
    }

    /// Ends a charge of which `used` tokens were used.
    pub(super) fn settle(&mut self, ticket: Ticket, used: f64, limit: Limit) {
        let Some(settled) = self.charges.settle(ticket, used) else {
            return;
        };
        self.debt_tokens = (self.debt_tokens + settled.beyond_tokens).min(limit.burst_tokens);
        self.untold_refund_tokens += settled.refund_tokens;
        for piece in settled.native {
            if let Source::Native { epoch, mark } = piece.source {
                self.native.refund(epoch, mark, piece.tokens);
            }
        }
    }

    /// Whether so many unused tokens are kept from others that an ask should not wait for its time.
    pub(super) fn has_large_refund(&self, limit: Limit) -> bool {
        self.untold_refund_tokens > limit.burst_tokens * LARGE_REFUND_PART
    }

    /// Whether neither the own share nor a coordinator can give tokens.
    pub(super) fn is_cut_off(&self, settings: &BudgetSettings, now_ms: u64) -> bool {
        let can_grant =
            |told: &Told| told.lent_share > 0.0 && told.heard_ms + settings.proof_ms() > now_ms;
        !self.native.is_lendable() && !self.told.as_ref().is_some_and(can_grant)
    }

    /// The next ask should not wait for its time.
    pub(super) fn hurry(&mut self) {
        self.urgent = true;
    }

    /// A request no longer waits.
    pub(super) fn abandon(&mut self, ticket: Ticket) {
        self.waiters.leave(ticket);
    }

    /// Whether an ask to `coordinator` is due.
    pub(super) fn is_due(
        &self,
        coordinator: &InstanceId,
        limit: Limit,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> bool {
        let passed_ms = now_ms.saturating_sub(self.asked_ms);
        if self.asked_ms == 0 || passed_ms >= settings.ask_period_ms {
            return true;
        }
        let unanswered_ms = self.wallet(coordinator).and_then(Wallet::unanswered_ms);
        let is_answered =
            unanswered_ms.is_none_or(|sent_ms| sent_ms + settings.ask_timeout_ms <= now_ms);
        if self.has_large_refund(limit) {
            return is_answered;
        }
        let is_first = self.asked_backlog_tokens <= 0.0;
        self.urgent && is_answered && (is_first || passed_ms >= URGENT_GAP_MS)
    }

    /// Builds the ask to the present coordinator.
    pub(super) fn ask(
        &mut self,
        organisation: &Name,
        coordinator: &InstanceId,
        ask: u64,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> Ask {
        self.asked_ms = now_ms;
        self.urgent = false;
        if let Some(told) = &self.told
            && told.by == *coordinator
            && told.heard_ms + settings.loan_ms / 2 > now_ms
        {
            if self.native.is_lendable() {
                let native = &mut self.native;
                self.charges
                    .follow_share(coordinator, ask, |epoch, mark, tokens| {
                        native.set_aside(epoch, mark, tokens)
                    });
            }
            self.native
                .lend(coordinator, ask, told.loan_asked_ms, settings, now_ms);
        }
        let prefetch = self.prefetch_tokens(settings, now_ms);
        let waiting = self.waiters.total_tokens() + self.debt_tokens;
        let spendable = self.spendable_tokens();
        let first = self.waiters.first_tokens() + self.debt_tokens;
        let backlog = (waiting - spendable).max(0.0);
        self.asked_backlog_tokens = backlog;
        let keep = waiting + prefetch * KEEP_FACTOR;
        let unused = self.charges.take_unused(coordinator, ask);
        self.untold_refund_tokens = 0.0;
        let wallet = self.wallet_mut(coordinator);
        let returned = wallet.take((spendable - keep).max(0.0));
        wallet.sent(ask, now_ms);
        Ask {
            organisation: organisation.clone(),
            ask,
            seen_ask: wallet.seen_ask,
            held_tokens: wallet.tokens(),
            returned_tokens: returned + unused.returned_tokens,
            shortage_tokens: (first - spendable).max(0.0).min(backlog),
            backlog_tokens: backlog,
            prefetch_tokens: (waiting + prefetch - spendable - backlog).max(0.0),
            refunds: unused.refunds,
            loan: self.native.statement(coordinator, false),
        }
    }

    /// Builds an ask that only wants the share back.
    pub(super) fn recall(
        &mut self,
        organisation: &Name,
        borrower: &InstanceId,
        ask: u64,
        now_ms: u64,
    ) -> Ask {
        let wallet = self.wallet_mut(borrower);
        wallet.sent(ask, now_ms);
        Ask {
            organisation: organisation.clone(),
            ask,
            seen_ask: wallet.seen_ask,
            held_tokens: wallet.tokens(),
            returned_tokens: 0.0,
            shortage_tokens: 0.0,
            backlog_tokens: 0.0,
            prefetch_tokens: 0.0,
            refunds: Vec::new(),
            loan: self.native.statement(borrower, true),
        }
    }

    /// Builds the last ask: gives back all granted tokens, and lends the level once more.
    pub(super) fn last_ask(
        &mut self,
        organisation: &Name,
        coordinator: &InstanceId,
        ask: u64,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> Ask {
        self.waiters = Waiters::default();
        let mut last = self.ask(organisation, coordinator, ask, settings, now_ms);
        let wallet = self.wallet_mut(coordinator);
        last.returned_tokens += wallet.take(f64::MAX);
        last.held_tokens = 0.0;
        last.prefetch_tokens = 0.0;
        self.wallets.clear();
        last
    }

    /// Takes in an answer. Call after [`Account::advance`].
    pub(super) fn answered(
        &mut self,
        from: &InstanceId,
        answer: &Answer,
        limit: Limit,
        settings: &BudgetSettings,
        now_ms: u64,
    ) {
        if let Some(returned) = answer.returned_loan {
            self.native.returned(from, returned, limit, now_ms);
            self.urgent = true;
        }
        let Some(wallet) = self.wallets.iter_mut().find(|w| w.coordinator == *from) else {
            return;
        };
        let Some(asked_ms) = wallet.accept(answer, settings, now_ms) else {
            return;
        };
        self.charges.mark(from, answer.ask, answer.mark);
        if let Some(loan_asked_ms) = answer.loan_asked_ms {
            // What is held for later is given back at once if it is waited for.
            let is_kept_from_others = answer.scarce && self.waiters.total_tokens() <= 0.0;
            self.urgent |= self.native.is_lendable();
            self.urgent |= is_kept_from_others && self.spendable_tokens() > 0.0;
            self.told = Some(Told {
                by: from.clone(),
                asked_ms,
                heard_ms: now_ms,
                loan_asked_ms,
                free_tokens: answer.free_tokens,
                lent_share: answer.lent_share,
                elsewhere_tokens: answer.elsewhere_tokens,
                scarce: answer.scarce,
            });
        }
    }

    /// Whether nothing is lent, held or owed.
    pub(super) fn is_idle(&self) -> bool {
        self.native.lent_to().is_none() && self.wallets.is_empty() && self.charges.is_empty()
    }

    fn take(&mut self, ticket: Ticket, tokens: f64, next_ask: u64, now_ms: u64) {
        self.waiters.leave(ticket);
        let debt_tokens = std::mem::take(&mut self.debt_tokens);
        self.draw(debt_tokens, next_ask);
        let pieces = self.draw(tokens, next_ask);
        let drawn: f64 = pieces.iter().map(|piece| piece.tokens).sum();
        // Rounding is owed, too, so that it cannot add up.
        self.debt_tokens = (tokens - drawn).max(0.0);
        self.charges.insert(ticket, pieces);
        self.demand.add(tokens, now_ms);
    }

    /// Takes `tokens` from grants first, because they expire.
    fn draw(&mut self, tokens: f64, next_ask: u64) -> Vec<Piece> {
        let mut missing = tokens;
        let mut pieces = Vec::new();
        for wallet in &mut self.wallets {
            let tokens = wallet.take(missing);
            missing -= tokens;
            if tokens > 0.0 {
                let source = Source::Granted {
                    coordinator: wallet.coordinator.clone(),
                    first_ask: next_ask,
                    mark: None,
                };
                pieces.push(Piece::new(source, tokens));
            }
        }
        let (tokens, mark, epoch) = self.native.take(missing);
        if tokens > 0.0 {
            let source = Source::Native { epoch, mark };
            pieces.push(Piece::new(source, tokens));
        }
        pieces
    }

    /// Tokens that a request lacks, with those ahead of it.
    fn missing_tokens(&self, claim: Claim) -> f64 {
        let ahead = self.waiters.ahead_tokens(claim.ticket);
        let needed = claim.tokens + ahead + self.debt_tokens;
        needed - self.spendable_tokens()
    }

    fn spendable_tokens(&self) -> f64 {
        let granted: f64 = self.wallets.iter().map(Wallet::tokens).sum();
        let held = self.native.held().map_or(0.0, Reserve::level_tokens);
        granted + held.max(0.0)
    }

    fn prefetch_tokens(&self, settings: &BudgetSettings, now_ms: u64) -> f64 {
        if self.told.as_ref().is_some_and(|told| told.scarce) {
            return 0.0;
        }
        self.demand.per_s(now_ms) * settings.prefetch_ms as f64 / 1_000.0
    }

    /// Whether the request may be refused by what the coordinator said: since the request came, or
    /// nothing for some time. Before, tokens may have come back from requests that have ended.
    fn knows_enough(
        &self,
        since_ms: u64,
        reach: Reach,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> bool {
        let is_fresh = |told: &Told| told.asked_ms >= since_ms;
        matches!(reach, Reach::OwnShare)
            || self.told.as_ref().is_some_and(is_fresh)
            || since_ms + settings.ask_timeout_ms <= now_ms
    }

    /// Time until `missing` more tokens can be here; 0 if nobody has said so yet.
    ///
    /// A member waits for what others that live hold and do not need, or have not lent to the
    /// coordinator yet.
    ///
    /// Counts with the whole rate, also while shares that rest with a dead coordinator are
    /// missing: they are back within a loan's time.
    fn expected_wait_ms(
        &self,
        missing: f64,
        waited_ms: u64,
        limit: Limit,
        settings: &BudgetSettings,
        reach: Reach,
        now_ms: u64,
    ) -> u64 {
        let live_share = match reach {
            Reach::OwnShare => {
                let held = self.native.held();
                return held.map_or(UNKNOWN_WAIT_MS, |held| held.wait_ms(missing));
            }
            Reach::Coordinator { live_share } => live_share,
        };
        let Some(told) = &self.told else {
            return 0;
        };
        let passed_s = now_ms.saturating_sub(told.heard_ms) as f64 / 1_000.0;
        let free = told.free_tokens + limit.rate_per_s * passed_s;
        let untold = (missing - self.asked_backlog_tokens).max(0.0) - free;
        if untold <= 0.0 {
            return 0;
        }
        let refill_ms = if limit.rate_per_s > 0.0 {
            seconds_to_ms(untold / limit.rate_per_s)
        } else {
            UNKNOWN_WAIT_MS
        };
        let unlent_share = (live_share - told.lent_share).max(0.0);
        let unlent_tokens = limit.burst_tokens * unlent_share;
        let give_back_ms = settings.ask_period_ms * GIVE_BACK_ASKS;
        let left_ms = give_back_ms.saturating_sub(waited_ms);
        if left_ms > 0 && untold <= told.elsewhere_tokens + unlent_tokens {
            refill_ms.min(left_ms)
        } else {
            refill_ms
        }
    }

    fn wallet(&self, coordinator: &InstanceId) -> Option<&Wallet> {
        self.wallets
            .iter()
            .find(|wallet| wallet.coordinator == *coordinator)
    }

    fn wallet_mut(&mut self, coordinator: &InstanceId) -> &mut Wallet {
        let found = self
            .wallets
            .iter()
            .position(|wallet| wallet.coordinator == *coordinator);
        let index = found.unwrap_or(self.wallets.len());
        if found.is_none() {
            self.wallets.push(Wallet::new(coordinator.clone()));
        }
        &mut self.wallets[index]
    }
}
