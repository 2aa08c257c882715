//! Weighted fair sharing of a resource between organisations.
//!
//! Deficit round robin in its virtual-time form: the organisation that has received least relative
//! to its weight is served next. The order equals that of round robin with an infinitesimal
//! quantum. A step takes time logarithmic in the number of organisations instead of an iteration
//! over all of them.

use std::collections::{BTreeSet, HashMap};

use crate::name::Name;

/// Virtual time of one unit of the resource at weight one.
const VIRTUAL_TIME_SCALE: u64 = 1_024;
/// Number of accounts beyond twice the active ones at which idle accounts are dropped.
const SPARE_ACCOUNTS: usize = 64;

#[derive(Debug, Default)]
struct Account {
    /// Virtual time up to which the organisation has been served.
    served: u64,
    /// Invariant: at least one while the account is active.
    weight: u32,
    is_active: bool,
}

/// Accounts of the organisations that share a resource.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    /// Virtual time of the organisation served last. Invariant: never decreases.
    virtual_clock: u64,
    accounts: HashMap<Name, Account>,
    /// Virtual times and names of the active accounts. Invariant: contains each active account
    /// once.
    active: BTreeSet<(u64, Name)>,
    /// Sum of the weights of the active accounts.
    active_weight: u64,
}

impl FairShare {
    /// Marks an organisation as active, because it needs the resource.
    ///
    /// An organisation that becomes active again receives no credit for its idle time.
    pub(super) fn activate(&mut self, name: &Name, weight: u32) {
        let account = self.accounts.entry(name.clone()).or_default();
        if account.is_active {
            return;
        }
        account.is_active = true;
        account.weight = weight.max(1);
        account.served = account.served.max(self.virtual_clock);
        self.active_weight += u64::from(account.weight);
        self.active.insert((account.served, name.clone()));
    }

    /// Marks an organisation as idle.
    pub(super) fn deactivate(&mut self, name: &Name) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        if !account.is_active {
            return;
        }
        account.is_active = false;
        self.active_weight -= u64::from(account.weight);
        self.active.remove(&(account.served, name.clone()));
        self.drop_idle_accounts();
    }

    /// Returns the organisation to serve next.
    pub(super) fn first(&self) -> Option<&Name> {
        self.active.first().map(|(_, name)| name)
    }

    /// Charges `amount` of the resource to an organisation.
    pub(super) fn charge(&mut self, name: &Name, amount: u64) {
        let Some(account) = self.accounts.get(name) else {
            return;
        };
        let served = account.served;
        self.virtual_clock = self.virtual_clock.max(served);
        let charged = virtual_time(amount, account.weight);
        self.set_served(name, served.saturating_add(charged));
    }

    /// Refunds an amount that an organisation was charged and did not use.
    pub(super) fn refund(&mut self, name: &Name, amount: u64) {
        let Some(account) = self.accounts.get(name) else {
            return;
        };
        let served = account.served;
        let corrected = served.saturating_sub(virtual_time(amount, account.weight));
        self.set_served(name, corrected.max(self.virtual_clock.min(served)));
    }

    /// Returns the amount that all organisations together receive until this organisation has
    /// received `amount`.
    pub(super) fn total_until_served(&self, name: &Name, amount: f64) -> f64 {
        match self.accounts.get(name) {
            Some(account) if account.is_active => {
                amount * self.active_weight as f64 / f64::from(account.weight)
            }
            _ => amount,
        }
    }

    fn set_served(&mut self, name: &Name, served: u64) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        if account.is_active {
            self.active.remove(&(account.served, name.clone()));
            self.active.insert((served, name.clone()));
        }
        account.served = served;
    }

    /// Drops idle accounts at or below the virtual clock, which are equivalent to new accounts.
    fn drop_idle_accounts(&mut self) {
        if self.accounts.len() <= 2 * self.active.len() + SPARE_ACCOUNTS {
            return;
        }
        let virtual_clock = self.virtual_clock;
        self.accounts
            .retain(|_, account| account.is_active || account.served > virtual_clock);
    }
}

fn virtual_time(amount: u64, weight: u32) -> u64 {
    amount.max(1).saturating_mul(VIRTUAL_TIME_SCALE) / u64::from(weight.max(1))
}
