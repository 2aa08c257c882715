//! Brings faults about, and ends them.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep_until;

use super::plan::{Fault, Strike};
use crate::fleet::{Behaviour, FleetServer, FleetSite};
use crate::harness::Relay;

/// Time that an instance has to stop, in seconds.
pub(super) const GRACE_S: u64 = 5;
/// Time after which a process that was asked to stop is started again, in milliseconds.
pub(super) const STOP_MS: u64 = GRACE_S * 1_000 + 500;
/// Requests that a misbehaving server treats so.
const MISBEHAVIOURS: usize = 4;
/// Writes whose answers the store loses.
const LOST_ANSWERS: u32 = 3;

/// A server that was said to be leaving.
#[derive(Clone, Debug)]
pub(super) struct Drain {
    /// Its identifier.
    pub(super) server: String,
    /// Since when.
    pub(super) since: Instant,
    /// Until when.
    pub(super) until: Instant,
    /// Whether nothing else struck that keeps instances from knowing it.
    pub(super) is_calm: bool,
}

/// Brings faults about at a site.
pub(super) struct Executor<'a> {
    site: &'a mut FleetSite,
    began: Instant,
    version: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Begin,
    End,
}

impl<'a> Executor<'a> {
    pub(super) fn new(site: &'a mut FleetSite, began: Instant) -> Self {
        Self {
            site,
            began,
            version: 1,
        }
    }

    /// Plays all faults and leaves the site healthy.
    pub(super) async fn run(mut self, strikes: &[Strike]) -> Vec<Drain> {
        let mut steps: Vec<(u64, Phase, Strike)> = Vec::new();
        for strike in strikes {
            steps.push((strike.at_ms, Phase::Begin, *strike));
            steps.push((strike.end_ms(), Phase::End, *strike));
        }
        steps.sort_by_key(|(at_ms, phase, _)| (*at_ms, *phase));
        for (at_ms, phase, strike) in steps {
            let at = self.began + Duration::from_millis(at_ms);
            sleep_until(at.into()).await;
            match phase {
                Phase::Begin => self.begin(&strike),
                Phase::End => self.end(&strike),
            }
        }
        self.heal();
        self.drains(strikes)
    }

    fn begin(&mut self, strike: &Strike) {
        let site = &mut *self.site;
        let instance = strike.target % site.instances.len();
        let process = &mut site.instances[instance].process;
        match strike.fault {
            Fault::Kill => process.kill(),
            Fault::Freeze => process.freeze(),
            Fault::Stop => process.terminate(),
            Fault::HangUp => process.hang_up(),
            Fault::StoreLinkCut => site.store_relays[instance].cut(),
            Fault::StoreLinkSilent => site.store_relays[instance].silence(),
            Fault::StoreConnectionsSilent => {
                site.store_relays.iter().for_each(Relay::silence_open);
            }
            Fault::StoreDown => site.store.set_down(true),
            Fault::StoreLosesAnswers => site.store.lose_answers(LOST_ANSWERS),
            Fault::StoreForgets => site.store.compact(),
            Fault::ServerLinkCut => self.server_link(strike).cut(),
            Fault::ServerLinkSilent => self.server_link(strike).silence(),
            Fault::ServerCrash => self.server(strike).plan(Behaviour::Crash),
            Fault::ServerLosesAnswers => self.misbehave(strike, Behaviour::LoseAnswer),
            Fault::ServerBreaks => self.misbehave(strike, Behaviour::BreakAfter(2)),
            Fault::ServerRejects => self.misbehave(strike, Behaviour::Reject),
            Fault::ServerFails => self.misbehave(strike, Behaviour::Fail),
            Fault::ServerAnswersAnother => self.misbehave(strike, Behaviour::AnswerWithWrongId),
            Fault::ServerHangs => self.server(strike).plan(Behaviour::Hang),
            Fault::ServerDrains => self.server(strike).register("draining"),
            Fault::Configuration => self.configure(),
        }
    }

    fn end(&mut self, strike: &Strike) {
        let instance = strike.target % self.site.instances.len();
        match strike.fault {
            Fault::Kill | Fault::Stop => self.start_if_ended(instance),
            Fault::Freeze => self.site.instances[instance].process.thaw(),
            Fault::StoreLinkCut | Fault::StoreLinkSilent => self.site.store_relays[instance].mend(),
            Fault::StoreDown => self.site.store.set_down(false),
            Fault::ServerLinkCut | Fault::ServerLinkSilent => self.server_link(strike).mend(),
            Fault::ServerDrains => self.server(strike).register("ready"),
            _ => {}
        }
    }

    fn heal(&mut self) {
        self.site.store.set_down(false);
        let links = self
            .site
            .store_relays
            .iter()
            .chain(&self.site.server_relays);
        links.for_each(Relay::mend);
        for server in self.site.engines.iter().chain(&self.site.plain_servers) {
            server.clear_plan();
            server.register("ready");
        }
        for index in 0..self.site.instances.len() {
            self.site.instances[index].process.thaw();
            self.start_if_ended(index);
        }
    }

    fn start_if_ended(&mut self, instance: usize) {
        if self.site.instances[instance].process.ended().is_some() {
            self.site.restart(instance);
        }
    }

    fn misbehave(&self, strike: &Strike, behaviour: Behaviour) {
        let server = self.server(strike);
        for _ in 0..MISBEHAVIOURS {
            server.plan(behaviour);
        }
    }

    /// A version that only adds a route.
    fn configure(&mut self) {
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

    fn server(&self, strike: &Strike) -> &FleetServer {
        let site = &*self.site;
        let index = strike.target % (site.engines.len() + site.plain_servers.len());
        let mut servers = site.engines.iter().chain(&site.plain_servers);
        servers.nth(index).expect("a server of that number")
    }

    fn server_link(&self, strike: &Strike) -> &Relay {
        &self.site.server_relays[strike.target % self.site.server_relays.len()]
    }

    fn drains(&self, strikes: &[Strike]) -> Vec<Drain> {
        let drains = strikes
            .iter()
            .filter(|strike| strike.fault == Fault::ServerDrains);
        let at = |ms| self.began + Duration::from_millis(ms);
        let drain = |drain: &Strike| Drain {
            server: self.server(drain).id.to_string(),
            since: at(drain.at_ms),
            until: at(drain.end_ms()),
            is_calm: strikes.iter().all(|other| !hides(other, drain)),
        };
        drains.map(drain).collect()
    }
}

/// Time after a fault in which instances may not know all, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Whether a fault may keep an instance from knowing that a server is leaving, or says something else
/// of that server.
fn hides(other: &Strike, drain: &Strike) -> bool {
    let is_other_drain = other.fault == Fault::ServerDrains && other != drain;
    let is_hiding = is_other_drain
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
    is_hiding && other.at_ms < drain.end_ms() && other.end_ms() + CONTACT_MS > drain.at_ms
}
