//! Messages from other instances.

use std::sync::Arc;

use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::request::{Repeat, Request};
use mimosabay_peer::{Inbound, Message, Reply, Responder};
use tracing::debug;

use crate::config_sync;
use crate::heartbeat;
use crate::instance::Instance;
use crate::owner;

/// Answers one message.
pub async fn handle(instance: Arc<Instance>, inbound: Inbound) {
    let Inbound {
        envelope,
        responder,
    } = inbound;
    let from = envelope.from;
    match envelope.message {
        Message::Run { server, request } => run(instance, server, *request, responder).await,
        message => {
            let reply = answer(&instance, &from, message);
            if let Err(cause) = responder.finish(&reply).await {
                debug!(%from, %cause, "cannot answer a peer");
            }
        }
    }
}

fn answer(instance: &Arc<Instance>, from: &InstanceId, message: Message) -> Reply {
    match message {
        Message::Heartbeat {
            config_revision,
            leaving,
            rumours,
        } => {
            let now_ms = instance.now_ms();
            instance.with_membership(|membership| {
                membership.heartbeat(from, leaving, &rumours, now_ms);
            });
            pull_if_behind(instance, from, config_revision);
            own_heartbeat(instance)
        }
        Message::Goodbye => {
            instance.with_membership(|membership| membership.goodbye(from));
            Reply::Done
        }
        Message::PullConfig { above_revision } => {
            Reply::Config(config_sync::entries_above(instance, above_revision))
        }
        Message::Run { .. } => unreachable!("a run has replies of its own"),
    }
}

fn own_heartbeat(instance: &Instance) -> Reply {
    let Message::Heartbeat {
        config_revision,
        leaving,
        rumours,
    } = heartbeat::heartbeat(instance)
    else {
        unreachable!("a heartbeat is a heartbeat");
    };
    Reply::Heartbeat {
        from: instance.id.clone(),
        config_revision,
        leaving,
        rumours,
    }
}

fn pull_if_behind(instance: &Arc<Instance>, from: &InstanceId, revision: u64) {
    let address = instance.with_membership(|membership| {
        membership
            .member(&from.name)
            .map(|member| member.listed.peer_address.clone())
    });
    if let Some(address) = address {
        let instance = instance.clone();
        tokio::spawn(async move {
            config_sync::heard_revision(&instance, &address, revision).await;
        });
    }
}

async fn run(instance: Arc<Instance>, server: Name, request: Request, mut responder: Responder) {
    let repeat = request.repeat;
    let mut events = owner::run(&instance, server, request);
    loop {
        let event = tokio::select! {
            event = events.next() => event,
            // Work that may not be repeated runs to its end, so that its outcome is recorded.
            () = responder.closed(), if repeat == Repeat::Idempotent => return,
        };
        let Some(event) = event else {
            return;
        };
        if responder.send(&Reply::Run(event)).await.is_err() && repeat == Repeat::Idempotent {
            return;
        }
    }
}
