//! Checks a history against the guarantees that callers have.

use std::collections::HashMap;

use mimosabay_core::once::{DuplicateResponse, KeyId, RecordedAnswer, Ticket};
use mimosabay_core::request::Ran;

pub(crate) struct ReceivedRequest {
    key: KeyId,
    fingerprint: u64,
    dispatched: bool,
    pub(crate) response: Option<DuplicateResponse>,
}

struct Run {
    ticket: Ticket,
    key: KeyId,
    at_ms: u64,
    answer: Option<RecordedAnswer>,
}

/// The requests and runs of a history.
pub(crate) struct Oracle {
    window_ms: u64,
    pub(crate) requests: HashMap<Ticket, ReceivedRequest>,
    runs: Vec<Run>,
}

impl Oracle {
    pub(crate) fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            requests: HashMap::new(),
            runs: Vec::new(),
        }
    }

    pub(crate) fn runs(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn record_request(&mut self, ticket: Ticket, key: KeyId, fingerprint: u64) {
        let request = ReceivedRequest {
            key,
            fingerprint,
            dispatched: false,
            response: None,
        };
        self.requests.insert(ticket, request);
    }

    pub(crate) fn check_dispatch(&mut self, ticket: Ticket, now_ms: u64) -> Result<(), String> {
        let request = self
            .requests
            .get_mut(&ticket)
            .expect("request was recorded");
        if request.dispatched || request.response.is_some() {
            return Err(format!(
                "request {ticket} dispatched again or after its response"
            ));
        }
        request.dispatched = true;
        let key = request.key.clone();
        let same_key_in_window = |run: &&Run| run.key == key && run.at_ms + self.window_ms > now_ms;
        if let Some(run) = self.runs.iter().find(same_key_in_window) {
            return Err(format!(
                "requests {ticket} and {} both ran {key:?}",
                run.ticket
            ));
        }
        self.runs.push(Run {
            ticket,
            key,
            at_ms: now_ms,
            answer: None,
        });
        Ok(())
    }

    pub(crate) fn record_answer(&mut self, ticket: Ticket, answer: &RecordedAnswer) {
        for run in &mut self.runs {
            if run.ticket == ticket {
                run.answer = Some(answer.clone());
            }
        }
    }

    /// Removes the run of a dispatched request that the backend server did not run.
    pub(crate) fn remove_run(&mut self, ticket: Ticket) {
        self.runs.retain(|run| run.ticket != ticket);
    }

    pub(crate) fn check_response(
        &mut self,
        ticket: Ticket,
        response: &DuplicateResponse,
    ) -> Result<(), String> {
        let request = self
            .requests
            .get_mut(&ticket)
            .expect("request was recorded");
        if request.dispatched || request.response.is_some() {
            return Err(format!("request {ticket} answered twice"));
        }
        request.response = Some(response.clone());
        let mut same_key = self.runs.iter().filter(|run| run.key == request.key);
        match response {
            DuplicateResponse::Recorded(answer) => {
                let run = same_key
                    .find(|run| run.answer.as_ref() == Some(answer))
                    .ok_or_else(|| {
                        format!("request {ticket} got an answer that no run produced")
                    })?;
                if self.requests[&run.ticket].fingerprint != self.requests[&ticket].fingerprint {
                    return Err(format!("request {ticket} got an answer to different work"));
                }
                Ok(())
            }
            DuplicateResponse::Refused(refusal)
                if refusal.ran == Ran::Yes && same_key.next().is_none() =>
            {
                Err(format!(
                    "request {ticket} is reported as run, but no run has its key"
                ))
            }
            DuplicateResponse::Refused(_) | DuplicateResponse::Running(_) => Ok(()),
        }
    }
}
