//! Operators evacuate an availability zone under load and take it back.

use std::time::{Duration, Instant};

use mimosabay_standin::fleet::{Condition, Disturber, FleetOptions, FleetServer, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval between two requests, in milliseconds.
const INTERVAL_MS: u64 = 25;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Time of the evacuation, in milliseconds.
const EVACUATED_MS: u64 = 1_000;
/// Time from the evacuation until nothing may be sent to the zone, in milliseconds.
const EVACUATE_MS: u64 = 5_000;
/// Time at which the zone is taken back, in milliseconds.
const RETURNED_MS: u64 = 10_000;
/// Time after which nothing may be sent to the zone if the store was down when it was evacuated, in
/// milliseconds: two seconds after the store is back.
const EVACUATED_LATE_MS: u64 = 8_000;
/// Time for which requests are sent, in milliseconds.
const LOAD_MS: u64 = 16_000;
/// Requests a second that a cold engine takes.
const COLD_PER_S: f64 = 4.0;
/// Most requests that a cold engine may receive in a second.
const MAX_COLD_IN_1_S: usize = 11;
/// Time for which an engine is cold, in milliseconds.
const COLD_MS: u64 = 3_000;
/// Share of the requests that has to be answered, as the other zone has room for all of them.
const MIN_ANSWERED_SHARE: f64 = 0.95;
/// The zone that is evacuated. The instances are in it, and prefer its servers.
const ZONE: &str = "zone-1";
/// The zone of each second server.
const OTHER_ZONE: &str = "zone-2";

/// Path of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// A stream that may be resumed.
    Draft,
    /// A call to a plain service that may be retried.
    Lookup,
}

/// Guards against requests to the servers of an evacuated zone, and against a burst at its servers when it
/// is taken back.
mod evacuated_zone_gets_nothing {
    use mimosabay_core::cases;
    use mimosabay_standin::fleet::Condition;

    use super::{Route, evacuated_zone_is_left};

    cases! {
        evacuated_zone_is_left;
        drafts: (Route::Draft, Condition::Calm);
        lookups: (Route::Lookup, Condition::Calm);
        drafts_placer_killed: (Route::Draft, Condition::PlacerKilledTwice);
        drafts_all_restarted: (Route::Draft, Condition::AllRestarted);
        lookups_store_down: (Route::Lookup, Condition::StoreDown);
    }
}

/// The servers in [`ZONE`].
fn in_zone(servers: &[FleetServer]) -> impl Iterator<Item = &FleetServer> {
    servers.iter().step_by(2)
}

/// Times of the requests that reached some servers, oldest first, in milliseconds.
fn arrivals<'a>(servers: impl Iterator<Item = &'a FleetServer>, started: Instant) -> Vec<u64> {
    let requests = servers.flat_map(FleetServer::requests);
    let mut times_ms: Vec<u64> = requests
        .filter_map(|request| request.arrived.checked_duration_since(started))
        .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
        .collect();
    times_ms.sort_unstable();
    times_ms
}

fn evacuated_zone_is_left(route: Route, condition: Condition) {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions {
            instances: 4,
            engines: 4,
            plain_servers: 4,
            contracts: &["base", "places"],
            cold_per_s: COLD_PER_S,
            ..FleetOptions::default()
        })
        .await;
        let servers = match route {
            Route::Draft => site.engines.clone(),
            Route::Lookup => site.plain_servers.clone(),
        };
        for server in servers.iter().skip(1).step_by(2) {
            server.move_to_zone(OTHER_ZONE);
        }
        wait_for("requests in the zone", async || {
            send(&site, route, 0, "early").await;
            in_zone(&servers)
                .any(|it| !it.requests().is_empty())
                .then_some(())
        })
        .await;
        let started = Instant::now();
        let answered_share = run(&mut site, route, condition, started).await;
        let times_ms = arrivals(in_zone(&servers), started);
        let from_ms = match condition {
            Condition::StoreDown => EVACUATED_LATE_MS,
            _ => EVACUATED_MS + EVACUATE_MS,
        };
        let forbidden = from_ms..RETURNED_MS;
        let late = times_ms.iter().filter(|it| forbidden.contains(it)).count();
        assert_eq!(
            late, 0,
            "requests reached the evacuated zone after {from_ms} ms"
        );
        let after = times_ms.iter().filter(|it| **it >= RETURNED_MS).count();
        assert!(after > 0, "the zone was not used again");
        if condition == Condition::Calm {
            assert!(answered_share >= MIN_ANSWERED_SHARE, "{answered_share}");
        }
        if route == Route::Draft {
            check_cold(&servers, started);
        }
    });
}

/// Checks that no engine of the zone received more than a cold one takes.
fn check_cold(servers: &[FleetServer], started: Instant) {
    for server in in_zone(servers) {
        let times_ms = arrivals(std::iter::once(server), started);
        let cold: Vec<u64> = times_ms
            .into_iter()
            .filter(|it| (RETURNED_MS..RETURNED_MS + COLD_MS).contains(it))
            .collect();
        for from_ms in &cold {
            let in_1_s = cold
                .iter()
                .filter(|it| (*from_ms..from_ms + 1_000).contains(*it));
            let in_1_s = in_1_s.count();
            assert!(
                in_1_s <= MAX_COLD_IN_1_S,
                "{} received {in_1_s}: {cold:?}",
                server.id
            );
        }
    }
}

/// Sends requests while the zone is evacuated and taken back; returns the share that was answered.
async fn run(site: &mut FleetSite, route: Route, condition: Condition, started: Instant) -> f64 {
    let mut disturber = Disturber::start(condition, site);
    let mut requests = JoinSet::new();
    let mut is_evacuated = None;
    let mut number = 0;
    while disturber.advance() < LOAD_MS {
        let now_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let wanted = (EVACUATED_MS..RETURNED_MS).contains(&now_ms);
        if is_evacuated.replace(wanted) != Some(wanted) {
            site.store.evacuate(ZONE, wanted);
        }
        number += 1;
        let live = disturber.live_instances(site);
        let caller = site.caller(live[number % live.len()]);
        let caller = caller.deadline_ms(DEADLINE_MS);
        requests.spawn(async move {
            let id = format!("sent-{number}");
            let reply = match route {
                Route::Draft => caller.generate("/draft/x", &id, "a1").await,
                Route::Lookup => caller.get("/look/x", &id).await,
            };
            reply.is_ok_and(|reply| reply.status == 200)
        });
        disturber.disturb(site).await;
        sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
    let results = requests.join_all().await;
    let answered = results.iter().filter(|is_answered| **is_answered).count();
    answered as f64 / results.len() as f64
}

async fn send(site: &FleetSite, route: Route, index: usize, id: &str) {
    let caller = site.caller(index).deadline_ms(DEADLINE_MS);
    let reply = match route {
        Route::Draft => caller.generate("/draft/x", id, "a1").await,
        Route::Lookup => caller.get("/look/x", id).await,
    };
    drop(reply);
}
