//! Runs a request on a backend server that this instance owns, or on a plain service.

use std::sync::Arc;

use mimosabay_core::name::Name;
use mimosabay_core::request::{Code, Refusal, Request, RetrySafety, RunEvent, Usage, Work};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::check;
use crate::dispatch;
use crate::dispatch_permit::{DispatchPermit, RunOutcome};
use crate::instance::Instance;
use crate::journal;
use crate::owner::OwnedServer;
use crate::takeover;

/// Events that are buffered between the owner and the receiver of a run.
const EVENT_BUFFER: usize = 64;
/// A run on this instance.
pub struct LocalRun {
    events: mpsc::Receiver<RunEvent>,
    task: JoinHandle<()>,
    retry_safety: RetrySafety,
}

/// Starts a task that runs a request on a server that this instance owns or on a plain service.
pub fn run(instance: &Arc<Instance>, server: Name, request: Request) -> LocalRun {
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    let retry_safety = request.retry_safety;
    let task = tokio::spawn(run_to_end(instance.clone(), server, request, sender));
    LocalRun {
        events,
        task,
        retry_safety,
    }
}

impl LocalRun {
    /// Waits for the next event; `None` after the last one.
    pub async fn next(&mut self) -> Option<RunEvent> {
        self.events.recv().await
    }
}

impl Drop for LocalRun {
    fn drop(&mut self) {
        // Work that is not idempotent runs to its end, so that its outcome is recorded.
        if self.retry_safety == RetrySafety::Idempotent {
            self.task.abort();
        }
    }
}

async fn run_to_end(
    instance: Arc<Instance>,
    server: Name,
    request: Request,
    sender: mpsc::Sender<RunEvent>,
) {
    let _open = instance.open_request();
    let last = match execute(&instance, &server, &request, &sender).await {
        Ok(usage) => RunEvent::Finished { usage },
        Err(refusal) => RunEvent::Refused { refusal },
    };
    // A disconnected receiver needs no answer.
    let _ = sender.send(last).await;
}

async fn execute(
    instance: &Arc<Instance>,
    server: &Name,
    request: &Request,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    let deadline_ms = instance.now_ms() + request.timeout_ms;
    match &request.work {
        Work::Generate { model, .. } => {
            let owned = OwnedServer::find_or_start(instance, server)?;
            takeover::claim(instance, &owned).await?;
            let mut permit = owned
                .wait_for_permit(instance, request, model, deadline_ms)
                .await?;
            let dispatched =
                dispatch_with_journal(instance, request, deadline_ms, sender, async |sender| {
                    dispatch_generation(instance, request, &permit, deadline_ms, &sender).await
                })
                .await;
            if dispatched
                .as_ref()
                .is_err_and(|refusal| refusal.code == Code::LoadFailed)
            {
                owned.on_handle_missing(instance, model, &permit.grant.handle);
            }
            permit.outcome = dispatched
                .as_ref()
                .map_or_else(RunOutcome::from_refusal, RunOutcome::finished);
            dispatched
        }
        Work::Plain { .. } => {
            dispatch_with_journal(instance, request, deadline_ms, sender, async |sender| {
                check::ensure_dispatchable(instance, request, deadline_ms)?;
                dispatch::call_plain_service(instance, server, request, deadline_ms, &sender).await
            })
            .await
        }
    }
}

/// Dispatches a request, with the journal's permission if it has an idempotency key.
async fn dispatch_with_journal(
    instance: &Arc<Instance>,
    request: &Request,
    deadline_ms: u64,
    sender: &mpsc::Sender<RunEvent>,
    dispatch: impl AsyncFnOnce(mpsc::Sender<RunEvent>) -> Result<Usage, Refusal>,
) -> Result<Usage, Refusal> {
    match request.retry_safety {
        RetrySafety::Keyed => journal::run(instance, request, deadline_ms, sender, dispatch).await,
        RetrySafety::Idempotent | RetrySafety::Once => dispatch(sender.clone()).await,
    }
}

async fn dispatch_generation(
    instance: &Arc<Instance>,
    request: &Request,
    permit: &DispatchPermit,
    deadline_ms: u64,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    check::ensure_dispatchable(instance, request, deadline_ms)?;
    let order = dispatch::Order {
        request,
        handle: &permit.grant.handle,
        priority: permit.grant.priority,
        deadline_ms,
    };
    dispatch::generate(instance, &permit.server, &order, sender).await
}
