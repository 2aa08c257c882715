//! This instance's own links to the backend servers, and what it does while they are lost.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosabay_core::backend::Backend;
use mimosabay_core::server_links::{LinkChange, ServerLinks};
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::server_connection;
use super::state::State;
use super::{connection::Connection, election};
use crate::clock::Clock;

/// Time without data from any server after which the links are checked, in milliseconds.
const QUIET_MS: u64 = 400;
/// Number of servers that are tried to check the links.
const CHECKED_SERVERS: usize = 2;
/// Time between two checks of the links of a placer that opens no other connections, in milliseconds.
const PLACER_CHECK_PERIOD_MS: u64 = 2_000;
/// Time between two attempts to reach servers directly while the links are lost, in milliseconds.
const RETRY_PERIOD_MS: u64 = 250;
/// Time for which the links have to be lost before this instance stops being the placer, in
/// milliseconds.
const HANDOVER_AFTER_MS: u64 = 700;
/// Time for which the orders of a placer whose links are lost are held, in milliseconds.
const HOLD_ORDERS_MS: u64 = 1_000;

/// Whether this instance reaches the servers itself.
pub(crate) struct Links {
    clock: Clock,
    known: Mutex<ServerLinks>,
    /// Whether the links count as lost.
    lost: watch::Sender<bool>,
    /// Time of the last data from a server, in milliseconds.
    last_data_ms: AtomicU64,
    /// Time at which a connection was last opened directly, in milliseconds.
    last_opened_ms: AtomicU64,
    is_checking: AtomicBool,
}

impl Links {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            known: Mutex::default(),
            lost: watch::Sender::new(false),
            last_data_ms: AtomicU64::new(0),
            last_opened_ms: AtomicU64::new(0),
            is_checking: AtomicBool::new(false),
        }
    }

    /// Records that a connection to a server was opened.
    pub(crate) fn record_opened(&self) {
        let now_ms = self.clock.now_ms();
        self.last_opened_ms.store(now_ms, Ordering::Relaxed);
        let change = self.known.lock().expect("links lock").record_opened(now_ms);
        if let Some(LinkChange::Regained { lost_ms }) = change {
            info!(event = "links_regained", lost_ms);
            self.lost.send_replace(false);
        }
    }

    /// Records that no connection could be opened to a server.
    fn record_unreached(&self, backend: &Backend) {
        let now_ms = self.clock.now_ms();
        let mut known = self.known.lock().expect("links lock");
        let change = known.record_unreached(&backend.id, now_ms);
        drop(known);
        if change == Some(LinkChange::Lost) {
            warn!(event = "links_lost", server = %backend.id);
            self.lost.send_replace(true);
        }
    }

    /// Records the arrival of data from a server.
    pub(crate) fn record_data(&self) {
        let now_ms = self.clock.now_ms();
        self.last_data_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether the links count as lost.
    pub(crate) fn are_lost(&self) -> bool {
        *self.lost.borrow()
    }

    fn has_failed(&self) -> bool {
        self.known.lock().expect("links lock").has_failed()
    }

    fn lost_ms(&self) -> Option<u64> {
        let known = self.known.lock().expect("links lock");
        known.lost_ms(self.clock.now_ms())
    }

    fn is_quiet(&self) -> bool {
        let last_data_ms = self.last_data_ms.load(Ordering::Relaxed);
        self.clock.now_ms().saturating_sub(last_data_ms) >= QUIET_MS
    }
}

/// Records that no connection could be opened to a server that others may reach, and checks whether that is
/// so for other servers too.
pub(super) fn record_unreached(state: &Arc<State>, backend: &Backend) {
    state.server_links.record_unreached(backend);
    start_check(state);
}

/// Waits for the answer of a server. While none of the servers sends anything, the links are checked.
pub(crate) async fn await_answer<T>(state: &Arc<State>, answer: impl Future<Output = T>) -> T {
    tokio::pin!(answer);
    loop {
        match timeout(Duration::from_millis(QUIET_MS), &mut answer).await {
            Ok(answer) => return answer,
            Err(_) if state.server_links.is_quiet() => start_check(state),
            Err(_) => {}
        }
    }
}

/// Checks the links in a separate task, unless another task does.
pub(super) fn start_check(state: &Arc<State>) {
    let links = &state.server_links;
    if links.are_lost() || links.is_checking.swap(true, Ordering::Relaxed) {
        return;
    }
    let state = state.clone();
    tokio::spawn(async move {
        check(&state).await;
        let links = &state.server_links;
        links.record_data();
        links.is_checking.store(false, Ordering::Relaxed);
    });
}

/// Tries to reach a server, and others if that fails. What is found is recorded.
async fn check(state: &Arc<State>) {
    for backend in some_servers(state) {
        let _ = server_connection::open(state, &backend).await;
        if !state.server_links.has_failed() {
            return;
        }
    }
}

/// Checks the links of a placer, which has to reach servers at any time, though its own requests may need no
/// new connection. Runs until the process ends.
pub(crate) async fn check_placer(state: Arc<State>) {
    loop {
        sleep(Duration::from_millis(PLACER_CHECK_PERIOD_MS)).await;
        let links = &state.server_links;
        let opened_ms = links.last_opened_ms.load(Ordering::Relaxed);
        let is_recent = state.now_ms() < opened_ms + PLACER_CHECK_PERIOD_MS;
        if !is_recent && !links.are_lost() && state.link.local_placer().is_some() {
            check(&state).await;
        }
    }
}

/// Returns servers that should be running, chosen at random.
fn some_servers(state: &State) -> Vec<Arc<Backend>> {
    let snapshot = state.backends.snapshot();
    let ready = snapshot.values().filter(|backend| backend.is_ready());
    let ready: Vec<&Arc<Backend>> = ready.collect();
    let chosen = ready.choose_multiple(&mut rand::rng(), CHECKED_SERVERS);
    chosen.map(|backend| (*backend).clone()).collect()
}

/// While the links are lost, tries to regain them, and hands the role of the placer over. Runs until the
/// process ends.
pub(crate) async fn run(state: Arc<State>) {
    let mut changes = state.server_links.lost.subscribe();
    // The sender lives as long as the state.
    while changes.wait_for(|is_lost| *is_lost).await.is_ok() {
        // A connection that is idle may hang.
        state.pool.clear();
        while state.server_links.are_lost() {
            tokio::join!(try_directly(&state), hand_over(&state));
            sleep(Duration::from_millis(RETRY_PERIOD_MS)).await;
        }
    }
}

async fn try_directly(state: &State) {
    for backend in some_servers(state) {
        if Connection::open(backend.address).await.is_ok() {
            return state.server_links.record_opened();
        }
    }
}

/// Stops being the placer if the links have been lost for some time.
async fn hand_over(state: &State) {
    let lost_ms = state.server_links.lost_ms();
    if lost_ms.is_none_or(|lost_ms| lost_ms < HANDOVER_AFTER_MS) {
        return;
    }
    let Some(placer) = state.link.local_placer() else {
        return;
    };
    placer.hold_orders(state.now_ms() + HOLD_ORDERS_MS);
    let limit = Duration::from_millis(HOLD_ORDERS_MS);
    // It is tried again while the links are lost.
    let _ = timeout(limit, election::resign(state)).await;
}
