//! Injects the planned faults and ends them.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::checker::Violation;
use super::crashing_part::start_crashing;
use super::plan::{Fault, Strike};
use crate::fleet::{
    Behaviour, FleetServer, FleetSite, InstanceLinks, LinkLoss, StoreCopy, WRITES_PER_S,
    WaitingWatches,
};
use crate::harness::Relay;

/// Grace period of an instance for a stop, in seconds.
pub(super) const GRACE_S: u64 = 5;
/// Time from the stop signal to a process until it is started again, in milliseconds.
pub(super) const STOP_MS: u64 = GRACE_S * 1_000 + 500;
/// Number of requests that a misbehaving server handles wrongly.
const MISBEHAVING_REQUESTS: usize = 4;
/// Zone that is evacuated.
pub(super) const EVACUATED_ZONE: &str = "zone-2";
/// Time beyond that of a leaving server after which nothing is sent to an evacuated zone, in milliseconds.
const EVACUATION_EXTRA_MS: u64 = 3_000;
/// Time for which an engine says that it is cold, in milliseconds.
const COLD_MS: u64 = 2_000;
/// Number of writes whose answers the store loses.
const LOST_ANSWERS: u32 = 3;
/// Time from the end of a fault until the store executes the writes that it has not answered.
const LATE_WRITES: Duration = Duration::from_millis(1_200);
/// Ways in which instances lose their links to the servers.
const LINK_LOSSES: [LinkLoss; 3] = [LinkLoss::Reset, LinkLoss::NewRefused, LinkLoss::Hang];
/// Limits that servers state, in requests a second.
const LIMITS_PER_S: [f64; 5] = [0.5, 1.1, 2.0, 5.0, 20.0];

/// A period in which a server was registered as leaving.
#[derive(Clone, Debug)]
pub(super) struct DrainPeriod {
    /// Id of the server.
    pub(super) server: String,
    /// Begin of the period.
    pub(super) since: Instant,
    /// End of the period.
    pub(super) until: Instant,
    /// Whether no other fault could keep instances from learning that the server is leaving.
    pub(super) is_observable: bool,
}

/// A process that was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoppingProcess {
    pid: u32,
    /// Time of the signal, in milliseconds from the start of the soak.
    at_ms: u64,
}

/// Injects faults into a site.
pub(super) struct FaultInjector<'a> {
    site: &'a mut FleetSite,
    started: Instant,
    version: u64,
    /// Processes that were told to stop, with the time of the first signal, by the index of their
    /// instance.
    stopping: HashMap<usize, StoppingProcess>,
    /// Processes that were suspended.
    frozen_pids: HashSet<u32>,
    /// Senders of requests that crash servers.
    crashing: JoinSet<()>,
    /// Copies from which the store comes back, oldest first.
    store_copies: VecDeque<StoreCopy>,
    /// Whether the store has come back from a copy.
    has_returned: bool,
    /// Violations that only the processes show.
    violations: Vec<Violation>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Begin,
    End,
}

impl<'a> FaultInjector<'a> {
    pub(super) fn new(site: &'a mut FleetSite, started: Instant) -> Self {
        Self {
            site,
            started,
            version: 1,
            stopping: HashMap::new(),
            frozen_pids: HashSet::new(),
            crashing: JoinSet::new(),
            store_copies: VecDeque::new(),
            has_returned: false,
            violations: Vec::new(),
        }
    }

    /// Injects all faults at their times, ends them and restores the site. Returns the drain periods
    /// and the violations seen.
    pub(super) async fn run(mut self, injections: &[Strike]) -> (Vec<DrainPeriod>, Vec<Violation>) {
        let mut steps: Vec<(u64, Phase, Strike)> = Vec::new();
        for injection in injections {
            steps.push((injection.at_ms, Phase::Begin, *injection));
            steps.push((injection.end_ms(), Phase::End, *injection));
        }
        steps.sort_by_key(|(at_ms, phase, _)| (*at_ms, *phase));
        for (at_ms, phase, injection) in steps {
            let at = self.started + Duration::from_millis(at_ms);
            sleep_until(at.into()).await;
            match phase {
                Phase::Begin => self.begin_fault(&injection),
                Phase::End => self.end_fault(&injection),
            }
        }
        self.restore_all();
        (self.drain_periods(injections), self.violations)
    }

    fn begin_fault(&mut self, injection: &Strike) {
        let site = &mut *self.site;
        let instance = injection.target % site.instances.len();
        let process = &mut site.instances[instance].process;
        match injection.fault {
            Fault::Kill => process.kill(),
            Fault::Freeze => {
                self.frozen_pids.insert(process.pid());
                process.freeze();
            }
            Fault::Stop => self.begin_stop(instance, injection.at_ms),
            Fault::HangUp => process.hang_up(),
            Fault::StoreLinkCut => site.store_relays[instance].cut(),
            Fault::StoreLinkSilent => site.store_relays[instance].silence(),
            Fault::StoreConnectionsSilent => {
                site.store_relays.iter().for_each(Relay::silence_open);
            }
            Fault::StoreDown => site.store.set_down(true),
            Fault::StoreLosesAnswers => site.store.lose_answers(LOST_ANSWERS),
            Fault::StoreRefusesWrites => site.store.limit_writes(0),
            Fault::StoreExecutesLate => site.store.set_writes_held(true),
            Fault::StoreForgets => site.store.compact(),
            Fault::StoreReturnsOlder => self.store_copies.push_back(site.store.copy()),
            Fault::ServerLinkCut => self.server_link(injection).cut(),
            Fault::ServerLinkSilent => self.server_link(injection).silence(),
            Fault::ServerCrash => self.server(injection).plan(Behaviour::Crash),
            Fault::ServerLosesAnswers => self.misbehave(injection, Behaviour::LoseAnswer),
            Fault::ServerBreaks => self.misbehave(injection, Behaviour::BreakAfter(2)),
            Fault::ServerRejects => self.misbehave(injection, Behaviour::Reject),
            Fault::ServerFails => self.misbehave(injection, Behaviour::Fail),
            Fault::ServerAnswersAnother => self.misbehave(injection, Behaviour::AnswerWithWrongId),
            Fault::ServerHangs => self.server(injection).plan(Behaviour::Hang),
            Fault::ServerDrains => self.server(injection).register("draining"),
            Fault::ServerPauses => self.server(injection).set_paused(true),
            Fault::ServerStatesLimit => self.state_limit(injection),
            Fault::PromptPartCrashesServers => {
                self.crashing = start_crashing(self.site, injection.target);
            }
            Fault::ServerLinksLost => {
                let loss = LINK_LOSSES[injection.target % LINK_LOSSES.len()];
                site.instance_links[instance].lose(loss);
            }
            Fault::Configuration => self.publish_configuration(),
            Fault::ZoneEvacuated => site.store.evacuate(EVACUATED_ZONE, true),
        }
    }

    fn end_fault(&mut self, injection: &Strike) {
        let instance = injection.target % self.site.instances.len();
        match injection.fault {
            Fault::Kill => self.start_if_ended(instance),
            Fault::Stop => self.end_stop(instance, injection.at_ms),
            Fault::Freeze => self.site.instances[instance].process.thaw(),
            Fault::StoreLinkCut | Fault::StoreLinkSilent => self.site.store_relays[instance].heal(),
            Fault::StoreDown => self.site.store.set_down(false),
            Fault::StoreRefusesWrites => self.site.store.limit_writes(WRITES_PER_S),
            Fault::StoreExecutesLate => self.execute_late(),
            Fault::StoreReturnsOlder => self.return_from_copy(),
            Fault::ServerLinkCut | Fault::ServerLinkSilent => self.server_link(injection).heal(),
            Fault::ServerDrains => self.end_drain(injection),
            Fault::ServerPauses => self.server(injection).set_paused(false),
            Fault::ServerStatesLimit => self.server(injection).state_limit(None),
            Fault::PromptPartCrashesServers => self.crashing.abort_all(),
            Fault::ServerLinksLost => self.site.instance_links[instance].heal(),
            Fault::ZoneEvacuated => self.take_zone_back(),
            _ => {}
        }
    }

    /// Has the store answer writes again, and execute those without an answer some time later.
    fn execute_late(&self) {
        let store = self.site.store.clone();
        store.set_writes_held(false);
        tokio::spawn(async move {
            sleep(LATE_WRITES).await;
            store.execute_held_writes();
        });
    }

    /// Brings the store back from the oldest copy; the operator and the servers write again at once.
    fn return_from_copy(&mut self) {
        if let Some(copy) = self.store_copies.pop_front() {
            let store = &self.site.store;
            let lost = store.come_back_from(&copy, WaitingWatches::Cut);
            store.write_again(lost);
            self.has_returned = true;
        }
    }

    /// Makes a server ready again. A server that drained while the store came back from an older copy
    /// leaves for good, so another start takes its place.
    fn end_drain(&self, injection: &Strike) {
        let server = self.server(injection);
        if self.has_returned {
            server.restart();
        } else {
            server.register("ready");
        }
    }

    fn take_zone_back(&self) {
        for engine in in_evacuated_zone(&self.site.engines) {
            engine.state_cold(COLD_MS);
        }
        self.site.store.evacuate(EVACUATED_ZONE, false);
    }

    fn state_limit(&self, injection: &Strike) {
        let limit_per_s = LIMITS_PER_S[injection.target % LIMITS_PER_S.len()];
        self.server(injection).state_limit(Some(limit_per_s));
    }

    fn restore_all(&mut self) {
        self.site.store.set_down(false);
        self.site.store.limit_writes(WRITES_PER_S);
        self.execute_late();
        let links = self
            .site
            .store_relays
            .iter()
            .chain(&self.site.server_relays);
        links.for_each(Relay::heal);
        self.site
            .instance_links
            .iter()
            .for_each(InstanceLinks::heal);
        for server in self.site.engines.iter().chain(&self.site.plain_servers) {
            server.clear_plan();
            server.set_paused(false);
            server.state_limit(None);
            server.register("ready");
        }
        for index in 0..self.site.instances.len() {
            self.site.instances[index].process.thaw();
            self.start_if_ended(index);
        }
    }

    fn begin_stop(&mut self, index: usize, at_ms: u64) {
        let process = &mut self.site.instances[index].process;
        let pid = process.pid();
        let was_told = self.stopping.get(&index).is_some_and(|it| it.pid == pid);
        if !was_told && process.exit_status().is_none() {
            self.stopping.insert(index, StoppingProcess { pid, at_ms });
        }
        process.terminate();
    }

    /// Ends the stop that began at `at_ms` as the platform does: a process that still runs is killed,
    /// and the instance starts again.
    fn end_stop(&mut self, index: usize, at_ms: u64) {
        let instance = &mut self.site.instances[index];
        let pid = instance.process.pid();
        let is_running = instance.process.exit_status().is_none();
        if is_running && self.stopping.get(&index) != Some(&StoppingProcess { pid, at_ms }) {
            // The process was started after this stop, or told to stop before it.
            return;
        }
        if is_running && !self.frozen_pids.contains(&pid) {
            let name = &instance.name;
            let what = format!("{name} still runs {STOP_MS} ms after the signal to stop");
            self.violations.push(Violation::new("stops in time", what));
        }
        self.site.restart(index);
    }

    fn start_if_ended(&mut self, instance: usize) {
        if self.site.instances[instance]
            .process
            .exit_status()
            .is_some()
        {
            self.site.restart(instance);
        }
    }

    fn misbehave(&self, injection: &Strike, behaviour: Behaviour) {
        let server = self.server(injection);
        for _ in 0..MISBEHAVING_REQUESTS {
            server.plan(behaviour);
        }
    }

    /// Publishes a version of the configuration that only adds a route.
    fn publish_configuration(&mut self) {
        self.version += 1;
        let version = self.version;
        self.site.configure(version, |configuration| {
            let routes = configuration["routes"].as_array_mut().expect("routes");
            let mut added = routes[0].clone();
            added["name"] = json!(format!("added-{version}"));
            added["pathPrefix"] = json!(format!("/added-{version}/"));
            routes.push(added);
        });
    }

    fn server(&self, injection: &Strike) -> &FleetServer {
        let site = &*self.site;
        let index = injection.target % (site.engines.len() + site.plain_servers.len());
        let mut servers = site.engines.iter().chain(&site.plain_servers);
        servers.nth(index).expect("a server of that number")
    }

    fn server_link(&self, injection: &Strike) -> &Relay {
        &self.site.server_relays[injection.target % self.site.server_relays.len()]
    }

    fn drain_periods(&self, injections: &[Strike]) -> Vec<DrainPeriod> {
        let drains = injections
            .iter()
            .filter(|injection| injection.fault == Fault::ServerDrains);
        let at = |ms| self.started + Duration::from_millis(ms);
        let drain = |drain: &Strike| DrainPeriod {
            server: self.server(drain).id.to_string(),
            since: at(drain.at_ms),
            until: at(drain.end_ms()),
            is_observable: injections.iter().all(|other| !may_hide_drain(other, drain)),
        };
        let mut periods: Vec<DrainPeriod> = drains.map(drain).collect();
        for evacuation in injections
            .iter()
            .filter(|injection| injection.fault == Fault::ZoneEvacuated)
        {
            let site = &*self.site;
            let servers =
                in_evacuated_zone(&site.engines).chain(in_evacuated_zone(&site.plain_servers));
            periods.extend(servers.map(|server| {
                DrainPeriod {
                    server: server.id.to_string(),
                    since: at(evacuation.at_ms + EVACUATION_EXTRA_MS),
                    until: at(evacuation.end_ms()),
                    is_observable: injections
                        .iter()
                        .all(|other| !may_hide_drain(other, evacuation)),
                }
            }));
        }
        periods
    }
}

/// Returns the servers in the zone that is evacuated.
pub(super) fn in_evacuated_zone(servers: &[FleetServer]) -> impl Iterator<Item = &FleetServer> {
    servers.iter().skip(1).step_by(2)
}

/// Time after a fault during which instances may not have received all changes, in milliseconds.
const RECONTACT_MS: u64 = 3_000;

/// Returns whether another fault may keep an instance from learning that a server is leaving, or may
/// change what the server registers.
fn may_hide_drain(other: &Strike, drain: &Strike) -> bool {
    let is_other_drain = other.fault == Fault::ServerDrains && other != drain;
    let may_hide = is_other_drain
        || matches!(
            other.fault,
            Fault::Kill
                | Fault::Freeze
                | Fault::Stop
                | Fault::StoreLinkCut
                | Fault::StoreLinkSilent
                | Fault::StoreConnectionsSilent
                | Fault::StoreDown
                | Fault::StoreLosesAnswers
                | Fault::StoreForgets
                | Fault::ServerCrash
        );
    may_hide && other.at_ms < drain.end_ms() && other.end_ms() + RECONTACT_MS > drain.at_ms
}
