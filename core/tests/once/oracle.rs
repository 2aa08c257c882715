//! Judges a history by the promises that callers have.

use std::collections::HashMap;

use mimosabay_core::once::{KeyId, RecordedAnswer, Ticket, Verdict};
use mimosabay_core::request::Ran;

pub(crate) struct Asked {
    key: KeyId,
    fingerprint: u64,
    dispatched: bool,
    pub(crate) verdict: Option<Verdict>,
}

struct Run {
    ticket: Ticket,
    key: KeyId,
    at_ms: u64,
    answer: Option<RecordedAnswer>,
}

/// A history so far.
pub(crate) struct Oracle {
    window_ms: u64,
    pub(crate) asked: HashMap<Ticket, Asked>,
    runs: Vec<Run>,
}

impl Oracle {
    pub(crate) fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            asked: HashMap::new(),
            runs: Vec::new(),
        }
    }

    pub(crate) fn runs(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn asked(&mut self, ticket: Ticket, key: KeyId, fingerprint: u64) {
        let asked = Asked {
            key,
            fingerprint,
            dispatched: false,
            verdict: None,
        };
        self.asked.insert(ticket, asked);
    }

    pub(crate) fn dispatched(&mut self, ticket: Ticket, now_ms: u64) -> Result<(), String> {
        let asked = self.asked.get_mut(&ticket).expect("asked before");
        if asked.dispatched || asked.verdict.is_some() {
            return Err(format!("request {ticket} dispatched after its end"));
        }
        asked.dispatched = true;
        let key = asked.key.clone();
        let twice = |run: &&Run| run.key == key && run.at_ms + self.window_ms > now_ms;
        if let Some(run) = self.runs.iter().find(twice) {
            return Err(format!("{ticket} and {} both ran {key:?}", run.ticket));
        }
        self.runs.push(Run {
            ticket,
            key,
            at_ms: now_ms,
            answer: None,
        });
        Ok(())
    }

    pub(crate) fn finished(&mut self, ticket: Ticket, answer: &RecordedAnswer) {
        for run in &mut self.runs {
            if run.ticket == ticket {
                run.answer = Some(answer.clone());
            }
        }
    }

    /// The backend server certainly did not run a request that was dispatched.
    pub(crate) fn not_run(&mut self, ticket: Ticket) {
        self.runs.retain(|run| run.ticket != ticket);
    }

    pub(crate) fn answered(&mut self, ticket: Ticket, verdict: &Verdict) -> Result<(), String> {
        let asked = self.asked.get_mut(&ticket).expect("asked before");
        if asked.dispatched || asked.verdict.is_some() {
            return Err(format!("request {ticket} answered twice"));
        }
        asked.verdict = Some(verdict.clone());
        let mut same_key = self.runs.iter().filter(|run| run.key == asked.key);
        match verdict {
            Verdict::Recorded(answer) => {
                let run = same_key
                    .find(|run| run.answer.as_ref() == Some(answer))
                    .ok_or_else(|| format!("request {ticket} got an answer of no run"))?;
                if self.asked[&run.ticket].fingerprint != self.asked[&ticket].fingerprint {
                    return Err(format!("request {ticket} got an answer to other work"));
                }
                Ok(())
            }
            Verdict::Refused(refusal) if refusal.ran == Ran::Yes && same_key.next().is_none() => {
                Err(format!("request {ticket} is said to have run"))
            }
            Verdict::Refused(_) | Verdict::Running(_) => Ok(()),
        }
    }
}
