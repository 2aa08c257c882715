//! Who places requests.
//!
//! The placer is named by one object in the store. The revision of the object is the fencing number
//! of the placer's orders, so it grows with each change without a clock. Nothing renews the object:
//! another instance replaces it once most others do not hear the placer either, and gives orders only
//! when the lease of the one before has passed. A placer that stops removes the object.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::name::Name;
use mimosabay_core::rendezvous;
use mimosabay_peer::{Message, Peer, Reply};
use mimosabay_platform::store::{StoredObject, may_have_been_written};
use mimosabay_platform::{Category, Error, wire_names};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::link::{self, Belief, PlacerRecord};
use super::placer::Placer;
use super::state::State;

/// Name of the object that names the placer.
const RECORD_NAME: &str = "cell-0";
/// Time between two looks, in milliseconds.
const PERIOD_MS: u64 = 100;
/// Steps by which candidates wait for one another, in milliseconds.
const STAGGER_STEP_MS: u64 = 40;
/// Number of such steps.
const STAGGER_STEPS: u64 = 8;
/// Time for which the placer's address must refuse connections before it is replaced, in
/// milliseconds.
const REFUSED_MS: u64 = 200;
/// Time without a sign of the placer after which the other instances are asked, in milliseconds.
const REPLACE_AFTER_MS: u64 = 1_100;
/// Length in leases of the silence after which an instance that reaches no other replaces the
/// placer.
const ALONE_LEASES: u64 = 2;
/// Instances that are asked.
const MAX_ASKED: usize = 6;
/// Time to wait for their answers, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 250;
/// Pause after a failed call of the store, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 300;

/// What to do about the placer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Nothing.
    Wait,
    /// Read the record again.
    Confirm,
    /// Begin to place: the record names this process.
    Start { revision: u64 },
    /// Create the record.
    Create,
    /// Ask the other instances whether they hear the placer, and replace it if they do not.
    AskOthers { revision: u64 },
    /// Replace the record at this revision.
    Replace { revision: u64 },
}

/// Takes part in the election until the process ends.
pub(crate) async fn run(state: Arc<State>) {
    let mut orders_from_ms = 0;
    loop {
        let period = Duration::from_millis(PERIOD_MS);
        // Either way it is time to look.
        let _ = timeout(period, state.link.changed()).await;
        let step = match next_step(&state) {
            Step::AskOthers { revision } if is_lost_to_others(&state).await => {
                let heard_ms = state.link.belief().heard_ms;
                orders_from_ms = heard_ms + state.settings().lease_ms;
                Step::Replace { revision }
            }
            Step::AskOthers { .. } => Step::Wait,
            step => {
                if matches!(step, Step::Replace { .. } | Step::Create) {
                    orders_from_ms = 0;
                }
                step
            }
        };
        if let Err(cause) = take(&state, step, orders_from_ms).await {
            warn!(event = "election_failed", %cause);
            sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
        }
    }
}

async fn take(state: &Arc<State>, step: Step, orders_from_ms: u64) -> Result<(), Error> {
    let kind = wire_names::kind::PLACERS;
    match step {
        Step::Wait | Step::AskOthers { .. } => Ok(()),
        Step::Confirm => confirm(state).await,
        Step::Start { revision } => {
            start(state, revision, orders_from_ms);
            Ok(())
        }
        Step::Create => {
            let record = own_record(state);
            let created = state.store.create(kind, RECORD_NAME, &record).await;
            written(state, created)
        }
        Step::Replace { revision } => {
            let record = own_record(state);
            let store = &state.store;
            let replaced = store.replace(kind, RECORD_NAME, revision, &record).await;
            written(state, replaced)
        }
    }
}

/// Removes the record if it names this process, so that another instance takes over at once. Until
/// that has succeeded this process goes on placing.
pub(crate) async fn resign(state: &State) {
    loop {
        let Some((revision, record)) = state.link.belief().record else {
            return;
        };
        if !state.link.is_own(&record) {
            return;
        }
        let kind = wire_names::kind::PLACERS;
        match state.store.delete(kind, RECORD_NAME, revision).await {
            Ok(()) => {
                info!(event = "placer_resigned", revision);
                return state.link.no_record();
            }
            Err(cause) => warn!(event = "placer_not_resigned", revision, %cause),
        }
        sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
        if let Err(cause) = confirm(state).await {
            warn!(event = "election_failed", %cause);
        }
    }
}

fn next_step(state: &State) -> Step {
    let belief = state.link.belief();
    if !belief.is_read || state.is_stopping() {
        return Step::Wait;
    }
    match &belief.record {
        Some((revision, record)) if state.link.is_own(record) => {
            let revision = *revision;
            match state.link.local() {
                Some(placer) if placer.fencing_number == revision && belief.is_doubtful => {
                    Step::Confirm
                }
                Some(placer) if placer.fencing_number == revision => Step::Wait,
                // Its orders were refused, so the record cannot be the newest.
                None if belief.is_doubtful => Step::Confirm,
                _ => Step::Start { revision },
            }
        }
        Some((revision, record)) if state.link.is_here(record) => Step::Replace {
            revision: *revision,
        },
        _ if belief.is_doubtful => Step::Confirm,
        Some((revision, _)) => step_beside(state, &belief, *revision),
        None => step_without_record(state),
    }
}

/// What to do about a placer elsewhere. A process whose address refuses connections has ended and
/// gives no orders any more.
fn step_beside(state: &State, belief: &Belief, revision: u64) -> Step {
    let now_ms = state.now_ms();
    let stagger_ms = stagger_ms(state);
    let silent_ms = now_ms.saturating_sub(belief.heard_ms);
    let refused_ms = belief
        .refused_since_ms
        .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
    if refused_ms > REFUSED_MS + stagger_ms {
        return Step::Replace { revision };
    }
    if silent_ms > REPLACE_AFTER_MS + stagger_ms {
        return Step::AskOthers { revision };
    }
    Step::Wait
}

/// Asks other instances; returns whether most of them do not hear the placer either. An instance
/// that reaches nobody is cut off itself and leaves the placer alone for longer.
async fn is_lost_to_others(state: &State) -> bool {
    let others = others(state);
    let asked = others.iter().map(|address| placer_age_ms(state, address));
    let ages_ms: Vec<u64> = futures::future::join_all(asked)
        .await
        .into_iter()
        .flatten()
        .collect();
    let hearing = ages_ms
        .iter()
        .filter(|age_ms| **age_ms < REPLACE_AFTER_MS)
        .count();
    let is_alone = ages_ms.is_empty();
    let silent_ms = state.now_ms().saturating_sub(state.link.belief().heard_ms);
    let is_lost = if is_alone {
        silent_ms > state.settings().lease_ms * ALONE_LEASES
    } else {
        hearing * 2 < ages_ms.len()
    };
    info!(
        event = "placer_silent",
        silent_ms,
        asked = others.len(),
        answered = ages_ms.len(),
        hearing,
        is_lost
    );
    is_lost
}

/// Some other instances, without the placer.
fn others(state: &State) -> Vec<Name> {
    let belief = state.link.belief();
    let placer = belief.record.map(|(_, record)| record.address);
    let mut others = state.members.addresses();
    others.retain(|address| {
        address != state.link.own_address() && Some(&**address) != placer.as_deref()
    });
    let number = |address: &Name| rendezvous::weight(address, &state.incarnation.to_string());
    others.sort_by_key(number);
    others.truncate(MAX_ASKED);
    others
}

async fn placer_age_ms(state: &State, address: &Name) -> Option<u64> {
    let peer = Peer::new(&**address, link::secret());
    let envelope = link::envelope(state, Message::GetPlacerLastSeen);
    match peer.call_unary(&envelope, ASK_TIMEOUT_MS).await {
        Ok(Reply::PlacerLastSeen { age_ms }) => Some(age_ms),
        _ => None,
    }
}

fn step_without_record(state: &State) -> Step {
    let absent_since_ms = state.link.absent_since(state.now_ms());
    if state.now_ms() >= absent_since_ms + stagger_ms(state) {
        Step::Create
    } else {
        Step::Wait
    }
}

/// Instances wait for different times, so that rarely two write at once.
fn stagger_ms(state: &State) -> u64 {
    let weight = rendezvous::weight(RECORD_NAME, &state.settings().instance);
    weight % STAGGER_STEPS * STAGGER_STEP_MS
}

async fn confirm(state: &State) -> Result<(), Error> {
    match state
        .store
        .get(wire_names::kind::PLACERS, RECORD_NAME)
        .await
    {
        Ok(object) => {
            state.link.take_record(&object, state.now_ms());
            Ok(())
        }
        Err(cause) if cause.classify() == Category::NotFound => {
            state.link.no_record();
            Ok(())
        }
        Err(cause) => Err(cause),
    }
}

fn written(state: &State, result: Result<StoredObject, Error>) -> Result<(), Error> {
    match result {
        Ok(object) => {
            state.link.take_record(&object, state.now_ms());
            Ok(())
        }
        Err(cause) => {
            // Another instance was first, or the answer was lost.
            if may_have_been_written(&cause) || cause.classify() != Category::Unavailable {
                state.link.doubt();
            }
            match cause.classify() {
                Category::Conflict | Category::NotFound => Ok(()),
                _ => Err(cause),
            }
        }
    }
}

fn start(state: &Arc<State>, revision: u64, orders_from_ms: u64) {
    info!(
        event = "placer_started",
        fencing_number = revision,
        orders_from_ms
    );
    let placer = Placer::start(state.clone(), revision, orders_from_ms);
    state.link.set_local(placer);
}

fn own_record(state: &State) -> PlacerRecord {
    PlacerRecord {
        address: state.settings().peer_address().to_string(),
        instance: state.settings().instance.clone(),
        incarnation: state.incarnation,
    }
}
