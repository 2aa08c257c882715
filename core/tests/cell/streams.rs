//! Streams that callers take up at engines of several software versions.

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{Cell, PlacementRequest, RefusalReason, RunOutcome};
use mimosabay_core::name::Name;
use mimosabay_core::software_versions::SoftwareVersions;
use mimosabay_core::stream_placement::StreamPlacement;
use mimosabay_core::stream_versions::StreamVersion;

use crate::support::{
    ADAPTER_LIMIT, backend, confirmed, ended, granted, placement_request, refused, report,
};

/// Longest wait of a stream of unknown version, in milliseconds.
const MAX_WAIT_MS: u64 = 400;

fn engine(id: &str, version: &str) -> Backend {
    Backend {
        software_version: Some(version.into()),
        ..backend(id, &[])
    }
}

/// A cell with an engine of each of two versions. The old one is preferred.
fn two_versions() -> Cell {
    confirmed(
        ADAPTER_LIMIT,
        &[engine("a-old", "v1"), engine("b-new", "v2")],
    )
}

fn request(number: u64, stream: StreamPlacement) -> PlacementRequest {
    PlacementRequest {
        stream,
        ..placement_request(number, "")
    }
}

fn taken_up(stream: &str) -> StreamPlacement {
    StreamPlacement::TakenUp {
        stream: stream.into(),
    }
}

fn begun(stream: &str, version: &str) -> StreamVersion {
    let version = Some(version.into());
    StreamVersion::new(stream.into(), "engines".into(), version, true, 5_000)
}

/// Places a request; returns the server that is granted.
fn place(cell: &mut Cell, request: PlacementRequest, now_ms: u64) -> Option<Name> {
    cell.request_placement(request, now_ms);
    let grants = granted(&cell.take_actions());
    grants.first().map(|grant| grant.1.clone())
}

/// Places a request that waits for reports; returns the server that is granted once none has come.
fn place_without_reports(cell: &mut Cell, request: PlacementRequest, now_ms: u64) -> Option<Name> {
    assert_eq!(place(cell, request, now_ms), None);
    cell.tick(now_ms + MAX_WAIT_MS);
    let grants = granted(&cell.take_actions());
    grants.first().map(|grant| grant.1.clone())
}

#[test]
fn stream_goes_on_at_the_version_that_was_granted() {
    let mut cell = two_versions();
    let first = place(&mut cell, request(1, StreamPlacement::New), 0);
    assert_eq!(first.as_deref(), Some("a-old"));
    cell.end_run(&ended(1, RunOutcome::Cancelled), 10);
    let again = request(2, taken_up("request-1"));
    let server = place_without_reports(&mut cell, again, 1_000);
    assert_eq!(server.as_deref(), Some("a-old"));
    for number in 3..6 {
        let server = place(&mut cell, request(number, taken_up("request-1")), 2_000);
        assert_eq!(server.as_deref(), Some("a-old"));
    }
}

/// Guards against relying on an assignment though the stream began at another server.
#[test]
fn report_of_the_first_event_overrules_an_assignment() {
    let mut cell = two_versions();
    place(&mut cell, request(1, StreamPlacement::New), 0);
    assert_eq!(
        place(&mut cell, request(2, taken_up("request-1")), 50),
        None
    );
    cell.record_streams(&[begun("request-1", "v2")], 100);
    let grants = granted(&cell.take_actions());
    assert_eq!(grants, [(2, "b-new".into())]);
}

#[test]
fn stream_of_a_reported_version_goes_on_there() {
    let mut cell = two_versions();
    cell.record_streams(&[begun("s", "v2")], 0);
    let server = place(&mut cell, request(1, taken_up("s")), 0);
    assert_eq!(server.as_deref(), Some("b-new"));
}

#[test]
fn stream_of_a_version_known_to_its_instance_goes_on_there() {
    let mut cell = two_versions();
    let stream = StreamPlacement::Known {
        stream: "s".into(),
        version: "v2".into(),
    };
    let server = place(&mut cell, request(1, stream), 0);
    assert_eq!(server.as_deref(), Some("b-new"));
}

#[test]
fn unknown_stream_waits_for_reports_and_is_refused() {
    let mut cell = two_versions();
    assert_eq!(place(&mut cell, request(1, taken_up("s")), 0), None);
    assert_eq!(cell.next_due_ms().map(|it| it <= MAX_WAIT_MS), Some(true));
    cell.tick(MAX_WAIT_MS - 1);
    assert!(cell.take_actions().is_empty());
    cell.tick(MAX_WAIT_MS);
    let refusals = refused(&cell.take_actions());
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].1, RefusalReason::UnknownVersion);
}

#[test]
fn unknown_stream_goes_on_once_it_is_reported() {
    let mut cell = two_versions();
    assert_eq!(place(&mut cell, request(1, taken_up("s")), 0), None);
    cell.record_streams(&[begun("s", "v2")], 100);
    let grants = granted(&cell.take_actions());
    assert_eq!(grants.len(), 1);
    assert_eq!(&*grants[0].1, "b-new");
}

#[test]
fn stream_that_waits_is_dropped_with_its_caller() {
    let mut cell = two_versions();
    assert_eq!(place(&mut cell, request(1, taken_up("s")), 0), None);
    cell.end_run(&ended(1, RunOutcome::Cancelled), 50);
    cell.record_streams(&[begun("s", "v2")], 100);
    assert!(cell.take_actions().is_empty());
}

#[test]
fn unknown_stream_goes_on_while_there_is_one_version() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[engine("a-old", "v1")]);
    let mut versions = SoftwareVersions::of_first_start();
    versions.observe([&engine("a-old", "v1")].into_iter(), 0);
    cell.adopt_versions(versions, 0);
    let server = place(&mut cell, request(1, taken_up("s")), 0);
    assert_eq!(server.as_deref(), Some("a-old"));
}

/// Guards against a placer that has just started and takes the only registered version for the one at
/// which streams of before have begun.
#[test]
fn unknown_stream_is_refused_while_earlier_versions_are_unknown() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[engine("b-new", "v2")]);
    let again = request(1, taken_up("s"));
    assert_eq!(place_without_reports(&mut cell, again, 0), None);
}

#[test]
fn waiting_stream_goes_on_once_earlier_versions_are_known() {
    let mut cell = confirmed(ADAPTER_LIMIT, &[engine("a-old", "v1")]);
    assert_eq!(place(&mut cell, request(1, taken_up("s")), 0), None);
    let mut versions = SoftwareVersions::of_first_start();
    versions.observe([&engine("a-old", "v1")].into_iter(), 0);
    cell.adopt_versions(versions, 100);
    let grants = granted(&cell.take_actions());
    assert_eq!(grants, [(1, "a-old".into())]);
}

#[test]
fn stream_whose_version_is_gone_is_refused_at_once() {
    let mut cell = two_versions();
    cell.record_streams(&[begun("s", "v1")], 0);
    let new = engine("b-new", "v2");
    cell.set_backends([&new].into_iter(), 100);
    assert_eq!(place(&mut cell, request(1, taken_up("s")), 100), None);
    let mut cell = two_versions();
    cell.record_streams(&[begun("s", "v3")], 0);
    cell.request_placement(request(1, taken_up("s")), 0);
    let refusals = refused(&cell.take_actions());
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].1, RefusalReason::NoServer);
}

/// Guards against taking a restarted server for one of its version before.
#[test]
fn restarted_server_has_no_version_until_its_entry_shows_it() {
    let old = engine("a-old", "v1");
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&old));
    cell.request_placement(placement_request(1, ""), 0);
    cell.end_run(&ended(1, RunOutcome::Broken), 10);
    cell.tick(10);
    let restarted = Backend {
        started_unix_ms: 2,
        ..old
    };
    cell.handle_report(&restarted.id, Some(&report(&restarted)), 400);
    cell.take_actions();
    cell.record_streams(&[begun("s", "v1")], 400);
    assert_eq!(place(&mut cell, request(2, taken_up("s")), 1_000), None);
    let upgraded = Backend {
        software_version: Some("v2".into()),
        ..restarted
    };
    cell.set_backends([&upgraded].into_iter(), 1_100);
    assert_eq!(place(&mut cell, request(3, taken_up("s")), 1_100), None);
}

/// Guards against sending a stream on to a server that may have started again with another version.
#[test]
fn server_whose_connection_broke_is_confirmed_before_streams_go_on_there() {
    let old = engine("a-old", "v1");
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&old));
    cell.request_placement(request(1, StreamPlacement::New), 0);
    cell.end_run(&ended(1, RunOutcome::Broken), 10);
    cell.take_actions();
    assert_eq!(
        place(&mut cell, request(2, taken_up("request-1")), 400),
        None
    );
    cell.tick(500);
    cell.take_actions();
    cell.handle_report(&old.id, Some(&report(&old)), 510);
    let grants = granted(&cell.take_actions());
    assert_eq!(grants, [(2, "a-old".into())]);
}

#[test]
fn stream_whose_server_is_avoided_waits_and_goes_on() {
    let old = engine("a-old", "v1");
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&old));
    cell.request_placement(request(1, StreamPlacement::New), 0);
    cell.end_run(&ended(1, RunOutcome::Broken), 10);
    cell.tick(10);
    cell.handle_report(&old.id, Some(&report(&old)), 15);
    cell.take_actions();
    assert_eq!(
        place(&mut cell, request(2, taken_up("request-1")), 20),
        None
    );
    for now_ms in (20..=420).step_by(50) {
        cell.tick(now_ms);
    }
    let actions = cell.take_actions();
    assert!(refused(&actions).is_empty());
    assert_eq!(granted(&actions), [(2, "a-old".into())]);
}

/// Guards against telling instances of streams while a service has one version.
#[test]
fn streams_are_reported_once_their_service_has_several_versions() {
    let old = engine("a-old", "v1");
    let mut cell = confirmed(ADAPTER_LIMIT, std::slice::from_ref(&old));
    place(&mut cell, request(1, StreamPlacement::New), 0);
    assert!(cell.take_stream_changes(0).is_empty());
    cell.set_backends([&old, &engine("b-new", "v2")].into_iter(), 10);
    let changes = cell.take_stream_changes(10);
    assert_eq!(changes.len(), 1);
    assert_eq!(&*changes[0].stream, "request-1");
    assert!(cell.take_stream_changes(10).is_empty());
}
