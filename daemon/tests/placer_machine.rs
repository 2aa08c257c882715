//! Sites with machines of two sizes: which instance follows a placer.

use std::time::Duration;

use mimosabay_standin::fleet::{FleetOptions, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::time::sleep;

/// Number of instances.
const INSTANCES: usize = 4;
/// Index of the instance on a large machine.
const LARGE: usize = 2;
/// Time for which a slowed process stands still at a time, in milliseconds; too short to count as frozen.
const STILL_MS: u64 = 400;
/// Time for which it runs in between, in milliseconds.
const RUNNING_MS: u64 = 80;
/// Largest number of times that it stands still.
const SLOWED_ROUNDS: usize = 60;

/// How the placer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lost {
    /// It is killed.
    Killed,
    /// It is asked to stop.
    Stopped,
    /// It is frozen.
    Frozen,
}

mod placer_is_followed_by_the_instance_on_the_large_machine {
    use mimosabay_core::cases;

    use super::{Lost, large_machine_follows};

    cases! {
        large_machine_follows;
        after_a_kill: (Lost::Killed);
        after_a_stop: (Lost::Stopped);
        after_a_freeze: (Lost::Frozen);
    }
}

/// Waits until one of the instances on small machines is the placer.
async fn wait_small_placer(site: &mut FleetSite) -> usize {
    if site.wait_placer().await == LARGE {
        site.restart(LARGE);
        site.wait_ready(LARGE).await;
    }
    wait_for("a placer on a small machine", async || {
        site.placer_index().filter(|placer| *placer != LARGE)
    })
    .await
}

/// Waits until every instance follows a placer and can know the machines of the others.
async fn wait_drafts(site: &FleetSite, round: &str) {
    for index in 0..INSTANCES {
        wait_for("an answered draft", async || {
            let id = format!("{round}-{index}");
            let answer = site.caller(index).generate("/draft/x", &id, "a1").await;
            answer.is_ok_and(|it| it.status == 200).then_some(())
        })
        .await;
    }
}

fn large_machine_follows(lost: Lost) {
    block_on(async {
        let options = FleetOptions {
            instances: INSTANCES,
            large_instance: Some(LARGE),
            ..FleetOptions::default()
        };
        let mut site = FleetSite::start(options).await;
        let placer = wait_small_placer(&mut site).await;
        for round in 0..5 {
            wait_drafts(&site, &format!("before-{round}")).await;
        }
        let process = &mut site.instances[placer].process;
        match lost {
            Lost::Killed => process.kill(),
            Lost::Stopped => process.terminate(),
            Lost::Frozen => process.freeze(),
        }
        let successor = wait_for("another placer", async || {
            site.placer_index().filter(|now| *now != placer)
        })
        .await;
        assert_eq!(successor, LARGE);
    });
}

#[test]
fn placer_that_falls_behind_hands_over_to_the_large_machine() {
    block_on(async {
        let options = FleetOptions {
            instances: INSTANCES,
            large_instance: Some(LARGE),
            ..FleetOptions::default()
        };
        let mut site = FleetSite::start(options).await;
        let placer = wait_small_placer(&mut site).await;
        wait_drafts(&site, "before").await;
        wait_for_slowed(&mut site, placer).await;
        assert!(site.instances[placer].has_logged("placer_hands_over"));
        assert_eq!(site.placer_index(), Some(LARGE));
    });
}

/// Lets an instance run only now and then, until another one is the placer.
async fn wait_for_slowed(site: &mut FleetSite, placer: usize) {
    for _ in 0..SLOWED_ROUNDS {
        site.instances[placer].process.freeze();
        sleep(Duration::from_millis(STILL_MS)).await;
        site.instances[placer].process.thaw();
        sleep(Duration::from_millis(RUNNING_MS)).await;
        if site.placer_index().is_some_and(|now| now != placer) {
            return;
        }
    }
}
