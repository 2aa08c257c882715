//! Engines of availability zones that operators evacuate and take back.

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{Cell, RefusalReason};
use mimosabay_core::site::{ColdStart, Service, Site};

use crate::support::{
    ADAPTER_LIMIT, backend, confirmed, execute_orders, granted, orders, placement_request, refused,
    service,
};

/// Requests a second that a cold engine takes.
const COLD_PER_S: f64 = 7.2;
/// Time for which an engine is cold, in milliseconds.
const COLD_MS: u64 = 3_000;

fn in_zone(id: &str, zone: &str) -> Backend {
    Backend {
        zone: zone.into(),
        ..backend(id, &["a1"])
    }
}

fn evacuated(backend: &Backend) -> Backend {
    Backend {
        is_evacuated: true,
        ..backend.clone()
    }
}

/// Places requests one after the other; returns the servers that they are sent to.
fn place(cell: &mut Cell, numbers: std::ops::Range<u64>, now_ms: u64) -> Vec<String> {
    for number in numbers {
        cell.request_placement(placement_request(number, "a1"), now_ms);
    }
    let granted = granted(&cell.take_actions());
    granted
        .iter()
        .map(|(_, server)| server.to_string())
        .collect()
}

#[test]
fn evacuated_engine_gets_no_requests() {
    let [near, far] = [in_zone("near", "zone-1"), in_zone("far", "zone-2")];
    let mut cell = confirmed(ADAPTER_LIMIT, &[near.clone(), far.clone()]);
    cell.set_backends([evacuated(&near), far.clone()].iter(), 100);
    assert!(place(&mut cell, 1..20, 100).iter().all(|it| it == "far"));
    cell.set_backends([near, far].iter(), 200);
    assert!(place(&mut cell, 20..40, 200).contains(&"near".to_owned()));
}

#[test]
fn request_is_refused_if_every_engine_is_evacuated() {
    let only = in_zone("only", "zone-1");
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&only));
    cell.set_backends([evacuated(&only)].iter(), 100);
    cell.request_placement(placement_request(1, "a1"), 100);
    let refused = refused(&cell.take_actions());
    assert_eq!(refused, [(1, RefusalReason::NoServer)]);
}

/// Guards against a request that waits for its adapter at an engine that is evacuated meanwhile.
#[test]
fn waiting_request_goes_to_another_zone() {
    let [near, far] = [in_zone("near", "zone-1"), in_zone("far", "zone-2")];
    let mut cell = confirmed(ADAPTER_LIMIT, &[near.clone(), far.clone()]);
    cell.request_placement(placement_request(1, "a7"), 10);
    let actions = cell.take_actions();
    assert_eq!(&*orders(&actions)[0].server, "near");
    cell.set_backends([evacuated(&near), far].iter(), 20);
    let actions = cell.take_actions();
    let ordered = orders(&actions);
    assert!(ordered.iter().all(|order| &*order.server == "far"));
    execute_orders(&mut cell, actions, 30);
    cell.tick(1_500);
    let granted = granted(&cell.take_actions());
    assert_eq!(granted, [(1, "far".into())]);
}

/// Guards against orders that were planned before the evacuation and sent after it.
#[test]
fn planned_orders_are_dropped() {
    let near = in_zone("near", "zone-1");
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&near));
    for (number, adapter) in [(1, "a7"), (2, "a8"), (3, "a9")] {
        cell.request_placement(placement_request(number, adapter), 10);
    }
    let sent = orders(&cell.take_actions());
    cell.set_backends([evacuated(&near)].iter(), 20);
    cell.handle_order_answer(&near.id, mimosabay_core::cell::OrderAnswer::Started, 30);
    cell.tick(40);
    assert_eq!(sent.len(), 1);
    assert_eq!(orders(&cell.take_actions()), []);
}

/// Guards against a burst at the engines of a zone that is taken back and may be cold.
#[test]
fn engine_of_a_zone_that_is_taken_back_is_paced() {
    let cold_start = ColdStart {
        duration_ms: COLD_MS,
        requests_per_s: COLD_PER_S,
    };
    let service = Service {
        cold_start: Some(cold_start),
        ..service(ADAPTER_LIMIT)
    };
    let site = Site::new(
        2,
        Vec::new(),
        vec![service],
        None,
        std::sync::Arc::default(),
    );
    let near = in_zone("near", "zone-1");
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&near));
    cell.configure(&site, 0);
    cell.set_backends([evacuated(&near)].iter(), 100);
    cell.set_backends([near].iter(), 1_000);
    let mut times_ms = Vec::new();
    for (number, now_ms) in (1_000..1_000 + COLD_MS).step_by(10).enumerate() {
        let sent = place(&mut cell, number as u64..number as u64 + 1, now_ms);
        times_ms.extend(sent.iter().map(|_| now_ms));
        cell.tick(now_ms);
        let waited = granted(&cell.take_actions());
        times_ms.extend(waited.iter().map(|_| now_ms));
    }
    let most_in_1_s = times_ms.iter().map(|from_ms| {
        let window = times_ms
            .iter()
            .filter(|it| (*from_ms..from_ms + 1_000).contains(*it));
        window.count()
    });
    let most_in_1_s = most_in_1_s.max().unwrap_or_default();
    assert!(
        most_in_1_s as f64 <= COLD_PER_S * 1.5 + 5.0,
        "{most_in_1_s}"
    );
    assert!(
        times_ms.len() as f64 > COLD_PER_S * 0.6 * 3.0,
        "{}",
        times_ms.len()
    );
}
