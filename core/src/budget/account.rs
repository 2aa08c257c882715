//! The borrowing member's side of one budget: charges requests, lends the own share and requests
//! tokens from the coordinator.

use super::charge::{ChargePart, ChargeSource, OpenCharges, Ticket, Waiters};
use super::demand::Demand;
use super::granted_tokens::GrantedTokens;
use super::message::{TokenRequest, TokenResponse};
use super::reserve::{EPSILON_TOKENS, Reserve, UNKNOWN_WAIT_MS};
use super::settings::BudgetSettings;
use super::share::OwnShare;
use super::{Charge, Limit};
use crate::name::{InstanceId, Name};
use crate::rounding::seconds_to_ms;

/// Bounds of the time until a waiting request is tried again.
const MIN_WAIT_MS: u64 = 2;
const MAX_WAIT_MS: u64 = 50;
/// Shortest time between two token requests while the same requests wait.
const MIN_URGENT_INTERVAL_MS: u64 = 20;
/// Number of token requests within which another member returns prefetched tokens. The response to
/// the first one reports that tokens are scarce.
const GIVE_BACK_REQUESTS: u64 = 2;
/// Multiple of the prefetch amount above which a member returns tokens.
const KEEP_FACTOR: f64 = 1.5;
/// Fraction of the burst above which unused tokens are returned at once, because a request on
/// another instance may be refused for lack of them.
const LARGE_REFUND_RATIO: f64 = 0.05;

/// State of the pool as last reported by a coordinator.
#[derive(Debug)]
struct PoolStatus {
    coordinator: InstanceId,
    /// Local time at which the token request was sent.
    requested_ms: u64,
    /// Local time at which the response was received.
    received_ms: u64,
    /// Coordinator's time at which it requested the loan of the share.
    loan_requested_ms: u64,
    free_tokens: f64,
    lent_share: f64,
    /// Tokens held by other members, which return them when some request waits for tokens.
    held_by_others_tokens: f64,
    is_scarce: bool,
}

/// Tokens to charge for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChargeRequest {
    pub(super) ticket: Ticket,
    pub(super) tokens: f64,
    pub(super) max_wait_ms: u64,
}

/// Where a member can get tokens.
#[derive(Clone, Copy, Debug)]
pub(super) enum TokenSupply {
    /// Only from its own share.
    OwnShare,
    /// From the coordinator, to which the live members lend `live_share` in total.
    Coordinator { live_share: f64 },
}

/// State of one budget on a member.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) own_share: OwnShare,
    granted: Vec<GrantedTokens>,
    charges: OpenCharges,
    waiters: Waiters,
    demand: Demand,
    /// Tokens that were used beyond their charge and are added to the next charge.
    debt_tokens: f64,
    /// Last report of a coordinator on its pool.
    pool_status: Option<PoolStatus>,
    /// Backlog reported to the coordinator with the last token request.
    reported_backlog_tokens: f64,
    last_request_ms: u64,
    /// Whether the state has changed so that the next token request is sent before its regular
    /// time.
    is_urgent: bool,
    /// Unused tokens not yet reported to a coordinator.
    unreported_refund_tokens: f64,
}

impl Account {
    pub(super) fn new(share: f64, limit: Limit, now_ms: u64) -> Self {
        Self {
            own_share: OwnShare::empty(share, limit, now_ms),
            granted: Vec::new(),
            charges: OpenCharges::default(),
            waiters: Waiters::default(),
            demand: Demand::new(now_ms),
            debt_tokens: 0.0,
            pool_status: None,
            reported_backlog_tokens: 0.0,
            last_request_ms: 0,
            is_urgent: false,
            unreported_refund_tokens: 0.0,
        }
    }

    /// Refills the own share and drops expired grants and waiting requests.
    pub(super) fn advance(&mut self, limit: Limit, now_ms: u64) {
        self.own_share.advance(limit, now_ms);
        for granted in &mut self.granted {
            granted.expire(now_ms);
        }
        self.granted.retain(|granted| !granted.is_stale(now_ms));
        self.waiters.expire(now_ms);
    }

    /// Charges a request if enough tokens are available locally, and returns whether it did. Call
    /// after [`Account::advance`].
    pub(super) fn try_charge(
        &mut self,
        charge_request: ChargeRequest,
        next_request: u64,
        now_ms: u64,
    ) -> bool {
        let has_tokens = self.missing_tokens(charge_request) <= EPSILON_TOKENS;
        if has_tokens {
            self.charge_tokens(
                charge_request.ticket,
                charge_request.tokens,
                next_request,
                now_ms,
            );
        }
        has_tokens
    }

    /// Queues a request that lacks tokens, or refuses it.
    pub(super) fn wait_or_refuse(
        &mut self,
        charge_request: ChargeRequest,
        limit: Limit,
        settings: &BudgetSettings,
        supply: TokenSupply,
        now_ms: u64,
    ) -> Charge {
        let ticket = charge_request.ticket;
        let missing = self.missing_tokens(charge_request);
        let since_ms = self.waiters.waiting_since_ms(ticket).unwrap_or(now_ms);
        let waited_ms = now_ms - since_ms;
        let expected_wait_ms =
            self.expected_wait_ms(missing, waited_ms, limit, settings, supply, now_ms);
        let is_late = expected_wait_ms > charge_request.max_wait_ms;
        let is_certain = self.has_recent_status(since_ms, supply, settings, now_ms);
        if charge_request.max_wait_ms == 0 || (is_late && is_certain) {
            self.waiters.remove(ticket);
            let retry_after_ms = expected_wait_ms.max(MAX_WAIT_MS);
            return Charge::Refused { retry_after_ms };
        }
        self.waiters.enqueue(ticket, charge_request.tokens, now_ms);
        self.is_urgent = true;
        let wait_ms = expected_wait_ms
            .clamp(MIN_WAIT_MS, MAX_WAIT_MS)
            .min(charge_request.max_wait_ms);
        Charge::Wait { wait_ms }
    }

    /// Settles a charge of which `used` tokens were used.
    pub(super) fn settle(&mut self, ticket: Ticket, used: f64, limit: Limit) {
        let Some(settled) = self.charges.settle(ticket, used) else {
            return;
        };
        self.debt_tokens = (self.debt_tokens + settled.excess_tokens).min(limit.burst_tokens);
        self.unreported_refund_tokens += settled.refund_tokens;
        for part in settled.own_share_parts {
            if let ChargeSource::OwnShare { epoch, mark } = part.source {
                self.own_share.refund(epoch, mark, part.tokens);
            }
        }
    }

    /// Whether the unused tokens not yet returned are enough to send a token request before its
    /// regular time.
    pub(super) fn has_large_refund(&self, limit: Limit) -> bool {
        self.unreported_refund_tokens > limit.burst_tokens * LARGE_REFUND_RATIO
    }

    /// Whether neither the own share nor a coordinator can provide tokens.
    pub(super) fn has_no_supply(&self, settings: &BudgetSettings, now_ms: u64) -> bool {
        let can_grant = |pool_status: &PoolStatus| {
            pool_status.lent_share > 0.0
                && pool_status.received_ms + settings.validity_ms() > now_ms
        };
        !self.own_share.is_lendable() && !self.pool_status.as_ref().is_some_and(can_grant)
    }

    /// Sends the next token request before its regular time.
    pub(super) fn expedite_request(&mut self) {
        self.is_urgent = true;
    }

    /// Removes a request from the queue.
    pub(super) fn abandon(&mut self, ticket: Ticket) {
        self.waiters.remove(ticket);
    }

    /// Whether a token request to `coordinator` is due.
    pub(super) fn is_request_due(
        &self,
        coordinator: &InstanceId,
        limit: Limit,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> bool {
        let passed_ms = now_ms.saturating_sub(self.last_request_ms);
        if self.last_request_ms == 0 || passed_ms >= settings.ask_period_ms {
            return true;
        }
        let pending_since_ms = self
            .granted_by(coordinator)
            .and_then(GrantedTokens::pending_since_ms);
        let is_answered = pending_since_ms
            .is_none_or(|requested_ms| requested_ms + settings.ask_timeout_ms <= now_ms);
        if self.has_large_refund(limit) {
            return is_answered;
        }
        let is_first = self.reported_backlog_tokens <= 0.0;
        self.is_urgent && is_answered && (is_first || passed_ms >= MIN_URGENT_INTERVAL_MS)
    }

    /// Builds the token request to the current coordinator.
    pub(super) fn build_request(
        &mut self,
        organisation: &Name,
        coordinator: &InstanceId,
        request_number: u64,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> TokenRequest {
        self.last_request_ms = now_ms;
        self.is_urgent = false;
        if let Some(pool_status) = &self.pool_status
            && pool_status.coordinator == *coordinator
            && pool_status.received_ms + settings.loan_ms / 2 > now_ms
        {
            if self.own_share.is_lendable() {
                let own_share = &mut self.own_share;
                self.charges.transfer_to_coordinator(
                    coordinator,
                    request_number,
                    |epoch, mark, tokens| own_share.set_aside(epoch, mark, tokens),
                );
            }
            self.own_share.lend(
                coordinator,
                request_number,
                pool_status.loan_requested_ms,
                settings,
                now_ms,
            );
        }
        let prefetch = self.prefetch_tokens(settings, now_ms);
        let waiting = self.waiters.total_tokens() + self.debt_tokens;
        let spendable = self.spendable_tokens();
        let first = self.waiters.first_tokens() + self.debt_tokens;
        let backlog = (waiting - spendable).max(0.0);
        self.reported_backlog_tokens = backlog;
        let keep = waiting + prefetch * KEEP_FACTOR;
        let unused = self.charges.take_unused(coordinator, request_number);
        self.unreported_refund_tokens = 0.0;
        let granted = self.granted_by_mut(coordinator);
        let returned = granted.take_up_to((spendable - keep).max(0.0));
        granted.record_request(request_number, now_ms);
        TokenRequest {
            organisation: organisation.clone(),
            request_number,
            acknowledged_request: granted.acknowledged_request,
            held_tokens: granted.tokens(),
            returned_tokens: returned + unused.returned_tokens,
            shortage_tokens: (first - spendable).max(0.0).min(backlog),
            backlog_tokens: backlog,
            prefetch_tokens: (waiting + prefetch - spendable - backlog).max(0.0),
            refunds: unused.refunds,
            loan: self.own_share.statement(coordinator, false),
        }
    }

    /// Builds a token request that only recalls the share.
    pub(super) fn build_recall(
        &mut self,
        organisation: &Name,
        borrower: &InstanceId,
        request_number: u64,
        now_ms: u64,
    ) -> TokenRequest {
        let granted = self.granted_by_mut(borrower);
        granted.record_request(request_number, now_ms);
        TokenRequest {
            organisation: organisation.clone(),
            request_number,
            acknowledged_request: granted.acknowledged_request,
            held_tokens: granted.tokens(),
            returned_tokens: 0.0,
            shortage_tokens: 0.0,
            backlog_tokens: 0.0,
            prefetch_tokens: 0.0,
            refunds: Vec::new(),
            loan: self.own_share.statement(borrower, true),
        }
    }

    /// Builds the last token request: returns all granted tokens and lends the share with its level
    /// once more.
    pub(super) fn build_last_request(
        &mut self,
        organisation: &Name,
        coordinator: &InstanceId,
        request_number: u64,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> TokenRequest {
        self.waiters = Waiters::default();
        let mut last =
            self.build_request(organisation, coordinator, request_number, settings, now_ms);
        let granted = self.granted_by_mut(coordinator);
        last.returned_tokens += granted.take_up_to(f64::MAX);
        last.held_tokens = 0.0;
        last.prefetch_tokens = 0.0;
        self.granted.clear();
        last
    }

    /// Applies a response. Call after [`Account::advance`].
    pub(super) fn on_response(
        &mut self,
        from: &InstanceId,
        response: &TokenResponse,
        limit: Limit,
        settings: &BudgetSettings,
        now_ms: u64,
    ) {
        if let Some(returned) = response.returned_loan {
            self.own_share
                .on_loan_returned(from, returned, limit, now_ms);
            self.is_urgent = true;
        }
        let Some(granted) = self.granted.iter_mut().find(|w| w.coordinator == *from) else {
            return;
        };
        let Some(requested_ms) = granted.apply_response(response, settings, now_ms) else {
            return;
        };
        self.charges
            .record_mark(from, response.request_number, response.mark);
        if let Some(loan_requested_ms) = response.loan_requested_ms {
            // Returns prefetched tokens at once if another member waits for them.
            let is_kept_from_others = response.is_scarce && self.waiters.total_tokens() <= 0.0;
            self.is_urgent |= self.own_share.is_lendable();
            self.is_urgent |= is_kept_from_others && self.spendable_tokens() > 0.0;
            self.pool_status = Some(PoolStatus {
                coordinator: from.clone(),
                requested_ms,
                received_ms: now_ms,
                loan_requested_ms,
                free_tokens: response.free_tokens,
                lent_share: response.lent_share,
                held_by_others_tokens: response.held_by_others_tokens,
                is_scarce: response.is_scarce,
            });
        }
    }

    /// Whether nothing is lent, granted or unsettled.
    pub(super) fn is_idle(&self) -> bool {
        self.own_share.lent_to().is_none() && self.granted.is_empty() && self.charges.is_empty()
    }

    fn charge_tokens(&mut self, ticket: Ticket, tokens: f64, next_request: u64, now_ms: u64) {
        self.waiters.remove(ticket);
        let debt_tokens = std::mem::take(&mut self.debt_tokens);
        self.draw_tokens(debt_tokens, next_request);
        let parts = self.draw_tokens(tokens, next_request);
        let drawn: f64 = parts.iter().map(|part| part.tokens).sum();
        // Rounding errors are added to the debt, so that they cannot accumulate.
        self.debt_tokens = (tokens - drawn).max(0.0);
        self.charges.insert(ticket, parts);
        self.demand.add(tokens, now_ms);
    }

    /// Takes tokens from grants first, because they expire.
    fn draw_tokens(&mut self, tokens: f64, next_request: u64) -> Vec<ChargePart> {
        let mut missing = tokens;
        let mut parts = Vec::new();
        for granted in &mut self.granted {
            let tokens = granted.take_up_to(missing);
            missing -= tokens;
            if tokens > 0.0 {
                let source = ChargeSource::Granted {
                    coordinator: granted.coordinator.clone(),
                    first_request: next_request,
                    mark: None,
                };
                parts.push(ChargePart::new(source, tokens));
            }
        }
        let (tokens, mark, epoch) = self.own_share.take_up_to(missing);
        if tokens > 0.0 {
            let source = ChargeSource::OwnShare { epoch, mark };
            parts.push(ChargePart::new(source, tokens));
        }
        parts
    }

    /// Tokens that a request and all requests queued ahead of it lack.
    fn missing_tokens(&self, charge_request: ChargeRequest) -> f64 {
        let ahead = self.waiters.ahead_tokens(charge_request.ticket);
        let needed = charge_request.tokens + ahead + self.debt_tokens;
        needed - self.spendable_tokens()
    }

    fn spendable_tokens(&self) -> f64 {
        let granted: f64 = self.granted.iter().map(GrantedTokens::tokens).sum();
        let held = self.own_share.held().map_or(0.0, Reserve::level_tokens);
        granted + held.max(0.0)
    }

    fn prefetch_tokens(&self, settings: &BudgetSettings, now_ms: u64) -> f64 {
        if self
            .pool_status
            .as_ref()
            .is_some_and(|pool_status| pool_status.is_scarce)
        {
            return 0.0;
        }
        self.demand.per_s(now_ms) * settings.prefetch_ms as f64 / 1_000.0
    }

    /// Whether the request may be refused on the coordinator's last report: the report was
    /// requested after the request arrived, or no report came within the timeout. An earlier report
    /// may not include tokens returned since by finished requests.
    fn has_recent_status(
        &self,
        since_ms: u64,
        supply: TokenSupply,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> bool {
        let is_fresh = |pool_status: &PoolStatus| pool_status.requested_ms >= since_ms;
        matches!(supply, TokenSupply::OwnShare)
            || self.pool_status.as_ref().is_some_and(is_fresh)
            || since_ms + settings.ask_timeout_ms <= now_ms
    }

    /// Time until `missing` more tokens can be available locally; 0 if no coordinator has reported
    /// yet.
    ///
    /// The request waits for tokens that other live members hold and do not need, or have not yet
    /// lent to the coordinator.
    ///
    /// Uses the whole rate, even while shares lent to a failed coordinator are missing: they return
    /// within the duration of a loan.
    fn expected_wait_ms(
        &self,
        missing: f64,
        waited_ms: u64,
        limit: Limit,
        settings: &BudgetSettings,
        supply: TokenSupply,
        now_ms: u64,
    ) -> u64 {
        let live_share = match supply {
            TokenSupply::OwnShare => {
                let held = self.own_share.held();
                return held.map_or(UNKNOWN_WAIT_MS, |held| held.wait_ms(missing));
            }
            TokenSupply::Coordinator { live_share } => live_share,
        };
        let Some(pool_status) = &self.pool_status else {
            return 0;
        };
        let passed_s = now_ms.saturating_sub(pool_status.received_ms) as f64 / 1_000.0;
        let free = pool_status.free_tokens + limit.rate_per_s * passed_s;
        let uncovered = (missing - self.reported_backlog_tokens).max(0.0) - free;
        if uncovered <= 0.0 {
            return 0;
        }
        let refill_ms = if limit.rate_per_s > 0.0 {
            seconds_to_ms(uncovered / limit.rate_per_s)
        } else {
            UNKNOWN_WAIT_MS
        };
        let unlent_share = (live_share - pool_status.lent_share).max(0.0);
        let unlent_tokens = limit.burst_tokens * unlent_share;
        let give_back_ms = settings.ask_period_ms * GIVE_BACK_REQUESTS;
        let left_ms = give_back_ms.saturating_sub(waited_ms);
        if left_ms > 0 && uncovered <= pool_status.held_by_others_tokens + unlent_tokens {
            refill_ms.min(left_ms)
        } else {
            refill_ms
        }
    }

    fn granted_by(&self, coordinator: &InstanceId) -> Option<&GrantedTokens> {
        self.granted
            .iter()
            .find(|granted| granted.coordinator == *coordinator)
    }

    fn granted_by_mut(&mut self, coordinator: &InstanceId) -> &mut GrantedTokens {
        let found = self
            .granted
            .iter()
            .position(|granted| granted.coordinator == *coordinator);
        let index = found.unwrap_or(self.granted.len());
        if found.is_none() {
            self.granted.push(GrantedTokens::new(coordinator.clone()));
        }
        &mut self.granted[index]
    }
}
