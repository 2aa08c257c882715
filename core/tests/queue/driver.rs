//! Runs a queue against a simulated server and checks each step.

use std::collections::BTreeMap;

use mimosabay_core::name::{AdapterVersion, Name};
use mimosabay_core::queue::{
    Action, QueueSettings, ServerLimits, ServerQueue, Ticket, WaitingRequest,
};
use mimosabay_core::request::Code;

use crate::oracle::{Event, Oracle};

pub(crate) fn model(adapter: &str) -> AdapterVersion {
    AdapterVersion {
        adapter: Name::from(adapter),
        version: Name::from("v1"),
    }
}

pub(crate) fn request(ticket: Ticket, organisation: &str, adapter: &str) -> WaitingRequest {
    WaitingRequest {
        ticket,
        organisation: Name::from(organisation),
        weight: 1,
        model: model(adapter),
        cost_tokens: 100,
        deadline_ms: u64::MAX,
    }
}

/// A queue with its simulated server.
pub(crate) struct Driver {
    pub(crate) queue: ServerQueue,
    pub(crate) oracle: Oracle,
    pub(crate) now_ms: u64,
    pub(crate) loading: Vec<AdapterVersion>,
    pub(crate) evicted: Vec<AdapterVersion>,
    /// Tickets of the running requests, in the order of their dispatch.
    pub(crate) running: Vec<Ticket>,
    pub(crate) dispatched: Vec<Ticket>,
    pub(crate) refused: BTreeMap<Ticket, (Code, u64)>,
}

impl Driver {
    pub(crate) fn new(limits: ServerLimits, settings: QueueSettings) -> Self {
        Self {
            queue: ServerQueue::with_settings(limits, settings),
            oracle: Oracle::new(limits),
            now_ms: 0,
            loading: Vec::new(),
            evicted: Vec::new(),
            running: Vec::new(),
            dispatched: Vec::new(),
            refused: BTreeMap::new(),
        }
    }

    pub(crate) fn enqueue(&mut self, request: WaitingRequest) {
        self.check_event(&Event::Enqueued(request.ticket, request.model.clone()));
        let actions = self.queue.enqueue(request, self.now_ms);
        self.apply_actions(actions);
    }

    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        if self.queue.cancel(ticket) {
            self.check_event(&Event::Cancelled(ticket));
        }
        self.apply_actions(Vec::new());
    }

    /// Ends the `index`-th pending load.
    pub(crate) fn end_load(&mut self, index: usize, is_success: bool) {
        let model = self.loading.remove(index);
        let actions = if is_success {
            self.check_event(&Event::Loaded(model.clone()));
            self.queue.on_loaded(&model, self.now_ms)
        } else {
            self.check_event(&Event::LoadFailed(model.clone()));
            self.queue.on_load_failed(&model, self.now_ms)
        };
        self.apply_actions(actions);
    }

    /// Ends all pending loads, including those that start meanwhile.
    pub(crate) fn end_loads(&mut self) {
        while !self.loading.is_empty() {
            self.end_load(0, true);
        }
    }

    /// Ends the `index`-th running request.
    pub(crate) fn finish(&mut self, index: usize) {
        let ticket = self.running.remove(index);
        self.check_event(&Event::Finished(ticket));
        let actions = self.queue.on_finished(ticket, self.now_ms);
        self.apply_actions(actions);
    }

    /// Ends the `index`-th running request, which used `used_tokens`.
    pub(crate) fn finish_with(&mut self, index: usize, used_tokens: u64) {
        let ticket = self.running.remove(index);
        self.check_event(&Event::Finished(ticket));
        let actions = self
            .queue
            .on_finished_with_usage(ticket, used_tokens, self.now_ms);
        self.apply_actions(actions);
    }

    pub(crate) fn restart(&mut self) {
        self.check_event(&Event::Restarted);
        self.running.clear();
        let actions = self.queue.on_restarted(self.now_ms);
        self.apply_actions(actions);
    }

    pub(crate) fn grant_load(&mut self) {
        let actions = self.queue.on_load_granted(self.now_ms);
        self.apply_actions(actions);
    }

    pub(crate) fn advance_time(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        let actions = self.queue.tick(self.now_ms);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.check_event(&Event::Acted(action.clone()));
            match action {
                Action::Load { model } => self.loading.push(model),
                Action::Evict { model } => self.evicted.push(model),
                Action::Dispatch { ticket, .. } => {
                    self.running.push(ticket);
                    self.dispatched.push(ticket);
                }
                Action::Refuse {
                    ticket,
                    code,
                    retry_after_ms,
                } => {
                    self.refused.insert(ticket, (code, retry_after_ms));
                }
            }
        }
        let counts = (self.queue.waiting(), self.queue.running());
        let result = self.oracle.check_counts(counts.0, counts.1);
        assert_eq!(result, Ok(()), "{counts:?}");
    }

    fn check_event(&mut self, event: &Event) {
        assert_eq!(self.oracle.check(event), Ok(()), "{event:?}");
    }
}
