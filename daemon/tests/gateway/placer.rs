//! The election of a placer and its replacement.

use mimosabay_standin::fleet::{FleetOptions, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};

fn three_instances() -> FleetOptions {
    FleetOptions {
        instances: 3,
        ..FleetOptions::default()
    }
}

/// Waits until a request for an adapter is answered through an instance.
async fn wait_for_draft(site: &FleetSite, index: usize, adapter: &str) {
    wait_for("an answered draft", async || {
        let id = format!("probe-{index}-{adapter}-{}", next_id());
        let answer = site.caller(index).generate("/draft/x", &id, adapter).await;
        answer.is_ok_and(|it| it.status == 200).then_some(())
    })
    .await;
}

fn next_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Checks that fencing numbers at each server never decreased and that each belongs to one
/// instance.
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
        wait_for_draft(&site, placer, "a1").await;
        site.instances[placer].process.kill();
        let other = (placer + 1) % 3;
        wait_for_draft(&site, other, "a2").await;
        assert_ne!(site.placer_index(), Some(placer));
        check_orders(&site);
    });
}

#[test]
fn restarted_placer_places_again() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        let placer = site.wait_placer().await;
        wait_for_draft(&site, placer, "a1").await;
        site.restart(placer);
        for index in 0..3 {
            site.wait_ready(index).await;
            wait_for_draft(&site, index, &format!("b{index}")).await;
        }
        check_orders(&site);
    });
}

#[test]
fn frozen_placer_is_replaced_and_sends_no_orders_afterwards() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        let placer = site.wait_placer().await;
        wait_for_draft(&site, placer, "a1").await;
        site.instances[placer].process.freeze();
        let other = (placer + 1) % 3;
        wait_for_draft(&site, other, "a2").await;
        site.instances[placer].process.thaw();
        wait_for_draft(&site, placer, "a3").await;
        check_orders(&site);
    });
}

#[test]
fn requests_are_answered_while_no_placer_can_be_elected() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        let placer = site.wait_placer().await;
        let other = (placer + 1) % 3;
        wait_for_draft(&site, other, "a1").await;
        wait_for("an entry that lists the adapter", async || {
            for engine in &site.engines {
                engine.register("ready");
            }
            Some(())
        })
        .await;
        site.store.set_down(true);
        site.instances[placer].process.kill();
        wait_for_draft(&site, other, "a1").await;
        check_orders(&site);
    });
}

#[test]
fn instances_recover_after_all_were_killed_at_once() {
    block_on(async {
        let mut site = FleetSite::start(three_instances()).await;
        wait_for_draft(&site, 0, "a1").await;
        for instance in &mut site.instances {
            instance.process.kill();
        }
        for index in 0..3 {
            site.restart(index);
        }
        for index in 0..3 {
            site.wait_ready(index).await;
            wait_for_draft(&site, index, &format!("b{index}")).await;
        }
        check_orders(&site);
    });
}
