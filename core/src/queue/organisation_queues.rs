//! Waiting requests and needed loads by organisation, and the fair order between organisations.

use std::collections::{BTreeSet, HashMap};

use super::share::FairShare;
use crate::name::{AdapterVersion, Name};

/// Position of a request in the order of arrival.
pub(super) type Sequence = u64;

/// Position of an adapter in the order of loads; a smaller value is more urgent.
pub(super) type Rank = i64;

/// The requests of one organisation.
#[derive(Debug, Default)]
struct OrganisationQueue {
    /// Requests whose adapter is ready.
    ready: BTreeSet<Sequence>,
    /// Upper bound of the tokens of the requests in `ready`.
    ready_tokens: u64,
    /// Adapters that must be loaded for the organisation's requests.
    wanted_loads: BTreeSet<(Rank, AdapterVersion)>,
    weight: u32,
    /// Number of waiting requests. Invariant: the queue is dropped when it reaches zero.
    requests: usize,
}

/// Queues of the organisations that have waiting requests.
#[derive(Debug, Default)]
pub(super) struct OrganisationQueues {
    by_account: HashMap<Name, OrganisationQueue>,
    /// Sum of the tokens of all ready requests.
    ready_tokens: u64,
    /// Number of adapters to load, counted once for each organisation that needs them.
    wanted_loads: usize,
    /// Invariant: an organisation is active exactly while its `ready` is not empty.
    token_share: FairShare,
    /// Invariant: an organisation is active exactly while its `wanted_loads` is not empty.
    load_share: FairShare,
}

impl OrganisationQueues {
    /// Counts a new request of an organisation.
    pub(super) fn add_request(&mut self, name: &Name, weight: u32) {
        let queue = self.by_account.entry(name.clone()).or_default();
        queue.weight = weight;
        queue.requests += 1;
    }

    /// Counts the removal of a request of an organisation.
    pub(super) fn remove_request(&mut self, name: &Name) {
        let Some(queue) = self.by_account.get_mut(name) else {
            return;
        };
        queue.requests -= 1;
        if queue.requests == 0 {
            self.by_account.remove(name);
        }
    }

    /// Adds a request that can run.
    pub(super) fn add_ready(&mut self, name: &Name, sequence: Sequence, tokens: u64) {
        let Some(queue) = self.by_account.get_mut(name) else {
            return;
        };
        if queue.ready.insert(sequence) {
            queue.ready_tokens += tokens;
            self.ready_tokens += tokens;
            self.token_share.activate(name, queue.weight);
        }
    }

    /// Removes a request that can no longer run or no longer waits.
    pub(super) fn remove_ready(&mut self, name: &Name, sequence: Sequence, tokens: u64) {
        let Some(queue) = self.by_account.get_mut(name) else {
            return;
        };
        if !queue.ready.remove(&sequence) {
            return;
        }
        queue.ready_tokens -= tokens;
        self.ready_tokens -= tokens;
        if queue.ready.is_empty() {
            self.token_share.deactivate(name);
        }
    }

    /// Adds an adapter that must be loaded for an organisation.
    pub(super) fn add_wanted_load(&mut self, name: &Name, rank: Rank, model: &AdapterVersion) {
        let Some(queue) = self.by_account.get_mut(name) else {
            return;
        };
        if queue.wanted_loads.insert((rank, model.clone())) {
            self.wanted_loads += 1;
            self.load_share.activate(name, queue.weight);
        }
    }

    /// Removes a needed load, either because it is no longer needed or because its rank changes.
    pub(super) fn remove_wanted_load(&mut self, name: &Name, rank: Rank, model: &AdapterVersion) {
        let Some(queue) = self.by_account.get_mut(name) else {
            return;
        };
        if !queue.wanted_loads.remove(&(rank, model.clone())) {
            return;
        }
        self.wanted_loads -= 1;
        if queue.wanted_loads.is_empty() {
            self.load_share.deactivate(name);
        }
    }

    /// Returns the request to run next.
    pub(super) fn first_ready(&self) -> Option<Sequence> {
        let queue = self.by_account.get(self.token_share.first()?)?;
        queue.ready.first().copied()
    }

    /// Returns the adapter to load next, with its rank.
    pub(super) fn first_wanted_load(&self) -> Option<(Rank, &AdapterVersion)> {
        let queue = self.by_account.get(self.load_share.first()?)?;
        queue
            .wanted_loads
            .first()
            .map(|(rank, model)| (*rank, model))
    }

    /// Returns the number of adapters to load, counted once for each organisation that needs them.
    pub(super) fn wanted_loads(&self) -> usize {
        self.wanted_loads
    }

    /// Charges tokens to an organisation.
    pub(super) fn charge_tokens(&mut self, name: &Name, tokens: u64) {
        self.token_share.charge(name, tokens);
    }

    /// Refunds tokens that an organisation was charged and did not use.
    pub(super) fn refund_tokens(&mut self, name: &Name, tokens: u64) {
        self.token_share.refund(name, tokens);
    }

    /// Charges a load to the organisation that is served next.
    pub(super) fn charge_load(&mut self) {
        if let Some(name) = self.load_share.first().cloned() {
            self.load_share.charge(&name, 1);
        }
    }

    /// Returns the tokens that are served before a new request of the organisation for a ready
    /// adapter, while the other organisations receive their shares.
    pub(super) fn tokens_ahead(&self, name: &Name) -> f64 {
        let own = self
            .by_account
            .get(name)
            .map_or(0, |queue| queue.ready_tokens);
        let all = self.ready_tokens as f64;
        self.token_share
            .total_until_served(name, own as f64)
            .min(all)
    }

    /// Returns the number of loads that start until all loads that the organisation needs have
    /// started, while the other organisations receive their shares.
    pub(super) fn loads_ahead(&self, name: &Name) -> f64 {
        let own = self
            .by_account
            .get(name)
            .map_or(0, |queue| queue.wanted_loads.len());
        let all = self.wanted_loads as f64;
        self.load_share
            .total_until_served(name, own as f64)
            .min(all)
    }
}
