//! Streams that an instance begins by itself after a placer has assigned them.
//!
//! The store does not answer the instance, so that it does not hear of the next placer, and the next
//! placer knows of its streams only what the one before noted.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosabay_core::cases;
use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetSite, software_versions};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{BrokenStream, UPDATES_MS, check_taken_up, take_up};

/// Number of streams.
const STREAMS: usize = 48;
/// Number of engines of each software version.
const ENGINES: usize = 3;
/// Time to the first event at the silent engine, in milliseconds. Others are asked before.
const SILENT_MS: u64 = 8_000;
/// Time between two events of a stream, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 400;
/// Deadline of the streams, in milliseconds.
const DEADLINE_MS: u64 = 15_000;
/// Time after which the instance is killed, in milliseconds. By then it has begun the streams of the silent
/// engine elsewhere.
const BEGIN_MS: u64 = 5_000;

/// How the placer that has assigned the streams is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacerLoss {
    Killed,
    Frozen,
}

/// Guards against streams that go on at another version, because the instance began them at another
/// server than the placer had noted, and nobody was told.
mod stream_begins_at_another_version_than_was_noted {
    use super::{PlacerLoss, cases, streams_begin_as_noted};

    cases! {
        streams_begin_as_noted;
        placer_killed: (PlacerLoss::Killed);
        placer_frozen: (PlacerLoss::Frozen);
    }
}

fn streams_begin_as_noted(loss: PlacerLoss) {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions {
            instances: 5,
            engines: ENGINES,
            new_engines: ENGINES,
            has_relays: true,
            ..FleetOptions::default()
        })
        .await;
        for engine in &site.engines {
            engine.set_event_interval(EVENT_INTERVAL_MS);
        }
        let placer = site.wait_placer().await;
        let entry = (placer + 1) % site.instances.len();
        site.store_relays[entry].partition();
        let silent = &site.engines[ENGINES];
        for _ in 0..STREAMS {
            silent.plan(Behaviour::AnswerAfter(SILENT_MS));
        }
        let begin_until = Instant::now() + Duration::from_millis(BEGIN_MS);
        let mut open = JoinSet::new();
        open_streams(&site, entry, begin_until, &mut open);
        wait_for("streams at the silent engine", async || {
            (silent.running_count() >= 3).then_some(())
        })
        .await;
        // The notes reach the instances that keep them.
        sleep(Duration::from_millis(UPDATES_MS)).await;
        match loss {
            PlacerLoss::Killed => site.instances[placer].process.kill(),
            PlacerLoss::Frozen => site.instances[placer].process.freeze(),
        }
        let streams = open.join_all().await;
        let begun: Vec<BrokenStream> = streams.into_iter().flatten().collect();
        assert!(begun.len() >= STREAMS / 2, "{} began", begun.len());
        site.instances[entry].process.kill();
        wait_for("another placer", async || {
            site.placer_index().filter(|index| *index != placer)
        })
        .await;
        let others = (0..site.instances.len()).filter(|index| ![placer, entry].contains(index));
        let others: Vec<usize> = others.collect();
        let replies = take_up(&site, &begun, &others, "again").await;
        let gone_on = check_taken_up(&begun, &replies);
        assert!(gone_on > 0, "none of {} went on", begun.len());
    });
}

/// Opens streams that break at a time, after their first events.
fn open_streams(
    site: &FleetSite,
    instance: usize,
    until: Instant,
    open: &mut JoinSet<Option<BrokenStream>>,
) {
    for _ in 0..STREAMS {
        let began_as = format!("stream-{}", crate::unique_number());
        let caller = crate::caller(site, instance).deadline_ms(DEADLINE_MS);
        open.spawn(async move {
            let reading = async {
                let mut stream = caller.open_stream("/draft/x", &began_as, "").await.ok()?;
                let event = stream.read_first_event().await;
                (stream.status == 200).then_some(event)
            };
            let event = timeout_at(until, reading).await.ok().flatten()?;
            Some(BrokenStream {
                began_as,
                versions: software_versions(&event),
                last_event: 1,
            })
        });
    }
}

/// Guards against assigning a stream to a server of another version than before. A placer that was replaced and
/// does not know it can tell nobody.
#[test]
fn stream_is_assigned_again_at_the_version_of_before() {
    block_on(async {
        let site = FleetSite::start(FleetOptions {
            engines: ENGINES,
            new_engines: ENGINES,
            ..FleetOptions::default()
        })
        .await;
        let silent = &site.engines[ENGINES];
        for _ in 0..STREAMS {
            silent.plan(Behaviour::AnswerAfter(SILENT_MS));
        }
        let mut open = JoinSet::new();
        let until = Instant::now() + Duration::from_millis(BEGIN_MS);
        open_streams(&site, 0, until, &mut open);
        let begun: Vec<BrokenStream> = open.join_all().await.into_iter().flatten().collect();
        let assigned: Vec<String> = silent.requests().into_iter().map(|it| it.id).collect();
        let again = begun.iter().filter(|it| assigned.contains(&it.began_as));
        let versions: Vec<_> = again.map(|stream| stream.versions.clone()).collect();
        assert!(versions.len() >= 3, "{} began elsewhere", versions.len());
        let of_silent = BTreeSet::from([silent.software_version().to_string()]);
        assert!(versions.iter().all(|it| *it == of_silent), "{versions:?}");
    });
}

/// Guards against streams that an instance begins by itself, while a placer may have assigned them to a
/// server of another version: its answers are lost, its notes are not.
#[test]
fn stream_that_a_placer_may_have_assigned_waits_for_a_placer() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions {
            instances: 5,
            engines: ENGINES,
            new_engines: ENGINES,
            ..FleetOptions::default()
        })
        .await;
        let placer = site.wait_placer().await;
        let entry = (placer + 1) % site.instances.len();
        site.instances[placer].process.freeze();
        let mut open = JoinSet::new();
        let until = Instant::now() + Duration::from_millis(BEGIN_MS);
        open_streams(&site, entry, until, &mut open);
        open.join_all().await;
        let log = site.instances[entry].log();
        let unanswered = |id: &serde_json::Value| {
            let mut lines = log.iter().filter(|line| line["id"] == *id);
            lines.any(|line| line["event"] == "placement_unanswered")
        };
        let grants = log.iter().filter(|line| line["event"] == "placed");
        let by_instance = grants.filter(|line| line["is_placed"] == false);
        let wrong: Vec<_> = by_instance.filter(|line| unanswered(&line["id"])).collect();
        assert!(wrong.is_empty(), "{wrong:#?}");
        let refused = log.iter().filter(|line| line["event"] == "refused").count();
        let granted = log.iter().filter(|line| line["is_placed"] == true).count();
        assert!(
            granted + refused >= STREAMS,
            "{granted} placed, {refused} refused"
        );
        assert_eq!(refused, 0, "a new placer answers within the wait");
    });
}
