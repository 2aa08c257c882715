//! Tests of the choice of a backend server.

use std::collections::{BTreeMap, BTreeSet};

use mimosabay_core::name::{AdapterVersion, Name};
use mimosabay_core::placement::digest::{ServerDigest, model_key};
use mimosabay_core::placement::{
    CacheEvent, Choice, Failure, Placement, PlacementSettings, Strategy,
};
use mimosabay_core::resource::{BackendServer, ServerKind};

const POOL: &str = "assistant";

fn model(adapter: &str) -> AdapterVersion {
    AdapterVersion {
        adapter: Name::from(adapter),
        version: Name::from("v1"),
    }
}

fn spec(zone: &str) -> BackendServer {
    BackendServer {
        address: Name::from("127.0.0.1:1"),
        zone: Name::from(zone),
        kind: ServerKind::Engine,
        pool: Name::from(POOL),
        base_model: Name::from("base"),
        slots: 4,
        batch: 4,
        checks_fencing: true,
        leaving: false,
    }
}

/// Returns servers `s0`, `s1` and so on, in three zones in turn.
fn servers(count: usize) -> BTreeMap<Name, BackendServer> {
    let server = |number: usize| {
        let zone = ["north", "south", "west"][number % 3];
        (Name::from(format!("s{number}")), spec(zone))
    };
    (0..count).map(server).collect()
}

fn placement_with(count: usize, strategy: Strategy) -> Placement {
    let settings = PlacementSettings {
        strategy,
        ..PlacementSettings::default()
    };
    let mut placement = Placement::new(settings);
    placement.set_servers(&servers(count), 0);
    placement
}

fn placement(count: usize) -> Placement {
    placement_with(count, Strategy::Product)
}

fn digest(server: &str, sequence: u64, loaded: &[&str]) -> ServerDigest {
    let loaded = loaded.iter().map(|adapter| model_key(&model(adapter)));
    ServerDigest {
        server: Name::from(server),
        fencing: 1,
        sequence,
        loaded: loaded.collect(),
        loading: Vec::new(),
        waiting: 0,
        running: 0,
        open_slots: 4,
        wanted_loads: 0,
        run_ms: 1_000,
    }
}

fn choose(placement: &mut Placement, adapter: &str, now_ms: u64) -> Choice {
    let choice = placement.choose(&model(adapter), POOL, "north", 0, now_ms);
    choice.expect("there are servers")
}

#[test]
fn resident_server_is_chosen() {
    let mut placement = placement(18);
    placement.apply_digest(&digest("s7", 1, &["a"]), 0);
    let choice = choose(&mut placement, "a", 0);
    assert_eq!(&*choice.server, "s7");
    assert!(choice.is_resident);
}

#[test]
fn resident_server_in_own_zone_goes_first_among_equals() {
    let mut placement = placement(18);
    for server in ["s1", "s3", "s5"] {
        placement.apply_digest(&digest(server, 1, &["a"]), 0);
    }
    assert_eq!(&*choose(&mut placement, "a", 0).server, "s3");
}

#[test]
fn instances_in_all_zones_prefer_the_same_server() {
    let preferred: BTreeSet<Name> = ["north", "south", "west"]
        .iter()
        .filter_map(|zone| placement(18).choose(&model("a"), POOL, zone, 0, 0))
        .map(|choice| choice.server)
        .collect();
    assert_eq!(preferred.len(), 1);
}

#[test]
fn preferred_servers_spread_over_all_servers() {
    let mut placement = placement(18);
    let preferred: BTreeSet<Name> = (0..400)
        .map(|number| choose(&mut placement, &format!("tail-{number}"), 0).server)
        .collect();
    assert_eq!(preferred.len(), 18);
}

#[test]
fn queue_at_the_resident_server_adds_a_replica() {
    let mut placement = placement(18);
    placement.apply_digest(&digest("s7", 1, &["a"]), 0);
    let mut used = BTreeSet::new();
    for _ in 0..12 {
        let choice = choose(&mut placement, "a", 0);
        placement.record_start(&choice.server, Some(&model("a")), 0, 0);
        used.insert(choice.server);
    }
    assert!((2..=4).contains(&used.len()), "{used:?}");
}

/// While the weight store is busy, waiting at the server that holds the adapter is faster than
/// another load.
#[test]
fn loads_in_flight_prevent_replicas() {
    let chosen = |loads: u64| {
        let mut placement = placement(18);
        let mut busy = digest("s7", 1, &["a"]);
        busy.running = 4;
        busy.waiting = 1;
        placement.apply_digest(&busy, 0);
        let mut loading = digest("s8", 1, &[]);
        loading.loading = (1..=loads).collect();
        placement.apply_digest(&loading, 0);
        choose(&mut placement, "a", 0).server
    };
    assert_ne!(&*chosen(0), "s7");
    assert_eq!(&*chosen(8), "s7");
}

/// Requests that wait for one load are sent to the same server.
#[test]
fn load_under_way_is_shared() {
    let mut placement = placement(18);
    let first = choose(&mut placement, "a", 0).server;
    placement.record_start(&first, Some(&model("a")), 0, 0);
    assert_eq!(choose(&mut placement, "a", 20).server, first);
}

#[test]
fn own_requests_count_before_late_digests() {
    let mut placement = placement(2);
    for server in ["s0", "s1"] {
        placement.apply_digest(&digest(server, 1, &["a"]), 0);
    }
    for _ in 0..8 {
        placement.record_start("s0", Some(&model("a")), 0, 0);
    }
    placement.apply_digest(&digest("s0", 2, &["a"]), 0);
    assert_eq!(&*choose(&mut placement, "a", 0).server, "s1");
}

#[test]
fn older_digest_is_ignored() {
    let mut placement = placement(18);
    placement.apply_digest(&digest("s7", 2, &["a"]), 0);
    placement.apply_digest(&digest("s7", 1, &[]), 0);
    assert_eq!(&*choose(&mut placement, "a", 0).server, "s7");
}

#[test]
fn evicted_adapter_is_forgotten() {
    let mut placement = placement(18);
    placement.apply_digest(&digest("s7", 1, &["a"]), 0);
    placement.apply_digest(&digest("s7", 2, &["b"]), 0);
    assert!(!choose(&mut placement, "a", 0).is_resident);
}

#[test]
fn leaving_server_gets_nothing() {
    let mut placement = placement(2);
    placement.apply_digest(&digest("s0", 1, &["a"]), 0);
    let mut table = servers(2);
    table.get_mut("s0").expect("a server").leaving = true;
    placement.set_servers(&table, 0);
    assert_eq!(&*choose(&mut placement, "a", 0).server, "s1");
    table.clear();
    placement.set_servers(&table, 0);
    assert_eq!(placement.choose(&model("a"), POOL, "north", 0, 0), None);
}

/// Removing a server moves only the adapters that preferred it.
#[test]
fn change_of_servers_moves_few_preferred_servers() {
    let mut placement = placement(18);
    let preferred_server = |placement: &mut Placement, number: usize| {
        choose(placement, &format!("tail-{number}"), 0).server
    };
    let before: Vec<Name> = (0..300)
        .map(|number| preferred_server(&mut placement, number))
        .collect();
    let mut table = servers(18);
    table.remove("s3");
    placement.set_servers(&table, 0);
    for (number, old) in before.iter().enumerate() {
        let new = preferred_server(&mut placement, number);
        assert!(new == *old || **old == *"s3", "{old} to {new}");
    }
    placement.set_servers(&servers(18), 0);
    for (number, old) in before.iter().enumerate() {
        assert_eq!(preferred_server(&mut placement, number), *old);
    }
}

#[test]
fn failed_load_is_tried_at_another_server() {
    let mut placement = placement(18);
    let first = choose(&mut placement, "a", 0).server;
    placement.record_failure(&first, &model("a"), Failure::Load, 0);
    assert_ne!(choose(&mut placement, "a", 0).server, first);
    assert_eq!(choose(&mut placement, "a", 1_000).server, first);
}

#[test]
fn failed_server_is_left_out_unless_all_failed() {
    let mut placement = placement(2);
    placement.record_failure("s0", &model("a"), Failure::Server, 0);
    assert_eq!(&*choose(&mut placement, "a", 0).server, "s1");
    placement.record_failure("s1", &model("a"), Failure::Server, 0);
    choose(&mut placement, "a", 0);
    placement.record_success("s0");
    assert_eq!(&*choose(&mut placement, "a", 0).server, "s0");
}

#[test]
fn tried_servers_are_excluded() {
    let mut placement = placement(6);
    let mut tried: Vec<Name> = Vec::new();
    let adapter = model("a");
    while let Some(choice) = placement.choose_excluding(&adapter, POOL, "north", 0, &tried, 0) {
        assert!(!tried.contains(&choice.server));
        tried.push(choice.server);
    }
    assert_eq!(tried.len(), 6);
}

#[test]
fn restarted_server_regains_its_share_gradually() {
    let mut placement = placement(2);
    for server in ["s0", "s1"] {
        placement.apply_digest(&digest(server, 1, &["a"]), 0);
    }
    placement.record_restart("s0", 0);
    placement.apply_digest(&digest("s0", 2, &["a"]), 0);
    let share = |placement: &mut Placement, now_ms: u64| {
        let mut chosen = Vec::new();
        for _ in 0..4 {
            let choice = choose(placement, "a", now_ms);
            placement.record_start(&choice.server, Some(&model("a")), 0, now_ms);
            chosen.push(choice.server);
        }
        for server in &chosen {
            placement.record_finish(server);
        }
        chosen.iter().filter(|server| &***server == "s0").count()
    };
    assert!(share(&mut placement, 0) < 2);
    assert_eq!(share(&mut placement, 60_000), 2);
}

/// Two equal servers hold the adapter, and one of them also has the prefix of the prompt.
fn prefers_prefix(events: &[CacheEvent], expected: bool) {
    let mut placement = placement(4);
    for server in ["s1", "s2"] {
        placement.apply_digest(&digest(server, 1, &["a"]), 0);
    }
    placement.record_start("s2", Some(&model("a")), 77, 0);
    placement.record_finish("s2");
    for event in events {
        placement.apply_cache_event("s2", *event, 10);
    }
    let choices = (0..4).map(|_| placement.choose(&model("a"), POOL, "north", 77, 20));
    let servers: Vec<Name> = choices.flatten().map(|choice| choice.server).collect();
    let is_preferred = servers.iter().all(|server| &**server == "s2");
    assert_eq!(is_preferred, expected, "{servers:?}");
}

mimosabay_core::cases! {
    prefers_prefix;
    prefix_without_events: (&[], true);
    prefix_after_gap: (&[CacheEvent::Gap], true);
    prefix_removed: (&[CacheEvent::Removed { prompt_hash: 77 }], false);
    prefix_cleared: (&[CacheEvent::Cleared], false);
}

/// A load that many expected requests will share is chosen over a shorter wait than one for few
/// requests. Demand from a minute ago has decayed and no longer counts.
#[test]
fn hot_adapter_gets_replicas_earlier() {
    let adds_replica = |warm_up: u64, now_ms: u64| {
        let mut placement = placement(18);
        placement.apply_digest(&digest("s7", 1, &["a"]), 0);
        for _ in 0..warm_up {
            choose(&mut placement, "a", 0);
        }
        let mut busy = digest("s7", 2, &["a"]);
        busy.running = 4;
        placement.apply_digest(&busy, 0);
        &*choose(&mut placement, "a", now_ms).server != "s7"
    };
    assert!(adds_replica(200, 100));
    assert!(!adds_replica(0, 100));
    assert!(!adds_replica(50, 120_000));
}

#[test]
fn baseline_strategies_choose_as_named() {
    let mut least = placement_with(3, Strategy::LeastLoaded);
    for server in ["s0", "s2"] {
        least.record_start(server, Some(&model("a")), 0, 0);
    }
    assert_eq!(&*choose(&mut least, "a", 0).server, "s1");

    let mut rendezvous = placement_with(18, Strategy::Rendezvous);
    let preferred_server = choose(&mut rendezvous, "a", 0).server;
    for _ in 0..50 {
        rendezvous.record_start(&preferred_server, Some(&model("a")), 0, 0);
    }
    assert_eq!(choose(&mut rendezvous, "a", 0).server, preferred_server);

    let mut random = placement_with(18, Strategy::Random { seed: 1 });
    let chosen: BTreeSet<Name> = (0..200)
        .map(|_| choose(&mut random, "a", 0).server)
        .collect();
    assert_eq!(chosen.len(), 18);
}

#[test]
fn plain_service_is_chosen_by_load_and_zone() {
    let mut placement = placement(3);
    let choose = |placement: &mut Placement| {
        let choice = placement.choose_plain(POOL, "south", &[], 0);
        choice.expect("there are servers").server
    };
    assert_eq!(&*choose(&mut placement), "s1");
    for _ in 0..6 {
        placement.record_start("s1", None, 0, 0);
    }
    assert_ne!(&*choose(&mut placement), "s1");
}
