//! Single situations, step by step, between a member and a coordinator.

use mimosabay_core::budget::{
    BudgetMessage, BudgetSettings, Budgets, Charge, Limit, OutgoingMessage,
};
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::roster::Roster;

const LIMIT: Limit = Limit {
    rate_per_s: 100.0,
    burst_tokens: 1_000.0,
};
/// Time in which an empty budget becomes full.
const REFILL_MS: u64 = 10_500;
const STEP_MS: u64 = 50;

/// Two instances without delays between them.
struct Pair {
    now_ms: u64,
    nodes: Vec<Budgets>,
    roster: Roster,
    org: Name,
    next_ticket: u64,
}

impl Pair {
    /// Creates two instances on the roster, with a full budget.
    fn full(limit: Limit) -> Self {
        let ids = [InstanceId::new("a", 1), InstanceId::new("b", 1)];
        let mut roster = Roster::default();
        for id in &ids {
            roster = roster.join(id).expect("joins");
        }
        for id in &ids {
            roster = roster.confirm(id, roster.version).expect("confirms");
        }
        let org: Name = "org".into();
        let mut nodes = Vec::new();
        for id in &ids {
            let mut node = Budgets::new(id.clone(), BudgetSettings::default(), 0);
            node.configure(&org, limit, 1, 0);
            node.set_peers(ids.to_vec(), 0);
            nodes.push(node);
        }
        let mut pair = Self {
            now_ms: 0,
            nodes,
            roster,
            org,
            next_ticket: 0,
        };
        pair.run(REFILL_MS);
        pair
    }

    fn id(index: usize) -> InstanceId {
        InstanceId::new(["a", "b"][index], 1)
    }

    fn run(&mut self, time_ms: u64) {
        for _ in 0..time_ms / STEP_MS {
            self.now_ms += STEP_MS;
            self.exchange(&[]);
        }
    }

    /// Both read the roster and send the messages that are due, until none are left; messages from
    /// `muted_senders` are lost.
    fn exchange(&mut self, muted_senders: &[usize]) -> Vec<(usize, OutgoingMessage)> {
        let mut seen = Vec::new();
        for index in 0..self.nodes.len() {
            self.nodes[index].set_roster(&self.roster, self.now_ms, self.now_ms);
            let sends = self.nodes[index].tick(self.now_ms);
            self.deliver(index, sends, muted_senders, &mut seen);
        }
        seen
    }

    fn deliver(
        &mut self,
        from: usize,
        sends: Vec<OutgoingMessage>,
        muted_senders: &[usize],
        seen: &mut Vec<(usize, OutgoingMessage)>,
    ) {
        for send in sends {
            seen.push((from, send.clone()));
            if muted_senders.contains(&from) {
                continue;
            }
            let to = usize::from(&*send.to.name == "b");
            let back = self.nodes[to].on_message(&Self::id(from), send.message, self.now_ms);
            self.deliver(to, back, muted_senders, seen);
        }
    }

    fn coordinator(&self) -> usize {
        let id = self.nodes[0].coordinator(&self.org).expect("peers");
        usize::from(&*id.name == "b")
    }

    /// Tries a request for up to `max_wait_ms`; returns its ticket if it is granted.
    fn charge(&mut self, index: usize, tokens: u64, max_wait_ms: u64) -> Option<u64> {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let deadline_ms = self.now_ms + max_wait_ms;
        loop {
            let left_ms = deadline_ms.saturating_sub(self.now_ms);
            let org = self.org.clone();
            match self.nodes[index].charge(&org, ticket, tokens, left_ms, self.now_ms) {
                Charge::Granted => return Some(ticket),
                Charge::Wait { .. } => {
                    self.now_ms += 10;
                    self.exchange(&[]);
                }
                Charge::Refused { .. } | Charge::Unavailable { .. } | Charge::TooLarge => {
                    return None;
                }
            }
        }
    }

    fn settle(&mut self, index: usize, ticket: u64, used: u64) {
        let org = self.org.clone();
        self.nodes[index].settle(&org, ticket, used, self.now_ms);
    }

    /// Settles a charge as unused and delivers the messages that become due.
    fn settle_unused(&mut self, index: usize, ticket: u64) -> Vec<OutgoingMessage> {
        let org = self.org.clone();
        assert!(self.nodes[index].settle(&org, ticket, 0, self.now_ms));
        let sends = self.nodes[index].tick(self.now_ms);
        self.deliver(index, sends.clone(), &[], &mut Vec::new());
        sends
    }

    /// Largest request that an instance would be granted now, in steps of 10 tokens.
    fn largest_grantable(&mut self, index: usize) -> u64 {
        let tokens = (1..=100).rev().map(|tens| tens * 10);
        for tokens in tokens {
            if let Some(ticket) = self.charge(index, tokens, 60) {
                self.settle(index, ticket, 0);
                return tokens;
            }
        }
        0
    }
}

fn unused_tokens_are_refunded(by_coordinator: bool) {
    let mut pair = Pair::full(LIMIT);
    let index = if by_coordinator {
        pair.coordinator()
    } else {
        1 - pair.coordinator()
    };
    let ticket = pair.charge(index, 1_000, 200).expect("granted");
    pair.run(1_000);
    pair.settle(index, ticket, 300);
    pair.run(600);
    let largest_grantable = pair.largest_grantable(index);
    assert!(
        (800..=910).contains(&largest_grantable),
        "{largest_grantable}"
    );
}

mimosabay_core::cases! {
    unused_tokens_are_refunded;
    unused_tokens_of_a_member_are_refunded: (false);
    unused_tokens_of_the_coordinator_are_refunded: (true);
}

/// Two full bursts are charged one after the other and both stay unused. Only one may be refunded:
/// without the charges, the bucket would just have been full.
#[test]
fn refunds_of_two_bursts_give_back_one() {
    let mut pair = Pair::full(LIMIT);
    let index = 1 - pair.coordinator();
    let first = pair.charge(index, 1_000, 200).expect("granted");
    pair.run(REFILL_MS);
    let second = pair.charge(index, 1_000, 200).expect("granted");
    pair.run(500);
    pair.settle(index, first, 0);
    pair.run(600);
    let largest_grantable = pair.largest_grantable(index);
    assert!(largest_grantable <= 130, "{largest_grantable}");
    pair.settle(index, second, 0);
    pair.run(600);
    let largest_grantable = pair.largest_grantable(index);
    assert!(largest_grantable >= 950, "{largest_grantable}");
}

#[test]
fn a_repeated_token_request_refunds_once() {
    let mut pair = Pair::full(LIMIT);
    let (coordinator, member) = (pair.coordinator(), 1 - pair.coordinator());
    let unused = pair.charge(member, 200, 200).expect("granted");
    pair.charge(member, 600, 200).expect("granted");
    pair.run(500);
    pair.settle(member, unused, 0);
    let mut refunding = None;
    while refunding.is_none() {
        pair.now_ms += STEP_MS;
        let seen = pair.exchange(&[]);
        let has_refund = |(from, send): &(usize, OutgoingMessage)| match &send.message {
            BudgetMessage::Requests(requests) => {
                *from == member && requests.iter().any(|request| !request.refunds.is_empty())
            }
            BudgetMessage::Responses(_) => false,
        };
        refunding = seen.into_iter().find(has_refund);
    }
    let message = refunding.expect("found").1.message;
    for _ in 0..3 {
        let from = Pair::id(member);
        pair.nodes[coordinator].on_message(&from, message.clone(), pair.now_ms);
    }
    let largest_grantable = pair.largest_grantable(member);
    assert!(
        (400..=550).contains(&largest_grantable),
        "{largest_grantable}"
    );
}

/// Tokens granted to one instance do not free room for more tokens elsewhere.
#[test]
fn granted_tokens_count_against_the_burst() {
    let mut pair = Pair::full(LIMIT);
    let (coordinator, member) = (pair.coordinator(), 1 - pair.coordinator());
    let org = pair.org.clone();
    // The member is granted what it waits for and uses it just before the grant ends.
    let charge = pair.nodes[member].charge(&org, 77, 1_000, 500, pair.now_ms);
    assert!(matches!(charge, Charge::Wait { .. }), "{charge:?}");
    pair.exchange(&[]);
    for _ in 0..8 {
        pair.now_ms += STEP_MS;
        pair.nodes[coordinator].set_roster(&pair.roster, pair.now_ms, pair.now_ms);
        pair.nodes[coordinator].tick(pair.now_ms);
    }
    let member_charge = pair.nodes[member].charge(&org, 77, 1_000, 500, pair.now_ms);
    assert_eq!(member_charge, Charge::Granted);
    let here = pair.nodes[coordinator].charge(&org, 78, 30, 0, pair.now_ms);
    assert_ne!(here, Charge::Granted);
    let _ = pair.nodes[coordinator].charge(&org, 78, 30, 100, pair.now_ms);
    pair.nodes[coordinator].tick(pair.now_ms);
    let here = pair.nodes[coordinator].charge(&org, 78, 30, 0, pair.now_ms);
    assert_ne!(here, Charge::Granted);
}

/// Runs only the coordinator for `time_ms`.
fn run_coordinator_alone(pair: &mut Pair, time_ms: u64) {
    let coordinator = pair.coordinator();
    for _ in 0..time_ms / STEP_MS {
        pair.now_ms += STEP_MS;
        let (roster, now_ms) = (pair.roster.clone(), pair.now_ms);
        pair.nodes[coordinator].set_roster(&roster, now_ms, now_ms);
        pair.nodes[coordinator].tick(now_ms);
    }
}

#[test]
fn a_grant_that_arrives_after_its_expiry_is_not_spent() {
    let mut pair = Pair::full(LIMIT);
    let (coordinator, member) = (pair.coordinator(), 1 - pair.coordinator());
    let org = pair.org.clone();
    let _ = pair.nodes[member].charge(&org, 77, 500, 500, pair.now_ms);
    let requests = pair.nodes[member].tick(pair.now_ms);
    let mut responses = Vec::new();
    for request in requests {
        let from = Pair::id(member);
        responses.extend(pair.nodes[coordinator].on_message(&from, request.message, pair.now_ms));
    }
    assert!(!responses.is_empty());
    run_coordinator_alone(&mut pair, 1_000);
    for response in responses {
        let from = Pair::id(coordinator);
        pair.nodes[member].on_message(&from, response.message, pair.now_ms);
    }
    let charge = pair.nodes[member].charge(&org, 77, 500, 0, pair.now_ms);
    assert!(matches!(charge, Charge::Refused { .. }), "{charge:?}");
}

/// Each instance holds half of the budget; the coordinator uses the other half only while it is
/// lent.
#[test]
fn a_loan_that_is_not_extended_ends() {
    let mut pair = Pair::full(LIMIT);
    run_coordinator_alone(&mut pair, 1_000);
    let charge = charge_at_coordinator(&mut pair, 77, 600);
    assert!(matches!(charge, Charge::Refused { .. }), "{charge:?}");
    assert_eq!(charge_at_coordinator(&mut pair, 78, 450), Charge::Granted);
}

/// A budget whose refill during a test is small against its burst.
const LARGE_BURST: Limit = Limit {
    rate_per_s: 100.0,
    burst_tokens: 10_000.0,
};

#[test]
fn unused_tokens_are_returned_at_once() {
    let mut pair = Pair::full(LIMIT);
    let member = 1 - pair.coordinator();
    let ticket = pair.charge(member, 900, 500).expect("a full budget");
    let sends = pair.settle_unused(member, ticket);
    let BudgetMessage::Requests(requests) = &sends[0].message else {
        panic!("first message is not a token request: {sends:?}");
    };
    assert!(requests[0].returned_tokens >= 900.0, "{requests:?}");
    assert!(pair.charge(1 - member, 900, 600).is_some());
}

#[test]
fn request_waits_for_tokens_prefetched_by_another_member() {
    let mut pair = Pair::full(LARGE_BURST);
    pair.run(100_000);
    let member = 1 - pair.coordinator();
    for _ in 0..8 {
        let ticket = pair.charge(member, 500, 500).expect("a full budget");
        pair.settle(member, ticket, 500);
        pair.run(100);
    }
    // 6,000 tokens and a little more are left, some of them held by the other member.
    assert!(pair.charge(1 - member, 6_000, 1_000).is_some());
}

#[test]
fn request_is_refused_only_on_a_report_requested_after_its_arrival() {
    let mut pair = Pair::full(LIMIT);
    let member = 1 - pair.coordinator();
    let ticket = pair.charge(1 - member, 900, 500).expect("a full budget");
    // The member receives a report that few tokens are left.
    pair.run(500);
    pair.settle_unused(1 - member, ticket);
    assert!(pair.charge(member, 900, 500).is_some());
}

/// Charges a request at the coordinator, which sends itself at most one token request.
fn charge_at_coordinator(pair: &mut Pair, ticket: u64, tokens: u64) -> Charge {
    let (org, now_ms) = (pair.org.clone(), pair.now_ms);
    let coordinator = pair.coordinator();
    let node = &mut pair.nodes[coordinator];
    match node.charge(&org, ticket, tokens, 100, now_ms) {
        Charge::Wait { .. } => {
            node.tick(now_ms);
            node.charge(&org, ticket, tokens, 0, now_ms)
        }
        charge => charge,
    }
}

#[test]
fn a_paused_process_spends_no_expired_tokens() {
    let mut pair = Pair::full(LIMIT);
    let member = 1 - pair.coordinator();
    let org = pair.org.clone();
    let _ = pair.nodes[member].charge(&org, 77, 500, 500, pair.now_ms);
    pair.exchange(&[]);
    let resumed_ms = pair.now_ms + 60_000;
    let charge = pair.nodes[member].charge(&org, 77, 1, 0, resumed_ms);
    assert!(matches!(charge, Charge::Unavailable { .. }), "{charge:?}");
}

#[test]
fn a_leaving_coordinator_returns_its_loans() {
    let mut pair = Pair::full(LIMIT);
    let (coordinator, member) = (pair.coordinator(), 1 - pair.coordinator());
    let now_ms = pair.now_ms;
    pair.nodes[member].set_peers([Pair::id(member)], now_ms);
    pair.nodes[coordinator].set_peers([Pair::id(member)], now_ms);
    pair.run(600);
    let sends = pair.nodes[coordinator].leave(pair.now_ms);
    pair.deliver(coordinator, sends, &[], &mut Vec::new());
    pair.exchange(&[]);
    assert!(pair.charge(member, 950, 300).is_some());
}

#[test]
fn a_removed_organisation_is_refused_and_starts_empty_when_configured_again() {
    let mut pair = Pair::full(LIMIT);
    let org = pair.org.clone();
    let now_ms = pair.now_ms;
    for node in &mut pair.nodes {
        node.remove(&org, 2, now_ms);
    }
    assert_eq!(pair.charge(0, 1, 0), None);
    for node in &mut pair.nodes {
        node.configure(&org, LIMIT, 1, now_ms);
    }
    assert_eq!(pair.charge(0, 1, 0), None);
    for node in &mut pair.nodes {
        node.configure(&org, LIMIT, 3, now_ms);
    }
    assert_eq!(pair.charge(0, 500, 1_000), None);
    pair.run(REFILL_MS);
    assert!(pair.charge(0, 950, 500).is_some());
}

/// A budget that hardly refills limits the requests in progress: tokens are refunded when they end.
#[test]
fn a_budget_without_rate_counts_what_is_in_flight() {
    let limit = Limit {
        rate_per_s: 0.8,
        burst_tokens: 8.0,
    };
    let mut pair = Pair::full(limit);
    let mut open: Vec<(usize, u64)> = Vec::new();
    for index in [0, 1, 0, 1, 0, 1, 0, 1] {
        let ticket = pair.charge(index, 1, 500).expect("granted");
        open.push((index, ticket));
    }
    assert_eq!(pair.charge(0, 1, 400), None);
    for (index, ticket) in open.split_off(4) {
        pair.settle(index, ticket, 0);
    }
    pair.run(700);
    for index in [1, 0, 1, 0] {
        assert!(pair.charge(index, 1, 500).is_some());
    }
}
