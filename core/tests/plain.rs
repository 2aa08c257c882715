//! Choice of a server for a request to a plain service.

use mimosabay_core::backend::{Backend, LoadSample, ServerState};
use mimosabay_core::name::Name;
use mimosabay_core::plain::{PlainOutcome, PlainServers};

fn backend(id: &str, zone: &str) -> Backend {
    Backend {
        id: id.into(),
        service: "desk".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.into(),
        software_version: Some("v1".into()),
        slots: 6,
        state: ServerState::Ready,
        sequence: 0,
        cold_ms: 0,
        is_evacuated: false,
        started_unix_ms: 1,
        is_leaving: false,
        models: Vec::new(),
    }
}

fn two() -> [Backend; 2] {
    [backend("one", "zone-1"), backend("two", "zone-2")]
}

fn start(servers: &mut PlainServers, backends: &[Backend], excluded: &[Name]) -> Option<Name> {
    start_at(servers, backends, excluded, 1_000)
}

/// Sends a request to the best server; returns it.
fn start_at(
    servers: &mut PlainServers,
    backends: &[Backend],
    excluded: &[Name],
    now_ms: u64,
) -> Option<Name> {
    let ranked = servers.rank(backends.iter(), "zone-1", excluded, now_ms);
    let best = ranked.into_iter().next()?;
    servers.count_request(&best);
    Some(best)
}

#[test]
fn idle_server_in_the_same_zone_is_preferred() {
    let mut servers = PlainServers::default();
    assert_eq!(start(&mut servers, &two(), &[]).as_deref(), Some("one"));
}

#[test]
fn requests_spread_over_zones_as_servers_fill() {
    let mut servers = PlainServers::default();
    let chosen: Vec<_> = (0..6).map(|_| start(&mut servers, &two(), &[])).collect();
    assert!(chosen.iter().any(|id| id.as_deref() == Some("two")));
}

#[test]
fn failing_server_is_avoided_until_its_failures_decay() {
    let mut servers = PlainServers::default();
    for _ in 0..5 {
        let id = start(&mut servers, &two()[..1], &[]).expect("a server");
        servers.record_outcome(&id, PlainOutcome::Failed, None, 1_000);
    }
    assert_eq!(start(&mut servers, &two(), &[]).as_deref(), Some("two"));
    let later = start_at(&mut servers, &two(), &[], 60_000);
    assert_eq!(later.as_deref(), Some("one"));
}

#[test]
fn server_that_reports_a_long_queue_is_avoided() {
    let mut servers = PlainServers::default();
    let id = start(&mut servers, &two(), &[]).expect("a server");
    let load = LoadSample {
        running: 6,
        waiting: 20,
        slots: 6,
        work_percent: None,
    };
    servers.record_outcome(&id, PlainOutcome::Answered, Some(load), 1_000);
    assert_eq!(start(&mut servers, &two(), &[]).as_deref(), Some("two"));
}

#[test]
fn excluded_server_is_used_only_without_another() {
    let mut servers = PlainServers::default();
    let excluded = ["one".into()];
    assert_eq!(
        start(&mut servers, &two(), &excluded).as_deref(),
        Some("two")
    );
    let alone = start(&mut servers, &two()[..1], &excluded);
    assert_eq!(alone.as_deref(), Some("one"));
}

#[test]
fn leaving_servers_receive_no_requests() {
    let mut servers = PlainServers::default();
    let mut backends = two();
    backends[0].state = ServerState::Draining;
    backends[1].is_leaving = true;
    assert_eq!(start(&mut servers, &backends, &[]), None);
}
