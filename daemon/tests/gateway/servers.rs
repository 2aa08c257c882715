//! Backend servers that leave, crash and restart.

use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetServer, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};
use serde_json::json;

/// Sends ten requests and counts those that one server receives.
async fn count_received_of_ten(site: &FleetSite, index: usize) -> usize {
    let before = site.plain_servers[index].requests().len();
    for number in 0..10 {
        let id = format!("look-{number}");
        let answer = site.caller(number % 2).get("/look/x", &id).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    site.plain_servers[index].requests().len() - before
}

#[test]
fn draining_server_gets_no_new_requests() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.plain_servers[0].register("draining");
        wait_for("no requests at the draining server", async || {
            (count_received_of_ten(&site, 0).await == 0).then_some(())
        })
        .await;
    });
}

#[test]
fn removed_server_gets_no_new_requests() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.store.remove("servers", "desk-0");
        wait_for("no requests at the removed server", async || {
            (count_received_of_ten(&site, 0).await == 0).then_some(())
        })
        .await;
    });
}

#[test]
fn crashed_server_fails_no_request_that_may_be_retried() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        count_received_of_ten(&site, 0).await;
        site.plain_servers[0].crash();
        count_received_of_ten(&site, 0).await;
    });
}

#[test]
fn crashed_engine_is_avoided() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.engines[0].crash();
        for number in 0..6 {
            let id = format!("draft-{number}");
            wait_for("an answered draft", async || {
                let answer = site.caller(0).generate("/draft/x", &id, "a1").await.ok()?;
                (answer.status == 200).then_some(())
            })
            .await;
        }
    });
}

#[test]
fn booking_that_crashes_servers_is_refused_at_every_instance() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        wait_for("a refused booking", async || {
            for server in &site.plain_servers {
                server.plan(Behaviour::Crash);
            }
            for index in 0..2 {
                let answer = site
                    .caller(index)
                    .post("/book/x", "bad", "crash")
                    .await
                    .ok()?;
                let retry_after: f64 = answer.header("retry-after").parse().ok()?;
                (answer.status == 503 && retry_after > 10.0).then_some(())?;
            }
            Some(())
        })
        .await;
        for server in &site.plain_servers {
            server.clear_plan();
        }
        wait_for("another booking", async || {
            let answer = site
                .caller(0)
                .post("/book/x", "good", "a booking")
                .await
                .ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    });
}

#[test]
fn broken_entries_are_ignored() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let broken = [
            json!("not an entry"),
            json!({ "service": "desk" }),
            json!({ "service": "desk", "address": 7, "zone": "z", "slots": 6, "state": "ready" }),
            json!({
                "service": "desk", "address": "127.0.0.1:1", "zone": "z", "slots": 6,
                "state": "unheard of", "sequence": 0,
            }),
        ];
        for (number, entry) in broken.into_iter().enumerate() {
            site.store
                .put("servers", &format!("broken-{number}"), &entry);
        }
        site.plain_servers[0].register("draining");
        wait_for("the entry after the broken ones", async || {
            (count_received_of_ten(&site, 0).await == 0).then_some(())
        })
        .await;
    });
}

/// Guards against an entry of another writer that hides the entries of the servers.
mod entry_of_another_writer_hides_the_others {
    use mimosabay_core::cases;

    use super::leaving_server_is_seen_beside;

    cases! {
        leaving_server_is_seen_beside;
        nested: (&format!("{}1{}", "[".repeat(300), "]".repeat(300)));
        nested_objects: (&format!("{}1{}", "{\"a\":".repeat(5_000), "}".repeat(5_000)));
        number_too_large: ("1e400");
        negative_number: ("-1");
        port_out_of_range: (r#"{ "service": "desk", "address": "127.0.0.1:70000", "zone": "z",
            "version": "v1", "slots": 6, "state": "ready", "sequence": 0 }"#);
        lone_surrogate: (r#""\ud800""#);
        no_utf_8: ("\"\u{fffd}\"");
    }
}

/// Registers an odd entry, restarts an instance, and checks that all instances see a server leave.
fn leaving_server_is_seen_beside(spec: &str) {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        site.store.set_odd_entry("servers", "odd-entry", spec);
        site.restart(1);
        site.wait_ready(1).await;
        site.plain_servers[0].register("draining");
        wait_for("no requests at the draining server", async || {
            (count_received_of_ten(&site, 0).await == 0).then_some(())
        })
        .await;
    });
}

#[test]
fn server_whose_entry_turns_unreadable_is_not_used() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        count_received_of_ten(&site, 0).await;
        site.store.put("servers", "desk-0", &json!({ "state": 7 }));
        wait_for("no requests at the server", async || {
            (count_received_of_ten(&site, 0).await == 0).then_some(())
        })
        .await;
    });
}

#[test]
fn new_version_of_an_adapter_is_loaded_before_it_is_used() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let caller = site.caller(0);
        caller.generate("/draft/x", "before", "a1").await.unwrap();
        let release = json!({ "model": "base", "adapter": "a1", "version": 2 });
        site.store.put("versions", "base.a1", &release);
        wait_for("an order for the new version", async || {
            // The stand-in's engines do not distinguish versions, so only the order is checked.
            let _ = caller.generate("/draft/x", "probe", "a1").await;
            let mut orders = site.engines.iter().flat_map(FleetServer::orders);
            orders.any(|it| it.fields["version"] == 2).then_some(())
        })
        .await;
    });
}
