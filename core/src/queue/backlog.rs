//! The requests that wait, by adapter, organisation and deadline.
//!
//! Each change costs the logarithm of the number of waiting requests. Only a change of an
//! adapter's [`Phase`] visits the requests that wait for this adapter.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::action::{Ticket, Waiting};
use super::lanes::{Lanes, Rank, Sequence};
use crate::name::{AdapterVersion, Name};

/// What the requests for an adapter wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// A load that has not started.
    Absent,
    /// The end of a load, or of the requests that keep the adapter from being evicted.
    Held,
    /// Room in the batch.
    Ready,
}

/// A waiting request with what the queue knows of it.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) request: Waiting,
    /// The account it is charged to.
    pub(super) lane: Name,
    pub(super) arrived_ms: u64,
}

/// The requests for one adapter.
#[derive(Debug)]
struct Group {
    phase: Phase,
    /// Requests by organisation. Invariant: no set is empty.
    members: BTreeMap<Name, BTreeSet<Sequence>>,
}

/// All requests that wait for one server.
#[derive(Debug)]
pub(super) struct Backlog {
    load_credit_ms: u64,
    next: Sequence,
    entries: HashMap<Sequence, Entry>,
    /// Invariant: holds each entry exactly once.
    tickets: HashMap<Ticket, Sequence>,
    /// Invariant: holds each entry exactly once.
    deadlines: BTreeSet<(u64, Sequence)>,
    /// Invariant: a group has at least one request.
    groups: HashMap<AdapterVersion, Group>,
    pub(super) lanes: Lanes,
}

impl Backlog {
    pub(super) fn new(load_credit_ms: u64) -> Self {
        Self {
            load_credit_ms,
            next: 0,
            entries: HashMap::new(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            groups: HashMap::new(),
            lanes: Lanes::default(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Takes in a request; `phase` is that of its adapter.
    pub(super) fn push(&mut self, entry: Entry, phase: Phase) {
        let sequence = self.next;
        self.next += 1;
        let (model, lane) = (entry.request.model.clone(), entry.lane.clone());
        let request = &entry.request;
        self.tickets.insert(request.ticket, sequence);
        self.deadlines.insert((request.deadline_ms, sequence));
        self.lanes.join(&lane, request.weight);
        let cost_tokens = request.cost_tokens;
        self.withdraw_wanted(&model, &lane);
        self.entries.insert(sequence, entry);
        let group = self.groups.entry(model.clone()).or_insert(Group {
            phase,
            members: BTreeMap::new(),
        });
        let members = group.members.entry(lane.clone()).or_default();
        members.insert(sequence);
        match group.phase {
            Phase::Absent => self.announce_wanted(&model, &lane),
            Phase::Held => {}
            Phase::Ready => self.lanes.enter_ready(&lane, sequence, cost_tokens),
        }
    }

    /// Takes a request out by its number.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let sequence = *self.tickets.get(&ticket)?;
        self.take(sequence)
    }

    /// Takes out a request whose deadline has passed.
    pub(super) fn take_expired(&mut self, now_ms: u64) -> Option<Entry> {
        let (deadline_ms, sequence) = *self.deadlines.first()?;
        if deadline_ms > now_ms {
            return None;
        }
        self.take(sequence)
    }

    /// Takes out the request to run next and charges its organisation.
    pub(super) fn take_ready(&mut self) -> Option<Entry> {
        let sequence = self.lanes.first_ready()?;
        let entry = self.entries.get(&sequence)?;
        let request = &entry.request;
        self.lanes.charge_tokens(&entry.lane, request.cost_tokens);
        self.take(sequence)
    }

    /// Takes out all requests for an adapter, oldest first.
    pub(super) fn take_group(&mut self, model: &AdapterVersion) -> Vec<Entry> {
        let Some(group) = self.groups.get(model) else {
            return Vec::new();
        };
        let members: BTreeSet<Sequence> = group.members.values().flatten().copied().collect();
        members
            .into_iter()
            .filter_map(|sequence| self.take(sequence))
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
        let members = group.members.clone();
        for (lane, sequences) in &members {
            match before {
                Phase::Absent => self.withdraw_rank(model, lane, sequences),
                Phase::Held => {}
                Phase::Ready => self.withdraw_ready(lane, sequences),
            }
            match phase {
                Phase::Absent => self.announce_wanted(model, lane),
                Phase::Held => {}
                Phase::Ready => self.announce_ready(lane, sequences),
            }
        }
    }

    /// Requests that wait for the adapter.
    pub(super) fn group_len(&self, model: &AdapterVersion) -> usize {
        let Some(group) = self.groups.get(model) else {
            return 0;
        };
        group.members.values().map(BTreeSet::len).sum()
    }

    fn take(&mut self, sequence: Sequence) -> Option<Entry> {
        let entry = self.entries.get(&sequence)?;
        let (model, lane) = (entry.request.model.clone(), entry.lane.clone());
        let cost_tokens = entry.request.cost_tokens;
        self.withdraw_wanted(&model, &lane);
        self.lanes.leave_ready(&lane, sequence, cost_tokens);
        self.leave_group(sequence, &model, &lane);
        let entry = self.entries.remove(&sequence)?;
        let request = &entry.request;
        self.tickets.remove(&request.ticket);
        self.deadlines.remove(&(request.deadline_ms, sequence));
        self.lanes.leave(&lane);
        let phase = self.groups.get(&model).map(|group| group.phase);
        if phase == Some(Phase::Absent) {
            self.announce_wanted(&model, &lane);
        }
        Some(entry)
    }

    fn leave_group(&mut self, sequence: Sequence, model: &AdapterVersion, lane: &Name) {
        let Some(group) = self.groups.get_mut(model) else {
            return;
        };
        if let Some(members) = group.members.get_mut(lane) {
            members.remove(&sequence);
            if members.is_empty() {
                group.members.remove(lane);
            }
        }
        if group.members.is_empty() {
            self.groups.remove(model);
        }
    }

    /// Rank of an adapter among those that an organisation wants. It does not change with time.
    fn rank(&self, members: &BTreeSet<Sequence>) -> Option<Rank> {
        let oldest = self.entries.get(members.first()?)?;
        let credit_ms = self.load_credit_ms.saturating_mul(members.len() as u64);
        let arrived_ms = i64::try_from(oldest.arrived_ms).unwrap_or(i64::MAX);
        Some(arrived_ms.saturating_sub_unsigned(credit_ms))
    }

    fn wanted_rank(&self, model: &AdapterVersion, lane: &Name) -> Option<Rank> {
        let group = self.groups.get(model)?;
        if group.phase != Phase::Absent {
            return None;
        }
        self.rank(group.members.get(lane)?)
    }

    fn announce_wanted(&mut self, model: &AdapterVersion, lane: &Name) {
        if let Some(rank) = self.wanted_rank(model, lane) {
            self.lanes.enter_wanted(lane, rank, model);
        }
    }

    fn withdraw_wanted(&mut self, model: &AdapterVersion, lane: &Name) {
        if let Some(rank) = self.wanted_rank(model, lane) {
            self.lanes.leave_wanted(lane, rank, model);
        }
    }

    fn withdraw_rank(&mut self, model: &AdapterVersion, lane: &Name, members: &BTreeSet<Sequence>) {
        if let Some(rank) = self.rank(members) {
            self.lanes.leave_wanted(lane, rank, model);
        }
    }

    fn announce_ready(&mut self, lane: &Name, members: &BTreeSet<Sequence>) {
        for sequence in members {
            let cost_tokens = self.cost_tokens(*sequence);
            self.lanes.enter_ready(lane, *sequence, cost_tokens);
        }
    }

    fn withdraw_ready(&mut self, lane: &Name, members: &BTreeSet<Sequence>) {
        for sequence in members {
            let cost_tokens = self.cost_tokens(*sequence);
            self.lanes.leave_ready(lane, *sequence, cost_tokens);
        }
    }

    fn cost_tokens(&self, sequence: Sequence) -> u64 {
        let entry = self.entries.get(&sequence);
        entry.map_or(0, |entry| entry.request.cost_tokens)
    }
}
