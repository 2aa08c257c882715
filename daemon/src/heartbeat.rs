//! Sends heartbeats to the watched peers and reads the platform's list of instances.

use std::sync::Arc;

use futures::future::join_all;
use mimosabay_core::config::ConfigTable;
use mimosabay_core::membership::{Heartbeat, ListedInstance};
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_peer::{Category, Message, Reply};
use mimosabay_platform::{Instance as PlatformInstance, InstanceState};
use tracing::warn;

use crate::config_sync;
use crate::instance::Instance;
use crate::placement;

/// Time between two reads of the platform's list.
const LIST_PERIOD_MS: u64 = 1_000;

/// Sends heartbeats until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut ticks = instance
        .timer
        .subscribe(instance.settings.timing.heartbeat_ms);
    while ticks.recv().await.is_some() {
        send_heartbeats(&instance).await;
    }
}

/// Reads the platform's list until the process ends.
pub async fn run_list(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(LIST_PERIOD_MS);
    loop {
        read_list(&instance).await;
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Notifies the watched peers that this process is leaving.
pub async fn send_leave_notices(instance: &Arc<Instance>) {
    let peers = watched_peers(instance);
    let notices = peers.iter().map(|(_, address)| async move {
        let envelope = instance.envelope(Message::Leave);
        let timeout_ms = instance.settings.timing.peer_timeout_ms;
        // A peer that does not receive it detects the stop by the missing heartbeats.
        let _ = instance
            .peer(address)
            .call_unary(&envelope, timeout_ms)
            .await;
    });
    join_all(notices).await;
}

/// Builds the heartbeat of this process. Takes the pending membership updates.
pub fn heartbeat(instance: &Instance) -> Heartbeat {
    let freshness = instance.freshness();
    let config_digest = instance.with_config(ConfigTable::digest);
    let digests = placement::own_digests(instance);
    instance.with_membership(|membership| Heartbeat {
        sender: membership.own_listing(instance.is_stopping()),
        reaches_store: instance.reaches_store(),
        freshness,
        config_digest,
        updates: membership.take_updates(),
        digests,
    })
}

async fn send_heartbeats(instance: &Arc<Instance>) {
    let peers = watched_peers(instance);
    let message = Message::Heartbeat(heartbeat(instance));
    join_all(
        peers
            .iter()
            .map(|(name, address)| send_heartbeat(instance, name, address, &message)),
    )
    .await;
    let now_ms = instance.now_ms();
    instance.with_membership(|membership| membership.tick(now_ms));
}

async fn send_heartbeat(instance: &Arc<Instance>, name: &Name, address: &Name, message: &Message) {
    let envelope = instance.envelope(message.clone());
    let timeout_ms = instance.settings.timing.peer_timeout_ms;
    let sent_ms = instance.now_ms();
    match instance
        .peer(address)
        .call_unary(&envelope, timeout_ms)
        .await
    {
        Ok(Reply::Heartbeat { from, heartbeat }) => {
            on_heartbeat_reply(instance, &from, address, &heartbeat, sent_ms).await;
        }
        Ok(_) => warn!(%address, "peer sent an unexpected reply to a heartbeat"),
        Err(cause) if cause.classify() == Category::Refused => {
            instance.with_membership(|membership| membership.on_connection_refused(name));
        }
        // An unresponsive peer is detected by the time since it was last seen.
        Err(_) => {}
    }
}

/// Handles a heartbeat in the reply to a call made at `sent_ms`.
async fn on_heartbeat_reply(
    instance: &Arc<Instance>,
    from: &InstanceId,
    address: &Name,
    heartbeat: &Heartbeat,
    sent_ms: u64,
) {
    let now_ms = instance.now_ms();
    instance.with_membership(|membership| membership.on_heartbeat(from, heartbeat, now_ms));
    placement::apply_digests(instance, &heartbeat.digests);
    config_sync::on_peer_heartbeat(instance, address, heartbeat, sent_ms).await;
}

async fn read_list(instance: &Arc<Instance>) {
    match instance.platform.list_instances().await {
        Ok(list) => {
            let now_ms = instance.now_ms();
            let list = list.instances.into_iter().map(listed);
            instance.with_membership(|membership| membership.set_list(list, now_ms));
        }
        Err(cause) => warn!(%cause, "cannot read the list of instances"),
    }
}

fn watched_peers(instance: &Instance) -> Vec<(Name, Name)> {
    instance.with_membership(|membership| {
        let address = |name: Name| {
            let address = membership.member(&name)?.listed.peer_address.clone();
            Some((name, address))
        };
        membership
            .watched()
            .into_iter()
            .filter_map(address)
            .collect()
    })
}

fn listed(instance: PlatformInstance) -> ListedInstance {
    ListedInstance {
        name: instance.name,
        peer_address: instance.peer_address,
        zone: instance.zone,
        leaving: instance.state == InstanceState::Leaving,
    }
}
