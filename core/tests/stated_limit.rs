//! Limits that backend servers state in their answers.

use mimosabay_core::stated_limit::{MAX_SERVERS, StatedLimit, StatedLimits};

fn stated(boot: u64, requests_per_s: Option<f64>, stated_unix_ms: u64) -> StatedLimit {
    StatedLimit {
        server: "desk-0".into(),
        boot,
        requests_per_s,
        stated_unix_ms,
    }
}

#[test]
fn latest_statement_is_in_force_in_any_order() {
    let statements = [
        stated(1, Some(1.0), 10),
        stated(1, Some(2.0), 20),
        stated(1, None, 30),
    ];
    for order in [[0, 1, 2], [2, 0, 1], [0, 2, 1], [1, 2, 0]] {
        let mut limits = StatedLimits::default();
        for index in order {
            limits.apply(&statements[index]);
        }
        let in_force = limits.requests_per_s("desk-0", 1);
        // A server cannot lift a limit that is not known, so an earlier statement that comes later
        // than its end stays in force until the next answer.
        assert_eq!(in_force, if order[0] == 2 { Some(2.0) } else { None });
    }
}

#[test]
fn new_start_of_a_server_has_no_limit() {
    let mut limits = StatedLimits::default();
    assert!(limits.apply(&stated(1, Some(1.0), 10)));
    assert_eq!(limits.requests_per_s("desk-0", 2), None);
    assert!(limits.apply(&stated(2, Some(3.0), 5)));
    assert!(!limits.apply(&stated(1, Some(1.0), 20)));
    assert_eq!(limits.requests_per_s("desk-0", 2), Some(3.0));
}

/// Guards against a table that grows with each server that ever stated a limit.
#[test]
fn oldest_statements_are_dropped_beyond_the_bound() {
    let mut limits = StatedLimits::default();
    for number in 0..=MAX_SERVERS as u64 {
        let limit = StatedLimit {
            server: format!("desk-{number}").into(),
            ..stated(1, Some(1.0), number)
        };
        limits.apply(&limit);
    }
    assert_eq!(limits.iter().count(), MAX_SERVERS);
    assert_eq!(limits.requests_per_s("desk-0", 1), None);
    assert_eq!(limits.requests_per_s("desk-1", 1), Some(1.0));
}
