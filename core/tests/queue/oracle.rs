//! Checks the history of a queue independently of its code.

use std::collections::{HashMap, HashSet};

use mimosabay_core::name::AdapterVersion;
use mimosabay_core::queue::{Action, ServerLimits, Ticket};

/// An event at the queue.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Enqueued(Ticket, AdapterVersion),
    Cancelled(Ticket),
    Loaded(AdapterVersion),
    LoadFailed(AdapterVersion),
    Finished(Ticket),
    Restarted,
    Acted(Action),
}

/// An invariant that the queue violated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    UnknownTicket,
    EvictedInUse,
    EvictedWhileLoading,
    EvictedAbsent,
    LoadedTwice,
    TooManySlots,
    TooLargeBatch,
    DispatchedWithoutAdapter,
    Lost,
}

#[derive(Debug)]
pub(crate) struct Oracle {
    limits: ServerLimits,
    waiting: HashMap<Ticket, AdapterVersion>,
    running: HashMap<Ticket, AdapterVersion>,
    loading: HashSet<AdapterVersion>,
    loaded: HashSet<AdapterVersion>,
}

impl Oracle {
    pub(crate) fn new(limits: ServerLimits) -> Self {
        Self {
            limits,
            waiting: HashMap::new(),
            running: HashMap::new(),
            loading: HashSet::new(),
            loaded: HashSet::new(),
        }
    }

    pub(crate) fn check(&mut self, event: &Event) -> Result<(), Fault> {
        match event {
            Event::Enqueued(ticket, model) => {
                self.waiting.insert(*ticket, model.clone());
            }
            Event::Cancelled(ticket) => self.remove_waiting(*ticket)?,
            Event::Loaded(model) => {
                self.loading.remove(model);
                self.loaded.insert(model.clone());
            }
            Event::LoadFailed(model) => {
                self.loading.remove(model);
            }
            Event::Finished(ticket) => {
                self.running.remove(ticket);
            }
            Event::Restarted => {
                self.running.clear();
                self.loaded.clear();
            }
            Event::Acted(action) => self.check_action(action)?,
        }
        Ok(())
    }

    /// Checks that the queue counts as many waiting and running requests as the history contains.
    pub(crate) fn check_counts(&self, waiting: usize, running: usize) -> Result<(), Fault> {
        let counts_match = waiting == self.waiting.len() && running == self.running.len();
        counts_match.then_some(()).ok_or(Fault::Lost)
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Result<(), Fault> {
        let removed = self.waiting.remove(&ticket);
        removed.map(drop).ok_or(Fault::UnknownTicket)
    }

    fn check_action(&mut self, action: &Action) -> Result<(), Fault> {
        match action {
            Action::Load { model } => self.check_load(model),
            Action::Evict { model } => self.check_eviction(model),
            Action::Dispatch { ticket, .. } => self.check_dispatch(*ticket),
            Action::Refuse { ticket, .. } => self.remove_waiting(*ticket),
        }
    }

    fn check_load(&mut self, model: &AdapterVersion) -> Result<(), Fault> {
        if self.loaded.contains(model) || !self.loading.insert(model.clone()) {
            return Err(Fault::LoadedTwice);
        }
        if self.loading.len() + self.loaded.len() > self.limits.slots {
            return Err(Fault::TooManySlots);
        }
        Ok(())
    }

    fn check_eviction(&mut self, model: &AdapterVersion) -> Result<(), Fault> {
        if self.running.values().any(|running| running == model) {
            return Err(Fault::EvictedInUse);
        }
        if self.loading.contains(model) {
            return Err(Fault::EvictedWhileLoading);
        }
        let is_present = self.loaded.remove(model);
        is_present.then_some(()).ok_or(Fault::EvictedAbsent)
    }

    fn check_dispatch(&mut self, ticket: Ticket) -> Result<(), Fault> {
        let model = self.waiting.remove(&ticket).ok_or(Fault::UnknownTicket)?;
        if !self.loaded.contains(&model) {
            return Err(Fault::DispatchedWithoutAdapter);
        }
        self.running.insert(ticket, model);
        if self.running.len() > self.limits.batch {
            return Err(Fault::TooLargeBatch);
        }
        Ok(())
    }
}

/// Tests that the oracle detects histories that violate an invariant.
mod broken_histories {
    use super::{Event, Fault, Oracle};
    use crate::driver::model;
    use mimosabay_core::queue::{Action, ServerLimits};
    use mimosabay_core::request::Code;

    fn load(name: &str) -> Event {
        Event::Acted(Action::Load { model: model(name) })
    }

    fn evict(name: &str) -> Event {
        Event::Acted(Action::Evict { model: model(name) })
    }

    fn dispatch(ticket: u64) -> Event {
        Event::Acted(Action::Dispatch {
            ticket,
            priority: 0,
        })
    }

    fn refuse(ticket: u64) -> Event {
        Event::Acted(Action::Refuse {
            ticket,
            code: Code::Timeout,
            retry_after_ms: 1,
        })
    }

    fn enqueued(ticket: u64, name: &str) -> Event {
        Event::Enqueued(ticket, model(name))
    }

    fn loaded(name: &str) -> Event {
        Event::Loaded(model(name))
    }

    fn is_detected(events: &[Event], expected: Fault) {
        let limits = ServerLimits { slots: 1, batch: 1 };
        let mut oracle = Oracle::new(limits);
        let (last, before) = events.split_last().expect("a history has events");
        for event in before {
            assert_eq!(oracle.check(event), Ok(()), "{event:?}");
        }
        assert_eq!(oracle.check(last), Err(expected));
    }

    mimosabay_core::cases! {
        is_detected;
        dispatch_of_unknown: (&[dispatch(1)], Fault::UnknownTicket);
        dispatch_twice: (
            &[enqueued(1, "a"), load("a"), loaded("a"), dispatch(1), dispatch(1)],
            Fault::UnknownTicket,
        );
        refusal_after_dispatch: (
            &[enqueued(1, "a"), load("a"), loaded("a"), dispatch(1), refuse(1)],
            Fault::UnknownTicket,
        );
        dispatch_while_loading: (
            &[enqueued(1, "a"), load("a"), dispatch(1)],
            Fault::DispatchedWithoutAdapter,
        );
        eviction_in_use: (
            &[enqueued(1, "a"), load("a"), loaded("a"), dispatch(1), evict("a")],
            Fault::EvictedInUse,
        );
        eviction_while_loading: (&[load("a"), evict("a")], Fault::EvictedWhileLoading);
        eviction_of_absent: (&[evict("a")], Fault::EvictedAbsent);
        load_twice: (&[load("a"), loaded("a"), load("a")], Fault::LoadedTwice);
        too_many_slots: (&[load("a"), load("b")], Fault::TooManySlots);
        too_large_batch: (
            &[enqueued(1, "a"), enqueued(2, "a"), load("a"), loaded("a"), dispatch(1), dispatch(2)],
            Fault::TooLargeBatch,
        );
    }

    #[test]
    fn lost_ticket() {
        let mut oracle = Oracle::new(ServerLimits { slots: 1, batch: 1 });
        oracle
            .check(&enqueued(1, "a"))
            .expect("a request may arrive");
        assert_eq!(oracle.check_counts(0, 0), Err(Fault::Lost));
    }
}
