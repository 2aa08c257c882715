//! Lookups in the operators' configuration.

use std::sync::Arc;

use mimosabay_core::cases;
use mimosabay_core::site::{Denied, Organisation, RetrySafety, Route, Site};

fn route(name: &str, path_prefix: &str, is_public: bool) -> Route {
    Route {
        name: name.into(),
        host: "Site.Example".into(),
        path_prefix: path_prefix.into(),
        retry_safety: RetrySafety::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        services: vec![("first".into(), 90.0), ("second".into(), 10.0)],
        max_attempts: 1,
        is_public,
        max_pause_ms: None,
        home_regions: Vec::new(),
    }
}

fn site() -> Site {
    let organisation = Organisation {
        name: "clinics".into(),
        priority: None,
        rate_per_s: 0.0,
        burst: 0.0,
        counts_tokens: false,
        default_cost: 1,
        home_regions: Vec::new(),
    };
    let routes = vec![
        route("all", "/", false),
        route("look", "/look/", false),
        route("close", "/look/closely/", true),
    ];
    let organisations = vec![(organisation, vec!["key".into(), "other".into()])];
    Site::new(1, routes, Vec::new(), Some(organisations), Arc::default())
}

fn check_route(host: &str, path: &str, expected: Option<&str>) {
    let site = site();
    let found = site.route(host, path).ok().map(|route| &*route.name);
    assert_eq!(found, expected);
}

cases! {
    check_route;
    longest_prefix: ("site.example", "/look/closely/x", Some("close"));
    shorter_prefix: ("site.example", "/look/x", Some("look"));
    shortest_prefix: ("site.example", "/loo", Some("all"));
    prefix_without_its_slash: ("site.example", "/look", Some("all"));
    host_with_port: ("site.example:8080", "/look/x", Some("look"));
    host_in_capitals: ("SITE.EXAMPLE", "/look/x", Some("look"));
    unknown_host: ("other.example", "/look/x", None);
}

#[test]
fn key_identifies_the_organisation() {
    let site = site();
    let route = site.route("site.example", "/look/x").unwrap().clone();
    for key in ["key", "other"] {
        let organisation = site.organisation(&route, Some(key)).unwrap().unwrap();
        assert_eq!(&*organisation.name, "clinics");
    }
    for key in [None, Some("unknown")] {
        assert_eq!(site.organisation(&route, key), Err(Denied::NoKey));
    }
}

#[test]
fn public_route_needs_no_key() {
    let site = site();
    let route = site
        .route("site.example", "/look/closely/x")
        .unwrap()
        .clone();
    assert_eq!(site.organisation(&route, None), Ok(None));
}

#[test]
fn requests_are_split_by_weight() {
    let site = site();
    let route = site.route("site.example", "/look/x").unwrap();
    let points = (0..100).map(|point| f64::from(point) / 100.0);
    let first = points.filter(|point| {
        route
            .choose_service(*point)
            .is_some_and(|it| &**it == "first")
    });
    assert_eq!(first.count(), 90);
}
