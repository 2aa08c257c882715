//! Messages between a member and a coordinator. Each message covers many organisations.

use crate::name::{InstanceId, Name};

crate::record! {
    /// A budget message between instances.
    pub enum BudgetMessage {
        /// From a member to a coordinator.
        Requests(Vec<TokenRequest>),
        /// From a coordinator to a member.
        Responses(Vec<TokenResponse>),
    }

    /// A message to send.
    pub struct OutgoingMessage {
        /// The receiving process.
        pub to: InstanceId,
        /// The message.
        pub message: BudgetMessage,
    }

    /// A member's report and demand for one budget.
    pub struct TokenRequest {
        /// The organisation whose budget this is.
        pub organisation: Name,
        /// Number of this token request. Invariant: grows over all token requests of a process.
        pub request_number: u64,
        /// Largest token request whose response the member has processed; 0 if none.
        pub acknowledged_request: u64,
        /// Tokens granted by the receiver that the member holds unspent.
        pub held_tokens: f64,
        /// Tokens that the member held and returns with this token request, including unused parts
        /// of charges made since the previous one.
        pub returned_tokens: f64,
        /// Tokens that the first waiting request still lacks.
        pub shortage_tokens: f64,
        /// Tokens that all waiting requests still lack.
        pub backlog_tokens: f64,
        /// Tokens wanted beyond the backlog, for future requests.
        pub prefetch_tokens: f64,
        /// Unused parts of earlier charges.
        pub refunds: Vec<Refund>,
        /// The share that the member lends to the receiver.
        pub loan: Option<LoanStatement>,
    }

    /// An unused part of a charge.
    #[derive(Copy)]
    pub struct Refund {
        /// The coordinator's mark from the response after which it had recorded the charge as
        /// spent.
        pub mark: u64,
        /// Unused tokens.
        pub tokens: f64,
    }

    /// A share that is lent. Repeated with each token request, so that a lost message does no harm.
    #[derive(Copy)]
    pub struct LoanStatement {
        /// Number of the loan. Invariant: grows over all loans of a process.
        pub loan_number: u64,
        /// The share, as a fraction of 1.
        pub share: f64,
        /// Tokens transferred with the loan. They count once.
        pub level_tokens: f64,
        /// Coordinator's time of the loan request with which the loan began.
        pub first_requested_ms: u64,
        /// Coordinator's time of the loan request that this statement answers.
        pub requested_ms: u64,
        /// Whether the lender recalls the share.
        pub recall: bool,
    }

    /// A coordinator's response to one token request.
    pub struct TokenResponse {
        /// The organisation whose budget this is.
        pub organisation: Name,
        /// Number of the token request; 0 if the coordinator returns a loan on its own initiative.
        pub request_number: u64,
        /// Tokens granted by this response.
        pub granted_tokens: f64,
        /// Whether the lifetime of all tokens granted by this coordinator restarts at the token
        /// request.
        pub extends_grants: bool,
        /// Mark to use in [`Refund::mark`].
        pub mark: u64,
        /// Tokens of the pool that no request waits for; negative if more are waited for.
        pub free_tokens: f64,
        /// Sum of the shares lent to the coordinator.
        pub lent_share: f64,
        /// Tokens held by other members, as far as the coordinator knows.
        pub held_by_others_tokens: f64,
        /// Whether some request waits for tokens, so that members should not prefetch.
        pub is_scarce: bool,
        /// Coordinator's time at which it requests the loan of the member's share; the member
        /// repeats it in its statement. `None` if it requests no loan.
        pub loan_requested_ms: Option<u64>,
        /// A loan whose share goes back to the lender.
        pub returned_loan: Option<ReturnedLoan>,
    }

    /// A loan whose share and level go back to the lender.
    #[derive(Copy)]
    pub struct ReturnedLoan {
        /// Number of the returned loan.
        pub loan_number: u64,
        /// Tokens returned with the share.
        pub level_tokens: f64,
    }
}

impl TokenResponse {
    /// Creates the response that returns a loan without a token request.
    pub(super) fn returning_loan(organisation: &Name, loan: ReturnedLoan) -> Self {
        Self {
            organisation: organisation.clone(),
            request_number: 0,
            granted_tokens: 0.0,
            extends_grants: false,
            mark: 0,
            free_tokens: 0.0,
            lent_share: 0.0,
            held_by_others_tokens: 0.0,
            is_scarce: false,
            loan_requested_ms: None,
            returned_loan: Some(loan),
        }
    }
}
