//! Relays the events of a stream to the caller, and resumes a broken stream at another server.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mimosabay_core::attempt::ExecutionStatus;
use mimosabay_core::cell::{RefusalReason, RunOutcome};
use mimosabay_platform::ingress;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout};
use tracing::info;

use super::answer::{Answer, OwnAnswer};
use super::answer_buffer::TooLarge;
use super::body::{AnswerBody, Chunk};
use super::engine_attempt::EngineAttempt;
use super::engine_request::{self, EngineRequest};
use super::engine_run::Run;
use super::events::{CompleteEvents, EventSplitter};
use super::exchange::ResponseHead;
use super::metrics::Outcome;
use super::state::State;
use super::successor::{self, Awaited, Current};

/// Number of chunks buffered for a caller that reads slowly.
const CHUNK_BUFFER: usize = 8;
/// Range of the time without an event in the middle of a stream after which another server is requested, in
/// milliseconds. A sound server may be silent for a second or two.
const STALL_RANGE_MS: (u64, u64) = (1_500, 2_500);
/// Number of servers that have to end a resumed stream without an event until it counts as complete.
const AGREED_EMPTY_ENDS: u32 = 2;

/// A stream that is relayed to the caller.
struct Relay {
    state: Arc<State>,
    request: EngineRequest,
    chunks: mpsc::Sender<Chunk>,
    /// The answer until its first event has arrived; an error can still be sent instead.
    unsent: Option<UnsentAnswer>,
    splitter: EventSplitter,
    /// The attempt at another server that replaces a silent one.
    successor: Option<EngineAttempt>,
    /// Identifier of the last event that was forwarded.
    last_id: Option<u64>,
    events: u64,
    /// Number of servers that ended the resumed stream without an event.
    empty_ends: u32,
    /// Time at which the last event was forwarded, in milliseconds.
    last_event_ms: Option<u64>,
    /// Longest time between two events, in milliseconds.
    longest_pause_ms: u64,
}

/// What comes next from a server.
enum Received {
    /// Complete events.
    Events(CompleteEvents),
    /// The end of the answer.
    End,
    /// The connection broke.
    Broken,
    /// An event is larger than may be kept.
    TooLarge,
}

/// An answer of which the caller has received nothing.
struct UnsentAnswer {
    answer: Answer,
    sender: oneshot::Sender<Result<Answer, CutReason>>,
}

/// How the stream of one server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The deadline of the request has passed.
    TimedOut,
    /// The server did not complete it.
    Broken(BreakCause),
}

/// Why the stream of a server is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakCause {
    /// The connection broke.
    ConnectionLost,
    /// The stream ended inside an event.
    EndedInsideEvent,
    /// The connection, which alone marks the end of the stream, ended before an event.
    EndedBeforeEvent,
    /// The server was silent, and another one has taken the request.
    Stalled,
    /// An event has no end within the size that may be kept.
    EventTooLarge,
}

impl StreamEnd {
    /// Name in the log.
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "Complete",
            Self::CallerLeft => "CallerLeft",
            Self::TimedOut => "TimedOut",
            Self::Broken(_) => "Broken",
        }
    }

    fn break_cause(self) -> Option<BreakCause> {
        match self {
            Self::Broken(cause) => Some(cause),
            Self::Complete | Self::CallerLeft | Self::TimedOut => None,
        }
    }
}

/// Relays the events in a separate task. Returns the answer once the first event has arrived, or an error
/// if there will be none.
pub(crate) async fn start(
    state: Arc<State>,
    request: EngineRequest,
    head: ResponseHead,
    run: Run,
) -> Answer {
    let (chunks, received) = mpsc::channel(CHUNK_BUFFER);
    let (sender, answer) = oneshot::channel();
    let id = request.job.id.clone();
    let unsent = UnsentAnswer {
        answer: stream_answer(&head, received),
        sender,
    };
    let relay = Relay {
        splitter: EventSplitter::new(state.answer_buffers.add()),
        state,
        request,
        chunks,
        unsent: Some(unsent),
        successor: None,
        last_id: None,
        events: 0,
        empty_ends: 0,
        last_event_ms: None,
        longest_pause_ms: 0,
    };
    tokio::spawn(relay.run(head, run));
    // The sender is only dropped if the relay has failed.
    let answer = answer.await.unwrap_or(Err(CutReason::NoRetry));
    answer.unwrap_or_else(|reason| reason.own_answer().answer(Some(&id)))
}

fn stream_answer(head: &ResponseHead, chunks: mpsc::Receiver<Chunk>) -> Answer {
    let mut answer = Response::new(AnswerBody::Chunks(chunks));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = ingress::caller_headers(&head.headers);
    answer
}

impl Relay {
    async fn run(mut self, mut head: ResponseHead, mut run: Run) {
        loop {
            let server = run.server.clone();
            let end = self.relay_from_server(head, &mut run).await;
            run.set_outcome(run_outcome(end));
            info!(
                event = "stream_ended",
                id = %self.request.job.id,
                %server,
                software_version = run.software_version().map(|it| &**it),
                end = end.name(),
                cause = end.break_cause().map(tracing::field::debug),
                silent_ms = run.silent_ms(),
                last_id = self.last_id,
                events = self.events,
                first_event_ms = run.first_event_ms(),
                longest_pause_ms = self.longest_pause_ms
            );
            drop(run);
            if end.break_cause().is_none() {
                self.state.metrics.count_outcome(request_outcome(end));
                return self.finish(end).await;
            }
            self.request
                .attempts
                .record_failure(ExecutionStatus::Unknown);
            match self.resume().await {
                Ok(next) => {
                    (head, run) = next;
                    self.replace_unsent_head(&head);
                }
                Err(reason) => {
                    self.state.metrics.count_outcome(Outcome::Broken);
                    return self.interrupt(reason);
                }
            }
        }
    }

    /// Relays the events of one server until its stream ends.
    async fn relay_from_server(&mut self, head: ResponseHead, run: &mut Run) -> StreamEnd {
        let events_before = self.events;
        let ends_with_connection = head.ends_with_connection();
        let ResponseHead {
            mut body, guard, ..
        } = head;
        let deadline = sleep_until(self.state.clock.instant(self.request.job.deadline_ms));
        tokio::pin!(deadline);
        let stall_ms = stall_ms(&self.request);
        loop {
            let current = Current {
                server: run.server.clone(),
                stall_ms,
                resume_after: self.last_id,
            };
            let next = next_events(&mut body, &mut self.splitter, run);
            let next = successor::await_or_replace(&self.state, &mut self.request, &current, next);
            let next = tokio::select! {
                next = next => next,
                () = caller_left(&self.chunks, self.unsent.as_mut()) => {
                    return StreamEnd::CallerLeft;
                }
                () = &mut deadline => return StreamEnd::TimedOut,
            };
            match next {
                Awaited::Current(Received::Events(events)) => {
                    if !self.forward_events(events, run).await {
                        return StreamEnd::CallerLeft;
                    }
                }
                Awaited::Current(Received::Broken) => {
                    return StreamEnd::Broken(BreakCause::ConnectionLost);
                }
                Awaited::Current(Received::TooLarge) => {
                    return StreamEnd::Broken(BreakCause::EventTooLarge);
                }
                Awaited::Current(Received::End) => {
                    if !self.splitter.take_rest().is_empty() {
                        return StreamEnd::Broken(BreakCause::EndedInsideEvent);
                    }
                    let is_empty = self.events == events_before;
                    if is_empty && (ends_with_connection || !self.is_empty_end_agreed()) {
                        return StreamEnd::Broken(BreakCause::EndedBeforeEvent);
                    }
                    guard.return_to_pool(&self.state);
                    return StreamEnd::Complete;
                }
                Awaited::Successor(successor) => {
                    self.successor = Some(successor);
                    return StreamEnd::Broken(BreakCause::Stalled);
                }
            }
        }
    }

    /// Whether a server that adds no event to a resumed stream can be believed: another one has added none
    /// either. A stream that has no event at all is the server's whole answer.
    fn is_empty_end_agreed(&mut self) -> bool {
        if self.last_id.is_none() {
            return true;
        }
        self.empty_ends += 1;
        self.empty_ends >= AGREED_EMPTY_ENDS
    }

    /// Forwards complete events; returns whether the caller is still connected.
    async fn forward_events(&mut self, complete: CompleteEvents, run: &Run) -> bool {
        if self.unsent.is_some() {
            self.request
                .record_begun(&self.state, run.software_version());
        }
        self.send_head();
        self.events += 1;
        self.record_pause();
        self.last_id = complete.last_id.or(self.last_id);
        self.chunks.send(Chunk::Data(complete.bytes)).await.is_ok()
    }

    fn record_pause(&mut self) {
        let now_ms = self.state.now_ms();
        if let Some(last_ms) = self.last_event_ms.replace(now_ms) {
            self.longest_pause_ms = self.longest_pause_ms.max(now_ms - last_ms);
        }
    }

    /// Resumes the stream at another server after the last forwarded event.
    async fn resume(&mut self) -> Result<(ResponseHead, Run), CutReason> {
        self.splitter = EventSplitter::new(self.state.answer_buffers.add());
        let left = Duration::from_millis(self.request.job.remaining_ms(&self.state));
        let successor = self.successor.take();
        let next =
            resume_at_another_server(&self.state, &mut self.request, successor, self.last_id);
        tokio::select! {
            next = timeout(left, next) => next.unwrap_or(Err(CutReason::TimedOut)),
            () = caller_left(&self.chunks, self.unsent.as_mut()) => Err(CutReason::CallerLeft),
        }
    }

    async fn finish(mut self, end: StreamEnd) {
        match end {
            StreamEnd::Complete => {
                self.send_head();
                // A caller that has left needs no end.
                let _ = self.chunks.send(Chunk::End).await;
            }
            StreamEnd::TimedOut => self.interrupt(CutReason::TimedOut),
            StreamEnd::CallerLeft | StreamEnd::Broken(_) => {}
        }
    }

    /// Sends the head of the answer if it was not sent yet.
    fn send_head(&mut self) {
        if let Some(unsent) = self.unsent.take() {
            // A caller that has left needs no answer.
            let _ = unsent.sender.send(Ok(unsent.answer));
        }
    }

    /// Uses the head of the server that sends the first event.
    fn replace_unsent_head(&mut self, head: &ResponseHead) {
        if let Some(unsent) = &mut self.unsent {
            *unsent.answer.status_mut() = head.status;
            *unsent.answer.headers_mut() = ingress::caller_headers(&head.headers);
        }
    }

    /// Ends the answer, which is incomplete. The caller receives an error if nothing was sent; else its
    /// connection is closed.
    fn interrupt(mut self, reason: CutReason) {
        let own_answer = reason.own_answer();
        info!(
            event = if self.unsent.is_some() { "failed" } else { "answer_cut" },
            id = %self.request.job.id,
            ?reason,
            status = self.unsent.is_some().then(|| own_answer.status().as_u16()),
            attempts = self.request.attempts.count(),
            left_ms = self.request.job.remaining_ms(&self.state)
        );
        if let Some(unsent) = self.unsent.take() {
            // A caller that has left needs no answer.
            let _ = unsent.sender.send(Err(reason));
        }
    }
}

/// Returns once the caller has left. Until the answer is sent, it holds the receiver of the chunks itself, and
/// only whoever waits for the answer shows that the caller is there.
async fn caller_left(chunks: &mpsc::Sender<Chunk>, unsent: Option<&mut UnsentAnswer>) {
    match unsent {
        Some(unsent) => unsent.sender.closed().await,
        None => chunks.closed().await,
    }
}

/// Waits for complete events. The parts of an event are no progress: a server that has stalled may send some
/// bytes of it now and then.
async fn next_events(body: &mut Incoming, splitter: &mut EventSplitter, run: &mut Run) -> Received {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = splitter.gives_way() => return Received::TooLarge,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Received::Broken,
            None => return Received::End,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        run.record_data();
        match splitter.push(&data) {
            Ok(Some(events)) => return Received::Events(events),
            Ok(None) => {}
            Err(TooLarge) => return Received::TooLarge,
        }
    }
}

/// Time without an event after which another server is requested: half of the time after which callers
/// abandon a stream.
fn stall_ms(request: &EngineRequest) -> u64 {
    let (min_ms, max_ms) = STALL_RANGE_MS;
    (request.job.route.target_latency_ms * 2).clamp(min_ms, max_ms)
}

/// Resumes a stream after the event with number `last_id`, at `successor` or the next server that is
/// assigned. A caller that has received events cannot be refused any more, so this goes on as long as
/// the request may be sent again.
async fn resume_at_another_server(
    state: &Arc<State>,
    request: &mut EngineRequest,
    mut successor: Option<EngineAttempt>,
    last_id: Option<u64>,
) -> Result<(ResponseHead, Run), CutReason> {
    while successor.is_some() || request.attempts.may_retry() {
        let attempt = match successor.take() {
            Some(attempt) => attempt,
            None => next_attempt(state, request, last_id).await?,
        };
        match engine_request::await_head(state, request, attempt, last_id).await {
            Ok((head, run))
                if head.status.is_success() && ingress::may_be_event_stream(&head.headers) =>
            {
                let server = &run.server;
                info!(
                    event = "stream_resumed",
                    id = %request.job.id,
                    %server,
                    software_version = run.software_version().map(|it| &**it),
                    after = last_id
                );
                return Ok((head, run));
            }
            Ok((head, run)) => {
                let status = head.status.as_u16();
                info!(event = "stream_not_resumed", id = %request.job.id, server = %run.server, status);
                request.attempts.record_failure(ExecutionStatus::Ran);
            }
            // The failure is logged and counted.
            Err(_) => {}
        }
    }
    Err(CutReason::NoRetry)
}

async fn next_attempt(
    state: &Arc<State>,
    request: &mut EngineRequest,
    last_id: Option<u64>,
) -> Result<EngineAttempt, CutReason> {
    let granted = successor::next_placement(state, request).await;
    let granted = granted.map_err(|refusal| CutReason::Refused(refusal.reason))?;
    Ok(EngineAttempt::start(state, request, granted, last_id))
}

/// Why the answer to a caller ends before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutReason {
    /// The caller has left.
    CallerLeft,
    /// The deadline of the request has passed.
    TimedOut,
    /// The request may not be sent again.
    NoRetry,
    /// No other server is assigned any more.
    Refused(RefusalReason),
}

impl CutReason {
    /// The error for a caller that has received nothing.
    fn own_answer(self) -> OwnAnswer {
        match self {
            Self::TimedOut => OwnAnswer::TimedOut,
            Self::CallerLeft | Self::NoRetry | Self::Refused(_) => OwnAnswer::Broken,
        }
    }
}

fn request_outcome(end: StreamEnd) -> Outcome {
    match end {
        StreamEnd::Complete => Outcome::Answered,
        StreamEnd::CallerLeft => Outcome::CallerLeft,
        StreamEnd::TimedOut | StreamEnd::Broken(_) => Outcome::Broken,
    }
}

fn run_outcome(end: StreamEnd) -> RunOutcome {
    match end {
        StreamEnd::Complete => RunOutcome::Answered,
        StreamEnd::CallerLeft | StreamEnd::TimedOut => RunOutcome::Cancelled,
        StreamEnd::Broken(_) => RunOutcome::Broken,
    }
}
