//! Running a request on a backend server that this instance owns, or on a plain service.

use std::sync::Arc;

use mimosabay_core::name::Name;
use mimosabay_core::request::{Code, Refusal, Request, RetrySafety, RunEvent, Usage, Work};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::check;
use crate::dispatch;
use crate::instance::Instance;
use crate::journal;
use crate::owner::OwnedServer;
use crate::takeover;
use crate::turn::{Ended, Turn};

/// Events that are buffered between the owner and the reader of a run.
const EVENT_BUFFER: usize = 64;
/// A run on a server that this instance owns.
pub struct LocalRun {
    events: mpsc::Receiver<RunEvent>,
    task: JoinHandle<()>,
    repeat: RetrySafety,
}

/// Runs a request on a server that this instance owns.
pub fn run(instance: &Arc<Instance>, server: Name, request: Request) -> LocalRun {
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    let repeat = request.retry_safety;
    let task = tokio::spawn(run_to_end(instance.clone(), server, request, sender));
    LocalRun {
        events,
        task,
        repeat,
    }
}

impl LocalRun {
    /// The next event; `None` after the last one.
    pub async fn next(&mut self) -> Option<RunEvent> {
        self.events.recv().await
    }
}

impl Drop for LocalRun {
    fn drop(&mut self) {
        // Work that may not be repeated runs to its end, so that its outcome is recorded.
        if self.repeat == RetrySafety::Idempotent {
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
    // A reader that left needs no answer.
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
            let mut turn = owned.turn(instance, request, model, deadline_ms).await?;
            let dispatched = once(instance, request, deadline_ms, sender, async |sender| {
                dispatch_turn(instance, request, &turn, deadline_ms, &sender).await
            })
            .await;
            if dispatched
                .as_ref()
                .is_err_and(|refusal| refusal.code == Code::LoadFailed)
            {
                owned.forget(instance, model, &turn.grant.handle);
            }
            turn.ended = dispatched.as_ref().map_or_else(Ended::of, Ended::whole);
            dispatched
        }
        Work::Plain { .. } => {
            once(instance, request, deadline_ms, sender, async |sender| {
                check::still_wanted(instance, request, deadline_ms)?;
                dispatch::plain(instance, server, request, deadline_ms, &sender).await
            })
            .await
        }
    }
}

/// Dispatches a request, with the journal's permission if it has an idempotency key.
async fn once(
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

async fn dispatch_turn(
    instance: &Arc<Instance>,
    request: &Request,
    turn: &Turn,
    deadline_ms: u64,
    sender: &mpsc::Sender<RunEvent>,
) -> Result<Usage, Refusal> {
    check::still_wanted(instance, request, deadline_ms)?;
    let order = dispatch::Order {
        request,
        handle: &turn.grant.handle,
        priority: turn.grant.priority,
        deadline_ms,
    };
    dispatch::generate(instance, &turn.server, &order, sender).await
}
