//! Sites whose servers crash at some requests while the instances are disturbed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::crash::{CrashEnd, CrashPlan, CrashTrigger, RestartId};
use super::site::{FleetOptions, FleetSite};

/// Time after a crash, or after its own disturbance, from which an instance must know what the others
/// know, in milliseconds.
pub const CONTACT_MS: u64 = 3_000;
/// Time for which a server that crashes silently is down, in milliseconds. Its callers give up before.
const SILENT_MS: u64 = 4_000;
/// Time for which a server that closes its connections is down, in milliseconds.
const DOWN_MS: u64 = 1_200;
/// Time after which the store removes the entry of a crashed server, in milliseconds.
const ENTRY_EXPIRY_MS: u64 = 3_000;
/// Time for which requests are answered before they crash servers, in milliseconds.
const SOUND_MS: u64 = 2_500;
/// Shortest time in which requests crash servers before they are answered again, in milliseconds.
const STEP_MS: u64 = 150;
/// Number of answers that the store loses at each disturbance of it.
const LOST_ANSWERS: u32 = 3;

/// What happens while requests that crash servers arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing else.
    Calm,
    /// The placer is killed twice.
    PlacerKilledTwice,
    /// The placer is stopped gracefully twice.
    PlacerStoppedTwice,
    /// The placer is suspended twice, and resumed after it was replaced.
    PlacerFrozenTwice,
    /// All instances are killed and started again.
    AllRestarted,
    /// The same, twice.
    AllRestartedTwice,
    /// The store is down while servers crash.
    StoreDown,
    /// The store loses answers to writes while the placer is killed twice.
    StoreLosesAnswers,
    /// Nothing else, but there are several kinds of such requests.
    SeveralPoisons,
    /// The requests are answered at first.
    SoundAtFirst,
    /// The requests are answered for some time after the first crash, and again after the next.
    AnsweredBetweenCrashes,
}

/// Disturbs the instances of a site under a condition, step by step.
#[derive(Debug)]
pub struct Disturber {
    condition: Condition,
    start: Instant,
    /// Start of the current step, in milliseconds since the start.
    previous_ms: u64,
    /// End of the current step, in milliseconds since the start.
    now_ms: u64,
    /// The latest disturbance of each instance that was disturbed.
    disturbed: HashMap<usize, Disturbed>,
}

/// A disturbance of an instance.
#[derive(Clone, Copy, Debug)]
struct Disturbed {
    at: Instant,
    /// Whether the instance has ended.
    has_ended: bool,
}

/// Starts a site of four instances, six engines and four plain servers, which crash at some requests.
pub async fn start_crashing_site(
    trigger: CrashTrigger,
    end: CrashEnd,
    restart: RestartId,
) -> FleetSite {
    let site = FleetSite::start(FleetOptions {
        instances: 4,
        engines: 6,
        plain_servers: 4,
        ..FleetOptions::default()
    })
    .await;
    let plan = CrashPlan {
        trigger,
        end,
        restart,
        down_ms: if end.is_silent() { SILENT_MS } else { DOWN_MS },
        entry_expiry_ms: ENTRY_EXPIRY_MS,
    };
    for server in site.engines.iter().chain(&site.plain_servers) {
        server.crash_on(plan);
    }
    site
}

impl Disturber {
    /// Creates one whose time starts now.
    pub fn start(condition: Condition, site: &FleetSite) -> Self {
        suspend_crashes(site, condition == Condition::SoundAtFirst);
        Self {
            condition,
            start: Instant::now(),
            previous_ms: 0,
            now_ms: 0,
            disturbed: HashMap::new(),
        }
    }

    /// Begins the next step; returns the time since the start, in milliseconds.
    pub fn advance(&mut self) -> u64 {
        let elapsed_ms = self.start.elapsed().as_millis();
        self.previous_ms = self.now_ms;
        self.now_ms = u64::try_from(elapsed_ms).expect("a short time");
        self.now_ms
    }

    /// Returns whether a time falls into this step. Each time falls into one step, however long the
    /// steps take.
    fn reaches(&self, at_ms: u64) -> bool {
        (self.previous_ms..self.now_ms).contains(&at_ms)
    }

    /// Records that an instance was disturbed.
    fn mark_disturbed(&mut self, instance: usize, has_ended: bool) {
        let disturbed = Disturbed {
            at: Instant::now(),
            has_ended,
        };
        self.disturbed.insert(instance, disturbed);
    }

    /// Returns the instances that have not ended.
    pub fn live_instances(&self, site: &FleetSite) -> Vec<usize> {
        let has_ended = |index: &usize| {
            let disturbed = self.disturbed.get(index);
            disturbed.is_some_and(|it| it.has_ended)
        };
        let instances = 0..site.instances.len();
        instances.filter(|it| !has_ended(it)).collect()
    }

    /// Returns whether an instance runs and was not disturbed within [`CONTACT_MS`].
    pub fn is_in_contact(&self, instance: usize) -> bool {
        let contact = Duration::from_millis(CONTACT_MS);
        let disturbed = self.disturbed.get(&instance);
        disturbed.is_none_or(|it| !it.has_ended && it.at.elapsed() > contact)
    }

    /// Makes the disturbances of this step.
    pub async fn disturb(&mut self, site: &mut FleetSite) {
        match self.condition {
            Condition::PlacerKilledTwice | Condition::StoreLosesAnswers
                if self.reaches(1_000) || self.reaches(6_000) =>
            {
                if self.condition == Condition::StoreLosesAnswers {
                    site.store.lose_answers(LOST_ANSWERS);
                }
                let placer = site.wait_placer().await;
                site.instances[placer].process.kill();
                self.mark_disturbed(placer, true);
            }
            Condition::PlacerStoppedTwice if self.reaches(1_000) || self.reaches(6_000) => {
                let placer = site.wait_placer().await;
                site.instances[placer].process.terminate();
                self.mark_disturbed(placer, true);
            }
            Condition::PlacerFrozenTwice if self.reaches(1_000) || self.reaches(6_000) => {
                let placer = site.wait_placer().await;
                site.instances[placer].process.freeze();
                self.mark_disturbed(placer, false);
            }
            Condition::PlacerFrozenTwice if self.reaches(4_500) || self.reaches(9_500) => {
                for instance in self.disturbed.clone().into_keys() {
                    site.instances[instance].process.thaw();
                    self.mark_disturbed(instance, false);
                }
            }
            Condition::AllRestarted | Condition::AllRestartedTwice
                if self.reaches(5_500)
                    || self.condition == Condition::AllRestartedTwice && self.reaches(9_500) =>
            {
                self.restart_all(site);
            }
            Condition::StoreDown if self.reaches(300) => site.store.set_down(true),
            Condition::StoreDown if self.reaches(6_000) => {
                site.store.set_down(false);
                for index in 0..site.instances.len() {
                    self.mark_disturbed(index, false);
                }
            }
            Condition::SoundAtFirst if self.reaches(SOUND_MS) => suspend_crashes(site, false),
            Condition::AnsweredBetweenCrashes => self.answer_between_crashes(site),
            _ => {}
        }
    }

    /// Answers the requests from the end of each of the first two steps in which they crash servers.
    fn answer_between_crashes(&self, site: &FleetSite) {
        if self.reaches(0) || self.reaches(SOUND_MS) {
            suspend_crashes(site, true);
        }
        if self.reaches(SOUND_MS - STEP_MS) || self.reaches(2 * SOUND_MS) {
            suspend_crashes(site, false);
        }
    }

    fn restart_all(&mut self, site: &mut FleetSite) {
        for instance in &mut site.instances {
            instance.process.kill();
        }
        for index in 0..site.instances.len() {
            site.restart(index);
            self.mark_disturbed(index, false);
        }
    }
}

fn suspend_crashes(site: &FleetSite, is_suspended: bool) {
    for server in site.engines.iter().chain(&site.plain_servers) {
        server.suspend_crashes(is_suspended);
    }
}

/// Returns the log lines of all instances about crashes and quarantine.
pub fn quarantine_log(site: &FleetSite) -> String {
    const EVENTS: [&str; 11] = [
        "links_lost",
        "links_regained",
        "refused",
        "placer_started",
        "placer_changed",
        "suspects_changed",
        "request_broken",
        "crash_observed",
        "crash_undecided",
        "quarantine_received",
        "attempt_failed",
    ];
    let is_relevant = |line: &Value| EVENTS.iter().any(|event| line["event"] == *event);
    let logs = site.instances.iter().map(|instance| {
        let lines = instance.log().into_iter().filter(is_relevant);
        let lines: Vec<String> = lines.map(|line| line.to_string()).collect();
        format!("{}\n{}", instance.name, lines.join("\n"))
    });
    logs.collect::<Vec<_>>().join("\n")
}
