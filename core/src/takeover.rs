//! Takeover of the adapters that a new owner finds in a backend server.
//!
//! The previous owner may be dead, may be finishing its runs, or may be frozen and still act as the
//! owner when it resumes. These cases cannot be distinguished, so no decision depends on which holds:
//!
//! - A server that checks fencing numbers rejects every order of an earlier owner once the new owner
//!   has raised the number. The new owner uses the loaded adapters at once. A report that carries
//!   the new owner's number was made after its claim: only this owner can start requests on an
//!   adapter that the report shows idle, so the adapter may be evicted.
//! - A server that does not check fencing numbers accepts orders from any owner. Each owner uses only
//!   the handles that it loaded itself. It evicts an adapter of another process only after that
//!   process has certainly terminated and reports have shown the adapter idle for longer than
//!   reports lag.

use std::collections::{HashMap, HashSet};

use crate::handle::Handle;
use crate::name::{AdapterVersion, InstanceId, Name};

/// Upper bound of the lag of a server's report.
pub const REPORT_LAG_MS: u64 = 5_000;

crate::record! {
    /// State of the adapters in a server, from one report.
    pub struct ReportedAdapters {
        /// Largest fencing number that the server had accepted when the report was made.
        pub fencing: u64,
        /// Loaded handles.
        pub handles: Vec<Name>,
        /// Handles on which requests were running.
        pub running: Vec<Name>,
    }

    /// Actions of the owner after a report.
    #[derive(Default)]
    pub struct Plan {
        /// Found adapters that the owner uses from now on, with their handles.
        pub adopt: Vec<(AdapterVersion, Name)>,
        /// Adopted adapters that may be evicted from now on.
        pub evictable: Vec<AdapterVersion>,
        /// Handles to unload.
        pub unload: Vec<Name>,
        /// Number of slots taken by adapters that this owner may neither use nor evict.
        pub reserved_slots: usize,
    }
}

/// State of an owner's takeover of one server.
#[derive(Clone, Debug)]
pub struct Takeover {
    own_id: InstanceId,
    checks_fencing: bool,
    /// Time since which reports have shown each unused handle idle, in milliseconds.
    idle_since_ms: HashMap<Name, u64>,
    /// Adopted adapters that may not be evicted yet.
    pinned: HashSet<AdapterVersion>,
}

impl Takeover {
    /// Creates the state before the first report. `checks_fencing` is whether the server rejects orders
    /// with an old fencing number.
    pub fn new(own_id: InstanceId, checks_fencing: bool) -> Self {
        Self {
            own_id,
            checks_fencing,
            idle_since_ms: HashMap::new(),
            pinned: HashSet::new(),
        }
    }

    /// Decides the actions after a report. `fencing` is the number of this owner's claim, `known`
    /// holds the handles that it uses or loads, and `has_terminated` returns whether a process has
    /// certainly terminated.
    pub fn decide(
        &mut self,
        report: &ReportedAdapters,
        fencing: u64,
        known: &HashMap<AdapterVersion, Name>,
        has_terminated: impl Fn(&InstanceId) -> bool,
        now_ms: u64,
    ) -> Plan {
        self.idle_since_ms
            .retain(|handle, _| report.handles.contains(handle));
        let mut plan = Plan::default();
        for name in &report.handles {
            let Some(handle) = Handle::parse(name) else {
                plan.reserved_slots += 1;
                continue;
            };
            let is_idle = self.is_idle(report, name, &handle, fencing, &has_terminated, now_ms);
            if known.get(&handle.model) == Some(name) {
                self.unpin_if_idle(&handle.model, is_idle, &mut plan);
            } else if self.may_adopt(&handle, known, &plan) {
                self.pinned.insert(handle.model.clone());
                plan.adopt.push((handle.model.clone(), name.clone()));
                self.unpin_if_idle(&handle.model, is_idle, &mut plan);
            } else if is_idle {
                plan.unload.push(name.clone());
            } else {
                plan.reserved_slots += 1;
            }
        }
        plan
    }

    /// Resets the state after a restart of the server, which has unloaded all adapters.
    pub fn on_server_restart(&mut self) {
        self.idle_since_ms.clear();
        self.pinned.clear();
    }

    fn unpin_if_idle(&mut self, model: &AdapterVersion, is_idle: bool, plan: &mut Plan) {
        if is_idle && self.pinned.remove(model) {
            plan.evictable.push(model.clone());
        }
    }

    fn may_adopt(
        &self,
        handle: &Handle,
        known: &HashMap<AdapterVersion, Name>,
        plan: &Plan,
    ) -> bool {
        let is_unused = !known.contains_key(&handle.model)
            && plan.adopt.iter().all(|(model, _)| *model != handle.model);
        is_unused && self.checks_fencing
    }

    /// Returns whether no request runs on the handle and no other owner can start one.
    fn is_idle(
        &mut self,
        report: &ReportedAdapters,
        name: &Name,
        handle: &Handle,
        fencing: u64,
        has_terminated: impl Fn(&InstanceId) -> bool,
        now_ms: u64,
    ) -> bool {
        if report.running.contains(name) {
            self.idle_since_ms.remove(name);
            return false;
        }
        if self.checks_fencing {
            return report.fencing == fencing;
        }
        if handle.loader != self.own_id && !has_terminated(&handle.loader) {
            self.idle_since_ms.remove(name);
            return false;
        }
        let since_ms = *self.idle_since_ms.entry(name.clone()).or_insert(now_ms);
        now_ms >= since_ms + REPORT_LAG_MS
    }
}
