//! Runs the decisions of the cell while this instance is its placer.

use std::collections::HashMap;
use std::sync::Arc;

use mimosabay_core::cell::{
    Action, AdapterKey, Cell, Order, OrderAnswer, PlacementRequest, PlacementResponse,
    QuarantineSnapshot, Report, Ticket, Update,
};
use mimosabay_core::name::Name;
use mimosabay_core::site::Site;
use mimosabay_platform::server::{OrderAuthority, ServerControl};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;
use tracing::{debug, info, warn};

use super::backends::Snapshot;
use super::state::State;

/// Bits of a version of the standings that count the changes of one placer.
const VERSION_BITS: u32 = 20;
/// Longest time between two looks at what is due, in milliseconds.
const MAX_TICK_MS: u64 = 250;

/// Tells the placer what happens. Cloning it reaches the same placer.
#[derive(Clone)]
pub(crate) struct Placer {
    inbox: mpsc::UnboundedSender<Input>,
    /// Fencing number of its orders.
    pub(crate) fencing_number: u64,
}

enum Input {
    Ask(Box<PlacementRequest>, oneshot::Sender<PlacementResponse>),
    Update(Box<Update>),
    OrderAnswered(Name, OrderAnswer),
    Reported(Name, Option<Report>),
    HoldOrders { until_ms: u64 },
}

impl Placer {
    /// Starts to decide. Orders are given from `orders_from_ms` on.
    pub(crate) fn start(state: Arc<State>, fencing_number: u64, orders_from_ms: u64) -> Self {
        let (inbox, inputs) = mpsc::unbounded_channel();
        let placer = Self {
            inbox,
            fencing_number,
        };
        let authority = OrderAuthority {
            holder: state.settings().instance.clone(),
            fencing_number,
        };
        let driver = Driver {
            cell: Cell::new(orders_from_ms),
            answers: HashMap::new(),
            control: ServerControl::default(),
            authority,
            inbox: placer.inbox.downgrade(),
            state,
        };
        driver.number_standings();
        tokio::spawn(driver.run(inputs));
        placer
    }

    /// Asks for a place; `None` if the placer has stopped.
    pub(crate) async fn ask(&self, ask: PlacementRequest) -> Option<PlacementResponse> {
        let (sender, answer) = oneshot::channel();
        self.inbox.send(Input::Ask(Box::new(ask), sender)).ok()?;
        answer.await.ok()
    }

    /// Tells what has happened at an instance.
    pub(crate) fn update(&self, update: Update) {
        // A placer that has stopped no longer needs it.
        let _ = self.inbox.send(Input::Update(Box::new(update)));
    }

    /// Gives no orders until then.
    pub(crate) fn hold_orders(&self, until_ms: u64) {
        let _ = self.inbox.send(Input::HoldOrders { until_ms });
    }
}

struct Driver {
    cell: Cell,
    answers: HashMap<Ticket, oneshot::Sender<PlacementResponse>>,
    control: ServerControl,
    authority: OrderAuthority,
    inbox: mpsc::WeakUnboundedSender<Input>,
    state: Arc<State>,
}

impl Driver {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut sites = self.state.site.subscribe();
        let mut backends = self.state.backends.subscribe();
        let mut releases = self.state.releases.subscribe();
        self.take_site(sites.borrow_and_update().clone());
        self.take_releases(&releases.borrow_and_update().clone());
        self.take_backends(&backends.borrow_and_update().clone());
        loop {
            self.act();
            let due = self.next_due();
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => break,
                },
                Ok(()) = sites.changed() => {
                    let site = sites.borrow_and_update().clone();
                    self.take_site(site);
                    self.take_backends(&backends.borrow().clone());
                }
                Ok(()) = backends.changed() => {
                    let snapshot = backends.borrow_and_update().clone();
                    self.take_backends(&snapshot);
                }
                Ok(()) = releases.changed() => {
                    let newest = releases.borrow_and_update().clone();
                    self.take_releases(&newest);
                }
                () = sleep_until(due) => self.cell.tick(self.state.now_ms()),
            }
        }
        info!(
            event = "placer_stopped",
            fencing_number = self.authority.fencing_number
        );
    }

    fn next_due(&self) -> tokio::time::Instant {
        let now_ms = self.state.now_ms();
        let latest_ms = now_ms + MAX_TICK_MS;
        let due_ms = self.cell.next_due_ms().unwrap_or(latest_ms);
        self.state.clock.instant(due_ms.clamp(now_ms, latest_ms))
    }

    fn take(&mut self, input: Input) {
        let now_ms = self.state.now_ms();
        match input {
            Input::Ask(ask, answer) => {
                self.answers.insert(ask.ticket, answer);
                self.cell.request_placement(*ask, now_ms);
            }
            Input::Update(update) => self.take_update(*update, now_ms),
            Input::OrderAnswered(server, answer) => {
                self.cell.handle_order_answer(&server, answer, now_ms);
            }
            Input::Reported(server, report) => {
                self.cell.handle_report(&server, report.as_ref(), now_ms);
            }
            Input::HoldOrders { until_ms } => self.cell.hold_orders(until_ms),
        }
    }

    fn take_update(&mut self, update: Update, now_ms: u64) {
        self.cell.record_contact(update.entry, now_ms);
        if let Some(runs) = update.runs {
            let zone = self.state.settings().zone.clone();
            self.cell.adopt_runs(runs, &zone, now_ms);
        }
        for ended in &update.ended {
            self.answers.remove(&ended.ticket);
            self.cell.end_run(ended, now_ms);
        }
        self.cell.count_charges(&update.charges, now_ms);
        self.cell
            .record_crashes(&update.crashes, &update.cleared, now_ms);
        if let Some(standings) = self.cell.take_quarantine_changes() {
            self.tell_standings(standings);
        }
    }

    /// What this process was told as another placed goes on under versions of its own.
    fn number_standings(&self) {
        let mut told = self.state.standings.lock().expect("standings lock");
        told.version = self.authority.fencing_number << VERSION_BITS;
    }

    fn tell_standings(&self, standings: QuarantineSnapshot) {
        info!(
            event = "suspects_changed",
            suspected = standings.suspected.len(),
            refused = standings.refused.len()
        );
        let mut told = self.state.standings.lock().expect("standings lock");
        told.version += 1;
        told.snapshot = standings;
    }

    fn take_site(&mut self, site: Option<Arc<Site>>) {
        if let Some(site) = site {
            self.cell.configure(&site, self.state.now_ms());
        }
    }

    fn take_backends(&mut self, snapshot: &Snapshot) {
        let backends = snapshot.values().map(|backend| &**backend);
        self.cell.set_backends(backends, self.state.now_ms());
    }

    fn take_releases(&mut self, newest: &HashMap<AdapterKey, u64>) {
        for (key, version) in newest {
            self.cell.record_release(key.clone(), *version);
        }
    }

    fn act(&mut self) {
        for action in self.cell.take_actions() {
            match action {
                Action::Answer { ticket, response } => {
                    if let Some(answer) = self.answers.remove(&ticket) {
                        // An instance that no longer waits tells so by an update.
                        let _ = answer.send(response);
                    }
                }
                Action::Order(order) => self.order(order),
                Action::RequestReport(backend) => self.ask_report(backend),
                Action::StepDown => {
                    warn!(
                        event = "orders_fenced",
                        number = self.authority.fencing_number
                    );
                    self.state.link.fenced(self.authority.fencing_number);
                }
            }
        }
    }

    fn order(&self, order: Order) {
        self.state.metrics.order_given();
        let control = self.control.clone();
        let authority = self.authority.clone();
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let answer = control.send_order(order.address, &order, &authority).await;
            debug!(
                event = "order",
                server = %order.server,
                kind = ?order.kind,
                adapter = order.adapter.as_deref().unwrap_or_default(),
                precondition = order.precondition,
                fencing_number = authority.fencing_number,
                ?answer
            );
            if let Some(inbox) = inbox.upgrade() {
                let _ = inbox.send(Input::OrderAnswered(order.server, answer));
            }
        });
    }

    fn ask_report(&self, backend: mimosabay_core::backend::Backend) {
        let control = self.control.clone();
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let report = control.fetch_report(backend.address, &backend.id).await;
            if report.is_none() {
                info!(event = "report_missing", server = %backend.id);
            }
            if let Some(inbox) = inbox.upgrade() {
                let _ = inbox.send(Input::Reported(backend.id, report));
            }
        });
    }
}
