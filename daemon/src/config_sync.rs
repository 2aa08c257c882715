//! Keeps the configuration up to date by a watch on the store and by pulls from newer peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mimosabay_core::config::{ConfigEntry, ConfigTable};
use mimosabay_core::membership::Heartbeat;
use mimosabay_core::name::Name;
use mimosabay_operator::store::{ACCEPTED_KIND, accepted_entry};
use mimosabay_peer::{Message, Reply};
use mimosabay_platform::{Category, Object};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::instance::Instance;

/// Pause before the next call to the store after a failed one.
const RETRY_MS: u64 = 250;
/// Maximum number of entries in one reply to a pull.
const PULL_LIMIT: usize = 1_000;
/// Time-out of one pull.
const PULL_TIMEOUT_MS: u64 = 1_000;

/// Follows the store until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut revision = None;
    loop {
        let sent_ms = instance.now_ms();
        let result = match revision {
            None => list(&instance).await,
            Some(revision) => watch(&instance, revision).await,
        };
        match result {
            Ok(followed_revision) => {
                instance.store_reached.store(true, Ordering::Relaxed);
                instance.with_freshness(|freshness| freshness.on_store_response(sent_ms));
                revision = Some(followed_revision);
            }
            Err(cause) => {
                instance.store_reached.store(false, Ordering::Relaxed);
                warn!(%cause, "cannot follow the configuration in the store");
                if cause.classify() == Category::Gone {
                    revision = None;
                }
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Handles the heartbeat in a peer's reply to a call made at `sent_ms`: pulls missing entries and
/// updates the freshness.
pub async fn on_peer_heartbeat(
    instance: &Arc<Instance>,
    address: &Name,
    heartbeat: &Heartbeat,
    sent_ms: u64,
) {
    if let Some(above_revision) = missing_above(instance, heartbeat) {
        pull(instance, address, above_revision).await;
    }
    let own = instance.with_config(ConfigTable::revision);
    instance
        .with_freshness(|freshness| freshness.on_peer_response(heartbeat.freshness, own, sent_ms));
}

/// The revision above which the sender of a heartbeat has entries that are missing here.
///
/// A watch can omit a change and continue, which the newest revision does not show. Tables with
/// the same newest revision but different digests are therefore compared as a whole. This is not
/// done with every heartbeat, because the difference may be an entry that this version cannot read.
pub fn missing_above(instance: &Instance, heartbeat: &Heartbeat) -> Option<u64> {
    let peer = heartbeat.freshness.revision;
    let (own, digest) = instance.with_config(|config| (config.revision(), config.digest()));
    if peer > own {
        return Some(own);
    }
    let differs = peer == own && heartbeat.config_digest != digest;
    (differs && instance.try_begin_config_comparison()).then_some(0)
}

/// Pulls a peer's configuration entries above a revision and applies them.
pub async fn pull(instance: &Arc<Instance>, address: &Name, mut above_revision: u64) {
    loop {
        let envelope = instance.envelope(Message::PullConfig { above_revision });
        let reply = instance
            .peer(address)
            .call_unary(&envelope, PULL_TIMEOUT_MS)
            .await;
        let Ok(Reply::Config(entries)) = reply else {
            return;
        };
        let (count, last) = (entries.len(), entries.last().map(|entry| entry.revision));
        apply(instance, entries);
        match last {
            Some(last) if count >= PULL_LIMIT => above_revision = last,
            _ => return,
        }
    }
}

/// The entries above `revision`, at most one pull's worth, in reply to a peer's pull.
pub fn entries_above(instance: &Instance, revision: u64) -> Vec<ConfigEntry> {
    instance.with_config(|config| config.newer_than(revision, PULL_LIMIT))
}

async fn list(instance: &Instance) -> Result<u64, mimosabay_platform::Error> {
    let list = instance.platform.list(ACCEPTED_KIND).await?;
    apply(instance, decode_entries(list.objects));
    Ok(list.revision)
}

async fn watch(instance: &Instance, revision: u64) -> Result<u64, mimosabay_platform::Error> {
    // A watch that waits longer than the staleness bound would confirm freshness too late.
    let timing = &instance.settings.timing;
    let wait_ms = timing.watch_wait_ms.min(timing.config_stale_ms / 4);
    let batch = instance
        .platform
        .watch(&[ACCEPTED_KIND], revision, wait_ms)
        .await?;
    apply(instance, decode_entries(batch.events));
    Ok(batch.revision)
}

fn decode_entries(objects: Vec<Object>) -> Vec<ConfigEntry> {
    let mut entries = Vec::with_capacity(objects.len());
    for object in objects {
        if let Some(entry) = accepted_entry(&object) {
            entries.push(entry);
        } else {
            warn!(name = %object.name, "skipped an object that cannot be read");
        }
    }
    entries
}

/// Puts those entries in force that are newer than the known ones.
pub fn apply(instance: &Instance, entries: Vec<ConfigEntry>) {
    let mut config = instance.tables.config.write().expect("config lock");
    let mut changed = 0;
    for entry in entries {
        changed += u64::from(config.apply(entry));
    }
    let revision = config.revision();
    drop(config);
    if changed > 0 {
        info!(revision, changed, "configuration in force");
        instance.config_changed.send_replace(revision);
    }
}
