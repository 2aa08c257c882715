//! The organisations that have requests waiting, and whose turn it is.

use std::collections::{BTreeSet, HashMap};

use super::share::FairShare;
use crate::name::{AdapterVersion, Name};

/// Place of a request in the order of arrival.
pub(super) type Sequence = u64;

/// Place of an adapter in the order of loads; a smaller one is more urgent.
pub(super) type Rank = i64;

/// The requests of one organisation.
#[derive(Debug, Default)]
struct Lane {
    /// Requests whose adapter is ready.
    ready: BTreeSet<Sequence>,
    /// Upper bound of the tokens of the requests in `ready`.
    ready_tokens: u64,
    /// Adapters to load.
    wanted: BTreeSet<(Rank, AdapterVersion)>,
    weight: u32,
    /// Requests of any kind. Invariant: the lane is dropped when this reaches zero.
    requests: usize,
}

/// The organisations that have requests waiting, and whose turn it is.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    by_name: HashMap<Name, Lane>,
    /// Sum of the tokens of all ready requests.
    ready_tokens: u64,
    /// Adapters to load, counted once for each organisation that wants them.
    wanted: usize,
    /// Invariant: a lane is active exactly while its `ready` is not empty.
    token_share: FairShare,
    /// Invariant: a lane is active exactly while its `wanted` is not empty.
    load_share: FairShare,
}

impl Lanes {
    /// Counts one more request of an organisation.
    pub(super) fn join(&mut self, name: &Name, weight: u32) {
        let lane = self.by_name.entry(name.clone()).or_default();
        lane.weight = weight;
        lane.requests += 1;
    }

    /// Counts one request of an organisation less.
    pub(super) fn leave(&mut self, name: &Name) {
        let Some(lane) = self.by_name.get_mut(name) else {
            return;
        };
        lane.requests -= 1;
        if lane.requests == 0 {
            self.by_name.remove(name);
        }
    }

    /// A request can run.
    pub(super) fn enter_ready(&mut self, name: &Name, sequence: Sequence, tokens: u64) {
        let Some(lane) = self.by_name.get_mut(name) else {
            return;
        };
        if lane.ready.insert(sequence) {
            lane.ready_tokens += tokens;
            self.ready_tokens += tokens;
            self.token_share.activate(name, lane.weight);
        }
    }

    /// A request can no longer run, or no longer waits.
    pub(super) fn leave_ready(&mut self, name: &Name, sequence: Sequence, tokens: u64) {
        let Some(lane) = self.by_name.get_mut(name) else {
            return;
        };
        if !lane.ready.remove(&sequence) {
            return;
        }
        lane.ready_tokens -= tokens;
        self.ready_tokens -= tokens;
        if lane.ready.is_empty() {
            self.token_share.deactivate(name);
        }
    }

    /// An organisation wants an adapter loaded.
    pub(super) fn enter_wanted(&mut self, name: &Name, rank: Rank, model: &AdapterVersion) {
        let Some(lane) = self.by_name.get_mut(name) else {
            return;
        };
        if lane.wanted.insert((rank, model.clone())) {
            self.wanted += 1;
            self.load_share.activate(name, lane.weight);
        }
    }

    /// An organisation no longer wants an adapter loaded, or no longer with this rank.
    pub(super) fn leave_wanted(&mut self, name: &Name, rank: Rank, model: &AdapterVersion) {
        let Some(lane) = self.by_name.get_mut(name) else {
            return;
        };
        if !lane.wanted.remove(&(rank, model.clone())) {
            return;
        }
        self.wanted -= 1;
        if lane.wanted.is_empty() {
            self.load_share.deactivate(name);
        }
    }

    /// The request to run next.
    pub(super) fn first_ready(&self) -> Option<Sequence> {
        let lane = self.by_name.get(self.token_share.first()?)?;
        lane.ready.first().copied()
    }

    /// The adapter to load next.
    pub(super) fn first_wanted(&self) -> Option<(Rank, &AdapterVersion)> {
        let lane = self.by_name.get(self.load_share.first()?)?;
        lane.wanted.first().map(|(rank, model)| (*rank, model))
    }

    /// Charges tokens to an organisation.
    pub(super) fn charge_tokens(&mut self, name: &Name, tokens: u64) {
        self.token_share.charge(name, tokens);
    }

    /// Gives an organisation back tokens that it was charged and did not use.
    pub(super) fn refund_tokens(&mut self, name: &Name, tokens: u64) {
        self.token_share.refund(name, tokens);
    }

    /// Charges a load to the organisation whose turn it is.
    pub(super) fn charge_load(&mut self) {
        if let Some(name) = self.load_share.first().cloned() {
            self.load_share.charge(&name, 1);
        }
    }

    /// Tokens that are served before a new request of the organisation for a ready adapter, while
    /// the others take their shares.
    pub(super) fn tokens_ahead(&self, name: &Name) -> f64 {
        let own = self.by_name.get(name).map_or(0, |lane| lane.ready_tokens);
        let all = self.ready_tokens as f64;
        self.token_share.until_served(name, own as f64).min(all)
    }

    /// Loads that start until all that the organisation wants have started, while the others take
    /// their shares.
    pub(super) fn loads_ahead(&self, name: &Name) -> f64 {
        let own = self.by_name.get(name).map_or(0, |lane| lane.wanted.len());
        let all = self.wanted as f64;
        self.load_share.until_served(name, own as f64).min(all)
    }
}
