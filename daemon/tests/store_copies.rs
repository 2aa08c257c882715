//! A store that comes back from an older copy: what was written since is gone, its revisions are given
//! out once more, and the operator and the servers write their part again.

use std::time::Duration;

use mimosabay_standin::fleet::{
    CONTACT_MS, FleetOptions, FleetServer, FleetSite, LostWrites, StoreCopy, WaitingWatches,
};
use mimosabay_standin::harness::{block_on, wait_for, wait_up_to};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Number of instances.
const INSTANCES: usize = 4;
/// Number of revisions that the store goes back.
const LOST_REVISIONS: u64 = 60;
/// Time after its return for which the store still lacks what the operator and the servers wrote, in
/// milliseconds.
const WRITTEN_AGAIN_AFTER_MS: u64 = 700;
/// Time within which a change is in force after the store has returned, in milliseconds: that of normal
/// operation, and the time after a failure until operation counts as normal.
const IN_FORCE_MS: u64 = 2_000 + CONTACT_MS;
/// Time after which a leaving server gets no request any more, in milliseconds.
const LEFT_AFTER_MS: u64 = 2_000;
/// Interval between two requests of the load, in milliseconds.
const INTERVAL_MS: u64 = 30;

/// What the store's next change finds at the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRevision {
    /// Its revision is smaller than those that they know.
    Smaller,
    /// Its revision is the largest one that they know.
    Equal,
    /// Its revision is larger than those that they know.
    Larger,
}

/// Another fault, as the store comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherFault {
    None,
    /// The placer is killed, and its instance starts again.
    PlacerKilled,
    /// The placer stands still for two seconds.
    PlacerFrozen,
    /// An instance that is not the placer is killed and starts again.
    OtherKilled,
    /// The store comes back from an older copy once more within a second.
    Again,
}

/// How the store comes back.
#[derive(Clone, Copy, Debug)]
struct Return {
    /// Time for which the store was away before, in milliseconds.
    away_ms: u64,
    watches: WaitingWatches,
    next: NextRevision,
    fault: OtherFault,
}

const fn at_once(next: NextRevision) -> Return {
    Return {
        away_ms: 0,
        watches: WaitingWatches::Cut,
        next,
        fault: OtherFault::None,
    }
}

const fn with_watches_kept(next: NextRevision) -> Return {
    Return {
        watches: WaitingWatches::Kept,
        ..at_once(next)
    }
}

const fn after_ms(away_ms: u64, next: NextRevision) -> Return {
    Return {
        away_ms,
        ..at_once(next)
    }
}

const fn beside(fault: OtherFault) -> Return {
    Return {
        fault,
        ..at_once(NextRevision::Smaller)
    }
}

/// Guards against changes of the configuration that instances miss after the store came back from an
/// older copy.
mod change_is_missed_after_the_store_came_back_from_an_older_copy {
    use mimosabay_core::cases;

    use super::NextRevision::{Equal, Larger, Smaller};
    use super::{
        OtherFault, after_ms, at_once, beside, next_change_is_in_force, with_watches_kept,
    };

    cases! {
        next_change_is_in_force;
        at_once_smaller: (at_once(Smaller));
        at_once_equal: (at_once(Equal));
        at_once_larger: (at_once(Larger));
        watches_kept_smaller: (with_watches_kept(Smaller));
        watches_kept_larger: (with_watches_kept(Larger));
        away_100_ms_smaller: (after_ms(100, Smaller));
        away_1_s_larger: (after_ms(1_000, Larger));
        away_3_s_smaller: (after_ms(3_000, Smaller));
        placer_killed: (beside(OtherFault::PlacerKilled));
        placer_frozen: (beside(OtherFault::PlacerFrozen));
        other_killed: (beside(OtherFault::OtherKilled));
        again: (beside(OtherFault::Again));
    }
}

/// Guards against requests to a leaving server whose leaving instances miss, or forget, after the store
/// came back from an older copy.
mod leaving_server_is_used_after_the_store_came_back_from_an_older_copy {
    use mimosabay_core::cases;

    use super::NextRevision::{Larger, Smaller};
    use super::{
        Leaving, OtherFault, after_ms, at_once, beside, leaving_server_gets_no_request,
        with_watches_kept,
    };

    cases! {
        leaving_server_gets_no_request;
        draining_lost: (Leaving::DrainingLost, at_once(Smaller));
        draining_lost_watches_kept: (Leaving::DrainingLost, with_watches_kept(Larger));
        draining_lost_away_1_s: (Leaving::DrainingLost, after_ms(1_000, Smaller));
        draining_lost_placer_frozen: (Leaving::DrainingLost, beside(OtherFault::PlacerFrozen));
        draining_lost_again: (Leaving::DrainingLost, beside(OtherFault::Again));
        removal_lost: (Leaving::RemovalLost, at_once(Smaller));
        removal_lost_away_1_s: (Leaving::RemovalLost, after_ms(1_000, Larger));
        removal_lost_again: (Leaving::RemovalLost, beside(OtherFault::Again));
        draining_after_smaller: (Leaving::DrainingAfter, at_once(Smaller));
        draining_after_larger: (Leaving::DrainingAfter, at_once(Larger));
        draining_after_watches_kept: (Leaving::DrainingAfter, with_watches_kept(Smaller));
        draining_after_away_100_ms: (Leaving::DrainingAfter, after_ms(100, Smaller));
        draining_after_placer_killed: (Leaving::DrainingAfter, beside(OtherFault::PlacerKilled));
        removed_after: (Leaving::RemovedAfter, at_once(Smaller));
        removed_after_watches_kept: (Leaving::RemovedAfter, with_watches_kept(Larger));
    }
}

/// How a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    /// It reports that it drains, and the copy is from before that.
    DrainingLost,
    /// Its entry is removed, and the copy is from before that.
    RemovalLost,
    /// It reports that it drains after the store has come back.
    DrainingAfter,
    /// Its entry is removed after the store has come back.
    RemovedAfter,
}

impl Leaving {
    fn is_before_return(self) -> bool {
        matches!(self, Self::DrainingLost | Self::RemovalLost)
    }

    fn begin(self, site: &FleetSite) {
        match self {
            Self::DrainingLost | Self::DrainingAfter => site.plain_servers[0].register("draining"),
            Self::RemovalLost | Self::RemovedAfter => site.store.remove("servers", "desk-0"),
        }
    }
}

/// Guards against two placers that order under one number, and against none that places, after the
/// placer's record was lost with the store's last changes.
mod placer_record_is_lost_with_the_last_changes_of_the_store {
    use mimosabay_core::cases;

    use super::NextRevision::{Equal, Larger, Smaller};
    use super::{OtherFault, at_once, beside, orders_stay_fenced, with_watches_kept};

    cases! {
        orders_stay_fenced;
        smaller: (at_once(Smaller));
        equal: (at_once(Equal));
        larger: (at_once(Larger));
        watches_kept: (with_watches_kept(Smaller));
        placer_killed: (beside(OtherFault::PlacerKilled));
        placer_frozen: (beside(OtherFault::PlacerFrozen));
        again: (beside(OtherFault::Again));
    }
}

/// Guards against listing everything again, or missing changes, for a statement that is no era.
mod statement_that_is_no_era_is_taken_for_a_new_one {
    use mimosabay_core::cases;

    use super::odd_era_changes_nothing;

    cases! {
        odd_era_changes_nothing;
        missing: ("");
        smaller: ("0");
        text: ("second");
        negative: ("-1");
        too_large: ("18446744073709551616");
    }
}

fn odd_era_changes_nothing(stated: &str) {
    block_on(async {
        let site = start_site().await;
        site.store.state_era(stated);
        add_key(&site, 5, &["second"]);
        let missing = instances_without_key(&site, "second").await;
        assert!(missing.is_empty(), "change not in force at {missing:?}");
        let mut instances = site.instances.iter();
        assert!(!instances.any(|instance| instance.has_logged("store_era_changed")));
    });
}

async fn start_site() -> FleetSite {
    FleetSite::start(FleetOptions {
        instances: INSTANCES,
        plain_servers: 3,
        ..FleetOptions::default()
    })
    .await
}

/// Writes objects that concern no instance, so that the store's revision grows.
fn advance_revision(site: &FleetSite, count: u64) {
    for number in 0..count {
        site.store
            .put("notes", "note", &json!({ "number": number }));
    }
}

/// Brings the store back from `copy` and lets its revision grow up to the next change.
async fn come_back(site: &mut FleetSite, copy: &StoreCopy, how: Return) {
    let known = site.store.revision();
    let placer = site.wait_placer().await;
    if how.fault == OtherFault::PlacerFrozen {
        site.instances[placer].process.freeze();
    }
    if how.away_ms > 0 {
        site.store.set_down(true);
        sleep(Duration::from_millis(how.away_ms)).await;
    }
    let lost = site.store.come_back_from(copy, how.watches);
    site.store.set_down(false);
    match how.fault {
        OtherFault::None | OtherFault::PlacerFrozen => {}
        OtherFault::PlacerKilled => site.restart(placer),
        OtherFault::OtherKilled => site.restart((placer + 1) % INSTANCES),
        OtherFault::Again => {
            sleep(Duration::from_millis(WRITTEN_AGAIN_AFTER_MS)).await;
            // What was lost the first time is still to be written again.
            let _: LostWrites = site.store.come_back_from(copy, how.watches);
        }
    }
    sleep(Duration::from_millis(WRITTEN_AGAIN_AFTER_MS)).await;
    site.store.write_again(lost);
    let left = known.saturating_sub(site.store.revision());
    match how.next {
        NextRevision::Smaller => {}
        NextRevision::Equal => advance_revision(site, left.saturating_sub(1)),
        NextRevision::Larger => advance_revision(site, left + LOST_REVISIONS),
    }
    if how.fault == OtherFault::PlacerFrozen {
        sleep(Duration::from_secs(2)).await;
        site.instances[placer].process.thaw();
    }
}

fn add_key(site: &FleetSite, version: u64, keys: &[&str]) {
    site.configure(version, |it| it["tenants"][0]["apiKeys"] = json!(keys));
}

async fn accepts_key(site: &FleetSite, index: usize, key: &str) -> bool {
    let caller = site.caller(index).key(key);
    let answer = caller.get("/look/x", "probe").await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Waits until a key is in force everywhere; returns the instances at which it is not.
async fn instances_without_key(site: &FleetSite, key: &str) -> Vec<usize> {
    let mut missing = Vec::new();
    let deadline = Instant::now() + Duration::from_millis(IN_FORCE_MS);
    for index in 0..INSTANCES {
        let left = deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).expect("a short time");
        let is_in_force = wait_up_to(left_ms, async || {
            accepts_key(site, index, key).await.then_some(())
        });
        if is_in_force.await.is_none() {
            missing.push(index);
        }
    }
    missing
}

fn next_change_is_in_force(how: Return) {
    block_on(async {
        let mut site = start_site().await;
        let copy = site.store.copy();
        advance_revision(&site, LOST_REVISIONS);
        add_key(&site, 5, &["second"]);
        let missing = instances_without_key(&site, "second").await;
        assert!(missing.is_empty(), "before the return: {missing:?}");

        come_back(&mut site, &copy, how).await;
        add_key(&site, 9, &["second", "third"]);
        let missing = instances_without_key(&site, "third").await;
        print_log(&site, !missing.is_empty());
        assert!(missing.is_empty(), "change not in force at {missing:?}");
        for index in 0..INSTANCES {
            assert!(
                accepts_key(&site, index, "second").await,
                "{index} went back"
            );
        }
    });
}

/// Sends lookups to all instances in turn until `end`.
async fn look_up_until(site: &FleetSite, name: &str, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        let caller = site.caller(number % INSTANCES);
        // The answers do not matter here, only where the requests arrive.
        let _ = caller.get("/look/x", &format!("{name}-{number}")).await;
        number += 1;
        sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
}

fn leaving_server_gets_no_request(leaving: Leaving, how: Return) {
    block_on(async {
        let mut site = start_site().await;
        let copy = site.store.copy();
        advance_revision(&site, LOST_REVISIONS);
        // All instances know a revision of the servers that the copy lacks.
        site.plain_servers[2].change_entry();
        sleep(Duration::from_millis(LEFT_AFTER_MS)).await;
        if leaving.is_before_return() {
            leaving.begin(&site);
            sleep(Duration::from_millis(LEFT_AFTER_MS)).await;
            let before = site.plain_servers[0].requests().len();
            let load = look_up_until(&site, "before", Instant::now() + Duration::from_secs(1));
            load.await;
            let received = site.plain_servers[0].requests().len() - before;
            assert_eq!(received, 0, "before the return");
        }
        let before = site.plain_servers[0].requests().len();
        come_back(&mut site, &copy, how).await;
        if !leaving.is_before_return() {
            leaving.begin(&site);
            sleep(Duration::from_millis(IN_FORCE_MS)).await;
        }
        let before = if leaving.is_before_return() {
            before
        } else {
            site.plain_servers[0].requests().len()
        };
        let end = Instant::now() + Duration::from_millis(IN_FORCE_MS);
        look_up_until(&site, "after", end).await;
        let received = site.plain_servers[0].requests().len() - before;
        print_log(&site, received > 0);
        assert_eq!(received, 0, "requests at the leaving server");
    });
}

/// Sends drafts for ever new adapters, so that the placer has to order loads.
async fn draft(site: &FleetSite, name: &str, count: usize) -> usize {
    let mut answered = 0;
    for number in 0..count {
        let id = format!("{name}-{number}");
        let adapter = format!("a{}", number % 7 + 1);
        let caller = site.caller(number % INSTANCES);
        let answer = caller.generate("/draft/x", &id, &adapter).await;
        answered += usize::from(answer.is_ok_and(|answer| answer.status == 200));
    }
    answered
}

fn orders_stay_fenced(how: Return) {
    block_on(async {
        let mut site = start_site().await;
        let copy = site.store.copy();
        advance_revision(&site, LOST_REVISIONS);
        let first = site.wait_placer().await;
        site.instances[first].process.kill();
        wait_for("another placer", async || {
            site.placer_index().filter(|now| *now != first)
        })
        .await;
        site.restart(first);
        site.wait_ready(first).await;
        draft(&site, "before", 10).await;

        come_back(&mut site, &copy, how).await;
        let end = Instant::now() + Duration::from_millis(IN_FORCE_MS);
        let mut number = 0;
        while Instant::now() < end {
            draft(&site, &format!("during-{number}"), 4).await;
            number += 1;
        }
        let answered = draft(&site, "after", 12).await;
        let violations: Vec<String> = site
            .engines
            .iter()
            .flat_map(FleetServer::order_violations)
            .collect();
        let ordered = site
            .engines
            .iter()
            .any(|engine| !engine.orders().is_empty());
        print_log(&site, answered < 12 || !violations.is_empty());
        assert!(violations.is_empty(), "{violations:?}");
        assert!(ordered, "nothing was ordered");
        assert_eq!(answered, 12);
    });
}

/// Prints what the instances logged of the store and the placer, for a failed test.
fn print_log(site: &FleetSite, is_wanted: bool) {
    if !is_wanted {
        return;
    }
    for instance in &site.instances {
        for line in instance.log() {
            let event = line["event"].as_str().unwrap_or_default();
            let is_about_requests = matches!(
                event,
                "answered" | "placed" | "refused" | "denied" | "stream_ended" | "failed"
            );
            if !is_about_requests {
                println!("{}: {line}", instance.name);
            }
        }
    }
}
