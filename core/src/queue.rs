//! Queue of one backend server, kept by its owner.
//!
//! The owner alone decides which adapters the server holds and which requests it runs, so the
//! state here is the truth about the server's slots and batch.

use std::collections::{HashMap, VecDeque};

use crate::name::{AdapterVersion, Name};
use crate::request::Code;

/// Number of a request in this queue, given by the caller of [`ServerQueue::enqueue`].
pub type Ticket = u64;

crate::record! {
    /// What the server can hold and run.
    #[derive(Copy)]
    pub struct ServerLimits {
        /// Adapters in memory at once.
        pub slots: usize,
        /// Requests that run at once.
        pub batch: usize,
    }

    /// A request that waits for the server.
    pub struct Waiting {
        /// Its number.
        pub ticket: Ticket,
        /// The organisation it is charged to.
        pub organisation: Name,
        /// Weight of the organisation.
        pub weight: u32,
        /// Adapter and version it needs.
        pub model: AdapterVersion,
        /// Upper bound of its tokens.
        pub cost_tokens: u64,
        /// Monotonic time at which it is given up, in milliseconds.
        pub deadline_ms: u64,
    }

    /// What the owner has to do.
    pub enum Action {
        /// Load the adapter; answer with [`ServerQueue::loaded`] or [`ServerQueue::load_failed`].
        Load {
            /// What to load.
            model: AdapterVersion,
        },
        /// Free the adapter's slot. The slot counts as free at once.
        Evict {
            /// What to unload.
            model: AdapterVersion,
        },
        /// Send the request to the server; answer with [`ServerQueue::finished`].
        Dispatch {
            /// Which request.
            ticket: Ticket,
        },
        /// Give the request up; it has not run.
        Refuse {
            /// Which request.
            ticket: Ticket,
            /// Why.
            code: Code,
            /// When a repeat is worth trying, in milliseconds from now.
            retry_after_ms: u64,
        },
    }
}

#[derive(Debug, PartialEq)]
enum Residency {
    Loading,
    Loaded,
}

#[derive(Debug)]
struct Slot {
    residency: Residency,
    /// Requests of this adapter that run. Invariant: an adapter with any is never evicted.
    running: usize,
    /// Whether another owner may still use it.
    is_pinned: bool,
    used_ms: u64,
}

/// Queue, slots and batch of one server.
#[derive(Debug)]
pub struct ServerQueue {
    limits: ServerLimits,
    waiting: VecDeque<Waiting>,
    slots: HashMap<AdapterVersion, Slot>,
    running: HashMap<Ticket, AdapterVersion>,
    /// Slots that adapters of others take.
    reserved: usize,
}

impl ServerQueue {
    /// Builds the queue of a server whose memory is empty.
    pub fn new(limits: ServerLimits) -> Self {
        Self {
            limits,
            waiting: VecDeque::new(),
            slots: HashMap::new(),
            running: HashMap::new(),
            reserved: 0,
        }
    }

    /// Takes in a request.
    pub fn enqueue(&mut self, request: Waiting, now_ms: u64) -> Vec<Action> {
        self.waiting.push_back(request);
        self.advance(now_ms)
    }

    /// An adapter has been loaded.
    pub fn loaded(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.residency = Residency::Loaded;
        }
        self.advance(now_ms)
    }

    /// An adapter could not be loaded; those who wait for it are refused.
    pub fn load_failed(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        self.slots.remove(model);
        let (failed, kept): (VecDeque<_>, VecDeque<_>) = self
            .waiting
            .drain(..)
            .partition(|request| request.model == *model);
        self.waiting = kept;
        let mut actions: Vec<Action> = failed.iter().map(refuse_load).collect();
        actions.extend(self.advance(now_ms));
        actions
    }

    /// A dispatched request has ended, in whichever way.
    pub fn finished(&mut self, ticket: Ticket, now_ms: u64) -> Vec<Action> {
        if let Some(model) = self.running.remove(&ticket)
            && let Some(slot) = self.slots.get_mut(&model)
        {
            slot.running -= 1;
        }
        self.advance(now_ms)
    }

    /// A waiting request is no longer wanted; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.ticket != ticket);
        self.waiting.len() < before
    }

    /// The server restarted with empty memory.
    pub fn restarted(&mut self, now_ms: u64) -> Vec<Action> {
        self.slots
            .retain(|_, slot| slot.residency == Residency::Loading);
        self.running.clear();
        self.advance(now_ms)
    }

    /// Time has passed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.advance(now_ms)
    }

    /// Whether an adapter is being loaded.
    pub fn is_loading(&self, model: &AdapterVersion) -> bool {
        self.slots
            .get(model)
            .is_some_and(|slot| slot.residency == Residency::Loading)
    }

    /// An adapter was found loaded. It is not evicted before [`ServerQueue::set_evictable`].
    pub fn adopt(&mut self, model: AdapterVersion, now_ms: u64) -> Vec<Action> {
        let slot = Slot {
            residency: Residency::Loaded,
            running: 0,
            is_pinned: true,
            used_ms: now_ms,
        };
        self.slots.insert(model, slot);
        self.advance(now_ms)
    }

    /// An adopted adapter may be evicted from now on.
    pub fn set_evictable(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.is_pinned = false;
        }
        self.advance(now_ms)
    }

    /// Slots of the server that adapters of others take.
    pub fn set_reserved(&mut self, slots: usize, now_ms: u64) -> Vec<Action> {
        self.reserved = slots;
        self.advance(now_ms)
    }

    /// The server no longer holds an adapter that it was thought to hold.
    pub fn lost(&mut self, model: &AdapterVersion, now_ms: u64) -> Vec<Action> {
        if self
            .slots
            .get(model)
            .is_some_and(|slot| slot.residency == Residency::Loaded)
        {
            self.slots.remove(model);
        }
        self.advance(now_ms)
    }

    /// Whether any adapter is being loaded.
    pub fn loads_any(&self) -> bool {
        self.slots
            .values()
            .any(|slot| slot.residency == Residency::Loading)
    }

    /// Adapter of a request that runs.
    pub fn model_of(&self, ticket: Ticket) -> Option<&AdapterVersion> {
        self.running.get(&ticket)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn advance(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut kept = VecDeque::new();
        while let Some(request) = self.waiting.pop_front() {
            if request.deadline_ms <= now_ms {
                actions.push(refuse_late(&request));
            } else if self.can_run(&request.model) {
                self.start(&request, now_ms);
                actions.push(Action::Dispatch {
                    ticket: request.ticket,
                });
            } else {
                self.want(&request.model, now_ms, &mut actions);
                kept.push_back(request);
            }
        }
        self.waiting = kept;
        actions
    }

    fn can_run(&self, model: &AdapterVersion) -> bool {
        let loaded = self
            .slots
            .get(model)
            .is_some_and(|slot| slot.residency == Residency::Loaded);
        loaded && self.running.len() < self.limits.batch
    }

    fn start(&mut self, request: &Waiting, now_ms: u64) {
        self.running.insert(request.ticket, request.model.clone());
        if let Some(slot) = self.slots.get_mut(&request.model) {
            slot.running += 1;
            slot.used_ms = now_ms;
        }
    }

    fn want(&mut self, model: &AdapterVersion, now_ms: u64, actions: &mut Vec<Action>) {
        if self.slots.contains_key(model) {
            return;
        }
        if self.slots.len() + self.reserved >= self.limits.slots {
            let Some(victim) = self.idle_longest() else {
                return;
            };
            self.slots.remove(&victim);
            actions.push(Action::Evict { model: victim });
        }
        let slot = Slot {
            residency: Residency::Loading,
            running: 0,
            is_pinned: false,
            used_ms: now_ms,
        };
        self.slots.insert(model.clone(), slot);
        actions.push(Action::Load {
            model: model.clone(),
        });
    }

    fn idle_longest(&self) -> Option<AdapterVersion> {
        let wanted = |model: &AdapterVersion| self.waiting.iter().any(|w| w.model == *model);
        self.slots
            .iter()
            .filter(|(_, slot)| {
                slot.residency == Residency::Loaded && slot.running == 0 && !slot.is_pinned
            })
            .filter(|(model, _)| !wanted(model))
            .min_by_key(|(model, slot)| (slot.used_ms, (*model).clone()))
            .map(|(model, _)| model.clone())
    }
}

fn refuse_load(request: &Waiting) -> Action {
    const RETRY_AFTER_MS: u64 = 2_000;
    Action::Refuse {
        ticket: request.ticket,
        code: Code::LoadFailed,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

fn refuse_late(request: &Waiting) -> Action {
    const RETRY_AFTER_MS: u64 = 1_000;
    Action::Refuse {
        ticket: request.ticket,
        code: Code::Timeout,
        retry_after_ms: RETRY_AFTER_MS,
    }
}
