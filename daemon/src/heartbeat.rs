//! Heartbeats, and the platform's list of instances.

use std::sync::Arc;

use futures::future::join_all;
use mimosabay_core::membership::Listed;
use mimosabay_core::name::Name;
use mimosabay_peer::{Message, Reply};
use mimosabay_platform::{Instance as PlatformInstance, InstanceState};
use tracing::warn;

use crate::config_sync;
use crate::instance::Instance;

/// Time between two reads of the platform's list.
const LIST_PERIOD_MS: u64 = 1_000;

/// Sends heartbeats until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut ticks = instance
        .timer
        .subscribe(instance.settings.timing.heartbeat_ms);
    while ticks.recv().await.is_some() {
        beat(&instance).await;
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

/// Tells the watched peers that this process is done.
pub async fn say_goodbye(instance: &Arc<Instance>) {
    let peers = watched(instance);
    let goodbyes = peers.iter().map(|(_, address)| async move {
        let envelope = instance.envelope(Message::Goodbye);
        let timeout_ms = instance.settings.timing.peer_timeout_ms;
        // A peer that does not hear it finds out by the missing heartbeats.
        let _ = instance.peer(address).ask(&envelope, timeout_ms).await;
    });
    join_all(goodbyes).await;
}

/// The heartbeat of this process.
pub fn heartbeat(instance: &Instance) -> Message {
    let rumours = instance.with_membership(mimosabay_core::membership::Membership::take_rumours);
    Message::Heartbeat {
        config_revision: instance.with_config(mimosabay_core::config::ConfigTable::revision),
        leaving: instance.is_stopping(),
        rumours,
    }
}

async fn beat(instance: &Arc<Instance>) {
    let peers = watched(instance);
    let message = heartbeat(instance);
    join_all(
        peers
            .iter()
            .map(|(_, address)| beat_one(instance, address, &message)),
    )
    .await;
    let now_ms = instance.now_ms();
    instance.with_membership(|membership| membership.tick(now_ms));
}

async fn beat_one(instance: &Arc<Instance>, address: &Name, message: &Message) {
    let envelope = instance.envelope(message.clone());
    let timeout_ms = instance.settings.timing.peer_timeout_ms;
    let Ok(reply) = instance.peer(address).ask(&envelope, timeout_ms).await else {
        return;
    };
    let Reply::Heartbeat {
        from,
        config_revision,
        leaving,
        rumours,
    } = reply
    else {
        warn!(%address, "a peer answered a heartbeat with something else");
        return;
    };
    let now_ms = instance.now_ms();
    instance.with_membership(|membership| {
        membership.heartbeat(&from, leaving, &rumours, now_ms);
    });
    config_sync::heard_revision(instance, address, config_revision).await;
}

async fn read_list(instance: &Arc<Instance>) {
    match instance.platform.instances().await {
        Ok(list) => {
            let now_ms = instance.now_ms();
            let list = list.instances.into_iter().map(listed);
            instance.with_membership(|membership| membership.set_list(list, now_ms));
        }
        Err(cause) => warn!(%cause, "cannot read the list of instances"),
    }
}

fn watched(instance: &Instance) -> Vec<(Name, Name)> {
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

fn listed(instance: PlatformInstance) -> Listed {
    Listed {
        name: instance.name,
        peer_address: instance.peer_address,
        zone: instance.zone,
        leaving: instance.state == InstanceState::Leaving,
    }
}
