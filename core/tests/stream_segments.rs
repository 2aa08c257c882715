//! Streams that the store keeps for callers who take them up after all instances have ended.

use mimosabay_core::stream_segments::{MAX_ADDED_BYTES, SEGMENTS, StoredSegment, StreamSegments};
use mimosabay_core::stream_versions::StreamVersion;

/// Time for which the streams are kept, in milliseconds.
const KEEP_MS: u64 = 10_000;

/// The objects of the store, with their revisions.
type Objects = Vec<Option<(u64, StoredSegment)>>;

fn note(stream: &str, version: Option<&str>, has_begun: bool) -> StreamVersion {
    StreamVersion {
        stream: stream.into(),
        service: "engines".into(),
        version: version.map(Into::into),
        has_begun,
        keep_ms: KEEP_MS,
    }
}

fn begun(stream: &str) -> StreamVersion {
    note(stream, Some("v1"), true)
}

/// Makes the write that is due; returns the number of streams that wait for the next one.
fn write(segments: &mut StreamSegments, objects: &mut Objects, now_ms: u64) -> Option<usize> {
    let write = segments.next_write(now_ms)?;
    let object = &mut objects[write.index];
    assert_eq!(
        object.as_ref().map(|it| it.0),
        write.revision,
        "the condition holds"
    );
    let revision = write.revision.unwrap_or(0) + 1;
    *object = Some((revision, write.content()));
    Some(segments.record_written(write, revision))
}

/// Returns the streams that a process reads which has just started.
fn read(objects: &Objects, now_ms: u64) -> (StreamSegments, Vec<StreamVersion>) {
    let mut segments = StreamSegments::default();
    let streams = load(&mut segments, objects, now_ms);
    (segments, streams)
}

fn load(segments: &mut StreamSegments, objects: &Objects, now_ms: u64) -> Vec<StreamVersion> {
    let mut streams = Vec::new();
    for (index, object) in objects.iter().enumerate() {
        if let Some((revision, stored)) = object {
            streams.extend(segments.load(index, *revision, stored, now_ms));
        }
    }
    streams.sort_by(|one, other| one.stream.cmp(&other.stream));
    streams
}

fn empty_store() -> Objects {
    vec![None; SEGMENTS]
}

#[test]
fn what_was_written_is_read() {
    let (mut segments, mut objects) = (StreamSegments::default(), empty_store());
    segments.add(&begun("a"), 0);
    assert_eq!(write(&mut segments, &mut objects, 0), Some(0));
    segments.add(&note("b", Some("v2"), true), 1_000);
    assert_eq!(write(&mut segments, &mut objects, 1_000), Some(0));
    let (_, streams) = read(&objects, 0);
    assert_eq!(streams, [begun("a"), note("b", Some("v2"), true)]);
}

/// Guards against storing what may turn out to be wrong, and against writes that add nothing.
#[test]
fn only_what_is_certain_and_new_is_written() {
    let (mut segments, mut objects) = (StreamSegments::default(), empty_store());
    segments.add(&note("assigned", Some("v1"), false), 0);
    segments.add(&note("unknown", None, true), 0);
    assert_eq!(write(&mut segments, &mut objects, 0), None);
    segments.add(&begun("a"), 0);
    write(&mut segments, &mut objects, 0);
    segments.add(&begun("a"), 10);
    assert_eq!(write(&mut segments, &mut objects, 10), None);
}

/// Guards against a segment that is replaced while callers may still take up its streams.
#[test]
fn stream_is_kept_until_its_end_however_many_writes_follow() {
    let (mut segments, mut objects) = (StreamSegments::default(), empty_store());
    segments.add(&begun("first"), 0);
    for number in 0..SEGMENTS * 3 {
        segments.add(&begun(&format!("later-{number}")), 0);
        assert_eq!(write(&mut segments, &mut objects, 0), Some(0));
    }
    let (_, streams) = read(&objects, 0);
    assert_eq!(streams.len(), SEGMENTS * 3 + 1);
}

#[test]
fn streams_that_have_ended_give_way() {
    let (mut segments, mut objects) = (StreamSegments::default(), empty_store());
    for number in 0..SEGMENTS as u64 * 2 {
        let now_ms = number * 1_000;
        segments.add(&begun(&format!("{number}")), now_ms);
        write(&mut segments, &mut objects, now_ms);
    }
    let (_, streams) = read(&objects, 0);
    assert_eq!(streams.len(), SEGMENTS);
}

/// Guards against a bound that drops streams: what exceeds one write is part of the next ones.
#[test]
fn streams_beyond_the_size_of_a_write_wait_for_the_next() {
    let (mut segments, mut objects) = (StreamSegments::default(), empty_store());
    let long = "x".repeat(MAX_ADDED_BYTES / 3);
    for number in 0..10 {
        segments.add(&begun(&format!("{long}{number}")), 0);
    }
    segments.add(&begun("short"), 0);
    let mut waiting = Vec::new();
    while let Some(left) = write(&mut segments, &mut objects, 0) {
        waiting.push(left);
    }
    assert!(waiting.len() > 2, "{waiting:?}");
    assert_eq!(read(&objects, 0).1.len(), 11);
}

/// Guards against streams that are lost with a store that comes back from an older copy.
#[test]
fn what_an_older_copy_lacks_is_written_again() {
    let (mut segments, mut objects) = (StreamSegments::default(), empty_store());
    segments.add(&begun("a"), 0);
    write(&mut segments, &mut objects, 0);
    let copy = objects.clone();
    segments.add(&begun("b"), 0);
    write(&mut segments, &mut objects, 0);
    let mut objects = copy;
    segments.forget_stored();
    load(&mut segments, &objects, 0);
    assert_eq!(write(&mut segments, &mut objects, 0), Some(0));
    assert_eq!(write(&mut segments, &mut objects, 0), None);
    let (_, streams) = read(&objects, 0);
    assert_eq!(streams, [begun("a"), begun("b")]);
}

#[test]
fn next_placer_adds_to_what_it_has_read() {
    let (mut segments, mut objects) = (StreamSegments::default(), empty_store());
    segments.add(&begun("a"), 0);
    write(&mut segments, &mut objects, 0);
    let (mut next, streams) = read(&objects, 0);
    for stream in &streams {
        next.add(stream, 0);
    }
    assert_eq!(write(&mut next, &mut objects, 0), None);
    next.add(&begun("b"), 0);
    write(&mut next, &mut objects, 0);
    assert_eq!(read(&objects, 0).1.len(), 2);
}
