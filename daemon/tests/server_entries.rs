//! What instances know of the servers' entries when the placer relays their changes.

use std::time::Duration;

use mimosabay_standin::fleet::{CONTACT_MS, FleetOptions, FleetServer, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::time::{Instant, sleep};

/// Number of instances.
const INSTANCES: usize = 4;
/// Time after the start from which the placer relays all changes, as the watches of the other instances
/// have ended, in milliseconds.
const RELAYED_AFTER_MS: u64 = 2_000;
/// Time for which the store is away, in milliseconds.
const AWAY_MS: u64 = 4_000;
/// Time for which requests are sent, in milliseconds.
const LOAD_MS: u64 = 2_500;
/// Interval between two requests of the load, in milliseconds.
const INTERVAL_MS: u64 = 20;
/// Time after which a leaving server gets no request any more, in milliseconds.
const LEFT_AFTER_MS: u64 = 2_000;

/// How the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// It answers nothing.
    Silent,
    /// It answers 503.
    Refusing,
}

/// Which entries lapse while the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lapsed {
    All,
    /// Those of the plain servers, but for one.
    SomePlain,
}

/// Guards against instances that forget live servers for good, because the placer does not relay that
/// lapsed entries were written again.
mod live_server_is_forgotten_after_its_entry_lapsed {
    use mimosabay_core::cases;

    use super::{Lapsed, Outage, servers_are_used_again};

    cases! {
        servers_are_used_again;
        all_at_once: (Outage::Silent, Lapsed::All, 0);
        all_after_600_ms: (Outage::Silent, Lapsed::All, 600);
        all_after_1500_ms: (Outage::Silent, Lapsed::All, 1_500);
        some_at_once: (Outage::Silent, Lapsed::SomePlain, 0);
        some_after_1500_ms: (Outage::Silent, Lapsed::SomePlain, 1_500);
        all_at_once_refusing: (Outage::Refusing, Lapsed::All, 0);
        all_after_1500_ms_refusing: (Outage::Refusing, Lapsed::All, 1_500);
    }
}

/// Guards against requests to a draining server by instances that are not told of its entry, because the
/// placer has learned from an answer of the server that it leaves.
mod draining_server_is_used_by_instances_that_it_has_not_answered {
    use mimosabay_core::cases;

    use super::{Departure, draining_server_gets_no_request};

    cases! {
        draining_server_gets_no_request;
        drains: (Departure::Drains);
        drains_and_is_removed: (Departure::DrainsAndIsRemoved);
        is_removed: (Departure::IsRemoved);
    }
}

/// What becomes of the entry of a server that has said in an answer that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Drains,
    DrainsAndIsRemoved,
    IsRemoved,
}

async fn start_site() -> FleetSite {
    let site = FleetSite::start(FleetOptions {
        instances: INSTANCES,
        engines: 3,
        plain_servers: 3,
        ..FleetOptions::default()
    });
    let site = site.await;
    sleep(Duration::from_millis(RELAYED_AFTER_MS)).await;
    site
}

/// Makes the store unavailable or available.
fn set_away(site: &FleetSite, outage: Outage, is_away: bool) {
    match outage {
        Outage::Silent => site.store.set_silent(is_away),
        Outage::Refusing => site.store.set_down(is_away),
    }
}

fn lapsed_servers(site: &FleetSite, lapsed: Lapsed) -> Vec<FleetServer> {
    let plain = site.plain_servers.iter();
    match lapsed {
        Lapsed::All => site.engines.iter().chain(plain).cloned().collect(),
        Lapsed::SomePlain => plain.skip(1).cloned().collect(),
    }
}

fn servers_are_used_again(outage: Outage, lapsed: Lapsed, written_after_ms: u64) {
    block_on(async {
        let site = start_site().await;
        let servers = lapsed_servers(&site, lapsed);
        set_away(&site, outage, true);
        sleep(Duration::from_millis(AWAY_MS)).await;
        for server in &servers {
            site.store.remove("servers", &server.id);
        }
        set_away(&site, outage, false);
        sleep(Duration::from_millis(written_after_ms)).await;
        for server in &servers {
            server.register("ready");
        }
        sleep(Duration::from_millis(CONTACT_MS)).await;
        for index in 0..INSTANCES {
            let unused = unused_servers(&site, index).await;
            assert!(
                unused.is_empty(),
                "instance {index} does not use {unused:?}"
            );
            let caller = site.caller(index);
            let id = format!("draft@{index}");
            let draft = caller.generate("/draft/x", &id, "a1").await.unwrap();
            assert_eq!(draft.status, 200, "draft at {index}");
        }
    });
}

/// Sends lookups to an instance; returns the plain servers that it uses for none of them.
async fn unused_servers(site: &FleetSite, index: usize) -> Vec<String> {
    let prefix = format!("look@{index}-");
    look_up(site, index, &prefix).await;
    let servers = site.plain_servers.iter();
    let unused = servers.filter(|server| arrivals(server, &prefix) == 0);
    unused.map(|server| server.id.to_string()).collect()
}

/// Sends concurrent lookups to an instance for some time.
async fn look_up(site: &FleetSite, index: usize, prefix: &str) {
    let end = Instant::now() + Duration::from_millis(LOAD_MS);
    let mut number = 0;
    while Instant::now() < end {
        let caller = site.caller(index);
        let sent = (0..4).map(|part| {
            let (caller, id) = (caller.clone(), format!("{prefix}{number}-{part}"));
            // Where the requests arrive is checked at the servers.
            async move { drop(caller.get("/look/x", &id).await) }
        });
        futures::future::join_all(sent).await;
        number += 1;
        sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
}

fn arrivals(server: &FleetServer, prefix: &str) -> usize {
    let requests = server.requests();
    let arrived = requests.iter().filter(|it| it.id.starts_with(prefix));
    arrived.count()
}

fn draining_server_gets_no_request(departure: Departure) {
    block_on(async {
        let site = start_site().await;
        let placer = site.wait_placer().await;
        let server = &site.plain_servers[0];
        server.state_leaving();
        wait_for("an answer that says so, at the placer", async || {
            drop(site.caller(placer).get("/look/x", "probe").await);
            site.instances[placer]
                .has_logged("server_leaving")
                .then_some(())
        })
        .await;
        match departure {
            Departure::Drains => server.register("draining"),
            Departure::DrainsAndIsRemoved => {
                server.register("draining");
                sleep(Duration::from_millis(LEFT_AFTER_MS / 2)).await;
                site.store.remove("servers", &server.id);
            }
            Departure::IsRemoved => site.store.remove("servers", &server.id),
        }
        sleep(Duration::from_millis(LEFT_AFTER_MS)).await;
        for index in 0..INSTANCES {
            let prefix = format!("late@{index}-");
            look_up(&site, index, &prefix).await;
            assert_eq!(
                arrivals(server, &prefix),
                0,
                "requests from instance {index}"
            );
        }
    });
}
