//! Waiting requests, indexed by adapter, organisation and deadline.
//!
//! Each change takes time logarithmic in the number of waiting requests. Only a change of an
//! adapter's [`Phase`] iterates over the requests that wait for this adapter.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::action::{Ticket, WaitingRequest};
use super::organisation_queues::{OrganisationQueues, Rank, Sequence};
use crate::name::{AdapterVersion, Name};

/// What the requests for an adapter wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// The start of the adapter's load.
    Absent,
    /// The end of the adapter's load, or the end of the requests that prevent its eviction.
    Blocked,
    /// Space in the batch.
    Ready,
}

/// A waiting request with its account and arrival time.
#[derive(Debug)]
pub(super) struct BacklogEntry {
    pub(super) request: WaitingRequest,
    /// Account that is charged for the request: the organisation, or the empty name under first-in
    /// first-out order.
    pub(super) account: Name,
    pub(super) arrived_ms: u64,
}

/// The requests for one adapter.
#[derive(Debug)]
struct Group {
    phase: Phase,
    /// Requests by account. Invariant: no set is empty.
    by_account: BTreeMap<Name, BTreeSet<Sequence>>,
}

/// All requests that wait for one server.
#[derive(Debug)]
pub(super) struct Backlog {
    load_credit_ms: u64,
    next_sequence: Sequence,
    entries: HashMap<Sequence, BacklogEntry>,
    /// Invariant: contains each entry exactly once.
    tickets: HashMap<Ticket, Sequence>,
    /// Invariant: contains each entry exactly once.
    deadlines: BTreeSet<(u64, Sequence)>,
    /// Invariant: each group contains at least one request.
    groups: HashMap<AdapterVersion, Group>,
    pub(super) organisations: OrganisationQueues,
}

impl Backlog {
    pub(super) fn new(load_credit_ms: u64) -> Self {
        Self {
            load_credit_ms,
            next_sequence: 0,
            entries: HashMap::new(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            groups: HashMap::new(),
            organisations: OrganisationQueues::default(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a request; `phase` is the phase of its adapter.
    pub(super) fn push(&mut self, entry: BacklogEntry, phase: Phase) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let (model, account) = (entry.request.model.clone(), entry.account.clone());
        let request = &entry.request;
        self.tickets.insert(request.ticket, sequence);
        self.deadlines.insert((request.deadline_ms, sequence));
        self.organisations.add_request(&account, request.weight);
        let cost_tokens = request.cost_tokens;
        self.remove_wanted_load(&model, &account);
        self.entries.insert(sequence, entry);
        let group = self.groups.entry(model.clone()).or_insert(Group {
            phase,
            by_account: BTreeMap::new(),
        });
        let sequences = group.by_account.entry(account.clone()).or_default();
        sequences.insert(sequence);
        match group.phase {
            Phase::Absent => self.add_wanted_load(&model, &account),
            Phase::Blocked => {}
            Phase::Ready => self
                .organisations
                .add_ready(&account, sequence, cost_tokens),
        }
    }

    /// Removes a request by its ticket.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<BacklogEntry> {
        let sequence = *self.tickets.get(&ticket)?;
        self.remove_sequence(sequence)
    }

    /// Removes and returns a request whose deadline has passed.
    pub(super) fn take_expired(&mut self, now_ms: u64) -> Option<BacklogEntry> {
        let (deadline_ms, sequence) = *self.deadlines.first()?;
        if deadline_ms > now_ms {
            return None;
        }
        self.remove_sequence(sequence)
    }

    /// Removes and returns the request to run next, and charges its account.
    pub(super) fn take_ready(&mut self) -> Option<BacklogEntry> {
        let sequence = self.organisations.first_ready()?;
        let entry = self.entries.get(&sequence)?;
        let request = &entry.request;
        self.organisations
            .charge_tokens(&entry.account, request.cost_tokens);
        self.remove_sequence(sequence)
    }

    /// Removes and returns all requests for an adapter, oldest first.
    pub(super) fn take_group(&mut self, model: &AdapterVersion) -> Vec<BacklogEntry> {
        let Some(group) = self.groups.get(model) else {
            return Vec::new();
        };
        let sequences: BTreeSet<Sequence> = group.by_account.values().flatten().copied().collect();
        sequences
            .into_iter()
            .filter_map(|sequence| self.remove_sequence(sequence))
            .collect()
    }

    /// Changes what the requests for an adapter wait for.
    pub(super) fn set_phase(&mut self, model: &AdapterVersion, phase: Phase) {
        let Some(group) = self.groups.get_mut(model) else {
            return;
        };
        let before = std::mem::replace(&mut group.phase, phase);
        if before == phase {
            return;
        }
        let by_account = group.by_account.clone();
        for (account, sequences) in &by_account {
            match before {
                Phase::Absent => self.remove_wanted_load_of(model, account, sequences),
                Phase::Blocked => {}
                Phase::Ready => self.remove_all_ready(account, sequences),
            }
            match phase {
                Phase::Absent => self.add_wanted_load(model, account),
                Phase::Blocked => {}
                Phase::Ready => self.add_all_ready(account, sequences),
            }
        }
    }

    /// Returns the number of requests that wait for the adapter.
    pub(super) fn group_len(&self, model: &AdapterVersion) -> usize {
        let Some(group) = self.groups.get(model) else {
            return 0;
        };
        group.by_account.values().map(BTreeSet::len).sum()
    }

    fn remove_sequence(&mut self, sequence: Sequence) -> Option<BacklogEntry> {
        let entry = self.entries.get(&sequence)?;
        let (model, account) = (entry.request.model.clone(), entry.account.clone());
        let cost_tokens = entry.request.cost_tokens;
        self.remove_wanted_load(&model, &account);
        self.organisations
            .remove_ready(&account, sequence, cost_tokens);
        self.remove_from_group(sequence, &model, &account);
        let entry = self.entries.remove(&sequence)?;
        let request = &entry.request;
        self.tickets.remove(&request.ticket);
        self.deadlines.remove(&(request.deadline_ms, sequence));
        self.organisations.remove_request(&account);
        let phase = self.groups.get(&model).map(|group| group.phase);
        if phase == Some(Phase::Absent) {
            self.add_wanted_load(&model, &account);
        }
        Some(entry)
    }

    fn remove_from_group(&mut self, sequence: Sequence, model: &AdapterVersion, account: &Name) {
        let Some(group) = self.groups.get_mut(model) else {
            return;
        };
        if let Some(sequences) = group.by_account.get_mut(account) {
            sequences.remove(&sequence);
            if sequences.is_empty() {
                group.by_account.remove(account);
            }
        }
        if group.by_account.is_empty() {
            self.groups.remove(model);
        }
    }

    /// Returns the rank of an adapter among the loads that an account needs. The rank does not
    /// change with time.
    fn rank(&self, sequences: &BTreeSet<Sequence>) -> Option<Rank> {
        let oldest = self.entries.get(sequences.first()?)?;
        let credit_ms = self.load_credit_ms.saturating_mul(sequences.len() as u64);
        let arrived_ms = i64::try_from(oldest.arrived_ms).unwrap_or(i64::MAX);
        Some(arrived_ms.saturating_sub_unsigned(credit_ms))
    }

    fn wanted_rank(&self, model: &AdapterVersion, account: &Name) -> Option<Rank> {
        let group = self.groups.get(model)?;
        if group.phase != Phase::Absent {
            return None;
        }
        self.rank(group.by_account.get(account)?)
    }

    fn add_wanted_load(&mut self, model: &AdapterVersion, account: &Name) {
        if let Some(rank) = self.wanted_rank(model, account) {
            self.organisations.add_wanted_load(account, rank, model);
        }
    }

    fn remove_wanted_load(&mut self, model: &AdapterVersion, account: &Name) {
        if let Some(rank) = self.wanted_rank(model, account) {
            self.organisations.remove_wanted_load(account, rank, model);
        }
    }

    fn remove_wanted_load_of(
        &mut self,
        model: &AdapterVersion,
        account: &Name,
        sequences: &BTreeSet<Sequence>,
    ) {
        if let Some(rank) = self.rank(sequences) {
            self.organisations.remove_wanted_load(account, rank, model);
        }
    }

    fn add_all_ready(&mut self, account: &Name, sequences: &BTreeSet<Sequence>) {
        for sequence in sequences {
            let cost_tokens = self.cost_tokens(*sequence);
            self.organisations
                .add_ready(account, *sequence, cost_tokens);
        }
    }

    fn remove_all_ready(&mut self, account: &Name, sequences: &BTreeSet<Sequence>) {
        for sequence in sequences {
            let cost_tokens = self.cost_tokens(*sequence);
            self.organisations
                .remove_ready(account, *sequence, cost_tokens);
        }
    }

    fn cost_tokens(&self, sequence: Sequence) -> u64 {
        let entry = self.entries.get(&sequence);
        entry.map_or(0, |entry| entry.request.cost_tokens)
    }
}
