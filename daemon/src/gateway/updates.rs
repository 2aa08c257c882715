//! Periodic updates from the instances to the placer, and the placer's replies.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::cell::Update;
use mimosabay_core::quarantine_log::QuarantineChanges;
use mimosabay_core::replica::ReplicaChanges;
use mimosabay_core::stream_log::StreamChanges;
use mimosabay_peer::{Category, Message, Peer, Reply, SenderFacts};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::link::{BYPASS_AFTER_MS, Target, envelope};
use super::metrics::Dependency;
use super::replicate;
use super::state::State;
use super::store_era;

/// Longest time between two updates, in milliseconds. An update also shows that this instance is
/// live, and its reply that the placer is.
const UPDATE_PERIOD_MS: u64 = 250;
/// Shortest time between two updates while a service has several software versions, in milliseconds.
const MIN_RELEASE_UPDATE_PERIOD_MS: u64 = 80;
/// Time between two updates while a service has several software versions, for each instance that the
/// placer answers, in milliseconds.
const RELEASE_UPDATE_PERIOD_PER_INSTANCE_MS: u64 = 10;
/// Time over which ended requests are batched into one update, in milliseconds.
const BATCH_INTERVAL_MS: u64 = 40;
/// Time to wait for the reply to an update, in milliseconds.
const UPDATE_TIMEOUT_MS: u64 = 500;

/// Sends updates to the placer until the process ends.
pub(crate) async fn run(state: Arc<State>) {
    let link = &state.link;
    loop {
        let period = Duration::from_millis(update_period_ms(&state));
        // An update is due after a wake-up and after a time-out alike.
        let _ = timeout(period, link.update_wake.notified()).await;
        let started = Instant::now();
        send_update(&state).await;
        let pause = Duration::from_millis(BATCH_INTERVAL_MS);
        sleep(pause.saturating_sub(started.elapsed())).await;
    }
}

/// Time until the next update. While a service has several software versions, updates are more frequent, so
/// that streams are known to several instances before their first event, as far as the placer can
/// bear it.
fn update_period_ms(state: &State) -> u64 {
    if !state.backends.have_several_versions(state.now_ms()) {
        return UPDATE_PERIOD_MS;
    }
    let instances = u64::try_from(state.members.count()).unwrap_or(u64::MAX);
    let period_ms = instances.saturating_mul(RELEASE_UPDATE_PERIOD_PER_INSTANCE_MS);
    period_ms.clamp(MIN_RELEASE_UPDATE_PERIOD_MS, UPDATE_PERIOD_MS)
}

async fn send_update(state: &State) {
    let link = &state.link;
    let target = link.target.borrow().clone();
    match target {
        Target::None => {}
        Target::Local(placer) => {
            let update = link.drain_outbox(state);
            apply_own_members(state, &update);
            if let Some(quarantine) = quarantine_changes(state, &update) {
                state.suspects.apply(&quarantine);
            }
            if let Some(streams) = stream_changes(state, &update) {
                state.streams.apply(&streams);
            }
            placer.send_update(update);
            let answers = state.server_limits.take_unsent_answers();
            if !answers.is_empty() {
                placer.record_server_answers(answers);
            }
        }
        Target::Remote(peer) => {
            let placer_number = link.placer_number();
            let update = link.drain_outbox(state);
            let message = Message::Update(Box::new(update.clone()));
            let facts = state.sender_facts();
            let exchange = peer
                .exchange(&envelope(state, message), facts, UPDATE_TIMEOUT_MS)
                .await;
            match exchange {
                Ok((
                    Reply::Updated {
                        reaches_store,
                        changes,
                        limits,
                        streams,
                        members,
                        quarantine,
                    },
                    placer,
                )) => {
                    state.server_limits.apply(&limits);
                    if let Some(streams) = streams {
                        state.streams.apply(&streams);
                    }
                    if let Some(quarantine) = quarantine {
                        state.suspects.apply(&quarantine);
                    }
                    if let Some(members) = members {
                        state.apply_members(members);
                    }
                    record_contact(state, placer_number);
                    state.members.set_largest_received(placer.largest_processor);
                    if placer.takes_server_answers() {
                        send_server_answers(state, &peer).await;
                    }
                    let is_same_era = store_era::observe_peer(state, &placer);
                    link.record_relay(state, reaches_store && is_same_era);
                    if is_same_era {
                        for (kind, replica_changes) in changes {
                            replicate::apply_replica_changes(state, kind, replica_changes);
                        }
                    }
                }
                Ok(_) => {
                    requeue(state, update);
                    link.mark_record_stale();
                }
                Err(cause) => {
                    requeue(state, update);
                    record_failed_contact(state, placer_number, cause.classify());
                }
            }
        }
    }
}

/// Reports to the placer how servers that have just started answered. Answers that do not reach it are
/// dropped: later ones show the same.
async fn send_server_answers(state: &State, peer: &Peer) {
    let answers = state.server_limits.take_unsent_answers();
    if answers.is_empty() {
        return;
    }
    let message = Message::RecordServerAnswers(answers);
    let sent = peer
        .exchange(
            &envelope(state, message),
            state.sender_facts(),
            UPDATE_TIMEOUT_MS,
        )
        .await;
    if let Err(cause) = sent {
        info!(event = "server_answers_lost", %cause);
    }
}

/// Keeps what did not reach the placer for the next update.
fn requeue(state: &State, update: Update) {
    state.server_limits.requeue(&update.limits);
    state.streams.requeue(&update.streams);
    state.suspects.requeue(&update.evidence);
    state.link.requeue_update(update);
}

/// Changes of the log of streams that the sender does not know.
fn stream_changes(state: &State, update: &Update) -> Option<StreamChanges> {
    let log = state.stream_log.lock().expect("stream log lock");
    log.changes_since(update.stream_position, &update.address, state.now_ms())
}

/// Changes of the quarantine that the sender does not know.
fn quarantine_changes(state: &State, update: &Update) -> Option<QuarantineChanges> {
    let quarantine = state.quarantine.lock().expect("quarantine lock");
    quarantine.changes_since(update.quarantine_version)
}

/// Applies the placer's own list of instances at the placer, as the other instances do.
fn apply_own_members(state: &State, update: &Update) {
    state
        .members
        .record_own_contact(&update.address, state.now_ms());
    if let Some(members) = state.members.changes_since(update.members_version) {
        state.apply_members(members);
    }
}

/// Builds the placer's reply to an update: the changes that the sender does not know yet.
pub(crate) fn build_reply(state: &State, update: &Update, sender: &SenderFacts) -> Reply {
    state
        .members
        .record_contact(&update.address, sender.processor, state.now_ms());
    state.order_permission.record_contact(&update.address);
    state.server_limits.apply(&update.limits);
    let is_same_era = store_era::observe_peer(state, sender);
    let changes = update.known.iter().map(|known| {
        let changes = if is_same_era {
            state.replicas.changes_since(known)
        } else {
            // The sender lists the objects of the new era itself.
            ReplicaChanges::None
        };
        (known.kind, changes)
    });
    Reply::Updated {
        reaches_store: state.reaches_store(),
        changes: changes.collect(),
        limits: state.server_limits.all(),
        streams: stream_changes(state, update),
        members: state.members.changes_since(update.members_version),
        quarantine: quarantine_changes(state, update),
    }
}

/// Records a reply of the placer with a number.
fn record_contact(state: &State, placer_number: Option<u64>) {
    let mut view = state.link.view.lock().expect("placer view lock");
    let was_refused = view.record_reply(placer_number, state.now_ms());
    drop(view);
    if was_refused {
        info!(event = "placer_regained");
    }
}

/// Records that the placer with a number did not reply.
fn record_failed_contact(state: &State, placer_number: Option<u64>, category: Category) {
    let is_refused = category == Category::Refused;
    let mut view = state.link.view.lock().expect("placer view lock");
    let failed = view.record_failure(placer_number, is_refused, state.now_ms());
    drop(view);
    let Some(failed) = failed else {
        info!(event = "earlier_placer_lost", ?category, placer_number);
        return;
    };
    if failed.is_first_refusal {
        state.link.election_wake.notify_one();
    }
    if failed.is_first_refusal || failed.silent_ms > BYPASS_AFTER_MS {
        warn!(event = "placer_lost", ?category, age_ms = failed.silent_ms);
        state.metrics.count_dependency_loss(Dependency::Placer);
    }
}
