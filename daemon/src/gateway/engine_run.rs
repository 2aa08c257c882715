//! The run of a request at one engine.

use std::sync::Arc;

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{EndedRun, RunOutcome, Ticket};
use mimosabay_core::name::Name;
use mimosabay_core::work::Work;

use super::crash_probe::{self, RunEnd};
use super::state::State;

/// The placer's forecast of the first event of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// Forecast time from the placement request to the first event, in milliseconds.
    pub(super) first_event_ms: u64,
    /// Time from the placement request to its response, in milliseconds.
    pub(super) waited_ms: u64,
}

/// A request at one server. Dropping it reports its end to the placer.
pub(crate) struct Run {
    state: Arc<State>,
    ticket: Ticket,
    work: Work,
    pub(crate) server: Name,
    /// The server's entry; `None` until the request is sent.
    backend: Option<Arc<Backend>>,
    sent_ms: u64,
    /// Time of the last data from the server, or of sending, in milliseconds. Invariant: at least
    /// `sent_ms`, plus `first_event_ms` if that is set.
    last_data_ms: u64,
    forecast: Option<Forecast>,
    first_event_ms: Option<u64>,
    outcome: RunOutcome,
}

impl Run {
    /// Creates the run of a request that waits for a placement.
    pub(super) fn new(state: &Arc<State>, ticket: Ticket, work: Work) -> Self {
        Self {
            state: state.clone(),
            ticket,
            work,
            server: "".into(),
            backend: None,
            sent_ms: state.now_ms(),
            last_data_ms: state.now_ms(),
            forecast: None,
            first_event_ms: None,
            outcome: RunOutcome::Cancelled,
        }
    }

    /// Sets the placer's forecast of the first event.
    pub(super) fn set_forecast(&mut self, forecast: Forecast) {
        self.forecast = Some(forecast);
    }

    /// Records that the request is sent to a server now.
    pub(super) fn mark_sent(&mut self, backend: &Arc<Backend>) {
        self.sent_ms = self.state.now_ms();
        self.last_data_ms = self.sent_ms;
        self.backend = Some(backend.clone());
    }

    /// Software version of the server, if it is known.
    pub(crate) fn software_version(&self) -> Option<&Name> {
        self.backend.as_ref()?.software_version.as_ref()
    }

    /// Records the arrival of data.
    pub(crate) fn record_data(&mut self) {
        self.last_data_ms = self.state.now_ms();
        self.state.server_links.record_data();
        if self.first_event_ms.is_none() {
            let time_ms = self.last_data_ms - self.sent_ms;
            self.state.metrics.observe_first_event_time(time_ms);
            if let Some(forecast) = self.forecast {
                let time_ms = forecast.waited_ms + time_ms;
                let metrics = &self.state.metrics;
                metrics.observe_forecast(forecast.first_event_ms, time_ms);
            }
            self.first_event_ms = Some(time_ms);
        }
    }

    /// Time from sending to the first event, in milliseconds.
    pub(crate) fn first_event_ms(&self) -> Option<u64> {
        self.first_event_ms
    }

    /// Time since the last data from the server, or since sending, in milliseconds.
    pub(crate) fn silent_ms(&self) -> u64 {
        self.state.now_ms() - self.last_data_ms
    }

    pub(super) fn as_ended(&self) -> EndedRun {
        EndedRun {
            ticket: self.ticket,
            outcome: self.reported_outcome(),
            first_event_ms: self.first_event_ms,
            streamed_ms: self.streamed_ms(),
        }
    }

    /// The outcome as it is reported to the placer. What an instance without links cannot reach is no
    /// failure of the server.
    fn reported_outcome(&self) -> RunOutcome {
        match self.outcome {
            RunOutcome::Unreachable | RunOutcome::Broken if self.state.server_links.are_lost() => {
                RunOutcome::Cancelled
            }
            outcome => outcome,
        }
    }

    /// Time from the first to the last data of the server, in milliseconds.
    fn streamed_ms(&self) -> u64 {
        match self.first_event_ms {
            Some(first_event_ms) => self.last_data_ms - self.sent_ms - first_event_ms,
            None => 0,
        }
    }

    /// Records how the request ended at its server, which may have crashed.
    fn record_end(&self) {
        let Some(backend) = &self.backend else {
            return;
        };
        let silent_ms = self.silent_ms();
        let end = match self.outcome {
            RunOutcome::Answered => RunEnd::Answered {
                sent_ms: self.sent_ms,
            },
            RunOutcome::Broken => RunEnd::Broken,
            RunOutcome::Cancelled => RunEnd::Abandoned { silent_ms },
            RunOutcome::Failed
            | RunOutcome::NotHeld
            | RunOutcome::Rejected
            | RunOutcome::Unreachable => return,
        };
        let work = match end {
            RunEnd::Answered { .. } => self.work.clone(),
            RunEnd::Broken | RunEnd::TimedOut | RunEnd::Abandoned { .. } => {
                self.work.interrupted_after(self.streamed_ms())
            }
        };
        crash_probe::record_run_end(&self.state, &work, backend, end);
    }

    /// Sets the outcome, which is reported when the run is dropped.
    pub(crate) fn set_outcome(&mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.record_end();
        self.state.link.end_run(self.as_ended());
    }
}
