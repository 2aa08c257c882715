//! Checks that servers receive no more requests than the limits that they state.

use std::collections::HashMap;
use std::time::Instant;

use super::checker::Violation;
use super::elapsed_ms;
use super::load::SentRequest;
use super::plan::{Fault, Strike};
use crate::fleet::{CONTACT_MS, FleetServer, FleetSite, ReceivedRequest};

/// The faults of a soak, as far as they excuse requests beyond a limit.
pub(super) struct LimitCheck<'a> {
    /// All injected faults.
    pub(super) injections: &'a [Strike],
    /// Number of instances.
    pub(super) instances: usize,
    /// Start of the soak.
    pub(super) started: Instant,
}

impl LimitCheck<'_> {
    /// Returns the violations of all servers. Requests from an instance that was ended or suspended
    /// shortly before do not count, and neither do servers that crashed, whose limits end.
    pub(super) fn run(&self, site: &FleetSite, sent: &[SentRequest]) -> Vec<Violation> {
        let instances: HashMap<&str, usize> = sent
            .iter()
            .map(|request| (&*request.id, request.instance))
            .collect();
        let is_counted = |request: &ReceivedRequest| {
            let instance = instances.get(&*request.id);
            instance.is_none_or(|it| self.has_run_on(*it, request.arrived))
        };
        let servers: Vec<&FleetServer> = site.engines.iter().chain(&site.plain_servers).collect();
        let sound = servers.iter().enumerate().filter(|(index, _)| {
            let mut crashes = self.strikes(Fault::ServerCrash);
            !crashes.any(|strike| strike.target % servers.len() == *index)
        });
        let violations = sound.flat_map(|(_, server)| server.limit_violations(is_counted));
        violations
            .map(|details| Violation::new("stated limits", details))
            .collect()
    }

    /// Returns whether an instance was neither ended nor suspended within the contact time.
    fn has_run_on(&self, instance: usize, at: Instant) -> bool {
        let at_ms = elapsed_ms(self.started, at);
        let faults = [Fault::Kill, Fault::Freeze, Fault::Stop];
        let mut strikes = faults.into_iter().flat_map(|fault| self.strikes(fault));
        !strikes.any(|strike| {
            strike.target % self.instances == instance
                && (strike.at_ms..=strike.end_ms() + CONTACT_MS).contains(&at_ms)
        })
    }

    fn strikes(&self, fault: Fault) -> impl Iterator<Item = &Strike> {
        self.injections
            .iter()
            .filter(move |strike| strike.fault == fault)
    }
}
