//! Drives the cell's state machine while this instance is the placer.

use std::collections::HashMap;
use std::sync::Arc;

use mimosabay_core::cell::{
    Action, AdapterKey, Cell, Order, OrderAnswer, PermitRequest, PermitResponse, PlacementRequest,
    PlacementResponse, Ticket, Update,
};
use mimosabay_core::placer_machine::Processor;
use mimosabay_core::quarantine_log::QuarantineLog;
use mimosabay_core::site::Site;
use mimosabay_core::slow_start::ServerAnswer;
use mimosabay_core::stream_log::StreamLog;
use mimosabay_core::stream_versions::StreamVersion;
use mimosabay_core::work::Work;
use mimosabay_platform::server::{OrderAuthority, ServerControl};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;
use tracing::{debug, info, warn};

use super::backends::Snapshot;
use super::evidence_bounds::{self, Holder};
use super::metrics::PlacerGauges;
use super::placer_inbox::{Inbox, Input, Reported, SentInput, WeakInbox};
use super::placer_load::PlacerLoad;
use super::quarantine_store::QuarantineStore;
use super::server_connection;
use super::state::State;
use super::stream_store::StreamStore;
use super::{election, order_permission};

/// Longest time between two ticks of the cell, in milliseconds.
const MAX_TICK_MS: u64 = 250;

/// Handle of a running placer. Clones refer to the same placer.
#[derive(Clone)]
pub(crate) struct Placer {
    inbox: Inbox,
    /// Fencing number of its orders.
    pub(crate) fencing_number: u64,
}

impl Placer {
    /// Starts the placer. It sends orders to servers from `orders_from_ms` on.
    pub(crate) fn start(state: Arc<State>, fencing_number: u64, orders_from_ms: u64) -> Self {
        let (inbox, inputs) = Inbox::new(state.clock);
        let placer = Self {
            inbox,
            fencing_number,
        };
        let authority = OrderAuthority {
            holder: state.settings().instance.clone(),
            fencing_number,
        };
        let mut cell = Cell::new(orders_from_ms);
        cell.set_epoch(state.clock.start_unix_ms());
        cell.merge_quarantine(&state.suspects.known());
        cell.apply_limits(&state.server_limits.all(), state.now_ms());
        let limits = state.server_limits.starting();
        cell.adopt_slow_starts(limits.starting(), state.now_ms());
        cell.adopt_versions(state.backends.software_versions(), state.now_ms());
        cell.record_streams(&state.streams.all(), state.now_ms());
        let (begun_streams, begun) = mpsc::unbounded_channel();
        let driver = Driver {
            cell,
            responders: HashMap::new(),
            permit_responders: HashMap::new(),
            control: ServerControl::default(),
            authority,
            inbox: placer.inbox.downgrade(),
            quarantine_changes: watch::Sender::new(()),
            begun_streams,
            load: PlacerLoad::new(state.now_ms()),
            state,
        };
        driver.start_quarantine_log();
        driver.start_stream_log();
        driver.start_quarantine_store();
        driver.start_stream_store(begun);
        driver.obtain_lease();
        tokio::spawn(driver.run(inputs));
        placer
    }

    /// Requests a placement; `None` if the placer has stopped.
    pub(crate) async fn request_placement(
        &self,
        request: PlacementRequest,
    ) -> Option<PlacementResponse> {
        let (sender, response) = oneshot::channel();
        self.inbox
            .send(Input::RequestPlacement(Box::new(request), sender))
            .ok()?;
        response.await.ok()
    }

    /// Requests a permit to send a request to a plain server that states a limit; `None` if the placer
    /// has stopped. Dropping the future returns the permit.
    pub(crate) async fn request_permit(&self, request: PermitRequest) -> Option<PermitResponse> {
        let (sender, response) = oneshot::channel();
        self.inbox
            .send(Input::RequestPermit(request, sender))
            .ok()?;
        response.await.ok()
    }

    /// Asks for one run of a request under quarantine; returns whether it is permitted.
    pub(crate) async fn request_trial(&self, work: Work) -> bool {
        let (sender, response) = oneshot::channel();
        // A placer that has stopped drops the sender.
        let _ = self.inbox.send(Input::RequestTrial(Box::new(work), sender));
        response.await.unwrap_or(false)
    }

    /// Passes an instance's update to the placer.
    pub(crate) fn send_update(&self, update: Update) {
        // A placer that has stopped does not need the update.
        let _ = self.inbox.send(Input::Update(Box::new(update)));
    }

    /// Passes to the placer how servers that have just started answered.
    pub(crate) fn record_server_answers(&self, answers: Vec<ServerAnswer>) {
        // A placer that has stopped does not need them.
        let _ = self.inbox.send(Input::RecordServerAnswers(answers));
    }

    /// Suspends orders until `until_ms`.
    pub(crate) fn hold_orders(&self, until_ms: u64) {
        let _ = self.inbox.send(Input::HoldOrders { until_ms });
    }
}

struct Driver {
    cell: Cell,
    responders: HashMap<Ticket, oneshot::Sender<PlacementResponse>>,
    permit_responders: HashMap<Ticket, oneshot::Sender<PermitResponse>>,
    control: ServerControl,
    authority: OrderAuthority,
    inbox: WeakInbox,
    /// Signals changes of the quarantine to its store. Dropping it ends the store's task.
    quarantine_changes: watch::Sender<()>,
    /// Passes streams that have begun to their store. Dropping it ends the store's task.
    begun_streams: mpsc::UnboundedSender<Vec<StreamVersion>>,
    load: PlacerLoad,
    state: Arc<State>,
}

impl Driver {
    /// Obtains the lease before the first order needs it.
    fn obtain_lease(&self) {
        let state = self.state.clone();
        let number = self.authority.fencing_number;
        tokio::spawn(async move { drop(order_permission::obtain(&state, number).await) });
    }

    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<SentInput>) {
        let mut sites = self.state.site.subscribe();
        let mut backends = self.state.backends.subscribe();
        let mut releases = self.state.releases.subscribe();
        let mut uneven = self.state.uneven_services.subscribe();
        self.apply_site(sites.borrow_and_update().clone());
        self.apply_uneven();
        self.apply_releases(&releases.borrow_and_update().clone());
        self.apply_backends(&backends.borrow_and_update().clone());
        loop {
            self.run_actions();
            self.publish_quarantine();
            self.publish_streams();
            self.observe_load(inputs.len());
            let due_ms = self.next_due_ms();
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(SentInput { input, sent_ms }) => {
                        self.load.record_input(sent_ms, self.state.now_ms());
                        self.handle_input(input);
                    }
                    None => break,
                },
                Ok(()) = sites.changed() => {
                    let site = sites.borrow_and_update().clone();
                    self.apply_site(site);
                    self.apply_backends(&backends.borrow().clone());
                }
                Ok(()) = backends.changed() => {
                    let snapshot = backends.borrow_and_update().clone();
                    self.apply_backends(&snapshot);
                }
                Ok(()) = uneven.changed() => self.apply_uneven(),
                Ok(()) = releases.changed() => {
                    let newest = releases.borrow_and_update().clone();
                    self.apply_releases(&newest);
                }
                () = sleep_until(self.state.clock.instant(due_ms)) => {
                    let now_ms = self.state.now_ms();
                    self.load.record_timer(due_ms, now_ms);
                    self.cell.tick(now_ms);
                    self.end_slow_starts(now_ms);
                }
            }
        }
        self.state.metrics.set_placer(&PlacerGauges::default());
        info!(
            event = "placer_stopped",
            fencing_number = self.authority.fencing_number
        );
    }

    fn end_slow_starts(&mut self, now_ms: u64) {
        for (server, requests_per_s) in self.cell.end_slow_starts(now_ms) {
            info!(event = "slow_start_ended", %server, requests_per_s, at = "placer");
        }
    }

    fn next_due_ms(&self) -> u64 {
        let now_ms = self.state.now_ms();
        let latest_ms = now_ms + MAX_TICK_MS;
        let due_ms = self.cell.next_due_ms().unwrap_or(latest_ms);
        due_ms.clamp(now_ms, latest_ms)
    }

    /// Logs the load once a second, and hands over to a larger machine if this one is behind, or if
    /// nothing runs that a change of the placer could delay.
    fn observe_load(&mut self, waiting_inputs: usize) {
        if !self.load.is_due(self.state.now_ms()) {
            return;
        }
        let dropped = self.cell.take_dropped_evidence();
        evidence_bounds::report(&self.state, Holder::Placer, dropped);
        let status = self.cell.status();
        let is_behind = self.load.log(&self.state, &status, waiting_inputs);
        let since_last_ms = self.state.order_permission.since_resigned_ms();
        let own = self.state.settings().processor;
        let largest_other = self.state.members.largest_processor();
        let is_idle = status.waiting == 0 && status.running == 0;
        if (is_behind || is_idle) && own.hands_over_to(largest_other, since_last_ms) {
            let reason = if is_behind { "behind" } else { "idle" };
            self.hand_over(reason, own, largest_other);
        }
    }

    fn hand_over(&self, reason: &'static str, own: Processor, largest_other: Processor) {
        let number = self.authority.fencing_number;
        if self.state.order_permission.is_resigning() {
            return;
        }
        warn!(
            event = "placer_hands_over",
            number,
            reason,
            millicores = own.millicores(),
            largest_other_millicores = largest_other.millicores()
        );
        let state = self.state.clone();
        tokio::spawn(async move { election::resign(&state).await });
    }

    fn handle_input(&mut self, input: Input) {
        let now_ms = self.state.now_ms();
        match input {
            Input::RequestPlacement(request, responder) => {
                self.responders.insert(request.ticket, responder);
                self.cell.request_placement(*request, now_ms);
            }
            Input::RequestPermit(request, responder) => {
                self.permit_responders.insert(request.ticket, responder);
                self.cell.request_permit(request, now_ms);
            }
            Input::RequestTrial(work, responder) => {
                let is_permitted = self.cell.try_start_trial(&work, now_ms);
                let fingerprint = work.request_hash();
                debug!(event = "trial_requested", fingerprint, is_permitted);
                // An instance that no longer waits does not run the request.
                let _ = responder.send(is_permitted);
            }
            Input::Update(update) => self.apply_update(*update, now_ms),
            Input::OrderAnswered(server, answer) => {
                self.cell.handle_order_answer(&server, answer, now_ms);
            }
            Input::Reported(server, Reported::Report(report)) => {
                self.cell.handle_report(&server, Some(&report), now_ms);
            }
            Input::Reported(server, Reported::Unresponsive) => {
                self.cell.handle_report(&server, None, now_ms);
            }
            Input::Reported(server, Reported::Unreached) => {
                self.cell.delay_report(&server, now_ms);
            }
            Input::RecordServerAnswers(answers) => {
                self.cell.record_server_answers(&answers, now_ms);
            }
            Input::HoldOrders { until_ms } => self.cell.hold_orders(until_ms),
            Input::MergeQuarantine(quarantine) => self.cell.merge_quarantine(&quarantine),
            Input::RecordStreams(streams) => self.cell.record_streams(&streams, now_ms),
        }
    }

    fn apply_update(&mut self, update: Update, now_ms: u64) {
        self.cell.record_contact(update.entry, now_ms);
        if let Some(runs) = update.runs {
            let zone = self.state.settings().zone.clone();
            self.cell.adopt_runs(runs, &zone, now_ms);
        }
        for ended in &update.ended {
            self.responders.remove(&ended.ticket);
            self.cell.end_run(ended, now_ms);
        }
        self.cell.count_charges(&update.charges, now_ms);
        self.cell.merge_quarantine(&update.evidence);
        self.cell.apply_limits(&update.limits, now_ms);
        self.cell.record_streams(&update.streams, now_ms);
    }

    fn start_stream_log(&self) {
        let log = StreamLog::new(self.authority.fencing_number);
        *self.state.stream_log.lock().expect("stream log lock") = log;
    }

    fn start_stream_store(&self, begun: mpsc::UnboundedReceiver<Vec<StreamVersion>>) {
        let store = StreamStore::new(self.state.clone());
        let inbox = self.inbox.clone();
        let merge = move |streams| {
            if let Some(inbox) = inbox.upgrade() {
                // A placer that has stopped does not need the streams.
                let _ = inbox.send(Input::RecordStreams(streams));
            }
        };
        tokio::spawn(store.run(begun, merge));
    }

    /// Reports changes of what is known of streams to the instances that keep them, and the streams that have
    /// begun to the store.
    fn publish_streams(&mut self) {
        let now_ms = self.state.now_ms();
        let begun = self.cell.take_begun_streams(now_ms);
        if !begun.is_empty() {
            // The store's task ends with this placer.
            let _ = self.begun_streams.send(begun);
        }
        let changed = self.cell.take_stream_changes(now_ms);
        if changed.is_empty() {
            return;
        }
        let instances = self.state.members.in_contact();
        let mut log = self.state.stream_log.lock().expect("stream log lock");
        for stream in changed {
            log.record(stream, &instances, now_ms);
        }
    }

    fn start_quarantine_log(&self) {
        let log = QuarantineLog::new(self.authority.fencing_number);
        *self.state.quarantine.lock().expect("quarantine lock") = log;
    }

    fn start_quarantine_store(&self) {
        let store = QuarantineStore::new(self.state.clone());
        let inbox = self.inbox.clone();
        let merge = move |quarantine| {
            if let Some(inbox) = inbox.upgrade() {
                // A placer that has stopped does not need the quarantine.
                let _ = inbox.send(Input::MergeQuarantine(quarantine));
            }
        };
        tokio::spawn(store.run(self.quarantine_changes.subscribe(), merge));
    }

    /// Reports changes of the quarantine to the instances and to its store.
    fn publish_quarantine(&mut self) {
        let Some(evidence) = self.cell.take_quarantine_changes() else {
            return;
        };
        let mut log = self.state.quarantine.lock().expect("quarantine lock");
        log.record(&evidence);
        let refused = log.table().quarantined().count();
        drop(log);
        let changed = evidence.fingerprints().count();
        info!(event = "suspects_changed", changed, refused);
        self.quarantine_changes.send_replace(());
    }

    fn apply_site(&mut self, site: Option<Arc<Site>>) {
        if let Some(site) = site {
            self.cell.configure(&site, self.state.now_ms());
        }
    }

    fn apply_uneven(&mut self) {
        for service in self.state.uneven_services.all() {
            self.cell.mark_uneven(&service);
        }
    }

    fn apply_backends(&mut self, snapshot: &Snapshot) {
        let now_ms = self.state.now_ms();
        let software = self.state.backends.software_versions();
        let backends = snapshot.values().map(|backend| &**backend);
        self.cell.set_backends(backends, now_ms);
        self.cell.adopt_versions(software, now_ms);
    }

    fn apply_releases(&mut self, newest: &HashMap<AdapterKey, u64>) {
        for (key, version) in newest {
            self.cell.record_release(key.clone(), *version);
        }
    }

    fn run_actions(&mut self) {
        for action in self.cell.take_actions() {
            match action {
                Action::Answer { ticket, response } => {
                    if let Some(responder) = self.responders.remove(&ticket) {
                        // An instance that no longer waits reports it in an update.
                        let _ = responder.send(response);
                    }
                }
                Action::Permit { ticket, response } => self.answer_permit(ticket, response),
                Action::Order(order) => self.send_order(order),
                Action::RequestReport(backend) => self.fetch_report(backend),
                Action::StepDown => {
                    warn!(
                        event = "orders_fenced",
                        number = self.authority.fencing_number
                    );
                    self.state
                        .link
                        .on_orders_fenced(self.authority.fencing_number);
                }
            }
        }
    }

    /// Answers a request for a permit. An instance that no longer waits does not use it.
    fn answer_permit(&mut self, ticket: Ticket, response: PermitResponse) {
        let Some(responder) = self.permit_responders.remove(&ticket) else {
            return;
        };
        if let Err(PermitResponse::Granted { server }) = responder.send(response) {
            self.cell.return_permit(&server, self.state.now_ms());
        }
    }

    fn send_order(&self, order: Order) {
        self.state.metrics.count_order();
        let control = self.control.clone();
        let authority = self.authority.clone();
        let inbox = self.inbox.clone();
        let state = self.state.clone();
        tokio::spawn(async move {
            let planned_ms = state.now_ms();
            let permitted = order_permission::obtain(&state, authority.fencing_number).await;
            let answer = match &permitted {
                Some(_) => control.send_order(order.address, &order, &authority).await,
                None => OrderAnswer::NotSent,
            };
            info!(
                event = "order",
                server = %order.server,
                kind = ?order.kind,
                model = %order.model,
                adapter = order.adapter.as_deref(),
                version = order.version,
                precondition = order.precondition,
                fencing_number = authority.fencing_number,
                is_permitted = permitted.is_some(),
                ?answer,
                took_ms = state.now_ms() - planned_ms
            );
            drop(permitted);
            if let Some(inbox) = inbox.upgrade() {
                let _ = inbox.send(Input::OrderAnswered(order.server, answer));
            }
        });
    }

    fn fetch_report(&self, backend: mimosabay_core::backend::Backend) {
        let control = self.control.clone();
        let inbox = self.inbox.clone();
        let state = self.state.clone();
        tokio::spawn(async move {
            let report = control.fetch_report(backend.address, &backend.id).await;
            let report = match report {
                Some(report) => Reported::Report(report),
                None if server_connection::is_unresponsive(&state, &backend).await => {
                    Reported::Unresponsive
                }
                None => Reported::Unreached,
            };
            if !matches!(report, Reported::Report(_)) {
                info!(event = "report_missing", server = %backend.id, ?report);
            }
            if let Some(inbox) = inbox.upgrade() {
                let _ = inbox.send(Input::Reported(backend.id, report));
            }
        });
    }
}
