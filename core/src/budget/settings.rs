//! Settings of the budgets. They must be the same on all instances.

crate::key_record! {
    /// How a budget is divided over the instances.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum BudgetPolicy {
        /// Shares are lent to a coordinator that grants tokens by demand.
        Lending,
        /// Each member uses its own share only. A baseline.
        StaticShare,
    }

    /// Settings of the budgets.
    #[derive(Copy)]
    pub struct BudgetSettings {
        /// How a budget is divided.
        pub policy: BudgetPolicy,
        /// Time between two asks of a member.
        pub ask_period_ms: u64,
        /// Time after which an unanswered ask is repeated at once if a request waits.
        pub ask_timeout_ms: u64,
        /// Time from the ask for which a coordinator uses a loan.
        pub loan_ms: u64,
        /// Time from the ask for which a member uses granted tokens.
        pub grant_ms: u64,
        /// What a lender adds to a time, in percent, so that clocks of unlike speed end it after
        /// the borrower.
        pub drift_percent: u64,
        /// Time of demand that a member keeps in granted tokens.
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
    /// Time from its statement after which a lender knows that nothing of a loan is in use: the
    /// coordinator's use of the loan and then the use of the last tokens granted under it.
    pub fn lender_loan_ms(&self) -> u64 {
        self.with_drift(self.loan_ms + self.grant_ms)
    }

    /// Time from a proof that the process is on the roster for which it uses or lends its share.
    pub fn validity_ms(&self) -> u64 {
        self.loan_ms + self.grant_ms
    }

    /// Time after which nothing of the share of a removed member is in use: its last proof, the
    /// loans that it made on it, and the grants made under these.
    pub fn removal_ms(&self) -> u64 {
        self.with_drift(self.validity_ms() + self.loan_ms + self.grant_ms)
    }

    /// Time from its answer after which a coordinator knows that granted tokens are not in use.
    pub fn lender_grant_ms(&self) -> u64 {
        self.with_drift(self.grant_ms)
    }

    fn with_drift(&self, time_ms: u64) -> u64 {
        (time_ms * (100 + self.drift_percent)).div_ceil(100)
    }
}
