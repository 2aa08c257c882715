//! The members of the bootstrap hold the whole burst between them.

use mimosabay_core::budget::{BudgetSettings, Budgets, Charge, Limit, OutgoingMessage};
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::roster::Roster;

const LIMIT: Limit = Limit {
    rate_per_s: 0.001,
    burst_tokens: 1_000.0,
};

fn id(number: u64) -> InstanceId {
    InstanceId::new(format!("i{number}"), 1)
}

fn organisation() -> Name {
    "clinics".into()
}

/// The roster of two bootstrap members that both act on its newest version.
fn bootstrapped_roster() -> Roster {
    let roster = Roster::bootstrapping().join(&id(1)).expect("joins");
    let roster = roster.join(&id(2)).expect("joins");
    let roster = roster.finish_bootstrap().expect("finishes the bootstrap");
    let version = roster.version;
    let roster = roster.confirm(&id(1), version).expect("confirms");
    roster.confirm(&id(2), version).expect("confirms")
}

fn budgets(number: u64) -> Budgets {
    Budgets::new(id(number), BudgetSettings::default(), 0)
}

/// Tokens that can be charged at once, 10 at a time.
fn chargeable(budgets: &mut Budgets) -> u64 {
    let mut charged = 0;
    for ticket in 0..1_000 {
        match budgets.charge(&organisation(), ticket, 10, 0, 10) {
            Charge::Granted => charged += 10,
            _ => break,
        }
    }
    charged
}

#[test]
fn bootstrap_members_hold_the_whole_burst_between_them() {
    let mut charged = 0;
    for number in 1..=2 {
        let mut budgets = budgets(number);
        budgets.configure(&organisation(), LIMIT, 1, 0);
        budgets.set_roster(&bootstrapped_roster(), 0, 0);
        charged += chargeable(&mut budgets);
    }
    assert_eq!(charged, 1_000);
}

#[test]
fn organisation_configured_after_the_bootstrap_has_its_burst() {
    let mut budgets = budgets(1);
    budgets.set_roster(&bootstrapped_roster(), 0, 0);
    budgets.configure(&organisation(), LIMIT, 1, 5);
    assert_eq!(chargeable(&mut budgets), 500);
}

#[test]
fn initial_share_is_added_only_once() {
    let mut budgets = budgets(1);
    budgets.configure(&organisation(), LIMIT, 1, 0);
    budgets.set_roster(&bootstrapped_roster(), 0, 0);
    assert_eq!(chargeable(&mut budgets), 500);
    budgets.set_roster(&bootstrapped_roster(), 20, 20);
    assert_eq!(chargeable(&mut budgets), 0);
}

#[test]
fn member_that_joins_later_starts_without_tokens() {
    let roster = bootstrapped_roster().join(&id(3)).expect("joins");
    let version = roster.version;
    let confirm = |roster: Roster, number| roster.confirm(&id(number), version).expect("confirms");
    let roster = (1..=3).fold(roster, confirm);
    let mut budgets = budgets(3);
    budgets.configure(&organisation(), LIMIT, 1, 0);
    budgets.set_roster(&roster, 0, 0);
    assert_eq!(chargeable(&mut budgets), 0);
}

/// Two bootstrap members that know each other.
fn members() -> [Budgets; 2] {
    let mut members = [budgets(1), budgets(2)];
    for member in &mut members {
        member.configure(&organisation(), LIMIT, 1, 0);
        member.set_peers([id(1), id(2)], 0);
        member.set_roster(&bootstrapped_roster(), 0, 0);
    }
    members
}

/// Exchanges the messages that are due at `now_ms` until none are left.
fn exchange(members: &mut [Budgets; 2], now_ms: u64) {
    let mut queue: Vec<(usize, OutgoingMessage)> = Vec::new();
    for (index, member) in members.iter_mut().enumerate() {
        member.set_roster(&bootstrapped_roster(), now_ms, now_ms);
        queue.extend(member.tick(now_ms).into_iter().map(|send| (index, send)));
    }
    while let Some((from, send)) = queue.pop() {
        let to = usize::from(send.to == id(2));
        let from = id(from as u64 + 1);
        let back = members[to].on_message(&from, send.message, now_ms);
        queue.extend(back.into_iter().map(|send| (to, send)));
    }
}

#[test]
fn request_waits_for_tokens_not_yet_lent_by_another_member() {
    let mut members = members();
    // Both receive the state of the coordinator's pool while nothing is lent.
    exchange(&mut members, 10);
    for (ticket, now_ms) in (1..).zip([20, 40]) {
        let charge = members[0].charge(&organisation(), ticket, 900, 1_500, now_ms);
        assert!(matches!(charge, Charge::Wait { .. }), "{charge:?}");
        members[0].abandon(&organisation(), ticket);
    }
    let granted = (50..1_500).step_by(50).any(|now_ms| {
        exchange(&mut members, now_ms);
        members[0].charge(&organisation(), 9, 900, 1_500, now_ms) == Charge::Granted
    });
    assert!(
        granted,
        "the whole burst was never available on one instance"
    );
}

#[test]
fn charge_from_before_the_share_was_lent_is_refunded() {
    let mut members = members();
    for member in &mut members {
        let charge = member.charge(&organisation(), 1, 450, 0, 5);
        assert_eq!(charge, Charge::Granted);
    }
    for now_ms in (10..1_000).step_by(10) {
        exchange(&mut members, now_ms);
    }
    for member in &mut members {
        member.settle(&organisation(), 1, 0, 1_000);
    }
    for now_ms in (1_010..2_000).step_by(10) {
        exchange(&mut members, now_ms);
    }
    let granted = (2_010..3_000).step_by(10).any(|now_ms| {
        let charge = members[0].charge(&organisation(), 10, 900, 1_500, now_ms);
        exchange(&mut members, now_ms);
        charge == Charge::Granted
    });
    assert!(granted, "the unused tokens were not refunded");
}
