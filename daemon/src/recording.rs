//! Records the answer of a run while it is forwarded.

use mimosabay_core::name::Name;
use mimosabay_core::once::{Body, RecordedAnswer, RunOutcome};
use mimosabay_core::request::{Ran, Refusal, RunEvent, Usage, Work};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Events that are buffered between a run and its recording.
const EVENT_BUFFER: usize = 64;

/// Forwards the events of a run and records its answer.
pub struct Recording {
    task: JoinHandle<Recorded>,
}

/// Recorded answer of a run.
#[derive(Default)]
pub struct Recorded {
    is_plain: bool,
    status: u16,
    content_type: Option<Name>,
    handle: Option<Name>,
    data: Vec<u8>,
}

impl Recording {
    /// Starts to forward events to `reader`; the run sends them to the returned sender.
    pub fn start(reader: mpsc::Sender<RunEvent>) -> (Self, mpsc::Sender<RunEvent>) {
        let (sender, mut events) = mpsc::channel(EVENT_BUFFER);
        let task = tokio::spawn(async move {
            let mut recorded = Recorded::default();
            while let Some(event) = events.recv().await {
                recorded.record_event(&event);
                // The answer is recorded even if its receiver is disconnected.
                let _ = reader.send(event).await;
            }
            recorded
        });
        (Self { task }, sender)
    }

    /// Waits until the run has dropped its sender and returns the recorded answer.
    pub async fn finish(self, work: &Work) -> Recorded {
        // A recording ends with its run and does not panic.
        let recorded = self.task.await.unwrap_or_default();
        Recorded {
            is_plain: matches!(work, Work::Plain { .. }),
            ..recorded
        }
    }
}

impl Recorded {
    /// Converts the result of the run into its outcome for the journal.
    pub fn into_outcome(self, result: &Result<Usage, Refusal>) -> RunOutcome {
        match result {
            Ok(usage) => RunOutcome::Finished(self.into_answer(*usage)),
            Err(refusal) if refusal.ran == Ran::No => RunOutcome::NotRun(refusal.clone()),
            Err(_) => RunOutcome::Unknown,
        }
    }

    fn into_answer(self, usage: Usage) -> RecordedAnswer {
        if self.is_plain {
            return RecordedAnswer::Plain {
                status: self.status,
                content_type: self.content_type.unwrap_or_else(|| "".into()),
                body: Body::new(&self.data),
            };
        }
        RecordedAnswer::Generated {
            handle: self.handle.unwrap_or_else(|| "".into()),
            text: String::from_utf8_lossy(&self.data).into_owned(),
            usage,
        }
    }

    fn record_event(&mut self, event: &RunEvent) {
        match event {
            RunEvent::Started { handle } => self.handle = Some(handle.clone()),
            RunEvent::Head {
                status,
                content_type,
            } => {
                self.status = *status;
                self.content_type = Some(content_type.clone());
            }
            RunEvent::Chunk { data, .. } => self.data.extend_from_slice(data),
            RunEvent::Finished { .. } | RunEvent::Refused { .. } => {}
        }
    }
}
