//! Permit of one request to run on an owned backend server.

use std::sync::Arc;

use mimosabay_core::name::Name;
use mimosabay_core::queue::Ticket;
use mimosabay_core::request::{Ran, Refusal, Usage};

use crate::instance::Instance;
use crate::orders;
use crate::owner::OwnedServer;

/// Outcome of a run, which decides when its position in the batch is freed.
#[derive(Clone, Copy)]
pub(crate) enum RunOutcome {
    /// The run finished and used this many tokens.
    Finished { used_tokens: u64 },
    /// The run did not start.
    NotRun,
    /// The run may still be in progress.
    InDoubt,
}

/// Parameters of the dispatch that the queue has granted.
pub(crate) struct Grant {
    /// Handle of the adapter.
    pub(crate) handle: Name,
    /// Priority at the engine.
    pub(crate) priority: i32,
}

/// Permit to send one request to the server. Dropping it frees the position in the batch.
pub(crate) struct DispatchPermit {
    pub(crate) instance: Arc<Instance>,
    pub(crate) server: Arc<OwnedServer>,
    pub(crate) ticket: Ticket,
    pub(crate) grant: Grant,
    pub(crate) request_id: Name,
    /// Outcome of the run; [`RunOutcome::InDoubt`] until it is known.
    pub(crate) outcome: RunOutcome,
}

/// A request in the queue. Dropping it while it waits removes the request.
pub(crate) struct QueueEntry {
    pub(crate) instance: Arc<Instance>,
    pub(crate) server: Arc<OwnedServer>,
    pub(crate) ticket: Ticket,
    pub(crate) is_waiting: bool,
}

impl RunOutcome {
    pub(crate) fn finished(usage: &Usage) -> Self {
        Self::Finished {
            used_tokens: usage.total_tokens(),
        }
    }

    pub(crate) fn from_refusal(refusal: &Refusal) -> Self {
        if refusal.ran == Ran::No {
            Self::NotRun
        } else {
            Self::InDoubt
        }
    }
}

impl QueueEntry {
    pub(crate) fn into_permit(mut self, grant: Grant, request_id: Name) -> DispatchPermit {
        self.is_waiting = false;
        DispatchPermit {
            instance: self.instance.clone(),
            server: self.server.clone(),
            ticket: self.ticket,
            grant,
            request_id,
            outcome: RunOutcome::InDoubt,
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        if !self.is_waiting {
            return;
        }
        if !self.server.cancel(self.ticket) {
            // The dispatch was granted after the request had stopped waiting for it.
            let ticket = self.ticket;
            self.server.update_queue(&self.instance, |queue, now_ms| {
                queue.on_finished(ticket, now_ms)
            });
        }
    }
}

impl Drop for DispatchPermit {
    fn drop(&mut self) {
        let ticket = self.ticket;
        let used_tokens = match self.outcome {
            RunOutcome::Finished { used_tokens } => Some(used_tokens),
            RunOutcome::NotRun => Some(0),
            RunOutcome::InDoubt => None,
        };
        if let Some(used_tokens) = used_tokens {
            self.server.update_queue(&self.instance, |queue, now_ms| {
                queue.on_finished_with_usage(ticket, used_tokens, now_ms)
            });
            return;
        }
        // The position stays occupied until the server has confirmed that the run has ended,
        // because its adapter must not be evicted before.
        let run = orders::UnconfirmedRun {
            server: self.server.clone(),
            ticket,
            request_id: self.request_id.clone(),
        };
        tokio::spawn(orders::cancel_run(self.instance.clone(), run));
    }
}
