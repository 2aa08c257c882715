//! Runs one request to its final answer, retrying as its retry safety and the retry budget allow.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::name::Name;
use mimosabay_core::request::{
    Code, Ran, Refusal, Request, Resume, RetrySafety, RunEvent, Usage, Work,
};
use mimosabay_core::retry::{self, RetryDecision};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at};
use tracing::info;

use crate::budgets;
use crate::check;
use crate::instance::Instance;
use crate::placement;
use crate::route::{self, Run};
use crate::service_level;
use crate::token_timing::TokenTiming;

/// Base of the pause before a retry, which doubles with each attempt.
const BASE_RETRY_PAUSE_MS: u64 = 25;
/// Maximum doublings of the pause. Retries go on for several seconds, in which the instances agree
/// on which of them are live.
const MAX_DOUBLINGS: u32 = 5;
/// Time after the deadline in which the owner of the server can still report the outcome.
const DEADLINE_GRACE_MS: u64 = 500;
/// Time from a caller's disconnection until the server has certainly stopped the run, provided that
/// the instance between them is live.
const CANCEL_LAG_MS: u64 = 500;
/// `retry-after` of a refusal because the deadline passed.
const RETRY_AFTER_MS: u64 = 500;

/// What has been sent to the caller, and what is known of the run.
struct Progress {
    /// Tokens or bytes sent.
    offset: u64,
    /// Text sent, from which a resumed run continues.
    text: Vec<u8>,
    /// Whether the head of a plain answer was sent.
    has_head: bool,
    /// Whether a backend server reported that it started the run.
    has_started: bool,
    /// Whether an attempt ended that may have run.
    may_have_run: bool,
    /// Arrival times of the tokens.
    timing: TokenTiming,
}

/// Runs a request and sends its events, ending with the final answer, to `sender`.
///
/// `route` is the route that the caller named; it is empty if the caller named an adapter directly.
pub async fn run(
    instance: Arc<Instance>,
    request: Request,
    route: Name,
    sender: mpsc::Sender<RunEvent>,
) {
    let _open = instance.open_request();
    let started_ms = instance.now_ms();
    let mut progress = Progress::new();
    let result = run_charged(&instance, &request, &mut progress, &sender).await;
    let timing = &progress.timing;
    service_level::count_outcome(&instance, &request, &route, &result, timing, started_ms);
    log_outcome(&instance, &request, &result, instance.now_ms() - started_ms);
    let final_event = match result {
        Ok(usage) => RunEvent::Finished { usage },
        Err(refusal) => RunEvent::Refused { refusal },
    };
    // A disconnected caller needs no answer.
    let _ = sender.send(final_event).await;
}

/// Logs and counts a call that was refused at the entry instance.
pub fn log_refused(instance: &Instance, refusal: &Refusal) {
    instance.metrics.count("request.refused_at_entry");
    info!(code = ?refusal.code, message = %refusal.message, "call refused");
}

/// Charges the organisation, makes the attempts, and settles the charge.
async fn run_charged(
    instance: &Arc<Instance>,
    request: &Request,
    progress: &mut Progress,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    let deadline_ms = instance.now_ms() + request.timeout_ms;
    let charge = budgets::charge(instance, request, deadline_ms);
    let charged = cancel_if_caller_leaves(request, sender, charge).await?;
    let run = run_attempts(instance, request, deadline_ms, progress, sender);
    let result = cancel_if_caller_leaves(request, sender, run).await;
    if let Some(charged) = charged {
        match &result {
            Ok(usage) => charged.settle(*usage),
            Err(refusal) if refusal.code == Code::Cancelled => {
                charged.settle_cancelled(progress.timing.max_generated_tokens(CANCEL_LAG_MS));
            }
            Err(refusal) => charged.settle_refused(refusal.ran),
        }
    }
    result
}

/// Cancels the work when the caller disconnects. Work that is not idempotent runs to its end, so
/// that its outcome is recorded.
async fn cancel_if_caller_leaves<T>(
    request: &Request,
    sender: &mpsc::Sender<RunEvent>,
    work: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    tokio::select! {
        result = work => result,
        () = sender.closed(), if request.retry_safety == RetrySafety::Idempotent => {
            Err(Refusal::in_doubt(Code::Cancelled, "the caller left"))
        }
    }
}

async fn run_attempts(
    instance: &Arc<Instance>,
    request: &Request,
    deadline_ms: u64,
    progress: &mut Progress,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    let mut failed_servers: Vec<Name> = Vec::new();
    with_retry_budget(instance, retry::RetryBudget::count_request);
    for attempt in 1.. {
        let result = run_attempt(
            instance,
            request,
            deadline_ms,
            progress,
            &failed_servers,
            sender,
        )
        .await;
        let (server, refusal) = match result {
            Ok(usage) => return Ok(usage),
            Err(failure) => failure,
        };
        if excludes_server(refusal.code) {
            failed_servers.extend(server);
        }
        progress.may_have_run |= refusal.ran != Ran::No;
        let decision = with_retry_budget(instance, |budget| {
            retry::decide(request.retry_safety, refusal, attempt, budget)
        });
        if let RetryDecision::GiveUp(refusal) = decision {
            return Err(progress.with_earlier_attempts(refusal));
        }
        // The key may have been withdrawn meanwhile without this instance being notified.
        check::ensure_fresh(instance).map_err(|refusal| progress.with_earlier_attempts(refusal))?;
        instance.metrics.count("request.retried");
        sleep(Duration::from_millis(
            BASE_RETRY_PAUSE_MS << attempt.min(MAX_DOUBLINGS),
        ))
        .await;
    }
    unreachable!("the number of attempts is bounded")
}

/// Makes one attempt. A failure comes with the server of the attempt, if one was chosen.
async fn run_attempt(
    instance: &Arc<Instance>,
    request: &Request,
    deadline_ms: u64,
    progress: &mut Progress,
    failed_servers: &[Name],
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, (Option<Name>, Refusal)> {
    let remaining_ms = deadline_ms.saturating_sub(instance.now_ms());
    if remaining_ms == 0 {
        return Err((None, timeout_refusal(progress)));
    }
    let server = route::choose_server(instance, request, failed_servers)
        .map_err(|refusal| (None, refusal))?;
    let mut attempt_request = request.clone();
    attempt_request.timeout_ms = remaining_ms;
    attempt_request.resume = progress.resume(&request.work);
    let limit = instance.clock.instant(deadline_ms + DEADLINE_GRACE_MS);
    let placed_request = placement::record_start(instance, &server, request);
    let attempt = async {
        let run = route::start_run(instance, server.clone(), attempt_request).await?;
        forward_events(instance, run, progress, sender).await
    };
    let result = timeout_at(limit, attempt).await;
    let result = result.unwrap_or_else(|_| {
        Err(Refusal::in_doubt(
            Code::Timeout,
            "no final answer from the owner of the backend server",
        ))
    });
    drop(placed_request);
    let code = result.as_ref().err().map(|refusal| refusal.code);
    placement::record_end(instance, &server, request, code);
    result.map_err(|refusal| (Some(server), refusal))
}

async fn forward_events(
    instance: &Instance,
    mut run: Run,
    progress: &mut Progress,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    loop {
        match run.next().await? {
            RunEvent::Finished { usage } => return Ok(usage),
            RunEvent::Refused { refusal } => return Err(refusal),
            RunEvent::Started { .. } => progress.has_started = true,
            event => {
                if progress.apply_event(&event, instance.now_ms())? {
                    // A disconnected caller is handled in `cancel_if_caller_leaves` only.
                    let _ = sender.send(event).await;
                }
            }
        }
    }
}

impl Progress {
    fn new() -> Self {
        Self {
            offset: 0,
            text: Vec::new(),
            has_head: false,
            has_started: false,
            may_have_run: false,
            timing: TokenTiming::default(),
        }
    }

    /// Applies an event; returns whether it has not been sent to the caller yet.
    fn apply_event(&mut self, event: &RunEvent, now_ms: u64) -> Result<bool, Refusal> {
        match event {
            RunEvent::Head { .. } => Ok(!std::mem::replace(&mut self.has_head, true)),
            RunEvent::Chunk {
                offset,
                count,
                data,
            } => self.apply_chunk(*offset, *count, data, now_ms),
            RunEvent::Started { .. } | RunEvent::Finished { .. } | RunEvent::Refused { .. } => {
                Ok(true)
            }
        }
    }

    fn apply_chunk(
        &mut self,
        offset: u64,
        count: u64,
        data: &[u8],
        now_ms: u64,
    ) -> Result<bool, Refusal> {
        if offset < self.offset {
            return Ok(false);
        }
        if offset > self.offset {
            return Err(Refusal::in_doubt(
                Code::BackendFailed,
                "a part of the answer is missing",
            ));
        }
        self.timing.record_tokens(count, now_ms);
        self.offset += count;
        self.text.extend_from_slice(data);
        Ok(true)
    }

    /// The point from which a further generation continues. Plain answers arrive in one piece and
    /// start over.
    fn resume(&self, work: &Work) -> Option<Resume> {
        if self.offset == 0 || matches!(work, Work::Plain { .. }) {
            return None;
        }
        let text = String::from_utf8_lossy(&self.text).into_owned();
        Some(Resume {
            offset: self.offset,
            text,
        })
    }

    /// Corrects `ran` of the last attempt's refusal: an earlier attempt may have run even if the
    /// last one has not.
    fn with_earlier_attempts(&self, refusal: Refusal) -> Refusal {
        let ran = if self.has_started || self.may_have_run {
            refusal.ran.max(Ran::Unknown)
        } else {
            refusal.ran
        };
        Refusal { ran, ..refusal }
    }
}

/// Whether further attempts should avoid the server. The failure of an instance, or an instance
/// that no longer owns the server, says nothing about the server itself.
fn excludes_server(code: Code) -> bool {
    !matches!(code, Code::NotOwner | Code::InstanceFailed)
}

fn timeout_refusal(progress: &Progress) -> Refusal {
    let refusal = Refusal::not_run(Code::Timeout, "the deadline passed");
    progress.with_earlier_attempts(refusal.retry_after_ms(RETRY_AFTER_MS))
}

fn with_retry_budget<T>(
    instance: &Instance,
    access: impl FnOnce(&mut retry::RetryBudget) -> T,
) -> T {
    access(
        &mut instance
            .tables
            .retry_budget
            .lock()
            .expect("retry budget lock"),
    )
}

fn log_outcome(
    instance: &Instance,
    request: &Request,
    result: &Result<Usage, Refusal>,
    took_ms: u64,
) {
    instance.metrics.time("request", took_ms);
    let request_id = &request.id;
    let organisation = &request.organisation;
    match result {
        Ok(usage) => {
            instance.metrics.count("request.answered");
            let tokens = usage.total_tokens();
            info!(%request_id, %organisation, tokens, took_ms, "request answered");
        }
        Err(refusal) => {
            instance.metrics.count("request.refused");
            let (code, ran) = (refusal.code, refusal.ran);
            let message = &refusal.message;
            info!(%request_id, %organisation, ?code, ?ran, %message, took_ms, "request refused");
        }
    }
}
