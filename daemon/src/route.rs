//! Chooses the backend server and the instance that run a request.

use std::sync::Arc;

use mimosabay_core::membership::ListedInstance;
use mimosabay_core::name::Name;
use mimosabay_core::ownership;
use mimosabay_core::rendezvous;
use mimosabay_core::request::{Code, Refusal, Request, RetrySafety, RunEvent, Work};
use mimosabay_peer::{Category, Error, Message, Reply, ReplyStream};

use crate::execution::{self, LocalRun};
use crate::instance::Instance;
use crate::journal;
use crate::placement;

/// `retry-after` of a refusal after a failure of an instance, or without a backend server.
const RETRY_AFTER_MS: u64 = 500;

/// A run, on this instance or another.
pub enum Run {
    /// This instance dispatches.
    Local(LocalRun),
    /// Another instance dispatches.
    Remote(ReplyStream),
}

impl Run {
    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// A refusal if the run was interrupted before its last event.
    pub async fn next(&mut self) -> Result<RunEvent, Refusal> {
        match self {
            Run::Local(run) => run.next().await.ok_or_else(interrupted_refusal),
            Run::Remote(replies) => match replies.next().await {
                Ok(Some(Reply::Run(event))) => Ok(event),
                Ok(_) => Err(interrupted_refusal()),
                Err(cause) => Err(peer_refusal(&cause)),
            },
        }
    }
}

/// Chooses the backend server for a request, preferring servers other than the `failed` ones.
///
/// # Errors
///
/// A refusal if there is none.
pub fn choose_server(
    instance: &Instance,
    request: &Request,
    failed: &[Name],
) -> Result<Name, Refusal> {
    let untried = placement::choose_server(instance, request, failed);
    // Once all servers have failed, each may be tried again.
    let choice = untried.or_else(|| placement::choose_server(instance, request, &[]));
    choice.map(|choice| choice.server).ok_or_else(|| {
        Refusal::not_run(Code::NoServer, "no backend server").retry_after_ms(RETRY_AFTER_MS)
    })
}

/// Starts a run at the owner of the server.
///
/// # Errors
///
/// A refusal if the owner cannot be reached.
pub async fn start_run(
    instance: &Arc<Instance>,
    server: Name,
    request: Request,
) -> Result<Run, Refusal> {
    let owner = match &request.work {
        Work::Generate { .. } => owner(instance, &server),
        // Plain services have no state that needs a single dispatcher, but writes of keys conflict
        // less often if one instance records each shard of the journal.
        Work::Plain { .. } if request.retry_safety == RetrySafety::Keyed => {
            journal_instance(instance, &request)
        }
        Work::Plain { .. } => None,
    };
    match owner.filter(|owner| owner.name != instance.id.name) {
        None => Ok(Run::Local(execution::run(instance, server, request))),
        Some(owner) => start_remote(instance, &owner, server, request).await,
    }
}

async fn start_remote(
    instance: &Instance,
    owner: &ListedInstance,
    server: Name,
    request: Request,
) -> Result<Run, Refusal> {
    let envelope = instance.envelope(Message::Run {
        server,
        request: Box::new(request),
    });
    let replies = instance
        .peer(&owner.peer_address)
        .call_streaming(&envelope)
        .await;
    replies.map(Run::Remote).map_err(|cause| {
        if cause.classify() == Category::Refused {
            instance.with_membership(|membership| membership.on_connection_refused(&owner.name));
        }
        peer_refusal(&cause)
    })
}

/// Whether this instance owns the server, as far as it knows.
pub fn is_owner(instance: &Instance, server: &Name) -> bool {
    owner(instance, server).is_none_or(|owner| owner.name == instance.id.name)
}

/// Whether this instance may dispatch a request that another instance sent.
pub fn may_dispatch(instance: &Instance, server: &Name, work: &Work) -> bool {
    match work {
        Work::Generate { .. } => is_owner(instance, server),
        // The store arbitrates between instances that record the same key.
        Work::Plain { .. } => true,
    }
}

/// The instance that records the key of a request; `None` if no instance is known.
fn journal_instance(instance: &Instance, request: &Request) -> Option<ListedInstance> {
    let item = journal::shard_item(request)?;
    instance.with_membership(|membership| {
        let candidates = membership.candidates(instance.is_stopping());
        let names = candidates.iter().map(|candidate| &*candidate.name);
        let name = rendezvous::choose(&item, names)?;
        if *name == *instance.id.name {
            return Some(membership.own_listing(false));
        }
        Some(membership.member(name)?.listed.clone())
    })
}

/// The instance that owns the server; `None` if no instance is known to accept new work.
pub fn owner(instance: &Instance, server: &Name) -> Option<ListedInstance> {
    let zone = instance.with_config(|config| Some(config.server(server)?.zone.clone()))?;
    instance.with_membership(|membership| {
        let candidates = membership.candidates(instance.is_stopping());
        let name = ownership::owner(server, &zone, &candidates)?;
        if *name == instance.id.name {
            return Some(membership.own_listing(false));
        }
        Some(membership.member(name)?.listed.clone())
    })
}

fn peer_refusal(cause: &Error) -> Refusal {
    let message = format!("call to another instance failed: {cause}");
    let refusal = match cause.classify() {
        Category::Refused | Category::NotSent | Category::Unauthenticated => {
            Refusal::not_run(Code::InstanceFailed, message)
        }
        Category::Interrupted | Category::Malformed => {
            Refusal::in_doubt(Code::InstanceFailed, message)
        }
    };
    refusal.retry_after_ms(RETRY_AFTER_MS)
}

fn interrupted_refusal() -> Refusal {
    let refusal = Refusal::in_doubt(
        Code::InstanceFailed,
        "the run was interrupted before its last event",
    );
    refusal.retry_after_ms(RETRY_AFTER_MS)
}
