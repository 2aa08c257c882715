//! Servers that accept the orders of any placer: a placer that was replaced sends none.

use std::time::{Duration, Instant};

use mimosabay_standin::fleet::{FleetOptions, FleetServer, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::time::sleep;

/// Number of instances.
const INSTANCES: usize = 4;
/// Number of engines.
const ENGINES: usize = 3;
/// Time for which requests are sent after the fault, in milliseconds.
const AFTER_MS: u64 = 6_000;
/// Time between two requests, in milliseconds.
const INTERVAL_MS: u64 = 40;
/// Time for which a placer without the store is observed, in milliseconds.
const WITHOUT_STORE_MS: u64 = 5_000;

/// How the first placer comes to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replaced {
    /// It is frozen, and reaches the store afterwards.
    Frozen,
    /// It does not reach the store and is frozen.
    FrozenWithoutStore,
    /// It does not reach the store and is frozen, and so is its successor.
    FrozenTwice,
    /// It is killed and starts again.
    Restarted,
    /// It is asked to stop.
    Stopped,
}

/// Guards against two placers that order by turns at servers which do not check fencing numbers.
mod replaced_placer_sends_no_orders {
    use mimosabay_core::cases;

    use super::{Replaced, orders_of_successors_are_not_mixed};

    cases! {
        orders_of_successors_are_not_mixed;
        frozen: (Replaced::Frozen);
        frozen_without_the_store: (Replaced::FrozenWithoutStore);
        frozen_twice: (Replaced::FrozenTwice);
        restarted: (Replaced::Restarted);
        stopped: (Replaced::Stopped);
    }
}

async fn start_site() -> FleetSite {
    let options = FleetOptions {
        instances: INSTANCES,
        engines: ENGINES,
        has_relays: true,
        ..FleetOptions::default()
    };
    let site = FleetSite::start(options).await;
    for engine in &site.engines {
        engine.ignore_fencing();
    }
    site
}

/// Sends requests through an instance, each for an adapter of its own, which has to be loaded. Returns the
/// number of answered ones.
async fn send_drafts(site: &FleetSite, index: usize, round: &str, duration_ms: u64) -> usize {
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < Duration::from_millis(duration_ms) {
        let caller = site.caller(index);
        let name = format!("{round}-{index}-{}", sent.len());
        sent.push(tokio::spawn(async move {
            let answer = caller.generate("/draft/x", &name, &name).await;
            answer.is_ok_and(|it| it.status == 200)
        }));
        sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
    let mut answered = 0;
    for task in sent {
        answered += usize::from(task.await.expect("a request does not panic"));
    }
    answered
}

/// Sends requests through all running instances.
async fn send_drafts_to(site: &FleetSite, instances: &[usize], round: &str) {
    let drafts = instances
        .iter()
        .map(|index| send_drafts(site, *index, round, AFTER_MS));
    futures::future::join_all(drafts).await;
}

async fn wait_for_successor(site: &FleetSite, placer: usize) {
    let other = (placer + 1) % INSTANCES;
    wait_for("an order of the successor", async || {
        let answered = send_drafts(site, other, "succession", INTERVAL_MS).await;
        let is_replaced = site.placer_index() != Some(placer);
        (is_replaced && answered > 0).then_some(())
    })
    .await;
}

async fn freeze_until_replaced(site: &mut FleetSite, placer: usize) {
    site.instances[placer].process.freeze();
    wait_for_successor(site, placer).await;
}

/// Returns the fencing numbers of orders that reached an engine after an order with a larger one, whether it
/// accepted them or not.
fn orders_after_a_successor(engine: &FleetServer) -> Vec<(u64, u64)> {
    let mut largest = 0;
    let mut late = Vec::new();
    for order in engine.orders() {
        let (number, _) = order.holder();
        if number < largest {
            late.push((number, largest));
        }
        largest = largest.max(number);
    }
    late
}

fn orders_of_successors_are_not_mixed(replaced: Replaced) {
    block_on(async {
        let mut site = start_site().await;
        let placer = site.wait_placer().await;
        send_drafts(&site, placer, "before", 10 * INTERVAL_MS).await;
        match replaced {
            Replaced::Frozen => {
                freeze_until_replaced(&mut site, placer).await;
                site.instances[placer].process.thaw();
            }
            Replaced::FrozenWithoutStore => {
                site.store_relays[placer].partition();
                freeze_until_replaced(&mut site, placer).await;
                site.instances[placer].process.thaw();
            }
            Replaced::FrozenTwice => {
                site.store_relays[placer].partition();
                freeze_until_replaced(&mut site, placer).await;
                let second = site.wait_placer().await;
                site.store_relays[second].partition();
                freeze_until_replaced(&mut site, second).await;
                site.instances[placer].process.thaw();
                site.instances[second].process.thaw();
            }
            Replaced::Restarted => site.restart(placer),
            Replaced::Stopped => site.instances[placer].process.terminate(),
        }
        let mut callers: Vec<usize> = (0..INSTANCES).collect();
        callers.retain(|index| *index != placer || replaced != Replaced::Stopped);
        send_drafts_to(&site, &callers, "after").await;
        for engine in &site.engines {
            let late = orders_after_a_successor(engine);
            assert!(late.is_empty(), "{replaced:?}, {}: {late:?}", engine.id);
        }
    });
}

#[test]
fn placer_that_loses_the_store_goes_on_with_orders() {
    block_on(async {
        let site = start_site().await;
        let placer = site.wait_placer().await;
        let other = (placer + 1) % INSTANCES;
        send_drafts(&site, other, "before", 10 * INTERVAL_MS).await;
        site.store_relays[placer].partition();
        send_drafts(&site, other, "cut", WITHOUT_STORE_MS).await;
        let orders: usize = site.engines.iter().map(|it| it.orders().len()).sum();
        let answered = send_drafts(&site, other, "later", 10 * INTERVAL_MS).await;
        let later: usize = site.engines.iter().map(|it| it.orders().len()).sum();
        assert!(answered > 0 && later > orders, "{answered} answered");
        assert_eq!(site.placer_index(), Some(placer));
    });
}
