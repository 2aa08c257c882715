//! Election of the placer, the instance that places requests.
//!
//! One object in the store names the placer. Its revision is the fencing number of the placer's
//! orders, so the number grows with each change and needs no clock; once the store has come back from
//! an older copy, the object names a larger number itself. The object is never renewed:
//! another instance replaces it once most other instances have lost contact with the placer too,
//! and sends orders only after the lease of the previous placer has expired. A placer that stops
//! removes the object.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::name::Name;
use mimosabay_core::order_lease;
use mimosabay_core::placer_record::{PlacerRecord, PlacerView, StoredRecord};
use mimosabay_core::rendezvous;
use mimosabay_peer::{Message, Peer, Reply};
use mimosabay_platform::store::{StoredObject, may_have_been_written};
use mimosabay_platform::{Category, Error, wire_names};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::link;
use super::placer::Placer;
use super::state::State;
use super::store_era::{self, AnswerEra};

/// Name of the store object that names the placer. Other objects of its kind mean nothing.
pub(super) const RECORD_NAME: &str = "cell-0";
/// Time between two checks, in milliseconds.
const CHECK_PERIOD_MS: u64 = 100;
/// Unit of the delays by which candidates are staggered, in milliseconds.
const STAGGER_STEP_MS: u64 = 40;
/// Number of different stagger delays.
const STAGGER_STEPS: u64 = 8;
/// Time for which the placer's address must refuse connections before the placer is replaced, in
/// milliseconds.
const REPLACE_REFUSED_AFTER_MS: u64 = 200;
/// Time without contact with the placer after which the other instances are queried, in
/// milliseconds.
const REPLACE_AFTER_MS: u64 = 1_100;
/// Time without contact with the placer, in leases, after which an instance that reaches no other
/// instance replaces it.
const ISOLATED_REPLACE_LEASES: u64 = 2;
/// Largest number of instances that are queried.
const MAX_QUERIED: usize = 6;
/// Time to wait for their replies, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 250;
/// Pause after a failed store call, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 300;

/// Next action of the election.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Nothing.
    Wait,
    /// Read the record again.
    ReadRecord,
    /// Start the placer: the record names this process.
    Start { fencing_number: u64 },
    /// Query the other instances, and write the record if most of them have lost contact with the
    /// placer.
    QueryOthers,
    /// Write the record, naming this process.
    Claim,
}

/// How the placer before this process has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Takeover {
    /// Its process has terminated, or it has removed its record.
    AtOnce,
    /// It is silent and may still send orders.
    FromSilent {
        /// Time of the last contact with it, in milliseconds.
        last_seen_ms: u64,
    },
}

/// Takes part in the election until the process ends.
pub(crate) async fn run(state: Arc<State>) {
    let mut takeover = Takeover::AtOnce;
    loop {
        let period = Duration::from_millis(CHECK_PERIOD_MS);
        // The next step is determined after a change and after a time-out alike.
        let _ = timeout(period, state.link.wait_for_change()).await;
        let step = match next_step(&state) {
            Step::QueryOthers if is_placer_lost(&state).await => {
                let last_seen_ms = state.link.placer_view().last_seen_ms;
                takeover = Takeover::FromSilent { last_seen_ms };
                Step::Claim
            }
            Step::QueryOthers => Step::Wait,
            Step::Claim => {
                takeover = takeover_without_silent(&state);
                Step::Claim
            }
            step => step,
        };
        let before = state.link.placer_view().stored;
        match execute_step(&state, step, takeover).await {
            Ok(()) if is_without_progress(&state, step, before) => {
                warn!(event = "election_without_progress", ?step, stored = ?before);
                state.link.mark_record_stale();
            }
            Ok(()) => continue,
            Err(cause) => warn!(event = "election_failed", %cause),
        }
        sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
    }
}

/// Whether a step has succeeded and left everything as it was `before`, so that it is due again at once.
fn is_without_progress(state: &State, step: Step, before: StoredRecord) -> bool {
    match step {
        Step::Wait | Step::QueryOthers => false,
        Step::ReadRecord | Step::Start { .. } | Step::Claim => {
            state.link.placer_view().stored == before && next_step(state) == step
        }
    }
}

async fn execute_step(state: &Arc<State>, step: Step, takeover: Takeover) -> Result<(), Error> {
    match step {
        Step::Wait | Step::QueryOthers => Ok(()),
        Step::ReadRecord => read_record(state).await,
        Step::Start { fencing_number } => {
            start_placer(state, fencing_number, takeover);
            Ok(())
        }
        Step::Claim => claim(state).await,
    }
}

async fn claim(state: &State) -> Result<(), Error> {
    let kind = wire_names::kind::PLACERS;
    let view = state.link.placer_view();
    let record = own_record(state, &view);
    let sent_in = state.store_era.known();
    let store = &state.store;
    let written = match view.stored.revision() {
        Some(revision) => store.replace(kind, RECORD_NAME, revision, &record).await,
        None => store.create(kind, RECORD_NAME, &record).await,
    };
    handle_write(state, written, sent_in)
}

/// How this process becomes the placer, if it knows that the placer before it has ended.
fn takeover_without_silent(state: &State) -> Takeover {
    let view = state.link.placer_view();
    let store_era = state.store_era.known().unwrap_or(0);
    if state.link.local_placer().is_none() && view.may_have_lost_record(store_era) {
        Takeover::FromSilent {
            last_seen_ms: state.now_ms(),
        }
    } else {
        Takeover::AtOnce
    }
}

impl Takeover {
    /// Time from which orders may be sent by a placer that starts at `now_ms`, after its record was written.
    fn orders_from_ms(self, lease_ms: u64, now_ms: u64) -> u64 {
        match self {
            Self::AtOnce => now_ms,
            Self::FromSilent { last_seen_ms } => {
                let lease_end_ms = now_ms + order_lease::takeover_wait_ms(lease_ms);
                lease_end_ms.max(last_seen_ms + lease_ms)
            }
        }
    }
}

/// Removes the record if it names this process, so that another instance takes over at once. This
/// process continues to place requests until the removal has succeeded, but sends no more orders once the
/// store can be asked for the removal.
pub(crate) async fn resign(state: &State) {
    let _resigning = state.order_permission.begin_resigning();
    while let Err(cause) = try_resign(state).await {
        warn!(event = "placer_not_resigned", %cause);
        sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
    }
}

/// Removes the record if the store answers and the record names this process.
///
/// # Errors
///
/// Those of the store. The removal may take effect late.
async fn try_resign(state: &State) -> Result<(), Error> {
    if own_number(state).is_none() {
        return Ok(());
    }
    read_record(state).await?;
    // The reading may have brought a newer record, of this or of another process.
    let Some(number) = own_number(state) else {
        return Ok(());
    };
    let stored = state.link.placer_view().stored;
    let StoredRecord::Present { revision, .. } = stored else {
        state.link.forget_placer(number);
        return Ok(());
    };
    if !state.link.is_stored_placer(number) {
        info!(
            event = "placer_not_resigned",
            number,
            reason = "record lost or replaced"
        );
        state.link.forget_placer(number);
        return Ok(());
    }
    if let Some(placer) = state.link.local_placer() {
        placer.hold_orders(u64::MAX);
    }
    state.order_permission.resign(number).await;
    let kind = wire_names::kind::PLACERS;
    state.store.delete(kind, RECORD_NAME, revision).await?;
    info!(event = "placer_resigned", revision);
    state.link.forget_placer(number);
    Ok(())
}

/// Fencing number of the known record, if it names this process.
fn own_number(state: &State) -> Option<u64> {
    let (number, record) = state.link.placer_view().record?;
    state.link.names_this_process(&record).then_some(number)
}

fn next_step(state: &State) -> Step {
    let view = state.link.placer_view();
    if !view.is_read() || state.is_stopping() {
        return Step::Wait;
    }
    match step_by_record(state, &view) {
        // A placer that reaches no server is of no use.
        Step::Claim | Step::QueryOthers if state.server_links.are_lost() => Step::Wait,
        step => step,
    }
}

fn step_by_record(state: &State, view: &PlacerView) -> Step {
    match &view.record {
        Some((number, record)) if state.link.names_this_process(record) => {
            step_as_placer(state, view, *number)
        }
        _ if view.is_record_stale => Step::ReadRecord,
        Some((_, record)) if state.link.names_this_instance(record) => Step::Claim,
        Some(_) => step_with_remote_placer(state, view),
        None => step_without_record(state),
    }
}

/// Next step if the record names this process.
fn step_as_placer(state: &State, view: &PlacerView, fencing_number: u64) -> Step {
    match state.link.local_placer() {
        Some(placer) if placer.fencing_number == fencing_number => {
            if view.is_record_stale {
                Step::ReadRecord
            } else if view.is_record_stored()
                && !state.order_permission.needs_new_record(fencing_number)
            {
                Step::Wait
            } else {
                // The store has lost the record, or may remove it late.
                Step::Claim
            }
        }
        // Its orders were fenced, so a newer record must exist.
        None if view.is_record_stale => Step::ReadRecord,
        _ => Step::Start { fencing_number },
    }
}

/// Next step if the record names another instance. A process whose address refuses connections has
/// terminated and sends no more orders.
fn step_with_remote_placer(state: &State, view: &PlacerView) -> Step {
    let now_ms = state.now_ms();
    let stagger_ms = stagger_ms(state);
    let unresponsive_ms = now_ms.saturating_sub(view.last_seen_ms);
    let refused_ms = view
        .refused_since_ms
        .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
    if refused_ms > REPLACE_REFUSED_AFTER_MS + stagger_ms {
        return Step::Claim;
    }
    if unresponsive_ms > REPLACE_AFTER_MS + stagger_ms {
        return Step::QueryOthers;
    }
    Step::Wait
}

/// Queries other instances; returns whether most of them have lost contact with the placer too. An
/// instance that reaches no other is itself cut off and waits longer before it replaces the placer.
async fn is_placer_lost(state: &State) -> bool {
    let other_members = sample_other_members(state);
    let queries = other_members
        .iter()
        .map(|address| placer_contact_age_ms(state, address));
    let ages_ms: Vec<u64> = futures::future::join_all(queries)
        .await
        .into_iter()
        .flatten()
        .collect();
    let in_contact = ages_ms
        .iter()
        .filter(|age_ms| **age_ms < REPLACE_AFTER_MS)
        .count();
    let is_isolated = ages_ms.is_empty();
    let unresponsive_ms = state
        .now_ms()
        .saturating_sub(state.link.placer_view().last_seen_ms);
    let is_lost = if is_isolated {
        unresponsive_ms > state.settings().lease_ms * ISOLATED_REPLACE_LEASES
    } else {
        in_contact * 2 < ages_ms.len()
    };
    info!(
        event = "placer_silent",
        silent_ms = unresponsive_ms,
        asked = other_members.len(),
        answered = ages_ms.len(),
        hearing = in_contact,
        is_lost
    );
    is_lost
}

/// Addresses of some other instances, without the placer.
pub(super) fn sample_other_members(state: &State) -> Vec<Name> {
    let view = state.link.placer_view();
    let placer = view.record.map(|(_, record)| record.address);
    let mut other_members = state.members.addresses();
    other_members.retain(|address| {
        address != state.link.own_address() && Some(&**address) != placer.as_deref()
    });
    let weight = |address: &Name| rendezvous::weight(address, &state.incarnation.to_string());
    other_members.sort_by_key(weight);
    other_members.truncate(MAX_QUERIED);
    other_members
}

async fn placer_contact_age_ms(state: &State, address: &Name) -> Option<u64> {
    let peer = Peer::new(&**address, link::peer_secret());
    let envelope = link::envelope(state, Message::GetPlacerLastSeen);
    match peer.call_unary(&envelope, QUERY_TIMEOUT_MS).await {
        Ok(Reply::PlacerLastSeen { age_ms }) => Some(age_ms),
        _ => None,
    }
}

fn step_without_record(state: &State) -> Step {
    let absent_since_ms = state.link.absence_start_ms(state.now_ms());
    if state.now_ms() >= absent_since_ms + stagger_ms(state) {
        Step::Claim
    } else {
        Step::Wait
    }
}

/// Delay of this instance. Instances have different delays, so that two rarely write at the same
/// time, and those on much smaller machines than others have longer ones.
fn stagger_ms(state: &State) -> u64 {
    let settings = state.settings();
    let weight = rendezvous::weight(RECORD_NAME, &settings.instance);
    let largest_other = state.members.largest_received();
    weight % STAGGER_STEPS * STAGGER_STEP_MS + settings.processor.takeover_delay_ms(largest_other)
}

pub(super) async fn read_record(state: &State) -> Result<(), Error> {
    let sent_in = state.store_era.known();
    let read = state.store.get(wire_names::kind::PLACERS, RECORD_NAME);
    match read.await {
        Ok(object) => {
            apply_answer(state, &object, sent_in);
            Ok(())
        }
        Err(cause) if cause.classify() == Category::NotFound => {
            state.link.on_record_absent(sent_in);
            Ok(())
        }
        Err(cause) => Err(cause),
    }
}

/// Applies the record in an answer of the store, unless the era of the answer has ended.
fn apply_answer(state: &State, object: &StoredObject, sent_in: Option<u64>) {
    match store_era::observe_answer(state, object.era, sent_in) {
        AnswerEra::Ended => state.link.mark_record_stale(),
        AnswerEra::Same | AnswerEra::New => {
            let store_era = state.store_era.known();
            state.link.apply_record(object, store_era, state.now_ms());
        }
    }
}

fn handle_write(
    state: &State,
    result: Result<StoredObject, Error>,
    sent_in: Option<u64>,
) -> Result<(), Error> {
    match result {
        Ok(object) => {
            apply_answer(state, &object, sent_in);
            Ok(())
        }
        Err(cause) => {
            // Another instance wrote first, or the store's response was lost.
            if may_have_been_written(&cause) || cause.classify() != Category::Unavailable {
                state.link.mark_record_stale();
            }
            match cause.classify() {
                Category::Conflict | Category::NotFound => Ok(()),
                _ => Err(cause),
            }
        }
    }
}

fn start_placer(state: &Arc<State>, fencing_number: u64, takeover: Takeover) {
    let lease_ms = state.settings().lease_ms;
    let orders_from_ms = takeover.orders_from_ms(lease_ms, state.now_ms());
    info!(event = "placer_started", fencing_number, orders_from_ms);
    let placer = Placer::start(state.clone(), fencing_number, orders_from_ms);
    state.link.set_local_placer(placer);
}

fn own_record(state: &State, view: &PlacerView) -> PlacerRecord {
    let store_era = state.store_era.known();
    PlacerRecord {
        fencing_offset: view.next_offset(store_era.unwrap_or(0), state.settings().is_first_start),
        store_era,
        replaced_revision: view.stored.revision().unwrap_or(0),
        address: state.settings().peer_address().to_string(),
        instance: state.settings().instance.clone(),
        incarnation: state.incarnation,
    }
}
