//! What a new owner may do with the adapters that it finds in a backend server.
//!
//! The owner before it may be dead, may be finishing its runs, or may be frozen and believe that it
//! still owns the server. Which of these holds cannot be told, so that nothing rests on it:
//!
//! - A server that checks fencing numbers rejects every order of an earlier owner once the new one
//!   has raised the number. The new owner uses what is loaded at once. A report that carries its
//!   own number was made after the claim: an adapter that it shows idle stays idle but for this
//!   owner, and may be evicted.
//! - A server that does not check them obeys anyone. Each owner uses only the handles that it
//!   loaded itself, and an adapter of another process is evicted only once that process is
//!   certainly gone and the report has shown the adapter idle for longer than reports lag.

use std::collections::{HashMap, HashSet};

use crate::handle::Handle;
use crate::name::{AdapterVersion, InstanceId, Name};

/// Bound on how much a server's report lags behind what happens.
pub const REPORT_LAG_MS: u64 = 5_000;

crate::record! {
    /// What a report says of the adapters in a server.
    pub struct Seen {
        /// Largest fencing number that the server had accepted when the report was made.
        pub fencing: u64,
        /// Handles that were loaded.
        pub handles: Vec<Name>,
        /// Handles that requests were running on.
        pub running: Vec<Name>,
    }

    /// What the owner does after a report.
    #[derive(Default)]
    pub struct Plan {
        /// Adapters to use from now on, with their handles.
        pub adopt: Vec<(AdapterVersion, Name)>,
        /// Adapters in use here that were found and may be evicted from now on.
        pub evictable: Vec<AdapterVersion>,
        /// Handles to unload.
        pub unload: Vec<Name>,
        /// Slots that are taken by adapters which this owner may neither use nor evict.
        pub reserved_slots: usize,
    }
}

/// What the owner of a server knows of the adapters that it found there.
#[derive(Clone, Debug)]
pub struct Takeover {
    me: InstanceId,
    checks_fencing: bool,
    /// Since when each handle of others has been shown idle.
    idle_since_ms: HashMap<Name, u64>,
    /// Adapters that were adopted and may not be evicted yet.
    pinned: HashSet<AdapterVersion>,
}

impl Takeover {
    /// Starts with nothing found.
    pub fn new(me: InstanceId, checks_fencing: bool) -> Self {
        Self {
            me,
            checks_fencing,
            idle_since_ms: HashMap::new(),
            pinned: HashSet::new(),
        }
    }

    /// Decides after a report. `fencing` is the number of this owner's claim, `known` the handles
    /// that it uses or loads, `is_gone` tells whether a process is certainly gone.
    pub fn decide(
        &mut self,
        seen: &Seen,
        fencing: u64,
        known: &HashMap<AdapterVersion, Name>,
        is_gone: impl Fn(&InstanceId) -> bool,
        now_ms: u64,
    ) -> Plan {
        self.idle_since_ms
            .retain(|handle, _| seen.handles.contains(handle));
        let mut plan = Plan::default();
        for name in &seen.handles {
            let Some(handle) = Handle::parse(name) else {
                plan.reserved_slots += 1;
                continue;
            };
            let is_idle = self.is_idle(seen, name, &handle, fencing, &is_gone, now_ms);
            if known.get(&handle.model) == Some(name) {
                self.unpin(&handle.model, is_idle, &mut plan);
            } else if self.is_usable(&handle, known, &plan) {
                self.pinned.insert(handle.model.clone());
                plan.adopt.push((handle.model.clone(), name.clone()));
                self.unpin(&handle.model, is_idle, &mut plan);
            } else if is_idle {
                plan.unload.push(name.clone());
            } else {
                plan.reserved_slots += 1;
            }
        }
        plan
    }

    /// The server has lost its memory.
    pub fn restarted(&mut self) {
        self.idle_since_ms.clear();
        self.pinned.clear();
    }

    fn unpin(&mut self, model: &AdapterVersion, is_idle: bool, plan: &mut Plan) {
        if is_idle && self.pinned.remove(model) {
            plan.evictable.push(model.clone());
        }
    }

    fn is_usable(
        &self,
        handle: &Handle,
        known: &HashMap<AdapterVersion, Name>,
        plan: &Plan,
    ) -> bool {
        let is_new = !known.contains_key(&handle.model)
            && plan.adopt.iter().all(|(model, _)| *model != handle.model);
        is_new && self.checks_fencing
    }

    /// Whether no request runs on the handle and none of another owner can start to.
    fn is_idle(
        &mut self,
        seen: &Seen,
        name: &Name,
        handle: &Handle,
        fencing: u64,
        is_gone: impl Fn(&InstanceId) -> bool,
        now_ms: u64,
    ) -> bool {
        if seen.running.contains(name) {
            self.idle_since_ms.remove(name);
            return false;
        }
        if self.checks_fencing {
            return seen.fencing == fencing;
        }
        if handle.loader != self.me && !is_gone(&handle.loader) {
            self.idle_since_ms.remove(name);
            return false;
        }
        let since_ms = *self.idle_since_ms.entry(name.clone()).or_insert(now_ms);
        now_ms >= since_ms + REPORT_LAG_MS
    }
}
