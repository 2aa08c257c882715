//! What instances tell the placer at short intervals, and what it answers.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::cell::Update;
use mimosabay_peer::{Category, Message, Reply, VersionedQuarantine};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::link::{BYPASS_AFTER_MS, Target, envelope};
use super::metrics::Dependency;
use super::replicate;
use super::state::State;

/// Longest time between two updates, in milliseconds. An update also proves that this instance
/// lives, and its answer that the placer does.
const UPDATE_PERIOD_MS: u64 = 250;
/// Time in which ended requests are collected, in milliseconds.
const COLLECT_MS: u64 = 40;
/// Time to wait for the answer to an update, in milliseconds.
const UPDATE_TIMEOUT_MS: u64 = 500;
/// Age of the placer's last answer of the store up to which its copies are fresh, in milliseconds.
const STORE_FRESH_MS: u64 = 1_100;
/// Sends updates to the placer until the process ends.
pub(crate) async fn run(state: Arc<State>) {
    let link = &state.link;
    loop {
        let period = Duration::from_millis(UPDATE_PERIOD_MS);
        // Either way it is time for an update.
        let _ = timeout(period, link.wake.notified()).await;
        let begun = Instant::now();
        send_update(&state).await;
        let pause = Duration::from_millis(COLLECT_MS);
        sleep(pause.saturating_sub(begun.elapsed())).await;
    }
}

async fn send_update(state: &State) {
    let link = &state.link;
    let target = link.target.borrow().clone();
    match target {
        Target::Nobody => {}
        Target::Local(placer) => {
            let update = link.take_update(state);
            take_members(state, &update);
            if let Some(standings) = standings(state, &update) {
                state.suspects.take(standings);
            }
            placer.update(update);
        }
        Target::Remote(peer) => {
            let update = link.take_update(state);
            let message = Message::Update(Box::new(update.clone()));
            let answer = peer
                .call_unary(&envelope(state, message), UPDATE_TIMEOUT_MS)
                .await;
            match answer {
                Ok(Reply::Updated {
                    reaches_store,
                    changes: news,
                    members,
                    quarantine: standings,
                }) => {
                    if let Some(standings) = standings {
                        state.suspects.take(standings);
                    }
                    if let Some(members) = members {
                        state.take_members(members);
                    }
                    heard(state);
                    link.relayed(state, reaches_store);
                    for (kind, news) in news {
                        replicate::take_news(state, kind, news);
                    }
                }
                Ok(_) => {
                    state.suspects.put_back(&update);
                    link.put_back(update);
                    link.doubt();
                }
                Err(cause) => {
                    state.suspects.put_back(&update);
                    link.put_back(update);
                    unheard(state, cause.classify());
                }
            }
        }
    }
}

/// Requests that ran on servers that crashed, if the sender knows another version of them.
fn standings(state: &State, update: &Update) -> Option<VersionedQuarantine> {
    let standings = state.standings.lock().expect("standings lock");
    (standings.version != update.quarantine_version).then(|| standings.clone())
}

/// The placer takes its own list of the instances over as the others do.
fn take_members(state: &State, update: &Update) {
    state.members.heard(&update.address, state.now_ms());
    if let Some(members) = state.members.news(update.members_version) {
        state.take_members(members);
    }
}

/// The placer's answer to an update: what the sender does not know yet.
pub(crate) fn answer(state: &State, update: &Update) -> Reply {
    state.members.heard(&update.address, state.now_ms());
    let news = update.known.iter();
    let news = news.map(|known| (known.kind, state.copies.news(known)));
    Reply::Updated {
        reaches_store: state.store_age_ms() <= STORE_FRESH_MS,
        changes: news.collect(),
        members: state.members.news(update.members_version),
        quarantine: standings(state, update),
    }
}

fn heard(state: &State) {
    let mut belief = state.link.belief.lock().expect("belief lock");
    let was_refused = belief.refused_since_ms.take().is_some();
    belief.heard_ms = state.now_ms();
    drop(belief);
    if was_refused {
        info!(event = "placer_regained");
    }
}

fn unheard(state: &State, category: Category) {
    let now_ms = state.now_ms();
    let mut belief = state.link.belief.lock().expect("belief lock");
    let is_first = category == Category::Refused && belief.refused_since_ms.is_none();
    if is_first {
        belief.refused_since_ms = Some(now_ms);
    }
    let age_ms = now_ms.saturating_sub(belief.heard_ms);
    drop(belief);
    if is_first {
        state.link.changed.notify_one();
    }
    if is_first || age_ms > BYPASS_AFTER_MS {
        warn!(event = "placer_lost", ?category, age_ms);
        state.metrics.dependency_lost(Dependency::Placer);
    }
}
