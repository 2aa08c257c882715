//! Handles messages from other instances.

use std::sync::Arc;

use mimosabay_core::membership::Heartbeat;
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::request::{Code, Refusal, Request, RetrySafety, RunEvent};
use mimosabay_peer::{Inbound, Message, Reply, Responder};
use tracing::debug;

use crate::budget_messages;
use crate::config_sync;
use crate::execution;
use crate::heartbeat;
use crate::instance::Instance;
use crate::placement;
use crate::route;

/// Handles one message and sends the reply.
pub async fn handle(instance: Arc<Instance>, inbound: Inbound) {
    let Inbound {
        envelope,
        responder,
        ..
    } = inbound;
    let from = envelope.from;
    match envelope.message {
        Message::Run { server, request } => run(instance, server, *request, responder).await,
        message => {
            let reply = respond(&instance, &from, message);
            if let Err(cause) = responder.finish(&reply).await {
                debug!(%from, %cause, "cannot reply to a peer");
            }
        }
    }
}

fn respond(instance: &Arc<Instance>, from: &InstanceId, message: Message) -> Reply {
    match message {
        Message::Heartbeat(heartbeat) => {
            on_heartbeat(instance, from, &heartbeat);
            let heartbeat = heartbeat::heartbeat(instance);
            Reply::Heartbeat {
                from: instance.id.clone(),
                heartbeat,
            }
        }
        Message::Leave => {
            instance.with_membership(|membership| membership.on_leave(from));
            Reply::Done
        }
        Message::PullConfig { above_revision } => {
            Reply::Config(config_sync::entries_above(instance, above_revision))
        }
        Message::Budget {
            to,
            roster_version,
            message,
        } => {
            budget_messages::record_peer_version(instance, from, roster_version);
            budget_messages::respond(instance, from, &to, message)
        }
        Message::RequestPlacement(_)
        | Message::RequestPermit(_)
        | Message::RequestTrial(_)
        | Message::Update(_)
        | Message::OpenConnection { .. }
        | Message::GetStreamVersion { .. }
        | Message::RecordServerAnswers(_)
        | Message::GetPlacerLastSeen => Reply::NotPlacer,
        Message::Run { .. } => unreachable!("runs are handled separately"),
    }
}

/// Handles a heartbeat that a peer sent on its own. Unlike a reply, it shows that the sender is live
/// but not at which time its configuration was fresh.
fn on_heartbeat(instance: &Arc<Instance>, from: &InstanceId, heartbeat: &Heartbeat) {
    let now_ms = instance.now_ms();
    instance.with_membership(|membership| membership.on_heartbeat(from, heartbeat, now_ms));
    placement::apply_digests(instance, &heartbeat.digests);
    if let Some(above_revision) = config_sync::missing_above(instance, heartbeat) {
        let instance = instance.clone();
        let address = heartbeat.sender.peer_address.clone();
        tokio::spawn(async move { config_sync::pull(&instance, &address, above_revision).await });
    }
}

async fn run(instance: Arc<Instance>, server: Name, request: Request, mut responder: Responder) {
    if !route::may_dispatch(&instance, &server, &request.work) {
        let refusal = Refusal::not_run(Code::NotOwner, "another instance owns the server");
        let event = RunEvent::Refused { refusal };
        // The sender finds the owner itself; a disconnected sender needs no reply.
        let _ = responder.finish(&Reply::Run(event)).await;
        return;
    }
    let retry_safety = request.retry_safety;
    let mut events = execution::run(&instance, server, request);
    loop {
        let event = tokio::select! {
            event = events.next() => event,
            // Work that is not idempotent runs to its end, so that its outcome is recorded.
            () = responder.wait_for_reset(), if retry_safety == RetrySafety::Idempotent => return,
        };
        let Some(event) = event else {
            return;
        };
        if responder.send(&Reply::Run(event)).await.is_err()
            && retry_safety == RetrySafety::Idempotent
        {
            return;
        }
    }
}
