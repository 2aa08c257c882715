//! Sites with machines of two sizes: which instance follows a placer.

use mimosabay_standin::fleet::{FleetOptions, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};

/// Number of instances.
const INSTANCES: usize = 4;
/// Index of the instance on a large machine.
const LARGE: usize = 2;

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
