//! The instance that places requests, and its successors.

use mimosabay_standin::fleet::{FleetOptions, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};

fn three_instances() -> FleetOptions {
    FleetOptions {
        instances: 3,
        ..FleetOptions::default()
    }
}

/// Waits until a request for an adapter is answered through an instance.
async fn wait_drafted(site: &FleetSite, index: usize, adapter: &str) {
    wait_for("an answered draft", async || {
        let id = format!("probe-{index}-{adapter}-{}", rand_id());
        let answer = site.caller(index).generate("/draft/x", &id, adapter).await;
        answer.is_ok_and(|it| it.status == 200).then_some(())
    })
    .await;
}

fn rand_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Checks that fencing numbers at each server never fell and that each belongs to one instance.
fn check_orders(site: &FleetSite) {
    for engine in &site.engines {
        let wrong = engine.order_violations();
        assert!(wrong.is_empty(), "{}: {wrong:?}", engine.id);
    }
}

#[test]
fn killed_placer_is_replaced() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        let placer = site.wait_placer().await;
        wait_drafted(&site, placer, "a1").await;
        site.instances[placer].process.kill();
        let other = (placer + 1) % 3;
        wait_drafted(&site, other, "a2").await;
        assert_ne!(site.placer_index(), Some(placer));
        check_orders(&site);
    });
}

#[test]
fn placer_that_starts_again_places_again() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        let placer = site.wait_placer().await;
        wait_drafted(&site, placer, "a1").await;
        site.restart(placer);
        for index in 0..3 {
            site.wait_ready(index).await;
            wait_drafted(&site, index, &format!("b{index}")).await;
        }
        check_orders(&site);
    });
}

#[test]
fn frozen_placer_is_replaced_and_gives_no_orders_afterwards() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        let placer = site.wait_placer().await;
        wait_drafted(&site, placer, "a1").await;
        site.instances[placer].process.freeze();
        let other = (placer + 1) % 3;
        wait_drafted(&site, other, "a2").await;
        site.instances[placer].process.thaw();
        wait_drafted(&site, placer, "a3").await;
        check_orders(&site);
    });
}

#[test]
fn requests_are_answered_while_nobody_can_be_elected() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        let placer = site.wait_placer().await;
        let other = (placer + 1) % 3;
        wait_drafted(&site, other, "a1").await;
        wait_for("an entry that tells the adapter", async || {
            for engine in &site.engines {
                engine.register("ready");
            }
            Some(())
        })
        .await;
        site.store.set_down(true);
        site.instances[placer].process.kill();
        wait_drafted(&site, other, "a1").await;
        check_orders(&site);
    });
}

#[test]
fn all_instances_killed_at_once_come_back() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        wait_drafted(&site, 0, "a1").await;
        for instance in &mut site.instances {
            instance.process.kill();
        }
        for index in 0..3 {
            site.restart(index);
        }
        for index in 0..3 {
            site.wait_ready(index).await;
            wait_drafted(&site, index, &format!("b{index}")).await;
        }
        check_orders(&site);
    });
}
