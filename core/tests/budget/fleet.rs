//! Simulates instances, their clocks and the network between them in virtual time.

use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use mimosabay_core::budget::{BudgetSettings, Budgets, Charge, Limit, OutgoingMessage};
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::roster::Roster;

use crate::oracle::{InForce, Spend, overdraft};

/// Time after which no instance acts on an older limit: a full grant, by the slowest clock.
const LIMIT_GRACE_MS: u64 = 800;
const VERSION_EXCHANGE_PERIOD_MS: u64 = 200;
/// Largest deviation of the fastest and slowest clock.
const MAX_DRIFT_PPM: i64 = 10_000;

/// Faults of the network and the instances; percentages are of messages or steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultProfile {
    pub(crate) loss_percent: u8,
    pub(crate) duplicate_percent: u8,
    pub(crate) late_percent: u8,
    pub(crate) max_delay_ms: u64,
    pub(crate) has_instance_faults: bool,
}

struct Packet {
    due_ms: u64,
    from: InstanceId,
    send: OutgoingMessage,
}

struct OpenCharge {
    ticket: u64,
    spend: usize,
}

struct WaitingRequest {
    ticket: u64,
    tokens: u64,
    deadline_ms: u64,
}

struct Node {
    id: InstanceId,
    budgets: Budgets,
    drift_ppm: i64,
    started_ms: u64,
    paused_until_ms: u64,
    /// Time until which the store does not answer this instance.
    cut_off_until_ms: u64,
    version_exchange_ms: u64,
    /// Index of the oldest roster in the history that a read may return.
    oldest_readable_roster: usize,
    generation: usize,
    open: Vec<OpenCharge>,
    waiting: Vec<WaitingRequest>,
}

/// Simulated instances with one organisation.
pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    organisation: Name,
    settings: BudgetSettings,
    faults: FaultProfile,
    limits: Vec<Limit>,
    nodes: Vec<Node>,
    removed: Vec<InstanceId>,
    in_flight: Vec<Packet>,
    /// Pairs of instances between which messages are lost, and until when.
    cut_links: Vec<(InstanceId, InstanceId, u64)>,
    rosters: Vec<Arc<Roster>>,
    store_is_up: bool,
    next_incarnation: u64,
    next_ticket: u64,
    in_force: Vec<InForce>,
    spends: Vec<Spend>,
    pub(crate) message_count: usize,
}

impl Fleet {
    pub(crate) fn new(settings: BudgetSettings, faults: FaultProfile, limit: Limit) -> Self {
        Self {
            now_ms: 1,
            organisation: "org".into(),
            settings,
            faults,
            limits: vec![limit],
            nodes: Vec::new(),
            removed: Vec::new(),
            in_flight: Vec::new(),
            cut_links: Vec::new(),
            rosters: vec![Arc::default()],
            store_is_up: true,
            next_incarnation: 1,
            next_ticket: 1,
            in_force: vec![in_force(&[limit], 0, 0)],
            spends: Vec::new(),
            message_count: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Starts an instance.
    pub(crate) fn start(&mut self, drift_ppm: i64) {
        let id = InstanceId::new(format!("i{}", self.next_incarnation), 1);
        self.next_incarnation += 1;
        let mut node = Node {
            budgets: Budgets::new(id.clone(), self.settings, 0),
            id,
            drift_ppm,
            started_ms: self.now_ms,
            paused_until_ms: 0,
            cut_off_until_ms: 0,
            version_exchange_ms: 0,
            oldest_readable_roster: 0,
            generation: 0,
            open: Vec::new(),
            waiting: Vec::new(),
        };
        let limit = self.limits[0];
        node.budgets.configure(&self.organisation, limit, 1, 0);
        self.nodes.push(node);
    }

    /// Makes all instances known to each other.
    pub(crate) fn set_all_peers(&mut self) {
        let peers: Vec<_> = self.nodes.iter().map(|node| node.id.clone()).collect();
        for node in &mut self.nodes {
            let now_ms = node.local_ms(self.now_ms);
            node.budgets.set_peers(peers.clone(), now_ms);
        }
    }

    /// Advances time, delivers the messages that are due and lets every running instance act.
    pub(crate) fn step(&mut self, passed_ms: u64, u: &mut Unstructured) -> Result<()> {
        self.now_ms += passed_ms;
        self.record_limit();
        let (due, wait) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|packet| packet.due_ms <= self.now_ms);
        self.in_flight = wait;
        let due: Vec<Packet> = due;
        for packet in due {
            self.deliver(packet, u)?;
        }
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                for waiting in std::mem::take(&mut self.nodes[index].waiting) {
                    self.try_charge(index, waiting);
                }
                let now_ms = self.nodes[index].local_ms(self.now_ms);
                let sends = self.nodes[index].budgets.tick(now_ms);
                self.send(index, sends, u)?;
                self.exchange_versions(index, u)?;
            }
        }
        Ok(())
    }

    /// Reports to an instance the roster version that another one acts on.
    fn exchange_versions(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        if self.nodes[index].version_exchange_ms + VERSION_EXCHANGE_PERIOD_MS > self.now_ms {
            return Ok(());
        }
        self.nodes[index].version_exchange_ms = self.now_ms;
        let count = self.nodes.len();
        let turn =
            usize::try_from(self.now_ms / VERSION_EXCHANGE_PERIOD_MS).expect("time is short");
        let other = (index + 1 + turn % (count - 1).max(1)) % count;
        let is_lost = self.faults.loss_percent > 0 && u.ratio(self.faults.loss_percent, 100)?;
        if other != index && self.is_running(other) && !is_lost {
            let from = self.nodes[other].id.clone();
            let version = self.nodes[other].budgets.roster_version();
            let node = &mut self.nodes[index];
            let now_ms = node.local_ms(self.now_ms);
            node.budgets
                .record_peer_version(&from, version, now_ms, now_ms);
        }
        Ok(())
    }

    /// Lets an instance read the roster and change it where needed.
    pub(crate) fn sync_roster(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        let is_cut_off = self.nodes[index].cut_off_until_ms > self.now_ms;
        if !self.store_is_up || is_cut_off || !self.is_running(index) {
            return Ok(());
        }
        let newest = self.rosters.len() - 1;
        let node = &mut self.nodes[index];
        let now_ms = node.local_ms(self.now_ms);
        let oldest = node.oldest_readable_roster.max(newest.saturating_sub(2));
        let read = newest - u.int_in_range(0..=newest - oldest)?;
        node.oldest_readable_roster = read;
        node.budgets.set_roster(&self.rosters[read], now_ms, now_ms);
        // The store refuses a change that is not based on its newest version.
        if read != newest {
            return Ok(());
        }
        let roster = &self.rosters[newest];
        // The platform may also remove an instance from its list that is only paused.
        let now = self.now_ms;
        let paused = |node: &&Node| node.paused_until_ms > now;
        let paused: Vec<_> = self
            .nodes
            .iter()
            .filter(paused)
            .map(|node| &node.id)
            .collect();
        let has_terminated = |id: &InstanceId| self.removed.contains(id) || paused.contains(&id);
        let node = &self.nodes[index];
        let confirmable = node.budgets.confirmable_version(now_ms);
        let changed = roster
            .join(&node.id)
            .or_else(|| roster.remove(has_terminated))
            .or_else(|| roster.confirm(&node.id, confirmable?));
        self.rosters.extend(changed.map(Arc::new));
        Ok(())
    }

    /// Charges a request; a granted one is settled later by [`Fleet::settle`].
    pub(crate) fn charge(
        &mut self,
        index: usize,
        ticket: u64,
        tokens: u64,
        max_wait_ms: u64,
    ) -> Charge {
        if !self.is_running(index) {
            return Charge::Refused { retry_after_ms: 0 };
        }
        let node = &mut self.nodes[index];
        let now_ms = node.local_ms(self.now_ms);
        let organisation = &self.organisation;
        let charge = node
            .budgets
            .charge(organisation, ticket, tokens, max_wait_ms, now_ms);
        if charge == Charge::Granted {
            let spend = self.spends.len();
            node.open.push(OpenCharge { ticket, spend });
            self.spends.push(Spend {
                at_ms: self.now_ms,
                tokens: tokens as f64,
            });
        }
        charge
    }

    /// Returns the ticket of a new request.
    pub(crate) fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Settles an open charge of an instance.
    pub(crate) fn settle(&mut self, index: usize, open: usize, used_percent: u64) {
        if !self.is_running(index) || self.nodes[index].open.is_empty() {
            return;
        }
        let node = &mut self.nodes[index];
        let open = node.open.swap_remove(open % node.open.len());
        let spend = &mut self.spends[open.spend];
        let used = (spend.tokens * used_percent as f64 / 100.0).floor();
        spend.tokens = used;
        let now_ms = node.local_ms(self.now_ms);
        node.budgets
            .settle(&self.organisation, open.ticket, used as u64, now_ms);
    }

    /// Kills an instance; its open charges count as used.
    pub(crate) fn kill(&mut self, index: usize) {
        let node = self.nodes.remove(index);
        self.removed.push(node.id);
    }

    /// Shuts an instance down in an orderly way.
    pub(crate) fn leave(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        if self.is_running(index) {
            let now_ms = self.nodes[index].local_ms(self.now_ms);
            let sends = self.nodes[index].budgets.leave(now_ms);
            self.send(index, sends, u)?;
            self.kill(index);
        }
        Ok(())
    }

    /// Performs one random event.
    pub(crate) fn random_event(&mut self, u: &mut Unstructured) -> Result<()> {
        if self.nodes.len() < 2 {
            self.start(u.int_in_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM)?);
        }
        let index = u.choose_index(self.nodes.len())?;
        match u.int_in_range(0..=999_u16)? {
            0..=499 => self.random_charge(index, u)?,
            500..=649 => {
                let open = u.int_in_range(0..=63)?;
                let used_percent = u.int_in_range(0..=10)? * 10;
                self.settle(index, open, used_percent);
            }
            650..=849 => self.sync_roster(index, u)?,
            850..=919 => self.random_peers(index, u)?,
            _ if !self.faults.has_instance_faults => {}
            920..=939 => self.adopt_limit(index),
            940 => self.kill(index),
            941..=942 => self.leave(index, u)?,
            943..=950 if self.nodes.len() < 6 => {
                self.start(u.int_in_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM)?);
            }
            951..=954 => self.pause(index, u.int_in_range(1..=60_000)?),
            955 => self.store_is_up = false,
            964..=969 => {
                let other = u.choose_index(self.nodes.len())?;
                let until_ms = self.now_ms + u.int_in_range(500..=8_000)?;
                let [a, b] = [index, other].map(|index| self.nodes[index].id.clone());
                self.cut_links.push((a, b, until_ms));
            }
            962..=963 => {
                let time_ms = u.int_in_range(1..=20_000)?;
                self.nodes[index].cut_off_until_ms = self.now_ms + time_ms;
            }
            956..=960 => self.store_is_up = true,
            961 if self.limits.len() < 4 => self.random_limit(u)?,
            _ => {}
        }
        Ok(())
    }

    /// Returns the first spend that exceeds the limit, and by how much.
    pub(crate) fn overdraft(&self) -> Option<(Spend, f64)> {
        overdraft(&self.in_force, &self.spends)
    }

    pub(crate) fn spent_tokens(&self) -> f64 {
        self.spends.iter().map(|spend| spend.tokens).sum()
    }

    fn pause(&mut self, index: usize, time_ms: u64) {
        let newest = self.rosters.len() - 1;
        let node = &mut self.nodes[index];
        node.paused_until_ms = node.paused_until_ms.max(self.now_ms + time_ms);
        node.oldest_readable_roster = newest;
    }

    fn random_charge(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        let burst = self.limits[0].burst_tokens as u64;
        let most = (burst / 16).max(1);
        let tokens = match u.int_in_range(0..=19_u8)? {
            0 => burst,
            1 => u.int_in_range(1..=burst)?,
            2 => return self.charge_all_available(index),
            _ => u.int_in_range(1..=most)?,
        };
        let waiting = WaitingRequest {
            ticket: self.ticket(),
            tokens,
            deadline_ms: self.now_ms + u.int_in_range(0..=2_000)?,
        };
        self.try_charge(index, waiting);
        Ok(())
    }

    /// Charges all tokens that an instance can spend now.
    fn charge_all_available(&mut self, index: usize) -> Result<()> {
        let tokens = self.limits[0].burst_tokens as u64 / 100;
        loop {
            let ticket = self.ticket();
            if self.charge(index, ticket, tokens, 0) != Charge::Granted {
                return Ok(());
            }
        }
    }

    fn try_charge(&mut self, index: usize, waiting: WaitingRequest) {
        let left_ms = waiting.deadline_ms.saturating_sub(self.now_ms);
        let charge = self.charge(index, waiting.ticket, waiting.tokens, left_ms);
        if let Charge::Wait { .. } = charge {
            self.nodes[index].waiting.push(waiting);
        }
    }

    fn random_peers(&mut self, index: usize, u: &mut Unstructured) -> Result<()> {
        let mut peers = Vec::new();
        for node in &self.nodes {
            if u.ratio(4_u8, 5_u8)? {
                peers.push(node.id.clone());
            }
        }
        if self.is_running(index) {
            let now_ms = self.nodes[index].local_ms(self.now_ms);
            self.nodes[index].budgets.set_peers(peers, now_ms);
        }
        Ok(())
    }

    fn random_limit(&mut self, u: &mut Unstructured) -> Result<()> {
        let first = self.limits[0];
        let factor = f64::from(u.int_in_range(1..=20_u8)?) / 10.0;
        self.limits.push(Limit {
            rate_per_s: first.rate_per_s * factor,
            burst_tokens: first.burst_tokens * factor,
        });
        Ok(())
    }

    fn adopt_limit(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let node = &mut self.nodes[index];
        let now_ms = node.local_ms(self.now_ms);
        node.generation = self.limits.len() - 1;
        let limit = self.limits[node.generation];
        let generation = node.generation as u64 + 1;
        node.budgets
            .configure(&self.organisation, limit, generation, now_ms);
        self.record_limit();
    }

    /// Records the largest limit among the instances. A lowered one takes effect after the grace
    /// period.
    fn record_limit(&mut self) {
        let held: Vec<Limit> = self
            .nodes
            .iter()
            .map(|node| self.limits[node.generation])
            .collect();
        let now = in_force(&held, self.now_ms, MAX_DRIFT_PPM);
        let last = *self.in_force.last().expect("never empty");
        if !now.is_equal_within_tolerance(last) {
            let lowered = now.rate_per_s < last.rate_per_s || now.burst_tokens < last.burst_tokens;
            let from_ms = self.now_ms + if lowered { LIMIT_GRACE_MS } else { 0 };
            // A change within the grace period of the previous one takes effect with it.
            let from_ms = from_ms.max(last.from_ms);
            self.in_force.push(InForce { from_ms, ..now });
        }
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].paused_until_ms <= self.now_ms
    }

    fn deliver(&mut self, packet: Packet, u: &mut Unstructured) -> Result<()> {
        let to = &packet.send.to;
        let Some(index) = self.nodes.iter().position(|node| node.id == *to) else {
            return Ok(());
        };
        let resume_ms = self.nodes[index].paused_until_ms;
        if resume_ms > self.now_ms {
            self.in_flight.push(Packet {
                due_ms: resume_ms,
                ..packet
            });
            return Ok(());
        }
        let node = &mut self.nodes[index];
        let now_ms = node.local_ms(self.now_ms);
        let sends = node
            .budgets
            .on_message(&packet.from, packet.send.message, now_ms);
        self.send(index, sends, u)
    }

    fn send(
        &mut self,
        index: usize,
        sends: Vec<OutgoingMessage>,
        u: &mut Unstructured,
    ) -> Result<()> {
        let from = self.nodes[index].id.clone();
        self.message_count += sends.len();
        let now_ms = self.now_ms;
        self.cut_links.retain(|(.., until_ms)| *until_ms > now_ms);
        for send in sends {
            let is_link_cut =
                |(a, b, _): &(InstanceId, InstanceId, u64)| *a == from && *b == send.to;
            if self.cut_links.iter().any(is_link_cut) {
                continue;
            }
            let mut copies = 1;
            if self.faults.loss_percent > 0 && u.ratio(self.faults.loss_percent, 100)? {
                copies = 0;
            }
            if self.faults.duplicate_percent > 0 && u.ratio(self.faults.duplicate_percent, 100)? {
                copies += 1;
            }
            for _ in 0..copies {
                let is_late =
                    self.faults.late_percent > 0 && u.ratio(self.faults.late_percent, 100)?;
                let max_ms = if is_late {
                    5_000
                } else {
                    self.faults.max_delay_ms
                };
                let due_ms = self.now_ms + u.int_in_range(1..=max_ms.max(1))?;
                let (from, send) = (from.clone(), send.clone());
                self.in_flight.push(Packet { due_ms, from, send });
            }
        }
        Ok(())
    }
}

impl Node {
    fn local_ms(&self, now_ms: u64) -> u64 {
        let passed_ms = now_ms - self.started_ms;
        passed_ms
            .checked_add_signed(passed_ms as i64 * self.drift_ppm / 1_000_000)
            .expect("drift is small")
    }
}

fn in_force(limits: &[Limit], from_ms: u64, drift_ppm: i64) -> InForce {
    let rates = limits.iter().map(|limit| limit.rate_per_s);
    let bursts = limits.iter().map(|limit| limit.burst_tokens);
    InForce {
        from_ms,
        rate_per_s: rates.fold(0.0, f64::max) * (1.0 + drift_ppm as f64 / 1e6),
        burst_tokens: bursts.fold(0.0, f64::max),
    }
}
