//! A placer that tries to remove its record, and what becomes of the record if the store does not do it at
//! once.

use std::time::Duration;

use mimosabay_core::cases;
use mimosabay_standin::fleet::{
    CONTACT_MS, FleetOptions, FleetServer, FleetSite, HeldWrite, LinkLoss, WRITES_PER_S,
    WaitingWatches,
};
use mimosabay_standin::harness::{block_on, wait_for, wait_up_to};
use tokio::time::sleep;

/// Number of instances.
const INSTANCES: usize = 3;
/// Kind of the placer's record in the store.
const PLACERS: &str = "placers";
/// Time within which adapters are loaded again once nothing is disturbed any more, in milliseconds.
const LOADED_AGAIN_MS: u64 = CONTACT_MS;
/// Longest time to wait for an event at an instance, in milliseconds.
const EVENT_MS: u64 = 10_000;
/// Longest time for which a placer goes on trying to remove its record once its links are back.
const ATTEMPT_TIME: Duration = Duration::from_millis(1_500);
/// Time in which no instance has a reason to change anything in the store.
const QUIET_TIME: Duration = Duration::from_millis(1_500);
/// Largest number of writes in [`QUIET_TIME`].
const MAX_QUIET_WRITES: u64 = 2;
/// Largest number of claims in [`QUIET_TIME`]: there is a pause of 300 ms after each.
const MAX_CLAIMS: u64 = 5;
/// Time after which a slow store answers.
const SLOW_ANSWER: Duration = Duration::from_millis(700);

/// Why the store does not remove the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotRemoved {
    /// It refuses all writes.
    Refused,
    /// It is down.
    Down,
    /// It has received the call, does not answer it and never executes it.
    Unanswered,
}

/// What happens beside that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// The links are lost again as soon as they are back, and the removal fails once more.
    AnotherLoss,
    /// The store comes back from an older copy that has the same record.
    OlderCopy,
    /// The placer is told to stop while its links are lost.
    Stop,
}

/// Guards against a placer that cannot remove its record and then writes it again unchanged, which gives it no
/// new number, so that no adapter is loaded any more.
mod placer_that_could_not_remove_its_record_never_orders_again {
    use super::{Beside, NotRemoved, adapters_are_loaded_again, cases};

    cases! {
        adapters_are_loaded_again;
        refused: (NotRemoved::Refused, Beside::Nothing);
        down: (NotRemoved::Down, Beside::Nothing);
        unanswered: (NotRemoved::Unanswered, Beside::Nothing);
        refused_twice: (NotRemoved::Refused, Beside::AnotherLoss);
        unanswered_twice: (NotRemoved::Unanswered, Beside::AnotherLoss);
        refused_with_an_older_copy: (NotRemoved::Refused, Beside::OlderCopy);
        unanswered_with_an_older_copy: (NotRemoved::Unanswered, Beside::OlderCopy);
        refused_in_a_stop: (NotRemoved::Refused, Beside::Stop);
        unanswered_in_a_stop: (NotRemoved::Unanswered, Beside::Stop);
    }
}

/// When a removal without an answer is executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Executed {
    /// After the placer has written its record again.
    AfterNewRecord,
    /// After the placer has stopped and another instance has followed it.
    AfterSuccessor,
    /// Before the links are back.
    BeforeNewRecord,
}

/// Guards against a removal that is executed late and removes the new record, or lets two placers order by
/// turns.
mod late_removal_ends_a_placer_that_orders_again {
    use super::{Executed, cases, late_removal_ends_no_later_placer};

    cases! {
        late_removal_ends_no_later_placer;
        after_the_new_record: (Executed::AfterNewRecord);
        after_a_successor: (Executed::AfterSuccessor);
        before_the_new_record: (Executed::BeforeNewRecord);
    }
}

async fn start_site() -> FleetSite {
    let site = FleetSite::start(FleetOptions {
        instances: INSTANCES,
        engines: 3,
        has_instance_links: true,
        ..FleetOptions::default()
    })
    .await;
    for engine in &site.engines {
        engine.ignore_fencing();
    }
    site
}

impl NotRemoved {
    fn begin(self, site: &FleetSite) {
        match self {
            Self::Refused => site.store.limit_writes(0),
            Self::Down => site.store.set_down(true),
            Self::Unanswered => site.store.set_writes_held(true),
        }
    }

    fn end(self, site: &FleetSite) {
        match self {
            Self::Refused => site.store.limit_writes(WRITES_PER_S),
            Self::Down => site.store.set_down(false),
            Self::Unanswered => site.store.set_writes_held(false),
        }
    }
}

/// Number of times that an instance has logged an event.
fn count_logged(site: &FleetSite, index: usize, event: &str) -> usize {
    let log = site.instances[index].log();
    log.iter().filter(|line| line["event"] == event).count()
}

/// Cuts the links of the placer until it has tried in vain to remove its record.
async fn lose_links(site: &FleetSite, placer: usize) {
    let lost = count_logged(site, placer, "links_lost");
    site.instance_links[placer].lose(LinkLoss::Reset);
    wait_for_more(site, placer, "links_lost", lost).await;
    let failed = count_logged(site, placer, "placer_not_resigned");
    wait_for_more(site, placer, "placer_not_resigned", failed).await;
}

/// Restores the links of the placer, and waits until no attempt to remove the record is under way.
async fn heal_links(site: &FleetSite, placer: usize) {
    let regained = count_logged(site, placer, "links_regained");
    site.instance_links[placer].heal();
    wait_for_more(site, placer, "links_regained", regained).await;
    sleep(ATTEMPT_TIME).await;
}

/// Waits until an instance has logged an event more than `count` times.
async fn wait_for_more(site: &FleetSite, index: usize, event: &str, count: usize) {
    let logged = wait_up_to(EVENT_MS, async || {
        (count_logged(site, index, event) > count).then_some(())
    });
    let is_logged = logged.await.is_some();
    print_elections(site, !is_logged);
    assert!(is_logged, "{event} at instance {index} after {EVENT_MS} ms");
}

async fn is_drafted(site: &FleetSite, index: usize, id: &str, adapter: &str) -> bool {
    let answer = site.caller(index).generate("/draft/x", id, adapter).await;
    answer.is_ok_and(|it| it.status == 200)
}

/// Waits until drafts for an adapter that was never asked for are answered at each of some instances.
async fn assert_loaded_again(site: &FleetSite, round: &str, instances: &[usize]) {
    for index in instances {
        let mut attempts = 0;
        let loaded = wait_up_to(LOADED_AGAIN_MS, async || {
            attempts += 1;
            let name = format!("{round}-{index}-{attempts}");
            is_drafted(site, *index, &name, &name).await.then_some(())
        });
        let is_loaded = loaded.await.is_some();
        print_elections(site, !is_loaded);
        assert!(
            is_loaded,
            "{round}: no adapter is loaded at instance {index}"
        );
    }
}

/// Checks that nobody goes on writing to the store.
async fn assert_quiet_store(site: &FleetSite) {
    let before = site.store.write_count();
    sleep(QUIET_TIME).await;
    let writes = site.store.write_count() - before;
    assert!(writes <= MAX_QUIET_WRITES, "{writes} writes");
}

/// Checks that no order reached an engine after one with a larger number.
fn assert_orders_in_turn(site: &FleetSite) {
    for engine in &site.engines {
        let numbers: Vec<u64> = engine.orders().iter().map(|it| it.holder().0).collect();
        assert!(numbers.is_sorted(), "{}: {numbers:?}", engine.id);
    }
    let violations = site.engines.iter().flat_map(FleetServer::order_violations);
    let violations: Vec<String> = violations.collect();
    assert!(violations.is_empty(), "{violations:?}");
}

fn all() -> Vec<usize> {
    (0..INSTANCES).collect()
}

fn all_but(stopped: usize) -> Vec<usize> {
    (0..INSTANCES).filter(|it| *it != stopped).collect()
}

fn adapters_are_loaded_again(not_removed: NotRemoved, beside: Beside) {
    block_on(async {
        let mut site = start_site().await;
        let placer = site.wait_placer().await;
        assert_loaded_again(&site, "before", &all()).await;
        let copy = site.store.copy();
        not_removed.begin(&site);
        lose_links(&site, placer).await;
        let mut asked = all();
        match beside {
            Beside::Nothing => heal_links(&site, placer).await,
            Beside::AnotherLoss => {
                heal_links(&site, placer).await;
                lose_links(&site, placer).await;
                heal_links(&site, placer).await;
            }
            Beside::OlderCopy => {
                let lost = site.store.come_back_from(&copy, WaitingWatches::Cut);
                site.store.write_again(lost);
                heal_links(&site, placer).await;
            }
            Beside::Stop => {
                site.instances[placer].process.terminate();
                asked = all_but(placer);
                wait_for("a placer that has ended", async || {
                    site.instances[placer].process.exit_status()
                })
                .await;
            }
        }
        not_removed.end(&site);
        assert_loaded_again(&site, "after", &asked).await;
        assert_quiet_store(&site).await;
        assert_orders_in_turn(&site);
    });
}

/// Executes the writes without an answer; returns those that concern the placer's record.
fn execute_held(site: &FleetSite) -> Vec<HeldWrite> {
    let executed = site.store.execute_held_writes().into_iter();
    executed.filter(|it| &*it.kind == PLACERS).collect()
}

async fn wait_for_held_removal(site: &FleetSite) {
    wait_for("a removal without an answer", async || {
        (site.store.held_removals(PLACERS) > 0).then_some(())
    })
    .await;
}

fn late_removal_ends_no_later_placer(executed: Executed) {
    block_on(async {
        let mut site = start_site().await;
        let placer = site.wait_placer().await;
        assert_loaded_again(&site, "before", &all()).await;
        site.store.set_writes_held(true);
        lose_links(&site, placer).await;
        wait_for_held_removal(&site).await;
        let mut asked = all();
        match executed {
            Executed::AfterNewRecord => {
                // The record is written in vain too.
                heal_links(&site, placer).await;
                site.store.set_writes_held(false);
                assert_loaded_again(&site, "new-record", &asked).await;
            }
            Executed::AfterSuccessor => {
                site.store.set_writes_held(false);
                site.instances[placer].process.kill();
                asked = all_but(placer);
                assert_loaded_again(&site, "successor", &asked).await;
            }
            Executed::BeforeNewRecord => site.store.set_writes_held(false),
        }
        let record = site.store.spec(PLACERS, "cell-0");
        let writes = execute_held(&site);
        assert!(writes.iter().any(|it| it.is_removal), "{writes:?}");
        if executed == Executed::BeforeNewRecord {
            heal_links(&site, placer).await;
        } else {
            assert!(!writes.iter().any(|it| it.has_taken_effect), "{writes:?}");
            assert_loaded_again(&site, "after", &asked).await;
            assert_eq!(site.store.spec(PLACERS, "cell-0"), record);
        }
        assert_loaded_again(&site, "at-last", &asked).await;
        assert_quiet_store(&site).await;
        assert_orders_in_turn(&site);
    });
}

/// Guards against ten writes a second, without a line in the log, while the store answers a claim and leaves
/// the record as it is.
#[test]
fn claim_without_progress_is_paused_and_logged() {
    block_on(async {
        let site = start_site().await;
        let placer = site.wait_placer().await;
        site.store.limit_writes(0);
        lose_links(&site, placer).await;
        site.store.ignore_replacements(Some(PLACERS));
        heal_links(&site, placer).await;
        site.store.limit_writes(WRITES_PER_S);
        let without_progress = "election_without_progress";
        wait_for_more(&site, placer, without_progress, 0).await;
        let before = site.store.write_count();
        sleep(QUIET_TIME).await;
        let writes = site.store.write_count() - before;
        assert!(writes <= MAX_CLAIMS, "{writes} writes");
        site.store.ignore_replacements(None);
        assert_loaded_again(&site, "after", &all()).await;
    });
}

/// Prints what the instances logged of the placer and their links, for a failed test.
fn print_elections(site: &FleetSite, is_wanted: bool) {
    if !is_wanted {
        return;
    }
    for instance in &site.instances {
        for line in instance.log() {
            let event = line["event"].as_str().unwrap_or_default();
            let prefixes = ["placer_", "links_", "order", "election", "store_"];
            if prefixes.iter().any(|prefix| event.starts_with(prefix)) {
                println!("{}: {line}", instance.name);
            }
        }
    }
}

/// Guards against a former placer that forgets its successor because the answer to its removal comes late, and
/// then takes the role back from it.
#[test]
fn placer_whose_removal_is_answered_late_follows_its_successor() {
    block_on(async {
        let site = start_site().await;
        let placer = site.wait_placer().await;
        assert_loaded_again(&site, "before", &all()).await;
        site.store.delay_write_answers(SLOW_ANSWER);
        site.instance_links[placer].lose(LinkLoss::Reset);
        let successor = wait_for("a successor", async || {
            site.placer_index().filter(|now| *now != placer)
        })
        .await;
        sleep(2 * SLOW_ANSWER).await;
        site.store.delay_write_answers(Duration::ZERO);
        heal_links(&site, placer).await;
        assert_loaded_again(&site, "after", &all()).await;
        print_elections(&site, site.placer_index() != Some(successor));
        assert_eq!(site.placer_index(), Some(successor));
        assert_orders_in_turn(&site);
    });
}
