//! Software versions of the servers of each service.

use mimosabay_core::backend::{Backend, ServerState};
use mimosabay_core::software_versions::{SoftwareVersions, VersionHistory};

/// Time for which a version is kept after its last server has left, in milliseconds.
const KEEP_MS: u64 = 60_000;

fn server(id: &str, service: &str, version: Option<&str>) -> Backend {
    Backend {
        id: id.into(),
        service: service.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "zone-1".into(),
        software_version: version.map(Into::into),
        slots: 8,
        state: ServerState::Ready,
        sequence: 0,
        cold_ms: 0,
        is_evacuated: false,
        started_unix_ms: 1,
        is_leaving: false,
        models: Vec::new(),
    }
}

#[test]
fn each_service_has_its_own_versions() {
    let servers = [
        server("a", "engines", Some("v1")),
        server("b", "desk", Some("v2")),
    ];
    let mut versions = SoftwareVersions::of_first_start();
    let changed = versions.observe(servers.iter(), 0);
    assert_eq!(changed, ["desk".into(), "engines".into()]);
    assert_eq!(versions.only_version("engines", 0), Some(&"v1".into()));
    assert!(!versions.has_several("engines", 0));
    assert_eq!(versions.only_version("other", 0), None);
}

#[test]
fn version_is_kept_for_some_time_after_its_last_server() {
    let old = server("a", "engines", Some("v1"));
    let new = server("b", "engines", Some("v2"));
    let mut versions = SoftwareVersions::of_first_start();
    versions.observe([&old].into_iter(), 0);
    versions.observe([&old, &new].into_iter(), 1_000);
    versions.observe([&new].into_iter(), 2_000);
    assert_eq!(versions.registered_of("engines"), [&"v2".into()]);
    assert!(versions.has_several("engines", 1_999 + KEEP_MS));
    let only = versions.only_version("engines", 2_000 + KEEP_MS);
    assert_eq!(only, Some(&"v2".into()));
}

#[test]
fn unknown_version_is_none() {
    let servers = [
        server("a", "engines", Some("v1")),
        server("b", "engines", None),
    ];
    let mut versions = SoftwareVersions::of_first_start();
    versions.observe(servers.iter(), 0);
    assert_eq!(versions.only_version("engines", 0), Some(&"v1".into()));
    assert_eq!(versions.observe(servers.iter(), 1), []);
}

/// Guards against taking the registered versions for all there were, as a process that has just started
/// knows no others.
#[test]
fn only_version_is_unknown_until_earlier_ones_are_out_of_use() {
    let servers = [server("a", "engines", Some("v2"))];
    let mut versions = SoftwareVersions::default();
    versions.observe(servers.iter(), 1_000);
    assert_eq!(versions.only_version("engines", 999 + KEEP_MS), None);
    let only = versions.only_version("engines", 1_000 + KEEP_MS);
    assert_eq!(only, Some(&"v2".into()));
}

#[test]
fn history_shows_versions_that_left_before_the_start() {
    let old = server("a", "engines", Some("v1"));
    let new = server("b", "engines", Some("v2"));
    let mut before = SoftwareVersions::of_first_start();
    before.observe([&old, &new].into_iter(), 0);
    before.observe([&new].into_iter(), 1_000);
    let mut versions = SoftwareVersions::default();
    versions.observe([&new].into_iter(), 0);
    versions.adopt(&before.history(2_000), 500);
    assert_eq!(versions.only_version("engines", 500), None);
    assert!(versions.has_several("engines", 499 + KEEP_MS));
    let only = versions.only_version("engines", 500 + KEEP_MS);
    assert_eq!(only, Some(&"v2".into()));
}

#[test]
fn complete_history_of_one_version_shows_that_there_were_no_others() {
    let servers = [server("a", "engines", Some("v1"))];
    let mut before = SoftwareVersions::of_first_start();
    before.observe(servers.iter(), 0);
    let mut versions = SoftwareVersions::default();
    versions.adopt(&before.history(0), 0);
    versions.observe(servers.iter(), 0);
    assert_eq!(versions.only_version("engines", 0), Some(&"v1".into()));
}

#[test]
fn history_of_a_short_observation_is_incomplete() {
    let servers = [server("a", "engines", Some("v1"))];
    let mut before = SoftwareVersions::default();
    before.observe(servers.iter(), 0);
    assert!(!before.history(KEEP_MS - 1).is_complete);
    assert!(before.history(KEEP_MS).is_complete);
    let mut versions = SoftwareVersions::default();
    versions.adopt(&before.history(0), 0);
    assert_eq!(versions.only_version("engines", 0), None);
    versions.adopt(&VersionHistory::default(), 0);
    assert_eq!(versions.only_version("engines", 0), None);
}

#[test]
fn version_that_is_out_of_use_leaves_the_history() {
    let old = server("a", "engines", Some("v1"));
    let new = server("b", "engines", Some("v2"));
    let mut versions = SoftwareVersions::of_first_start();
    versions.observe([&old, &new].into_iter(), 0);
    versions.observe([&new].into_iter(), 0);
    let recorded = |now_ms| versions.history(now_ms).versions["engines"].len();
    assert_eq!(recorded(KEEP_MS - 1), 2);
    assert_eq!(recorded(KEEP_MS), 1);
}
