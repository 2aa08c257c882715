//! Settings of the budgets. They must be the same on all instances.

crate::key_record! {
    /// How a budget is divided over the instances.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum BudgetPolicy {
        /// Shares are lent to a coordinator that grants tokens by demand.
        Lending,
        /// Each member uses only its own share. Serves as a baseline.
        StaticShare,
    }

    /// Settings of the budgets.
    #[derive(Copy)]
    pub struct BudgetSettings {
        /// How a budget is divided.
        pub policy: BudgetPolicy,
        /// Time between two regular token requests of a member.
        pub ask_period_ms: u64,
        /// Time after which an unanswered token request is repeated at once if a request waits.
        pub ask_timeout_ms: u64,
        /// Time for which a coordinator uses a loan, counted from its loan request.
        pub loan_ms: u64,
        /// Time for which a member uses granted tokens, counted from its token request.
        pub grant_ms: u64,
        /// Allowance for clock drift that a lender adds to a time, in percent, so that it ends
        /// after the borrower's.
        pub drift_percent: u64,
        /// Duration of recent demand for which a member prefetches tokens.
        pub prefetch_ms: u64,
    }
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            policy: BudgetPolicy::Lending,
            ask_period_ms: 250,
            ask_timeout_ms: 100,
            loan_ms: 750,
            grant_ms: 500,
            drift_percent: 3,
            prefetch_ms: 500,
        }
    }
}

impl BudgetSettings {
    /// Time from a loan statement after which no part of the loan is in use: the coordinator's use
    /// of the loan, then the use of the last tokens granted under it.
    pub fn lender_loan_ms(&self) -> u64 {
        self.with_drift(self.loan_ms + self.grant_ms)
    }

    /// Time for which a process uses or lends its share after its roster membership was confirmed.
    pub fn validity_ms(&self) -> u64 {
        self.loan_ms + self.grant_ms
    }

    /// Time after which no part of a removed member's share is in use: the validity of its share,
    /// the loans it made of it, and the grants made under those.
    pub fn removal_ms(&self) -> u64 {
        self.with_drift(self.validity_ms() + self.loan_ms + self.grant_ms)
    }

    /// Time from a response after which a coordinator knows that the tokens granted by it are not
    /// in use.
    pub fn lender_grant_ms(&self) -> u64 {
        self.with_drift(self.grant_ms)
    }

    fn with_drift(&self, time_ms: u64) -> u64 {
        (time_ms * (100 + self.drift_percent)).div_ceil(100)
    }
}
