//! Failures of the platform's store.

use std::time::{Duration, Instant};

use mimosabay_standin::fleet::{FleetOptions, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for, wait_up_to};
use serde_json::json;
use tokio::time::sleep;

async fn wait_for_key(site: &FleetSite, key: &str) {
    for index in 0..site.instances.len() {
        wait_for("the new configuration", async || {
            let caller = site.caller(index).key(key);
            let answer = caller.get("/look/x", "probe").await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

#[test]
fn requests_are_answered_while_the_store_is_down() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.store.set_down(true);
        for number in 0..10 {
            let caller = site.caller(number % 2);
            let id = format!("one-{number}");
            assert_eq!(caller.get("/look/x", &id).await.unwrap().status, 200);
            let answer = caller
                .generate("/draft/x", &format!("two-{number}"), "a1")
                .await;
            assert_eq!(answer.unwrap().status, 200);
        }
    });
}

#[test]
fn change_made_before_the_history_was_compacted_is_applied() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.store.set_down(true);
        site.configure(5, |it| it["tenants"][0]["apiKeys"] = json!(["second"]));
        site.store.compact();
        site.store.set_down(false);
        wait_for_key(&site, "second").await;
    });
}

#[test]
fn change_is_applied_although_open_connections_are_unresponsive() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.store.silence_open_connections();
        site.configure(5, |it| it["tenants"][0]["apiKeys"] = json!(["second"]));
        wait_for_key(&site, "second").await;
    });
}

/// Time within which a change must be in force after the store is available again, in milliseconds:
/// the limit that operators are guaranteed in normal operation, plus the time after a failure until
/// operation counts as normal.
const IN_FORCE_MS: u64 = 2_000 + 3_000;

#[test]
fn watch_begun_while_the_store_was_unresponsive_is_abandoned() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.store.set_silent(true);
        wait_for("instances that lost the configuration watch", async || {
            let is_lost = |line: &serde_json::Value| {
                line["event"] == "store_lost" && line["kind"] == "config"
            };
            let mut instances = site.instances.iter();
            let are_lost = instances.all(|instance| instance.log().iter().any(is_lost));
            are_lost.then_some(())
        })
        .await;
        site.configure(5, |it| it["tenants"][0]["apiKeys"] = json!(["second"]));
        site.store.set_silent(false);
        let in_force = wait_up_to(IN_FORCE_MS, async || {
            for index in 0..site.instances.len() {
                let caller = site.caller(index).key("second");
                let answer = caller.get("/look/x", "probe").await.ok()?;
                (answer.status == 200).then_some(())?;
            }
            Some(())
        });
        assert!(in_force.await.is_some());
    });
}

#[test]
fn election_continues_although_store_responses_are_lost() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let placer = site.wait_placer().await;
        site.store.lose_answers(1);
        site.instances[placer].process.kill();
        wait_for("another placer", async || {
            site.placer_index().filter(|now| *now != placer)
        })
        .await;
        let other = 1 - placer;
        wait_for("an answered draft", async || {
            let answer = site
                .caller(other)
                .generate("/draft/x", "probe", "a7")
                .await
                .ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    });
}

#[test]
fn entries_that_expired_during_an_outage_have_time_to_return() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.store.set_down(true);
        wait_for("instances that lost the store", async || {
            let is_lost = |log: Vec<serde_json::Value>| {
                log.iter()
                    .any(|line| line["event"] == "store_lost" && line["kind"] == "servers")
            };
            let mut instances = site.instances.iter();
            instances
                .all(|instance| is_lost(instance.log()))
                .then_some(())
        })
        .await;
        for server in &site.plain_servers {
            site.store.remove("servers", &server.id);
        }
        site.store.set_down(false);
        wait_for("instances that regained the store", async || {
            let has_regained = |log: Vec<serde_json::Value>| {
                log.iter()
                    .any(|line| line["event"] == "store_regained" && line["kind"] == "servers")
            };
            let mut instances = site.instances.iter();
            instances
                .all(|instance| has_regained(instance.log()))
                .then_some(())
        })
        .await;
        let answer = site.caller(0).get("/look/x", "one").await.unwrap();
        assert_eq!(answer.status, 200, "the servers are still used");
        wait_for("servers that count as removed", async || {
            let answer = site.caller(0).get("/look/x", "two").await.ok()?;
            (answer.status == 503).then_some(())
        })
        .await;
    });
}

#[test]
fn instances_that_watch_the_servers_themselves_poll_once_a_second() {
    block_on(async {
        let options = FleetOptions {
            has_relays: true,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        let placer = site.wait_placer().await;
        site.store_relays[placer].cut();
        wait_for("a placer that lost the store", async || {
            let is_lost = site.instances[placer].has_logged("store_lost");
            is_lost.then_some(())
        })
        .await;
        let watches_before = site.store.watch_count("servers");
        let started = Instant::now();
        for _ in 0..40 {
            site.engines[0].change_entry();
            sleep(Duration::from_millis(100)).await;
        }
        let watches = site.store.watch_count("servers") - watches_before;
        let elapsed_s = started.elapsed().as_secs();
        assert!(watches > 0, "the other instance does not watch the servers");
        assert!(watches <= elapsed_s + 2, "{watches} in {elapsed_s} s");
    });
}

/// Guards against sending requests to a removed server for two more seconds because the placer, not this instance,
/// had lost the store.
#[test]
fn server_removed_as_the_placer_regains_the_store_is_not_used_by_others() {
    block_on(async {
        let options = FleetOptions {
            has_relays: true,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        let placer = site.wait_placer().await;
        let other = 1 - placer;
        site.store_relays[placer].cut();
        wait_for("a placer that lost the store", async || {
            let is_lost = site.instances[placer].has_logged("store_lost");
            is_lost.then_some(())
        })
        .await;
        wait_for("an instance that watches the servers itself", async || {
            let watches = site.store.watch_count("servers");
            sleep(WATCH_TIME).await;
            (site.store.watch_count("servers") > watches + 1).then_some(())
        })
        .await;
        site.store_relays[placer].heal();
        wait_for("a placer that has regained the store", async || {
            let log = site.instances[placer].log();
            let mut regained = log.iter().filter(|it| it["event"] == "store_regained");
            regained.any(|it| it["kind"] == "servers").then_some(())
        })
        .await;
        sleep(RELAY_TIME).await;
        for server in &site.plain_servers {
            site.store.remove("servers", &server.current_id());
        }
        wait_for("a server that is known to be removed", async || {
            let is_removed = site.instances[other].has_logged("server_removed");
            is_removed.then_some(())
        })
        .await;
        sleep(RELAY_TIME).await;
        let answer = site.caller(other).get("/look/x", "late").await.unwrap();
        assert_eq!(answer.status, 503, "the servers are removed");
        assert_eq!(site.arrival_count("late"), 0);
    });
}

/// Time in which an instance that watches the servers itself calls the store several times.
const WATCH_TIME: Duration = Duration::from_millis(1_500);
/// Time in which the placer relays that it reaches the store again.
const RELAY_TIME: Duration = Duration::from_millis(600);

#[test]
fn quarantine_is_not_stored_while_no_server_crashes() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let writes = site.store.write_count();
        for number in 0..20 {
            let id = format!("booking-{number}");
            let caller = site.caller(number % 2);
            let answer = caller.post("/book/x", &id, "a booking").await.unwrap();
            assert_eq!(answer.status, 200);
        }
        assert_eq!(site.store.write_count(), writes);
        assert_eq!(site.store.spec("quarantine", "cell-0"), None);
    });
}
