//! Passes the events of a stream on, and continues a broken stream at another server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use mimosabay_core::attempt::ExecutionStatus;
use mimosabay_core::cell::RunOutcome;
use mimosabay_platform::ingress;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::info;

use super::answer::Answer;
use super::body::{AnswerBody, Interrupted};
use super::engine_request::{self, Attempt, EngineJob};
use super::engine_run::Run;
use super::events::EventSplitter;
use super::exchange::Head;
use super::metrics::Outcome;
use super::state::State;

/// Pieces that wait for a caller that reads slowly.
const PIECES: usize = 8;
/// Silence in the middle of a stream after which its server counts as stuck, in milliseconds.
const STUCK_MS: u64 = 1_500;

/// A stream on its way to the caller.
struct Relay {
    state: Arc<State>,
    work: EngineJob,
    pieces: mpsc::Sender<Result<Bytes, Interrupted>>,
    splitter: EventSplitter,
    /// Identifier of the last event that was passed on.
    last_id: Option<u64>,
    events: u64,
    /// When the last event was passed on, in milliseconds.
    last_event_ms: Option<u64>,
    /// Longest time between two events, in milliseconds.
    longest_pause_ms: u64,
}

/// How the stream of one server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// It is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The time of the request is over.
    TimedOut,
    /// The connection broke, or the server is stuck.
    Broken,
}

/// Answers with the head of the first server, and passes events on in a task of its own.
pub(crate) fn start(state: Arc<State>, work: EngineJob, head: Head, run: Run) -> Answer {
    let (pieces, received) = mpsc::channel(PIECES);
    let mut answer = Response::new(AnswerBody::Pieces(received));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = ingress::caller_headers(&head.headers);
    let relay = Relay {
        state,
        work,
        pieces,
        splitter: EventSplitter::default(),
        last_id: None,
        events: 0,
        last_event_ms: None,
        longest_pause_ms: 0,
    };
    tokio::spawn(relay.run(head, run));
    answer
}

impl Relay {
    async fn run(mut self, mut head: Head, mut run: Run) {
        loop {
            let server = run.server.clone();
            let end = self.follow(head, &mut run).await;
            run.ended(run_end(end));
            info!(
                event = "stream_ended",
                id = %self.work.job.id,
                %server,
                ?end,
                last_id = self.last_id,
                events = self.events,
                first_event_ms = run.first_event_ms(),
                longest_pause_ms = self.longest_pause_ms
            );
            drop(run);
            if end != StreamEnd::Broken {
                self.state.metrics.ended(outcome(end));
                if end == StreamEnd::TimedOut {
                    self.interrupt().await;
                }
                return;
            }
            self.work.attempts.record_failure(ExecutionStatus::Unknown);
            let Some(next) = self.resume().await else {
                self.state.metrics.ended(Outcome::Broken);
                return self.interrupt().await;
            };
            (head, run) = next;
        }
    }

    /// Passes on what one server sends.
    async fn follow(&mut self, head: Head, run: &mut Run) -> StreamEnd {
        let Head {
            mut body, lease, ..
        } = head;
        let deadline = self.state.clock.instant(self.work.job.deadline_ms);
        loop {
            let stuck_at = self.stuck_at(deadline);
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.pieces.closed() => return StreamEnd::CallerLeft,
                () = sleep_until(stuck_at) => {
                    return if stuck_at < deadline { StreamEnd::Broken } else { StreamEnd::TimedOut };
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    run.first_event();
                    if !self.pass_on(&data).await {
                        return StreamEnd::CallerLeft;
                    }
                }
                Some(Err(_)) => return StreamEnd::Broken,
                None => {
                    if !self.splitter.rest().is_empty() {
                        return StreamEnd::Broken;
                    }
                    lease.keep(&self.state);
                    return StreamEnd::Complete;
                }
            }
        }
    }

    /// When the server counts as stuck; not before the deadline if the stream cannot continue.
    fn stuck_at(&self, deadline: Instant) -> Instant {
        let mut next = self.work.attempts.clone();
        next.record_failure(ExecutionStatus::Unknown);
        if next.may_retry() {
            deadline.min(Instant::now() + Duration::from_millis(STUCK_MS))
        } else {
            deadline
        }
    }

    /// Passes whole events on; returns whether the caller is there.
    async fn pass_on(&mut self, data: &[u8]) -> bool {
        let Some(whole) = self.splitter.push(data) else {
            return true;
        };
        self.events += 1;
        self.measure_pause();
        self.last_id = whole.last_id.or(self.last_id);
        self.pieces.send(Ok(whole.bytes)).await.is_ok()
    }

    fn measure_pause(&mut self) {
        let now_ms = self.state.now_ms();
        if let Some(last_ms) = self.last_event_ms.replace(now_ms) {
            self.longest_pause_ms = self.longest_pause_ms.max(now_ms - last_ms);
        }
    }

    /// Continues after the last event at another server.
    async fn resume(&mut self) -> Option<(Head, Run)> {
        self.splitter.clear();
        while engine_request::may_continue(&self.state, &self.work) {
            let left = Duration::from_millis(self.work.job.left_ms(&self.state));
            let next = engine_request::next_head(&self.state, &mut self.work, self.last_id);
            let next = tokio::select! {
                next = timeout(left, next) => next.ok()?,
                () = self.pieces.closed() => return None,
            };
            match next {
                Ok((head, run)) if head.status.is_success() => {
                    info!(
                        event = "stream_resumed",
                        id = %self.work.job.id,
                        server = %run.server,
                        after = self.last_id
                    );
                    return Some((head, run));
                }
                Ok(_) => self.work.attempts.record_failure(ExecutionStatus::Ran),
                Err(Attempt::Failed(_)) => {}
                Err(Attempt::Refused(_)) => return None,
            }
        }
        None
    }

    /// Ends the answer so that it does not look complete.
    async fn interrupt(&mut self) {
        // A caller that has left needs no end.
        let _ = self.pieces.send(Err(Interrupted)).await;
    }
}

fn outcome(end: StreamEnd) -> Outcome {
    match end {
        StreamEnd::Complete => Outcome::Answered,
        StreamEnd::CallerLeft => Outcome::CallerLeft,
        StreamEnd::TimedOut | StreamEnd::Broken => Outcome::Broken,
    }
}

fn run_end(end: StreamEnd) -> RunOutcome {
    match end {
        StreamEnd::Complete => RunOutcome::Answered,
        StreamEnd::CallerLeft | StreamEnd::TimedOut => RunOutcome::Cancelled,
        StreamEnd::Broken => RunOutcome::Broken,
    }
}
