//! The member's own share of one budget: held, or lent to a coordinator.

use super::Limit;
use super::message::{LoanStatement, ReturnedLoan};
use super::reserve::Reserve;
use super::settings::BudgetSettings;
use crate::name::InstanceId;

/// The member's own share of one budget.
#[derive(Debug)]
pub(super) struct OwnShare {
    /// The share, as a fraction of 1.
    share: f64,
    /// Whether the process is known to be on the roster now. Invariant: nothing is spent, lent or
    /// extended while it is not.
    is_share_valid: bool,
    /// Fraction of the burst with which the share is filled once it exists. Invariant: no process
    /// has used it before.
    initial_share: f64,
    state: State,
    /// Number of times that the share was lent. A charge made in an earlier epoch is not refunded,
    /// because its tokens may have been used elsewhere since.
    epoch: u64,
}

#[derive(Debug)]
enum State {
    /// The share is spent by this process.
    Held(Reserve),
    /// The share is used by a coordinator. Invariant: this process spends nothing of it before
    /// `reclaim_ms`.
    Lent {
        to: InstanceId,
        statement: LoanStatement,
        /// Local time after which no part of the loan is in use.
        reclaim_ms: u64,
    },
}

impl OwnShare {
    /// Creates an empty share, because an earlier holder may have used its burst.
    pub(super) fn empty(share: f64, limit: Limit, now_ms: u64) -> Self {
        let mut own_share = Self {
            share,
            is_share_valid: false,
            initial_share: 0.0,
            state: State::Held(Reserve::empty(0.0, 0.0, now_ms)),
            epoch: 0,
        };
        own_share.resize(share, limit);
        own_share
    }

    /// Refills a held share; takes a lent share back, empty, once its loan has certainly ended.
    pub(super) fn advance(&mut self, limit: Limit, now_ms: u64) {
        match &mut self.state {
            State::Held(reserve) => reserve.advance(now_ms),
            State::Lent { reclaim_ms, .. } if *reclaim_ms <= now_ms => {
                self.take_back(0.0, limit, now_ms);
            }
            State::Lent { .. } => {}
        }
    }

    /// Fills the share with an unused fraction of the burst as soon as the share exists.
    pub(super) fn set_initial_share(&mut self, fraction: f64, limit: Limit) {
        self.initial_share = fraction;
        self.resize(self.share, limit);
    }

    /// Changes share and limit. Call after [`OwnShare::advance`].
    pub(super) fn resize(&mut self, share: f64, limit: Limit) {
        self.share = share;
        match &mut self.state {
            State::Held(reserve) => {
                reserve.resize(limit.rate_per_s * share, limit.burst_tokens * share);
                if share > 0.0 && limit.burst_tokens > 0.0 {
                    let fraction = std::mem::take(&mut self.initial_share).min(share);
                    reserve.add_tokens(limit.burst_tokens * fraction);
                }
            }
            State::Lent { statement, .. } => statement.share = share,
        }
    }

    /// Sets whether the process is known to be on the roster now.
    pub(super) fn set_valid(&mut self, is_share_valid: bool) {
        self.is_share_valid = is_share_valid;
    }

    /// The reserve, while the share is held and valid.
    pub(super) fn held(&self) -> Option<&Reserve> {
        match &self.state {
            State::Held(reserve) if self.is_share_valid => Some(reserve),
            State::Held(_) | State::Lent { .. } => None,
        }
    }

    /// Whether there is a share that can be lent.
    pub(super) fn is_lendable(&self) -> bool {
        self.share > 0.0 && self.held().is_some()
    }

    /// The coordinator that the share is lent to.
    pub(super) fn lent_to(&self) -> Option<&InstanceId> {
        match &self.state {
            State::Held(_) => None,
            State::Lent { to, .. } => Some(to),
        }
    }

    /// Time after which no part of the current loan is in use; 0 if the share is held.
    pub(super) fn reclaim_ms(&self) -> u64 {
        match self.state {
            State::Held(_) => 0,
            State::Lent { reclaim_ms, .. } => reclaim_ms,
        }
    }

    /// Takes up to `tokens`; returns the amount taken, the mark and the epoch.
    pub(super) fn take_up_to(&mut self, tokens: f64) -> (f64, u64, u64) {
        match &mut self.state {
            State::Held(reserve) if self.is_share_valid => {
                let (taken, mark) = reserve.take_up_to(tokens);
                (taken, mark, self.epoch)
            }
            State::Held(_) | State::Lent { .. } => (0.0, 0, self.epoch),
        }
    }

    /// Refunds a part of a charge.
    pub(super) fn refund(&mut self, epoch: u64, mark: u64, tokens: f64) {
        if let State::Held(reserve) = &mut self.state
            && epoch == self.epoch
        {
            reserve.refund(mark, tokens);
        }
    }

    /// Returns the part of a charge on the share that can still be refunded once the share is lent.
    pub(super) fn set_aside(&mut self, epoch: u64, mark: u64, tokens: f64) -> f64 {
        match &mut self.state {
            State::Held(reserve) if epoch == self.epoch => reserve.set_aside(mark, tokens),
            State::Held(_) | State::Lent { .. } => 0.0,
        }
    }

    /// Lends the share to `to`, which requested it at its own time `requested_ms`, or extends an
    /// existing loan to the same coordinator.
    pub(super) fn lend(
        &mut self,
        to: &InstanceId,
        loan_number: u64,
        requested_ms: u64,
        settings: &BudgetSettings,
        now_ms: u64,
    ) {
        if !self.is_share_valid {
            return;
        }
        let until_ms = now_ms + settings.lender_loan_ms();
        match &mut self.state {
            State::Held(reserve) if self.share > 0.0 => {
                let statement = LoanStatement {
                    loan_number,
                    share: self.share,
                    level_tokens: reserve.level_tokens(),
                    first_requested_ms: requested_ms,
                    requested_ms,
                    recall: false,
                };
                self.epoch += 1;
                self.state = State::Lent {
                    to: to.clone(),
                    statement,
                    reclaim_ms: until_ms,
                };
            }
            State::Lent {
                to: borrower,
                statement,
                reclaim_ms,
            } if borrower == to && statement.requested_ms < requested_ms => {
                statement.requested_ms = requested_ms;
                *reclaim_ms = until_ms;
            }
            _ => {}
        }
    }

    /// The loan statement for the next token request to `to`.
    pub(super) fn statement(&self, to: &InstanceId, recall: bool) -> Option<LoanStatement> {
        match &self.state {
            State::Lent {
                to: borrower,
                statement,
                ..
            } if borrower == to => Some(LoanStatement {
                recall,
                ..*statement
            }),
            _ => None,
        }
    }

    /// Takes the share back when `from` returns the current loan.
    pub(super) fn on_loan_returned(
        &mut self,
        from: &InstanceId,
        returned: ReturnedLoan,
        limit: Limit,
        now_ms: u64,
    ) {
        let is_present = match &self.state {
            State::Lent { to, statement, .. } => {
                to == from && statement.loan_number == returned.loan_number
            }
            State::Held(_) => false,
        };
        if is_present {
            self.take_back(returned.level_tokens, limit, now_ms);
        }
    }

    fn take_back(&mut self, level_tokens: f64, limit: Limit, now_ms: u64) {
        self.state = State::Held(Reserve::empty(0.0, 0.0, now_ms));
        self.resize(self.share, limit);
        if let State::Held(reserve) = &mut self.state {
            reserve.add_tokens(level_tokens);
        }
    }
}
