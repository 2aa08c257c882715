//! Many adapters that are requested at once: who is loaded for first, and who is refused.

use std::collections::BTreeMap;

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{Cell, Charge, OrderAnswer, PlacementRequest};
use mimosabay_core::name::Name;

use crate::support::{backend, confirmed, granted, orders, placement_request, refused, report};

/// Number of engines.
const ENGINES: usize = 20;
/// Adapters on one engine.
const SLOTS: usize = 8;
/// Duration of a load if few others are in progress, in milliseconds.
const LOAD_MS: u64 = 255;
/// Most loads that may be in progress: the initial number at full speed, and one more.
const MAX_LOADS: usize = 9;
/// Urgency of the requests that fill the queue.
const LESS_URGENT: u8 = 7;
const MORE_URGENT: u8 = 1;

fn engines() -> Vec<Backend> {
    (0..ENGINES)
        .map(|it| backend(&format!("engine-{it}"), &[]))
        .collect()
}

fn ranked_cell() -> Cell {
    let mut cell = confirmed(SLOTS, &engines());
    cell.rank_loads();
    cell
}

fn request(number: u64, urgency: u8, organisation: &str) -> PlacementRequest {
    let charge = Charge {
        organisation: organisation.into(),
        cost: 1,
    };
    PlacementRequest {
        urgency,
        charge: Some(charge),
        ..placement_request(number, &format!("b{number}"))
    }
}

/// What becomes of requests while every order is accepted at once.
#[derive(Default)]
struct Run {
    granted_ms: BTreeMap<u64, u64>,
    refused_ms: BTreeMap<u64, u64>,
    most_loads: usize,
    /// When the loads in progress end, in milliseconds.
    ends_ms: Vec<u64>,
}

impl Run {
    fn advance(&mut self, cell: &mut Cell, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(5) {
            cell.tick(now_ms);
            self.ends_ms.retain(|end_ms| *end_ms > now_ms);
            loop {
                let actions = cell.take_actions();
                let new = orders(&actions);
                for (number, _) in granted(&actions) {
                    self.granted_ms.insert(number, now_ms);
                }
                for (number, _) in refused(&actions) {
                    self.refused_ms.insert(number, now_ms);
                }
                for order in &new {
                    self.ends_ms.push(now_ms + LOAD_MS);
                    cell.handle_order_answer(&order.server, OrderAnswer::Started, now_ms);
                }
                if new.is_empty() {
                    break;
                }
            }
            self.most_loads = self.most_loads.max(self.ends_ms.len());
        }
    }
}

/// Guards against loads that only slow each other.
#[test]
fn no_more_loads_than_run_at_full_speed() {
    let mut cell = ranked_cell();
    for number in 0..60 {
        cell.request_placement(request(number, LESS_URGENT, "one"), 1_000);
    }
    let mut run = Run::default();
    run.advance(&mut cell, 1_000, 3_000);
    assert!(
        (2..=MAX_LOADS).contains(&run.most_loads),
        "{}",
        run.most_loads
    );
}

/// Guards against urgent requests that wait for the loads of less urgent ones.
#[test]
fn more_urgent_request_is_loaded_for_first() {
    let mut cell = ranked_cell();
    for number in 0..40 {
        cell.request_placement(request(number, LESS_URGENT, "one"), 1_000);
    }
    let mut run = Run::default();
    run.advance(&mut cell, 1_000, 1_010);
    for number in 100..104 {
        cell.request_placement(request(number, MORE_URGENT, "one"), 1_010);
    }
    run.advance(&mut cell, 1_010, 3_000);
    let urgent = (100..104).map(|number| run.granted_ms.get(&number));
    let latest = urgent.map(|at_ms| at_ms.copied().unwrap_or(u64::MAX)).max();
    assert!(latest <= Some(1_000 + 2 * LOAD_MS + 50), "{latest:?}");
}

/// Guards against one organisation that takes all loads.
#[test]
fn organisations_share_the_loads() {
    let mut cell = ranked_cell();
    for number in 0..24 {
        cell.request_placement(request(number, LESS_URGENT, "many"), 1_000);
    }
    for number in 100..104 {
        cell.request_placement(request(number, LESS_URGENT, "few"), 1_001);
    }
    let mut run = Run::default();
    run.advance(&mut cell, 1_001, 3_000);
    let few = (100..104).filter(|number| run.granted_ms.contains_key(number));
    assert_eq!(few.count(), 4, "{:?}", run.granted_ms);
}

/// Guards against a request that is held although its load cannot begin in its time.
#[test]
fn nobody_waits_longer_than_may_be() {
    let mut cell = ranked_cell();
    for number in 0..200 {
        cell.request_placement(request(number, LESS_URGENT, "one"), 1_000);
    }
    let mut run = Run::default();
    run.advance(&mut cell, 1_000, 4_000);
    assert_eq!(run.granted_ms.len() + run.refused_ms.len(), 200);
    let at_once = run.refused_ms.values().filter(|it| **it <= 1_005).count();
    assert!(at_once > 100, "{at_once} refused at once");
    let latest = run.refused_ms.values().max().copied().unwrap_or_default();
    assert!(latest <= 1_700, "refused after {} ms", latest - 1_000);
}

/// Guards against loads that count for ever because their engine has gone.
#[test]
fn loads_of_a_lost_engine_make_room() {
    let mut cell = ranked_cell();
    for number in 0..MAX_LOADS as u64 {
        cell.request_placement(request(number, LESS_URGENT, "one"), 1_000);
    }
    let sent = orders(&cell.take_actions());
    let lost: Vec<Name> = sent.iter().map(|order| order.server.clone()).collect();
    let left: Vec<Backend> = engines()
        .into_iter()
        .filter(|it| !lost.contains(&it.id))
        .collect();
    cell.set_backends(left.iter(), 1_050);
    for backend in &left {
        cell.handle_report(&backend.id, Some(&report(backend)), 1_050);
    }
    let mut run = Run::default();
    run.advance(&mut cell, 1_055, 2_000);
    assert_eq!(run.granted_ms.len(), MAX_LOADS, "{:?}", run.refused_ms);
}
