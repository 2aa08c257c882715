//! Streams at engines of several software versions: what two versions write does not fit together.

mod all_killed;
mod without_placer;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use mimosabay_standin::fleet::{
    Behaviour, FleetCaller, FleetOptions, FleetReply, FleetSite, FleetStream, software_versions,
};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::time::sleep;

/// Number of streams that break at once.
const STREAMS: usize = 16;
/// Number of times that servers break streams.
const ROUNDS: usize = 3;
/// Number of engines of the first software version.
const FIRST_ENGINES: usize = 3;
/// Number of engines of the second software version.
const SECOND_ENGINES: usize = 3;
/// Number of events of a complete stream.
const STREAM_EVENTS: u64 = 6;
/// Time between two events, in milliseconds. Streams break while they run.
const EVENT_INTERVAL_MS: u64 = 200;
/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 4_800;
/// Time between two events of streams that their servers break, in milliseconds.
const SHORT_EVENT_INTERVAL_MS: u64 = 20;
/// Number of times that sound streams run before servers break some, so that retries are allowed.
const SOUND_ROUNDS: usize = 5;
/// Time within which instances learn of streams that began before a release, in milliseconds.
const UPDATES_MS: u64 = 300;
/// Shared parts of the prompts.
const PARTS: &[u64] = &[0x5c1e, 0x91bd];

/// What is lost while streams run, or before they are taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Only the connections of the callers.
    Connections,
    /// The instance that began the streams.
    Entry,
    /// The placer.
    Placer,
    /// The placer, which is suspended.
    PlacerFrozen,
    /// The instance that began the streams, and the placer.
    EntryAndPlacer,
    /// The placer, which began the streams itself.
    PlacerAsEntry,
    /// The instance that began the streams, and the placer while the store is down.
    EntryAndPlacerStoreDown,
    /// All instances, which start again.
    All,
}

/// When the second software version comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// Before the streams begin.
    Earlier,
    /// After they have begun.
    WhileStreamsRun,
}

/// Guards against streams that go on at another software version than the one that began them.
mod stream_goes_on_at_another_version {
    use mimosabay_core::cases;

    use super::{
        Loss, Release, streams_broken_by_servers_go_on, streams_go_on_when_taken_up_once,
        streams_go_on_when_taken_up_twice,
    };

    cases! {
        streams_go_on_when_taken_up_once;
        connections_lost: (Loss::Connections, Release::Earlier);
        connections_lost_during_release: (Loss::Connections, Release::WhileStreamsRun);
        entry_killed: (Loss::Entry, Release::Earlier);
        entry_killed_during_release: (Loss::Entry, Release::WhileStreamsRun);
        placer_killed: (Loss::Placer, Release::Earlier);
        placer_frozen: (Loss::PlacerFrozen, Release::Earlier);
        entry_and_placer_killed: (Loss::EntryAndPlacer, Release::Earlier);
        entry_and_placer_killed_during_release: (Loss::EntryAndPlacer, Release::WhileStreamsRun);
        placer_as_entry_killed: (Loss::PlacerAsEntry, Release::Earlier);
        entry_and_placer_killed_store_down: (Loss::EntryAndPlacerStoreDown, Release::Earlier);
        all_killed: (Loss::All, Release::Earlier);
    }

    cases! {
        streams_go_on_when_taken_up_twice;
        connections_lost_twice: (Loss::Connections);
        entry_killed_twice: (Loss::Entry);
    }

    cases! {
        streams_broken_by_servers_go_on;
        connections_to_servers_lost: (Behaviour::BreakAfter(2));
        servers_silent: (Behaviour::PauseAfter { events: 2, pause_ms: 20_000 });
    }

    use mimosabay_standin::fleet::Behaviour;
}

/// What becomes of the last servers of the version that began the streams before all instances end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastServers {
    /// They stay, and there is no other version.
    Stay,
    /// Their entries are removed.
    Removed,
    /// They report that they drain, and their entries are removed later.
    Drained,
}

/// Guards against streams that go on at another version after all instances have ended, because the new
/// processes take the registered versions for all there were; and against refusing all of them instead.
mod stream_goes_on_at_another_version_after_all_instances_ended {
    use mimosabay_core::cases;

    use super::{LastServers, streams_go_on_after_all_instances_ended};

    cases! {
        streams_go_on_after_all_instances_ended;
        only_version: (LastServers::Stay);
        last_server_removed: (LastServers::Removed);
        last_server_drained: (LastServers::Drained);
    }
}

/// A stream of which the caller has received some events.
struct BrokenStream {
    began_as: String,
    versions: BTreeSet<String>,
    last_event: u64,
}

async fn start_site() -> FleetSite {
    let site = FleetSite::start(FleetOptions {
        instances: 5,
        engines: FIRST_ENGINES,
        ..FleetOptions::default()
    })
    .await;
    for engine in &site.engines {
        engine.set_event_interval(EVENT_INTERVAL_MS);
    }
    site
}

/// Starts engines with the second version, and waits until all instances know it.
async fn release_second_version(site: &mut FleetSite) {
    site.add_engines(SECOND_ENGINES, "v2").await;
    for engine in &site.engines {
        engine.set_event_interval(EVENT_INTERVAL_MS);
    }
    wait_for("the second version at all instances", async || {
        let is_reported = site.engines.iter().all(|engine| engine.report_count() > 0);
        let mut instances = site.instances.iter();
        let is_known = instances.all(|instance| {
            let lines = instance.log().into_iter();
            let registered = lines.filter(|line| line["event"] == "server_registered");
            registered.count() == SECOND_ENGINES
        });
        (is_reported && is_known).then_some(())
    })
    .await;
}

fn caller(site: &FleetSite, instance: usize) -> FleetCaller {
    site.caller(instance)
        .deadline_ms(DEADLINE_MS)
        .prompt_parts(PARTS)
}

/// Returns a number for identifiers. The sites of other tests may use ports of this one again.
fn unique_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Opens streams at an instance, and returns once each has brought an event.
async fn open_streams(site: &FleetSite, instance: usize) -> Vec<(String, FleetStream, String)> {
    let opened = (0..STREAMS).map(async |number| {
        let id = format!("stream-{}-{number}", unique_number());
        let caller = caller(site, instance);
        let stream = caller.open_stream("/draft/x", &id, "").await;
        let mut stream = stream.expect("a stream");
        let log = || site.instances[instance].log_about(&id);
        assert_eq!(stream.status, 200, "{:#?}", log());
        let event = stream.read_first_event().await;
        (id, stream, String::from_utf8_lossy(&event).into_owned())
    });
    join_all(opened).await
}

/// Closes the streams after their first event.
fn break_streams(streams: Vec<(String, FleetStream, String)>) -> Vec<BrokenStream> {
    let broken = streams
        .into_iter()
        .map(|(began_as, _, event)| BrokenStream {
            began_as,
            versions: software_versions(event.as_bytes()),
            last_event: 1,
        });
    broken.collect()
}

/// Returns the instance that begins the streams and the placer.
async fn choose_entry(site: &FleetSite, loss: Loss) -> (usize, usize) {
    let placer = site.wait_placer().await;
    let entry = match loss {
        Loss::PlacerAsEntry => placer,
        _ => (placer + 1) % site.instances.len(),
    };
    (entry, placer)
}

/// Returns the instances that are not disturbed.
fn undisturbed(site: &FleetSite, loss: Loss, entry: usize, placer: usize) -> Vec<usize> {
    let is_lost = |index: usize| match loss {
        Loss::Connections | Loss::Entry => index == entry,
        Loss::All => false,
        _ => index == entry || index == placer,
    };
    let instances = 0..site.instances.len();
    instances.filter(|index| !is_lost(*index)).collect()
}

async fn lose(site: &mut FleetSite, loss: Loss, entry: usize, placer: usize) {
    match loss {
        Loss::Connections => {}
        Loss::Entry => site.instances[entry].process.kill(),
        Loss::Placer | Loss::PlacerAsEntry => site.instances[placer].process.kill(),
        Loss::PlacerFrozen => site.instances[placer].process.freeze(),
        Loss::EntryAndPlacer => {
            site.instances[entry].process.kill();
            site.instances[placer].process.kill();
        }
        Loss::EntryAndPlacerStoreDown => {
            site.store.set_down(true);
            site.instances[entry].process.kill();
            site.instances[placer].process.kill();
        }
        Loss::All => {
            for index in 0..site.instances.len() {
                site.instances[index].process.kill();
            }
            for index in 0..site.instances.len() {
                site.restart(index);
            }
            for index in 0..site.instances.len() {
                site.wait_ready(index).await;
            }
        }
    }
}

/// Takes streams up at some instances in turn, as `suffix` names the attempts.
async fn take_up(
    site: &FleetSite,
    streams: &[BrokenStream],
    instances: &[usize],
    suffix: &str,
) -> Vec<Option<FleetReply>> {
    let replies = streams.iter().enumerate().map(async |(number, stream)| {
        let instance = instances[number % instances.len()];
        let caller = caller(site, instance).taking_up(&stream.began_as, stream.last_event);
        let id = format!("{}-{suffix}", stream.began_as);
        let reply = caller.generate("/draft/x", &id, "").await;
        reply.ok().filter(|reply| reply.status == 200)
    });
    join_all(replies).await
}

/// Sends new streams to the same instances; returns the number that is answered.
async fn count_new(site: &FleetSite, instances: &[usize]) -> usize {
    let replies = (0..STREAMS).map(async |number| {
        let instance = instances[number % instances.len()];
        let id = format!("new-{number}");
        let reply = caller(site, instance).generate("/draft/x", &id, "").await;
        reply.is_ok_and(|reply| reply.status == 200)
    });
    let answered = join_all(replies).await;
    answered.into_iter().filter(|it| *it).count()
}

/// Checks the events of streams that went on; returns the number of these.
fn check_taken_up(streams: &[BrokenStream], replies: &[Option<FleetReply>]) -> usize {
    let mut wrong = Vec::new();
    for (stream, reply) in streams.iter().zip(replies) {
        let Some(reply) = reply else {
            continue;
        };
        let versions = reply.software_versions();
        if !versions.is_subset(&stream.versions) {
            let (id, began_at) = (&stream.began_as, &stream.versions);
            wrong.push(format!(
                "{id} began at {began_at:?}, went on at {versions:?}"
            ));
        }
        let rest: Vec<u64> = (stream.last_event + 1..=STREAM_EVENTS).collect();
        assert_eq!(reply.event_ids(), rest, "{}", stream.began_as);
    }
    assert!(wrong.is_empty(), "{} of {STREAMS}: {wrong:#?}", wrong.len());
    replies.iter().flatten().count()
}

fn streams_go_on_when_taken_up_once(loss: Loss, release: Release) {
    block_on(async {
        let mut site = start_site().await;
        if release == Release::Earlier {
            release_second_version(&mut site).await;
        }
        let (entry, placer) = choose_entry(&site, loss).await;
        let instances = undisturbed(&site, loss, entry, placer);
        let streams = open_streams(&site, entry).await;
        if release == Release::WhileStreamsRun {
            release_second_version(&mut site).await;
            sleep(Duration::from_millis(UPDATES_MS)).await;
        }
        lose(&mut site, loss, entry, placer).await;
        let streams = break_streams(streams);
        let (replies, begun) = tokio::join!(
            take_up(&site, &streams, &instances, "again"),
            count_new(&site, &instances)
        );
        let gone_on = check_taken_up(&streams, &replies);
        if loss != Loss::All {
            assert!(
                gone_on * 2 >= begun,
                "{gone_on} of {STREAMS} streams went on, {begun} of {STREAMS} new ones began"
            );
        }
    });
}

fn streams_go_on_after_all_instances_ended(last_servers: LastServers) {
    block_on(async {
        let mut site = start_site().await;
        let (entry, placer) = choose_entry(&site, Loss::All).await;
        let streams = open_streams(&site, entry).await;
        if last_servers != LastServers::Stay {
            release_second_version(&mut site).await;
            let first = &site.engines[..FIRST_ENGINES];
            if last_servers == LastServers::Drained {
                for engine in first {
                    engine.register("draining");
                }
                sleep(Duration::from_millis(UPDATES_MS)).await;
            }
            for engine in first {
                site.store.remove("servers", &engine.id);
            }
            // The placer has read the removals.
            sleep(Duration::from_millis(UPDATES_MS)).await;
        }
        let streams = break_streams(streams);
        lose(&mut site, Loss::All, entry, placer).await;
        site.wait_placer().await;
        let instances: Vec<usize> = (0..site.instances.len()).collect();
        let (replies, begun) = tokio::join!(
            take_up(&site, &streams, &instances, "again"),
            count_new(&site, &instances)
        );
        let gone_on = check_taken_up(&streams, &replies);
        assert!(begun > 0, "no new streams began");
        match last_servers {
            LastServers::Stay => assert!(gone_on * 2 >= begun, "{gone_on} went on, {begun} began"),
            LastServers::Removed | LastServers::Drained => assert_eq!(gone_on, 0, "went on"),
        }
    });
}

fn streams_go_on_when_taken_up_twice(loss: Loss) {
    block_on(async {
        let mut site = start_site().await;
        release_second_version(&mut site).await;
        let (entry, placer) = choose_entry(&site, loss).await;
        let streams = break_streams(open_streams(&site, entry).await);
        lose(&mut site, loss, entry, placer).await;
        let instances = undisturbed(&site, loss, entry, placer);
        let again = streams
            .into_iter()
            .enumerate()
            .map(async |(number, stream)| {
                let instance = instances[number % instances.len()];
                let caller = caller(&site, instance).taking_up(&stream.began_as, stream.last_event);
                let id = format!("{}-again", stream.began_as);
                let opened = caller.open_stream("/draft/x", &id, "").await;
                let mut opened = opened.ok().filter(|opened| opened.status == 200)?;
                let event = opened.read_first_event().await;
                let versions = software_versions(&event);
                Some(BrokenStream {
                    versions: &stream.versions | &versions,
                    last_event: stream.last_event + 1,
                    ..stream
                })
            });
        let again: Vec<BrokenStream> = join_all(again).await.into_iter().flatten().collect();
        let mixed = again.iter().filter(|stream| stream.versions.len() > 1);
        assert_eq!(mixed.count(), 0, "streams that went on at another version");
        assert!(again.len() * 2 >= STREAMS, "{} went on", again.len());
        let next: Vec<usize> = instances.iter().rev().copied().collect();
        let replies = take_up(&site, &again, &next, "third").await;
        let gone_on = check_taken_up(&again, &replies);
        assert!(gone_on * 2 >= STREAMS, "{gone_on} of {STREAMS} went on");
    });
}

/// Sends two streams for each engine to two instances, and reads them to their ends.
async fn generate_at_all(site: &FleetSite, name: &str) -> Vec<Option<FleetReply>> {
    let replies = (0..site.engines.len() * 2).map(async |number| {
        let id = format!("{name}-{number}");
        let reply = caller(site, number % 2).generate("/draft/x", &id, "").await;
        reply.ok()
    });
    join_all(replies).await
}

fn streams_broken_by_servers_go_on(behaviour: Behaviour) {
    block_on(async {
        let mut site = start_site().await;
        release_second_version(&mut site).await;
        for engine in &site.engines {
            engine.set_event_interval(SHORT_EVENT_INTERVAL_MS);
        }
        for round in 0..ROUNDS {
            for sound in 0..SOUND_ROUNDS {
                wait_for("engines that serve", async || {
                    let name = format!("sound-{round}-{sound}-{}", unique_number());
                    let replies = generate_at_all(&site, &name).await;
                    let mut replies = replies.into_iter();
                    let is_served = |it: Option<FleetReply>| it.is_some_and(|it| it.status == 200);
                    replies.all(is_served).then_some(())
                })
                .await;
            }
            site.engines[FIRST_ENGINES].plan(behaviour);
            site.engines[FIRST_ENGINES].plan(behaviour);
            let replies = generate_at_all(&site, &format!("stream-{round}")).await;
            let whole = replies.iter().flatten().filter(|reply| reply.status == 200);
            for reply in whole.clone() {
                let versions = reply.software_versions();
                assert_eq!(versions.len(), 1, "one answer has events of {versions:?}");
            }
            assert!(whole.count() * 4 >= replies.len() * 3, "answers are whole");
        }
    });
}

#[test]
fn stream_of_unknown_version_does_not_go_on_while_two_serve() {
    block_on(async {
        let mut site = start_site().await;
        release_second_version(&mut site).await;
        for began_as in ["unknown", ""] {
            let id = format!("taken-up-{began_as}");
            let caller = caller(&site, 1).taking_up(began_as, 2);
            let reply = caller.generate("/draft/x", &id, "").await.unwrap();
            assert_eq!(reply.status, 503);
            assert_eq!(site.run_count(&id), 0);
        }
    });
}

#[test]
fn stream_of_unknown_version_goes_on_while_one_serves() {
    block_on(async {
        let site = start_site().await;
        let caller = caller(&site, 1).taking_up("unknown", 2);
        let reply = caller.generate("/draft/x", "taken-up", "").await.unwrap();
        assert_eq!(reply.status, 200);
        assert_eq!(reply.event_ids(), [3, 4, 5, 6]);
    });
}

#[test]
fn stream_does_not_go_on_once_its_version_is_gone() {
    block_on(async {
        let mut site = start_site().await;
        release_second_version(&mut site).await;
        let streams = break_streams(open_streams(&site, 0).await);
        for engine in &site.engines[..FIRST_ENGINES] {
            site.store.remove("servers", &engine.id);
        }
        wait_for("the first version gone at all instances", async || {
            let mut instances = site.instances.iter();
            let is_removed = |line: &&serde_json::Value| line["event"] == "server_removed";
            instances
                .all(|instance| instance.log().iter().filter(is_removed).count() == FIRST_ENGINES)
                .then_some(())
        })
        .await;
        for stream in &streams {
            let caller = caller(&site, 1).taking_up(&stream.began_as, stream.last_event);
            let id = format!("{}-again", stream.began_as);
            let reply = caller.generate("/draft/x", &id, "").await.unwrap();
            let began_at_first = stream.versions.contains("v1");
            assert_eq!(
                reply.status == 503,
                began_at_first,
                "{id}: {}",
                reply.status
            );
        }
    });
}
