//! Shares that members have lent to this coordinator.

use std::collections::HashMap;

use super::Limit;
use super::message::{LoanStatement, ReturnedLoan};
use super::reserve::Reserve;
use super::settings::BudgetSettings;
use crate::name::InstanceId;

/// Time for which an ended loan is kept, so that a late statement of it is recognised.
pub(super) const RETENTION_MS: u64 = 60_000;

/// One loan of a member.
#[derive(Debug)]
struct Loan {
    number: u64,
    share: f64,
    /// Local time until which the share is used. Invariant: `loan_ms` after a loan request of this
    /// coordinator that the lender has answered.
    end_ms: u64,
    state: LoanState,
}

#[derive(Debug, PartialEq)]
enum LoanState {
    /// The share counts in the reserve.
    Live,
    /// The loan expired. Its level was added to the reserve and does not count again.
    Ended,
    /// The share was returned with these tokens.
    Returned { level_tokens: f64 },
}

/// All loans of one budget.
#[derive(Debug, Default)]
pub(super) struct Loans {
    by_lender: HashMap<InstanceId, Loan>,
}

impl Loans {
    /// Sum of the shares of all live loans.
    pub(super) fn share(&self) -> f64 {
        let live = self.by_lender.values().filter(|loan| loan.is_live());
        live.map(|loan| loan.share).sum()
    }

    /// Refills `reserve` up to `now_ms`, each loan counting up to its end.
    pub(super) fn advance(&mut self, reserve: &mut Reserve, limit: Limit, now_ms: u64) {
        while let Some(end_ms) = self.next_end_ms().filter(|end_ms| *end_ms <= now_ms) {
            reserve.advance(end_ms);
            for loan in self.by_lender.values_mut() {
                loan.end_if_due(end_ms);
            }
            self.resize(reserve, limit);
        }
        reserve.advance(now_ms);
        self.by_lender
            .retain(|_, loan| loan.end_ms + RETENTION_MS > now_ms);
    }

    /// Sets the rate and burst of `reserve` to the shares in use. Call after [`Loans::advance`].
    pub(super) fn resize(&self, reserve: &mut Reserve, limit: Limit) {
        let share = self.share();
        reserve.resize(limit.rate_per_s * share, limit.burst_tokens * share);
    }

    /// Applies a loan statement; returns the loan if its share goes back to the lender.
    pub(super) fn apply_statement(
        &mut self,
        lender: &InstanceId,
        statement: LoanStatement,
        reserve: &mut Reserve,
        limit: Limit,
        settings: &BudgetSettings,
        now_ms: u64,
    ) -> Option<ReturnedLoan> {
        let known = self.by_lender.get(lender).map(|loan| loan.number);
        if known.is_some_and(|known| known > statement.loan_number) {
            return None;
        }
        if known != Some(statement.loan_number) {
            self.insert(lender, statement, reserve, limit, settings, now_ms);
        }
        let loan = self.by_lender.get_mut(lender)?;
        if statement.recall {
            return self.return_loan(lender, reserve, limit);
        }
        if let LoanState::Returned { level_tokens } = loan.state {
            let loan_number = loan.number;
            return Some(ReturnedLoan {
                loan_number,
                level_tokens,
            });
        }
        let end_ms = statement.requested_ms + settings.loan_ms;
        if end_ms > now_ms {
            loan.state = LoanState::Live;
            loan.end_ms = loan.end_ms.max(end_ms);
            loan.share = statement.share;
            self.resize(reserve, limit);
        }
        None
    }

    /// Ends the loan of `lender` and returns it, unless granted tokens still depend on it.
    pub(super) fn return_loan(
        &mut self,
        lender: &InstanceId,
        reserve: &mut Reserve,
        limit: Limit,
    ) -> Option<ReturnedLoan> {
        let share = self.share();
        let loan = self.by_lender.get_mut(lender)?;
        if let LoanState::Returned { level_tokens } = loan.state {
            let loan_number = loan.number;
            return Some(ReturnedLoan {
                loan_number,
                level_tokens,
            });
        }
        let loan_share = if loan.is_live() { loan.share } else { 0.0 };
        let remaining_share = (share - loan_share).max(0.0);
        if !reserve.would_cover_outstanding(limit.burst_tokens * remaining_share) {
            return None;
        }
        let loan_burst_tokens = limit.burst_tokens * loan_share;
        let (level_tokens, _) = reserve.take_up_to(loan_burst_tokens);
        loan.state = LoanState::Returned { level_tokens };
        let loan_number = loan.number;
        self.resize(reserve, limit);
        Some(ReturnedLoan {
            loan_number,
            level_tokens,
        })
    }

    /// Returns all lenders, including those of ended loans that are still kept.
    pub(super) fn lenders(&self) -> Vec<InstanceId> {
        self.by_lender.keys().cloned().collect()
    }

    fn insert(
        &mut self,
        lender: &InstanceId,
        statement: LoanStatement,
        reserve: &mut Reserve,
        limit: Limit,
        settings: &BudgetSettings,
        now_ms: u64,
    ) {
        let end_ms = statement.requested_ms + settings.loan_ms;
        let is_fresh = statement.first_requested_ms + settings.loan_ms > now_ms;
        let state = if end_ms > now_ms {
            LoanState::Live
        } else {
            LoanState::Ended
        };
        let loan = Loan {
            number: statement.loan_number,
            share: statement.share,
            end_ms,
            state,
        };
        let is_live = loan.is_live();
        self.by_lender.insert(lender.clone(), loan);
        self.resize(reserve, limit);
        if is_live && is_fresh {
            reserve.add_tokens(statement.level_tokens);
        }
    }

    fn next_end_ms(&self) -> Option<u64> {
        let live = self.by_lender.values().filter(|loan| loan.is_live());
        live.map(|loan| loan.end_ms).min()
    }
}

impl Loan {
    fn is_live(&self) -> bool {
        self.state == LoanState::Live
    }

    fn end_if_due(&mut self, now_ms: u64) {
        if self.is_live() && self.end_ms <= now_ms {
            self.state = LoanState::Ended;
        }
    }
}
