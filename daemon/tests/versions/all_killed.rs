//! Streams that callers take up after all instances have been killed at once.

use std::time::Duration;

use mimosabay_core::cases;
use mimosabay_standin::fleet::{FleetOptions, FleetSite, WaitingWatches};
use mimosabay_standin::harness::block_on;
use tokio::time::sleep;

use crate::{
    FIRST_ENGINES, SECOND_ENGINES, SHORT_EVENT_INTERVAL_MS, break_streams, check_taken_up,
    count_new, open_streams, take_up,
};

/// Time between two events of a stream, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 1_000;
/// Time within which what has begun is stored, in milliseconds.
const STORED_MS: u64 = 2_000;

/// What happens beside the end of all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// They are killed again once they are ready.
    Again,
    /// The placer is killed some time before, and another one follows it.
    PlacerBefore,
    /// The store is away while they are killed.
    StoreAway,
    /// The store has come back from a copy that was made before the streams began.
    OlderCopy,
}

/// Guards against streams that nobody lets go on any more once all instances have been killed.
mod streams_are_refused_after_all_instances_were_killed {
    use super::{Beside, cases, streams_go_on_after_a_kill_of_all};

    cases! {
        streams_go_on_after_a_kill_of_all;
        once: (Beside::Nothing);
        twice: (Beside::Again);
        placer_before: (Beside::PlacerBefore);
        store_away: (Beside::StoreAway);
        older_copy: (Beside::OlderCopy);
    }
}

fn streams_go_on_after_a_kill_of_all(beside: Beside) {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions {
            instances: 5,
            engines: FIRST_ENGINES,
            new_engines: SECOND_ENGINES,
            ..FleetOptions::default()
        })
        .await;
        set_event_interval(&site, EVENT_INTERVAL_MS);
        let placer = site.wait_placer().await;
        let entry = (placer + 1) % site.instances.len();
        let copy = site.store.copy();
        let streams = open_streams(&site, entry).await;
        sleep(Duration::from_millis(STORED_MS)).await;
        let streams = break_streams(streams);
        match beside {
            Beside::Nothing | Beside::Again => {}
            Beside::PlacerBefore => {
                site.instances[placer].process.kill();
                sleep(Duration::from_millis(STORED_MS)).await;
            }
            Beside::StoreAway => site.store.set_down(true),
            Beside::OlderCopy => {
                let lost = site.store.come_back_from(&copy, WaitingWatches::Cut);
                site.store.write_again(lost);
                sleep(Duration::from_millis(STORED_MS)).await;
            }
        }
        restart_all(&mut site).await;
        if beside == Beside::Again {
            site.wait_placer().await;
            restart_all(&mut site).await;
        }
        site.wait_placer().await;
        set_event_interval(&site, SHORT_EVENT_INTERVAL_MS);
        let instances: Vec<usize> = (0..site.instances.len()).collect();
        let replies = take_up(&site, &streams, &instances, "again").await;
        let begun = count_new(&site, &instances).await;
        let gone_on = check_taken_up(&streams, &replies);
        assert!(begun > 0, "no new streams began");
        assert!(
            gone_on * 2 >= begun,
            "{gone_on} streams went on, {begun} new ones began"
        );
    });
}

fn set_event_interval(site: &FleetSite, interval_ms: u64) {
    for engine in &site.engines {
        engine.set_event_interval(interval_ms);
    }
}

/// Kills all instances and starts them again, and waits until they are ready.
async fn restart_all(site: &mut FleetSite) {
    for instance in &mut site.instances {
        instance.process.kill();
    }
    for index in 0..site.instances.len() {
        site.restart(index);
    }
    site.store.set_down(false);
    for index in 0..site.instances.len() {
        site.wait_ready(index).await;
    }
}

/// Guards against calls of the store for each stream while a service has one version.
#[test]
fn streams_of_a_service_with_one_version_are_not_stored() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let writes = site.store.write_count();
        break_streams(open_streams(&site, 0).await);
        sleep(Duration::from_millis(STORED_MS)).await;
        assert_eq!(site.store.write_count(), writes);
        assert_eq!(site.store.spec("streamversions", "cell-0-0"), None);
    });
}
