//! Which servers begin slowly.

use mimosabay_core::backend::{Backend, ServerState};
use mimosabay_core::server_starts::{ServerStarts, StartPolicy};
use mimosabay_core::site::{ColdStart, Service};

/// Time for which a server is cold after its start, in milliseconds.
const COLD_MS: u64 = 3_000;

fn backend(boot: u64) -> Backend {
    Backend {
        id: "one".into(),
        service: "desk".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "north".into(),
        software_version: None,
        slots: 6,
        state: ServerState::Ready,
        sequence: 0,
        cold_ms: 0,
        started_unix_ms: boot,
        is_leaving: false,
        is_evacuated: false,
        models: Vec::new(),
    }
}

fn policy(cold_start: Option<ColdStart>, is_paced: bool) -> Option<StartPolicy> {
    let service = Service {
        name: "desk".into(),
        max_connections: 100,
        engine: None,
        cold_start,
    };
    StartPolicy::of(&service, is_paced)
}

fn cold_policy() -> Option<StartPolicy> {
    let cold_start = ColdStart {
        duration_ms: COLD_MS,
        requests_per_s: 7.2,
    };
    policy(Some(cold_start), false)
}

/// Observes each list in turn, one second after the other. Returns for how long a server that begins
/// with the last one is cold.
fn last_start(lists: &[&[Backend]], policy: Option<StartPolicy>) -> Option<u64> {
    let mut starts = ServerStarts::default();
    let mut cold_ms = None;
    for (now_ms, list) in (0..).step_by(1_000).zip(lists) {
        let begun = starts.observe(list.iter(), |_| policy, now_ms);
        cold_ms = begun.first().map(|start| start.cold_until_ms - now_ms);
    }
    cold_ms
}

fn check(lists: &[&[Backend]], expected: Option<u64>) {
    assert_eq!(last_start(lists, cold_policy()), expected);
}

fn cold(cold_ms: u64) -> Backend {
    Backend {
        cold_ms,
        ..backend(1)
    }
}

fn evacuated() -> Backend {
    Backend {
        is_evacuated: true,
        ..backend(1)
    }
}

fn other() -> Backend {
    Backend {
        id: "two".into(),
        ..backend(1)
    }
}

mimosabay_core::cases! { check;
    server_of_the_first_list: (&[&[backend(1)]], None);
    cold_server_of_the_first_list: (&[&[cold(900)]], Some(900));
    new_server: (&[&[other()], &[other(), backend(1)]], Some(COLD_MS));
    restarted_server: (&[&[backend(1)], &[backend(2)]], Some(COLD_MS));
    unchanged_server: (&[&[backend(1)], &[backend(1)]], None);
    server_that_turns_cold: (&[&[backend(1)], &[cold(2_000)]], Some(2_000));
    server_that_is_cold_as_before: (&[&[cold(2_000)], &[cold(2_000)]], None);
    server_of_a_zone_that_is_taken_back: (&[&[evacuated()], &[backend(1)]], Some(COLD_MS));
    server_of_an_evacuated_zone: (&[&[backend(1)], &[evacuated()]], None);
}

#[test]
fn service_without_a_cold_start_is_not_paced() {
    assert_eq!(policy(None, false), None);
}

#[test]
fn paced_server_that_is_not_cold_begins_slowly() {
    let policy = policy(None, true);
    let lists: [&[Backend]; 2] = [&[backend(1)], &[backend(2)]];
    assert_eq!(last_start(&lists, policy), Some(0));
}
