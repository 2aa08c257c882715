//! Communication of an instance with the placer.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use mimosabay_core::cell::{
    Charge, EndedRun, PermitRequest, PermitResponse, PlacementRequest, PlacementResponse,
    RunOutcome, Update,
};
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::placer_record::{PlacerRecord, PlacerView, Reading};
use mimosabay_core::work::Work;
use mimosabay_peer::{Envelope, Message, Peer, Reply, Secret};
use mimosabay_platform::ProcessSettings;
use mimosabay_platform::store::StoredObject;
use serde::Deserialize;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use tracing::{info, warn};

use super::placer::Placer;
use super::placer_answer::PlacerAnswer;
use super::runs::RunTable;
use super::state::State;

/// Time without any reply from the placer after which requests no longer wait for it, in
/// milliseconds.
pub(super) const BYPASS_AFTER_MS: u64 = 600;
/// Time for which replicas count as fresh after the placer has relayed changes, in milliseconds.
const RELAY_FRESH_MS: u64 = 700;
/// Timeout of a request for a trial run, in milliseconds.
const TRIAL_REQUEST_TIMEOUT_MS: u64 = 300;
/// Time between two checks whether the placer is unresponsive, in milliseconds.
const RESPONSE_CHECK_PERIOD_MS: u64 = 100;

/// The placer as known to this instance.
#[derive(Clone)]
pub(crate) enum Target {
    /// There is no placer, or it is unknown.
    None,
    /// This process.
    Local(Placer),
    /// Another instance.
    Remote(Peer),
}

/// State of the communication with the placer, and the data to send to it.
pub(crate) struct Link {
    zone: Name,
    /// Address at which other instances reach this one.
    own_address: Name,
    /// Incarnation number of this process.
    incarnation: u64,
    /// Wakes the election.
    pub(super) election_wake: Notify,
    pub(super) target: watch::Sender<Target>,
    pub(super) view: Mutex<PlacerView>,
    outbox: Mutex<Outbox>,
    /// Requests that wait for a placement or run.
    pub(super) runs: RunTable,
    /// Whether the placer reached the store at its last reply.
    placer_reaches_store: AtomicBool,
    /// Until when the replicas that the placer updates count as fresh, in milliseconds.
    relay_fresh_until_ms: AtomicU64,
    pub(super) update_wake: Notify,
}

#[derive(Default)]
struct Outbox {
    ended: Vec<EndedRun>,
    charges: HashMap<Name, u64>,
    /// Whether the next update must report all running requests to the placer.
    is_new_placer: bool,
}

impl Link {
    pub(crate) fn new(settings: &ProcessSettings, incarnation: u64) -> Self {
        Self {
            zone: settings.zone.clone(),
            own_address: settings.peer_address().to_string().into(),
            incarnation,
            election_wake: Notify::new(),
            target: watch::Sender::new(Target::None),
            view: Mutex::default(),
            outbox: Mutex::default(),
            runs: RunTable::default(),
            placer_reaches_store: AtomicBool::new(true),
            relay_fresh_until_ms: AtomicU64::new(0),
            update_wake: Notify::new(),
        }
    }

    pub(crate) fn placer_view(&self) -> PlacerView {
        self.view.lock().expect("placer view lock").clone()
    }

    pub(crate) fn local_placer(&self) -> Option<Placer> {
        match &*self.target.borrow() {
            Target::Local(placer) => Some(placer.clone()),
            Target::None | Target::Remote(_) => None,
        }
    }

    /// Fencing number of the placer as known to this instance.
    pub(super) fn placer_number(&self) -> Option<u64> {
        self.view.lock().expect("placer view lock").number()
    }

    /// Whether the store held, at the last reading, the record of the placer in this process with a fencing
    /// number.
    pub(super) fn is_stored_placer(&self, fencing_number: u64) -> bool {
        let view = self.view.lock().expect("placer view lock");
        let record = view.record.as_ref();
        view.is_record_stored()
            && record.is_some_and(|(number, record)| {
                *number == fencing_number && self.names_this_process(record)
            })
    }

    /// Returns once something has changed that the election may act on.
    pub(crate) async fn wait_for_change(&self) {
        self.election_wake.notified().await;
    }

    /// Whether a record names this process.
    pub(crate) fn names_this_process(&self, record: &PlacerRecord) -> bool {
        record.incarnation == self.incarnation
    }

    /// Whether a record names this instance, in this or an earlier process.
    pub(crate) fn names_this_instance(&self, record: &PlacerRecord) -> bool {
        *record.address == *self.own_address
    }

    /// Address at which other instances reach this one.
    pub(crate) fn own_address(&self) -> &Name {
        &self.own_address
    }

    /// Availability zone of this instance.
    pub(crate) fn zone(&self) -> &Name {
        &self.zone
    }

    /// Records that the store holds no placer record in an era.
    pub(crate) fn on_record_absent(&self, store_era: Option<u64>) {
        let mut view = self.view.lock().expect("placer view lock");
        let reading = view.observe_absence(store_era);
        drop(view);
        match reading {
            Reading::Known | Reading::Newer => {}
            Reading::Lost => {
                info!(event = "placer_record_lost", store_era);
                self.election_wake.notify_one();
            }
            Reading::Removed => self.leave_placer(),
        }
    }

    /// Forgets the placer with a fencing number, which has resigned, unless another one has followed it.
    pub(crate) fn forget_placer(&self, number: u64) {
        let mut view = self.view.lock().expect("placer view lock");
        if view.number() != Some(number) {
            return;
        }
        view.forget();
        drop(view);
        self.leave_placer();
    }

    fn leave_placer(&self) {
        self.target.send_replace(Target::None);
        self.election_wake.notify_one();
    }

    /// Applies a placer record that was read in an era of the store, if it is newer than the known one. The
    /// election replaces one that cannot be read.
    pub(crate) fn apply_record(&self, object: &StoredObject, store_era: Option<u64>, now_ms: u64) {
        let revision = object.metadata.revision;
        let record = PlacerRecord::deserialize(&object.spec);
        let mut view = self.view.lock().expect("placer view lock");
        let Ok(record) = record else {
            warn!(event = "placer_record_unreadable", revision);
            view.observe_unreadable(revision);
            self.election_wake.notify_one();
            return;
        };
        let reading = view.observe_record(&record, revision, store_era, now_ms);
        let known = view.largest_number;
        drop(view);
        match reading {
            Reading::Newer => self.follow(&record, revision, known),
            Reading::Known | Reading::Removed => {}
            Reading::Lost => {
                let number = record.fencing_number(revision);
                info!(event = "placer_record_dropped", number, known, store_era);
                self.election_wake.notify_one();
            }
        }
    }

    fn follow(&self, record: &PlacerRecord, revision: u64, number: u64) {
        info!(event = "placer_changed", instance = %record.instance, revision, number);
        self.outbox.lock().expect("outbox lock").is_new_placer = true;
        // The election handles a record of this process or of an earlier process of this instance.
        let target = if *record.address == *self.own_address {
            Target::None
        } else {
            Target::Remote(Peer::new(record.address.clone(), peer_secret()))
        };
        self.target.send_replace(target);
        self.update_wake.notify_one();
        self.election_wake.notify_one();
    }

    /// Wakes the election: the store has come back from an older copy.
    pub(crate) fn on_store_era(&self) {
        self.election_wake.notify_one();
    }

    /// Makes this process the placer.
    pub(crate) fn set_local_placer(&self, placer: Placer) {
        self.outbox.lock().expect("outbox lock").is_new_placer = true;
        self.target.send_replace(Target::Local(placer));
        self.update_wake.notify_one();
    }

    /// Handles fenced orders of this process: another process has taken over.
    pub(crate) fn on_orders_fenced(&self, fencing_number: u64) {
        let is_local = self
            .local_placer()
            .is_some_and(|placer| placer.fencing_number == fencing_number);
        if is_local {
            self.target.send_replace(Target::None);
        }
        self.mark_record_stale();
    }

    /// Requires the record to be read again.
    pub(crate) fn mark_record_stale(&self) {
        self.view.lock().expect("placer view lock").is_record_stale = true;
    }

    /// Returns since when there is no record, in milliseconds; `now_ms` on the first call.
    pub(crate) fn absence_start_ms(&self, now_ms: u64) -> u64 {
        let mut view = self.view.lock().expect("placer view lock");
        *view.absent_since_ms.get_or_insert(now_ms)
    }

    /// Requests a placement.
    pub(super) async fn request_placement(
        &self,
        state: &State,
        request: PlacementRequest,
    ) -> PlacerAnswer<PlacementResponse> {
        let target = self.target.borrow().clone();
        match target {
            Target::None => PlacerAnswer::NotAsked,
            Target::Local(placer) => match placer.request_placement(request).await {
                Some(response) => PlacerAnswer::Answered(response),
                None => PlacerAnswer::Unanswered,
            },
            Target::Remote(peer) => self.request_remote_placement(state, &peer, request).await,
        }
    }

    async fn request_remote_placement(
        &self,
        state: &State,
        peer: &Peer,
        request: PlacementRequest,
    ) -> PlacerAnswer<PlacementResponse> {
        let message = Message::RequestPlacement(Box::new(request));
        let answer = self.ask_placer(state, peer, message).await;
        answer.and_then(|reply| match reply {
            Reply::Placement(response) => PlacerAnswer::Answered(response),
            _ => PlacerAnswer::Unanswered,
        })
    }

    /// Requests a permit to send a request to a plain server that states a limit; `None` if no placer
    /// answers.
    pub(crate) async fn request_permit(
        &self,
        state: &State,
        request: PermitRequest,
    ) -> Option<PermitResponse> {
        let target = self.target.borrow().clone();
        match target {
            Target::None => None,
            Target::Local(placer) => placer.request_permit(request).await,
            Target::Remote(peer) => {
                let message = Message::RequestPermit(request);
                match self.ask_placer(state, &peer, message).await.answered()? {
                    Reply::Permit(response) => Some(response),
                    _ => None,
                }
            }
        }
    }

    /// Sends a message to the placer and waits for its reply as long as it is responsive.
    async fn ask_placer(
        &self,
        state: &State,
        peer: &Peer,
        message: Message,
    ) -> PlacerAnswer<Reply> {
        if self.is_placer_unresponsive(state) {
            return PlacerAnswer::NotAsked;
        }
        let envelope = envelope(state, message);
        let exchange = first_reply(peer, &envelope);
        tokio::pin!(exchange);
        loop {
            tokio::select! {
                answer = &mut exchange => return answer.and_then(|reply| match reply {
                    Reply::NotPlacer => {
                        self.mark_record_stale();
                        PlacerAnswer::NotAsked
                    }
                    reply => PlacerAnswer::Answered(reply),
                }),
                () = sleep(Duration::from_millis(RESPONSE_CHECK_PERIOD_MS)) => {
                    if self.is_placer_unresponsive(state) {
                        return PlacerAnswer::Unanswered;
                    }
                }
            }
        }
    }

    /// Asks the placer for one run of a request under quarantine; returns whether it is permitted.
    pub(crate) async fn request_trial(&self, state: &State, work: Work) -> bool {
        let target = self.target.borrow().clone();
        match target {
            Target::None => false,
            Target::Local(placer) => placer.request_trial(work).await,
            Target::Remote(peer) => {
                let envelope = envelope(state, Message::RequestTrial(work));
                let reply = peer.call_unary(&envelope, TRIAL_REQUEST_TIMEOUT_MS).await;
                matches!(reply, Ok(Reply::Trial { is_permitted: true }))
            }
        }
    }

    /// Time since the last contact with the placer, in milliseconds.
    pub(crate) fn placer_contact_age_ms(&self, state: &State) -> u64 {
        if self.local_placer().is_some() {
            return 0;
        }
        let view = self.view.lock().expect("placer view lock");
        if view.record.is_none() || view.refused_since_ms.is_some() {
            return u64::MAX;
        }
        state.now_ms().saturating_sub(view.last_seen_ms)
    }

    fn is_placer_unresponsive(&self, state: &State) -> bool {
        let view = self.view.lock().expect("placer view lock");
        let age_ms = state.now_ms().saturating_sub(view.last_seen_ms);
        view.refused_since_ms.is_some() || age_ms > BYPASS_AFTER_MS
    }

    /// Records that the placer has relayed changes, and whether it reaches the store.
    pub(super) fn record_relay(&self, state: &State, reaches_store: bool) {
        let now_ms = state.now_ms();
        let reached_before = self
            .placer_reaches_store
            .swap(reaches_store, Ordering::Relaxed);
        if reaches_store && !reached_before && !state.reaches_store() {
            // Entries that expired during the outage may be registered again. One that only the placer had was
            // none: the store has served this instance, and what it removed has left.
            state.backends.start_return_grace(now_ms);
        }
        let until_ms = if reaches_store {
            now_ms + RELAY_FRESH_MS
        } else {
            0
        };
        self.relay_fresh_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Time for which the replicas that the placer updates remain fresh, in milliseconds; 0 at the
    /// placer itself and without a placer.
    pub(crate) fn relay_fresh_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.relay_fresh_until_ms.load(Ordering::Relaxed);
        match &*self.target.borrow() {
            Target::Remote(_) => until_ms.saturating_sub(now_ms),
            Target::None | Target::Local(_) => 0,
        }
    }

    /// Removes a request that has left its server or no longer waits, and reports it to the placer.
    pub(crate) fn end_run(&self, ended: EndedRun) {
        self.runs.remove(ended.ticket);
        let is_urgent = !matches!(
            ended.outcome,
            RunOutcome::Answered | RunOutcome::Failed | RunOutcome::Cancelled
        );
        self.outbox.lock().expect("outbox lock").ended.push(ended);
        if is_urgent {
            self.update_wake.notify_one();
        }
    }

    /// Records a cost of an organisation for the next update.
    pub(crate) fn record_charge(&self, organisation: &Name, cost: u64) {
        let mut outbox = self.outbox.lock().expect("outbox lock");
        *outbox.charges.entry(organisation.clone()).or_default() += cost;
    }

    pub(super) fn drain_outbox(&self, state: &State) -> Update {
        let mut outbox = self.outbox.lock().expect("outbox lock");
        let is_new_placer = std::mem::take(&mut outbox.is_new_placer);
        let charges = outbox.charges.drain();
        let charges = charges.map(|(organisation, cost)| Charge { organisation, cost });
        let charges = charges.collect();
        let ended = std::mem::take(&mut outbox.ended);
        drop(outbox);
        let evidence = state.suspects.take_evidence(is_new_placer);
        Update {
            entry: state.incarnation,
            ended,
            charges,
            evidence,
            quarantine_version: state.suspects.version(),
            runs: is_new_placer.then(|| self.runs.placed()),
            limits: state.server_limits.take_unsent(is_new_placer),
            streams: state
                .streams
                .take_unsent(&state.backends.software_versions(), is_new_placer),
            stream_position: state.streams.position(),
            known: state.replicas.known_revisions(),
            address: self.own_address.clone(),
            members_version: state.members.version(),
        }
    }

    pub(super) fn requeue_update(&self, update: Update) {
        let mut outbox = self.outbox.lock().expect("outbox lock");
        outbox.is_new_placer |= update.runs.is_some();
        outbox.ended.extend(update.ended);
        for charge in update.charges {
            *outbox.charges.entry(charge.organisation).or_default() += charge.cost;
        }
    }
}

async fn first_reply(peer: &Peer, envelope: &Envelope) -> PlacerAnswer<Reply> {
    let reply = match peer.call_streaming(envelope).await {
        Ok(mut replies) => replies.next().await,
        Err(cause) => Err(cause),
    };
    match reply {
        Ok(Some(reply)) => PlacerAnswer::Answered(reply),
        Err(cause) if !cause.may_have_run() => PlacerAnswer::NotAsked,
        Ok(None) | Err(_) => PlacerAnswer::Unanswered,
    }
}

/// Wraps a message with the identity of this process.
pub(crate) fn envelope(state: &State, message: Message) -> Envelope {
    Envelope {
        from: InstanceId::new(state.settings().instance.clone(), state.incarnation),
        message,
    }
}

/// Secret shared by the instances of a site. The platform provides none, and its network carries no
/// other traffic between instances, so the secret only rejects stray connections.
pub(crate) fn peer_secret() -> Secret {
    Secret::new("mimosabay-on-platform")
}
