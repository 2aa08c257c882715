//! Requests whose silent server is given up, and what is left to them then.

use std::time::Duration;

use futures::future::join_all;
use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetServer, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};
use serde_json::json;
use tokio::time::sleep;

use crate::silence::wait_for_draft;

/// Time for which a server is silent in the middle of a stream, in milliseconds; longer than any
/// deadline.
const HANG_MS: u64 = 30_000;
/// Time until a silent plain server answers, in milliseconds.
const LATE_ANSWER_MS: u64 = 1_600;
/// Deadline that leaves time for one late answer, not for two in a row, in milliseconds.
const ONE_LATE_ANSWER_DEADLINE_MS: u64 = 2_500;
/// Deadline of the other requests, in milliseconds; as long as the route's timeout.
const DEADLINE_MS: u64 = 5_000;
/// Time for which an engine is silent while it has an order to load, in milliseconds.
const PAUSE_MS: u64 = 1_200;
/// Number of requests that add at least one retry.
const REQUESTS_FOR_A_RETRY: usize = 8;
/// Number of requests that fill the instance's share of the retries.
const REQUESTS_FOR_ALL_RETRIES: usize = 30;

/// Makes every server reject its next requests, except those that run one.
fn reject_at_idle_servers(servers: &[FleetServer], rejections: usize) {
    for server in servers.iter().filter(|it| it.running_count() == 0) {
        server.clear_plan();
        for _ in 0..rejections {
            server.plan(Behaviour::Reject);
        }
    }
}

async fn wait_for_arrivals(site: &FleetSite, id: &str, count: usize) {
    wait_for("an attempt", async || {
        (site.arrival_count(id) >= count).then_some(())
    })
    .await;
}

/// Guards against an error for a request that was given up at a silent engine and rejected by the
/// next one, while no retry was left.
#[test]
fn request_is_answered_although_the_successor_of_its_silent_engine_rejects_it() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for engine in &site.engines {
            engine.plan(Behaviour::Hang);
        }
        let caller = site.caller(0).deadline_ms(DEADLINE_MS);
        let request = caller.generate("/draft/x", "one", "");
        let others = async {
            wait_for_arrivals(&site, "one", 1).await;
            reject_at_idle_servers(&site.engines, 1);
            wait_for_arrivals(&site, "one", 2).await;
            for number in 0..REQUESTS_FOR_A_RETRY {
                wait_for_draft(&caller, &format!("other-{number}")).await;
            }
        };
        let (answer, ()) = tokio::join!(request, others);
        assert_eq!(answer.expect("an answer").status, 200);
    });
}

/// Guards against sending a request back to a silent engine that it was taken from.
#[test]
fn request_is_not_sent_again_to_the_silent_engine_that_was_given_up() {
    block_on(async {
        let options = FleetOptions {
            engines: 3,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        site.configure(2, |it| it["routes"][0]["maxAttempts"] = json!(3));
        wait_for("the new configuration", async || {
            let log = site.instances[0].log();
            let mut applied = log
                .iter()
                .filter(|it| it["event"] == "configuration_in_force");
            applied.any(|it| it["version"] == 2).then_some(())
        })
        .await;
        let caller = site.caller(0).deadline_ms(DEADLINE_MS);
        for number in 0..REQUESTS_FOR_ALL_RETRIES {
            wait_for_draft(&caller, &format!("other-{number}")).await;
        }
        for engine in &site.engines {
            engine.plan(Behaviour::Hang);
            engine.plan(Behaviour::Hang);
        }
        let request = caller.generate("/draft/x", "one", "");
        let others = async {
            wait_for_arrivals(&site, "one", 2).await;
            let has_received = |it: &FleetServer| it.requests().iter().any(|it| it.id == "one");
            for engine in site.engines.iter().filter(|it| !has_received(it)) {
                engine.clear_plan();
            }
        };
        let (answer, ()) = tokio::join!(request, others);
        assert_eq!(answer.expect("an answer").status, 200);
    });
}

/// Guards against cutting a stream because several servers in a row rejected it.
#[test]
fn stream_is_resumed_although_its_successor_rejects_it_three_times() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let caller = site.caller(0).deadline_ms(DEADLINE_MS);
        for number in 0..REQUESTS_FOR_ALL_RETRIES {
            wait_for_draft(&caller, &format!("other-{number}")).await;
        }
        for engine in &site.engines {
            engine.plan(Behaviour::PauseAfter {
                events: 3,
                pause_ms: HANG_MS,
            });
        }
        let stream = caller.generate("/draft/x", "one", "");
        let others = async {
            wait_for_arrivals(&site, "one", 1).await;
            reject_at_idle_servers(&site.engines, 3);
            wait_for_arrivals(&site, "one", 2).await;
            let silent = site.engines.iter().find(|it| {
                it.requests()
                    .iter()
                    .any(|request| request.id == "one" && request.has_run)
            });
            silent.expect("a silent engine").register("draining");
        };
        let (answer, ()) = tokio::join!(stream, others);
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5, 6]);
    });
}

/// Guards against giving up the only server of a service for that same server.
#[test]
fn lookup_is_not_repeated_at_the_silent_server_that_runs_it() {
    block_on(async {
        let options = FleetOptions {
            plain_servers: 1,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        for _ in 0..2 {
            site.plain_servers[0].plan(Behaviour::AnswerAfter(LATE_ANSWER_MS));
        }
        let caller = site.caller(0).deadline_ms(ONE_LATE_ANSWER_DEADLINE_MS);
        let answer = caller.get("/look/x", "one").await;
        assert_eq!(answer.expect("an answer").status, 200);
        assert_eq!(site.run_count("one"), 1);
    });
}

/// Guards against giving up a server that is leaving although no other one is registered.
#[test]
fn lookup_is_not_given_up_at_a_leaving_server_without_a_successor() {
    block_on(async {
        let options = FleetOptions {
            plain_servers: 1,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        site.plain_servers[0].plan(Behaviour::AnswerAfter(LATE_ANSWER_MS));
        let caller = site.caller(0).deadline_ms(DEADLINE_MS);
        let request = caller.get("/look/x", "one");
        let leave = async {
            wait_for_arrivals(&site, "one", 1).await;
            site.plain_servers[0].register("draining");
        };
        let (answer, ()) = tokio::join!(request, leave);
        assert_eq!(answer.expect("an answer").status, 200);
    });
}

/// Guards against an error for a lookup that was given up at a silent server and rejected by the next
/// one, while no retry was left.
#[test]
fn lookup_is_answered_although_the_successor_of_its_silent_server_rejects_it() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::Hang);
        }
        let caller = site.caller(0).deadline_ms(DEADLINE_MS);
        let request = caller.get("/look/x", "one");
        let others = async {
            wait_for_arrivals(&site, "one", 1).await;
            reject_at_idle_servers(&site.plain_servers, 1);
            wait_for_arrivals(&site, "one", 2).await;
            let lookups = (0..REQUESTS_FOR_A_RETRY).map(|number| {
                let caller = &caller;
                async move { caller.get("/look/x", &format!("other-{number}")).await }
            });
            for answer in join_all(lookups).await {
                assert_eq!(answer.expect("an answer").status, 200);
            }
        };
        let (answer, ()) = tokio::join!(request, others);
        assert_eq!(answer.expect("an answer").status, 200);
    });
}

/// Guards against a refusal because the only engine is silent while it has an order to load.
#[test]
fn request_whose_adapter_is_loaded_by_a_silent_engine_is_not_refused() {
    block_on(async {
        let options = FleetOptions {
            engines: 1,
            ..FleetOptions::default()
        };
        let site = FleetSite::start(options).await;
        site.engines[0].set_paused(true);
        let caller = site.caller(0).deadline_ms(DEADLINE_MS);
        let request = caller.generate("/draft/x", "one", "a1");
        let pause = async {
            sleep(Duration::from_millis(PAUSE_MS)).await;
            site.engines[0].set_paused(false);
        };
        let (answer, ()) = tokio::join!(request, pause);
        assert_eq!(answer.expect("an answer").status, 200);
    });
}
