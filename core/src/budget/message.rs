//! Messages between a member and a coordinator. Each message carries many organisations.

use crate::name::{InstanceId, Name};

crate::record! {
    /// What instances say to each other about budgets.
    pub enum BudgetMessage {
        /// From members to a coordinator.
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

    /// What a member holds, lends and needs of one budget.
    pub struct TokenRequest {
        /// The organisation.
        pub organisation: Name,
        /// Number of this ask. Invariant: grows over all asks of a process.
        pub request_number: u64,
        /// Largest ask of which the member has taken in the answer, 0 if none.
        pub acknowledged_request: u64,
        /// Tokens granted by the receiver that the member holds unspent.
        pub held_tokens: f64,
        /// Tokens that it held and gives back with this ask; also unused parts of charges that were
        /// made since the ask before.
        pub returned_tokens: f64,
        /// What the first waiting request still lacks.
        pub shortage_tokens: f64,
        /// What all waiting requests still lack.
        pub backlog_tokens: f64,
        /// Tokens wanted beyond that, for requests to come.
        pub prefetch_tokens: f64,
        /// Parts of earlier charges that were not used.
        pub refunds: Vec<Refund>,
        /// The share that the member lends to the receiver.
        pub loan: Option<LoanStatement>,
    }

    /// A part of a charge that was not used.
    #[derive(Copy)]
    pub struct Refund {
        /// The coordinator's mark of the answer after which it knew the charge as spent.
        pub mark: u64,
        /// Tokens not used.
        pub tokens: f64,
    }

    /// A share that is lent. Repeated with each ask, so that a lost one does no harm.
    #[derive(Copy)]
    pub struct LoanStatement {
        /// Number of the loan. Invariant: grows over all loans of a process.
        pub loan_number: u64,
        /// The share, a part of 1.
        pub share: f64,
        /// Tokens that came with the loan. They count once.
        pub level_tokens: f64,
        /// The coordinator's time of the ask that the loan began with.
        pub first_requested_ms: u64,
        /// The coordinator's time of the ask that this statement answers.
        pub requested_ms: u64,
        /// Whether the lender wants it back.
        pub recall: bool,
    }

    /// What a coordinator answers to one ask.
    pub struct TokenResponse {
        /// The organisation.
        pub organisation: Name,
        /// Number of the answered ask; 0 if the coordinator returns a loan unasked.
        pub request_number: u64,
        /// Tokens granted.
        pub granted_tokens: f64,
        /// Whether all tokens granted by this coordinator live on from the answered ask.
        pub extends_grants: bool,
        /// Mark for [`Refund::mark`].
        pub mark: u64,
        /// Tokens of the pool that nobody waits for; negative if more are waited for.
        pub free_tokens: f64,
        /// Sum of the shares that are lent to the coordinator.
        pub lent_share: f64,
        /// Tokens that other members hold, as far as the coordinator knows.
        pub held_by_others_tokens: f64,
        /// Whether some request waits for tokens, so that none should be kept for later.
        pub is_scarce: bool,
        /// The coordinator asks for the member's share; its own time, to be repeated.
        pub loan_requested_ms: Option<u64>,
        /// A loan that ends in order.
        pub returned_loan: Option<ReturnedLoan>,
    }

    /// A loan that ends in order and keeps its level.
    #[derive(Copy)]
    pub struct ReturnedLoan {
        /// Number of the loan.
        pub loan_number: u64,
        /// Tokens that go back with the share.
        pub level_tokens: f64,
    }
}

impl TokenResponse {
    /// The answer that returns a loan unasked.
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
