//! Exchange of budget messages between instances.

use std::sync::Arc;

use mimosabay_core::budget::{BudgetMessage, OutgoingMessage};
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_peer::{Message, Reply};

use crate::instance::Instance;

/// Time after which a message or its reply is of no use any more.
const TIMEOUT_MS: u64 = 400;

/// Applies a message of another process and builds the reply. A message for an earlier process of
/// this instance is ignored.
pub fn respond(
    instance: &Arc<Instance>,
    from: &InstanceId,
    to: &InstanceId,
    message: Option<BudgetMessage>,
) -> Reply {
    if *to != instance.id {
        return Reply::Done;
    }
    let outgoing_messages =
        message.map_or_else(Vec::new, |message| apply_message(instance, from, message));
    let (replies, others): (Vec<_>, Vec<_>) = outgoing_messages
        .into_iter()
        .partition(|outgoing| outgoing.to == *from);
    send_all(instance, others);
    Reply::Budget {
        roster_version: instance
            .budgets
            .with_budgets(|budgets| budgets.roster_version()),
        message: replies.into_iter().next().map(|outgoing| outgoing.message),
    }
}

/// Records the roster version in a received message. Unlike a reply, it does not confirm that the
/// own version is current, but it may be newer than the own version.
pub fn record_peer_version(instance: &Instance, from: &InstanceId, roster_version: u64) {
    let now_ms = instance.now_ms();
    instance
        .budgets
        .with_budgets(|budgets| budgets.record_peer_version(from, roster_version, 0, now_ms));
}

/// Sends messages in background tasks.
pub fn send_all(instance: &Arc<Instance>, outgoing_messages: Vec<OutgoingMessage>) {
    for OutgoingMessage { to, message } in outgoing_messages {
        let instance = instance.clone();
        tokio::spawn(async move {
            exchange(&instance, &to, Some(message)).await;
        });
    }
}

/// Sends a message, or only a request for the roster version, and applies the reply. The next
/// exchange makes up for a lost one.
pub async fn exchange(instance: &Arc<Instance>, to: &InstanceId, message: Option<BudgetMessage>) {
    let Some(address) = address(instance, to) else {
        return;
    };
    let sent_ms = instance.now_ms();
    let envelope = instance.envelope(Message::Budget {
        to: to.clone(),
        roster_version: instance
            .budgets
            .with_budgets(|budgets| budgets.roster_version()),
        message,
    });
    let reply = instance
        .peer(&address)
        .call_unary(&envelope, TIMEOUT_MS)
        .await;
    let Ok(Reply::Budget {
        roster_version,
        message,
    }) = reply
    else {
        return;
    };
    let now_ms = instance.now_ms();
    instance
        .budgets
        .with_budgets(|budgets| budgets.record_peer_version(to, roster_version, sent_ms, now_ms));
    if let Some(message) = message {
        let outgoing_messages = apply_message(instance, to, message);
        send_all(instance, outgoing_messages);
    }
}

fn apply_message(
    instance: &Instance,
    from: &InstanceId,
    message: BudgetMessage,
) -> Vec<OutgoingMessage> {
    let now_ms = instance.now_ms();
    let outgoing_messages = instance
        .budgets
        .with_budgets(|budgets| budgets.on_message(from, message, now_ms));
    instance.budgets.notify_waiting();
    outgoing_messages
}

fn address(instance: &Instance, to: &InstanceId) -> Option<Name> {
    instance.with_membership(|membership| {
        let member = membership.member(&to.name)?;
        Some(member.listed.peer_address.clone())
    })
}
