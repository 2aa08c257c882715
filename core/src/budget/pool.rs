//! The coordinator's side of one budget: borrows shares from members and grants tokens by demand.

use std::collections::HashMap;

use super::Limit;
use super::holding::Holding;
use super::loan::{Loans, RETENTION_MS};
use super::message::{LoanStatement, ReturnedLoan, TokenRequest, TokenResponse};
use super::reserve::{EPSILON_TOKENS, Reserve};
use super::settings::BudgetSettings;
use crate::name::InstanceId;

/// Number of request periods after its last token request for which a member's shortage stays
/// queued.
const WAITING_PERIODS: u64 = 3;

/// Mark for which nothing is refunded. A member whose record was dropped may still have charges
/// from before, and what happened since then is unknown.
const NO_MARK: u64 = 0;

/// Lent shares and granted tokens of one budget.
///
/// Invariant: `reserve` has the rate and burst of the live loans, and its outstanding tokens are
/// the sum over `holdings`.
#[derive(Debug)]
pub(super) struct Pool {
    reserve: Reserve,
    loans: Loans,
    holdings: HashMap<InstanceId, Holding>,
}

impl Pool {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            reserve: Reserve::empty(0.0, 0.0, now_ms),
            loans: Loans::default(),
            holdings: HashMap::new(),
        }
    }

    /// Refills the reserve, ends expired loans and drops expired grants.
    pub(super) fn advance(&mut self, limit: Limit, now_ms: u64) {
        self.loans.advance(&mut self.reserve, limit, now_ms);
        for holding in self.holdings.values_mut() {
            let expired = holding.expire(now_ms);
            if expired > 0.0 {
                let mark = self.reserve.reduce_outstanding(expired, 0.0);
                holding.add_expiry_mark(mark);
            }
        }
        self.holdings
            .retain(|_, holding| holding.last_request_ms + RETENTION_MS > now_ms);
    }

    /// Adapts the reserve to a changed limit. Call after [`Pool::advance`].
    pub(super) fn resize(&mut self, limit: Limit) {
        self.loans.resize(&mut self.reserve, limit);
    }

    /// Responds to a token request; `None` if it is late or repeated. Call after [`Pool::advance`].
    pub(super) fn respond(
        &mut self,
        from: &InstanceId,
        request: &TokenRequest,
        limit: Limit,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> Option<TokenResponse> {
        let is_recall = request.loan.is_some_and(|loan| loan.recall);
        let is_new = !self.holdings.contains_key(from);
        let holding = self.holdings.entry(from.clone()).or_default();
        if request.request_number <= holding.last_request_number {
            return None;
        }
        let removed = holding.apply_report(request, now_ms);
        let returned = request.returned_tokens.clamp(0.0, removed);
        self.reserve
            .reduce_outstanding(removed - returned, returned);
        holding.record_demand(request, now_ms);
        let returned_loan = request
            .loan
            .and_then(|loan| self.apply_statement(from, loan, limit, settings, now_ms));
        // Takes the mark after the loan is added, so that charges on a share lent since then are
        // refunded here.
        let mark = self.reserve.mark();
        let holding = self.holdings.entry(from.clone()).or_default();
        holding.add_mark(if is_new { NO_MARK } else { mark });
        let refunds = if is_new { &[] } else { &request.refunds[..] };
        for refund in refunds {
            self.reserve.refund(refund.mark, refund.tokens);
        }
        let granted = if is_recall {
            None
        } else {
            self.grant(from, settings, now_ms)
        };
        Some(TokenResponse {
            organisation: request.organisation.clone(),
            request_number: request.request_number,
            granted_tokens: granted.unwrap_or(0.0),
            extends_grants: granted.is_some(),
            mark: self.holdings[from].response_mark(),
            free_tokens: self.free_tokens(settings, now_ms),
            lent_share: self.loans.share(),
            held_by_others_tokens: self.held_by_others_tokens(from),
            is_scarce: self.is_scarce(settings, now_ms),
            loan_requested_ms: (!is_recall).then_some(now_ms),
            returned_loan,
        })
    }

    /// Returns every loan that no granted tokens depend on.
    pub(super) fn return_loans(&mut self, limit: Limit) -> Vec<(InstanceId, ReturnedLoan)> {
        let mut returned = Vec::new();
        for lender in self.loans.lenders() {
            let loan = self.loans.return_loan(&lender, &mut self.reserve, limit);
            returned.extend(loan.map(|loan| (lender, loan)));
        }
        returned
    }

    /// Whether the pool has neither loans nor grants on record.
    pub(super) fn is_idle(&self) -> bool {
        self.holdings.is_empty() && self.loans.lenders().is_empty()
    }

    fn apply_statement(
        &mut self,
        from: &InstanceId,
        loan: LoanStatement,
        limit: Limit,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> Option<ReturnedLoan> {
        let reserve = &mut self.reserve;
        self.loans
            .apply_statement(from, loan, reserve, limit, settings, now_ms)
    }

    /// Grants tokens to `to` and extends those it holds; `None` if the held ones may not be
    /// extended either, because loans that they depend on have ended.
    fn grant(&mut self, to: &InstanceId, settings: &BudgetSettings, now_ms: u64) -> Option<f64> {
        if !self.reserve.covers_outstanding() {
            return None;
        }
        let tokens = self.grantable_tokens(to, settings, now_ms);
        self.reserve.grant(tokens);
        let end_ms = now_ms + settings.lender_grant_ms();
        let holding = self.holdings.get_mut(to)?;
        holding.record_grant(tokens, end_ms);
        Some(tokens)
    }

    /// Covers shortages in the order of their age, so that small requests cannot starve a large
    /// one. Divides the rest in proportion to what each member wants beyond its shortage.
    fn grantable_tokens(&self, to: &InstanceId, settings: &BudgetSettings, now_ms: u64) -> f64 {
        let own = &self.holdings[to];
        if own.has_too_many_unacknowledged() {
            return 0.0;
        }
        let level = self.reserve.level_tokens().max(0.0);
        let others = || {
            self.waiting_members(settings, now_ms)
                .filter(|(id, _)| *id != to)
        };
        let ahead: f64 = others()
            .filter(|(id, other)| (other.shortage_since_ms, *id) < (own.shortage_since_ms, to))
            .map(|(_, other)| other.shortage_tokens)
            .sum();
        let first = own.shortage_tokens.min((level - ahead).max(0.0));
        let owed: f64 = others().map(|(_, other)| other.shortage_tokens).sum();
        let spare = (level - first - owed).max(0.0);
        let own_extra = own.extra_tokens();
        let others_extra: f64 = others().map(|(_, other)| other.extra_tokens()).sum();
        let part = own_extra / (own_extra + others_extra).max(EPSILON_TOKENS);
        first + own_extra.min(spare * part)
    }

    /// Tokens that no request waits for; negative if more are waited for than available.
    fn free_tokens(&self, settings: &BudgetSettings, now_ms: u64) -> f64 {
        let waiting = self.waiting_members(settings, now_ms);
        let backlog: f64 = waiting.map(|(_, holding)| holding.backlog_tokens).sum();
        self.reserve.level_tokens() - backlog
    }

    /// Tokens held by members other than `member`.
    fn held_by_others_tokens(&self, member: &InstanceId) -> f64 {
        let others = self.holdings.iter().filter(|(id, _)| *id != member);
        others.map(|(_, holding)| holding.tokens).sum()
    }

    fn is_scarce(&self, settings: &BudgetSettings, now_ms: u64) -> bool {
        let owed: f64 = self
            .waiting_members(settings, now_ms)
            .map(|(_, holding)| holding.shortage_tokens)
            .sum();
        owed > EPSILON_TOKENS
    }

    /// Members whose last token request is recent enough to stay queued.
    fn waiting_members(
        &self,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> impl Iterator<Item = (&InstanceId, &Holding)> {
        let waiting_ms = WAITING_PERIODS * settings.ask_period_ms;
        self.holdings
            .iter()
            .filter(move |(_, holding)| holding.last_request_ms + waiting_ms > now_ms)
    }
}
