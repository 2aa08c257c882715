//! Permission of the placer in this process to send orders to servers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use mimosabay_core::name::Name;
use mimosabay_core::order_lease::{OrderLease, duration_ms};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::election;
use super::state::State;
use crate::clock;

/// Time to wait for the store to confirm the record, in milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 300;
/// Time between two attempts to have the record confirmed, in milliseconds.
const CONFIRM_PERIOD_MS: u64 = 500;
/// Longest time to wait for the answers to orders before the record is removed, in milliseconds.
const MAX_SETTLE_MS: u64 = 500;
/// Time between two checks whether all orders are answered, in milliseconds.
const SETTLE_CHECK_MS: u64 = 10;

/// The lease for orders, and the orders that are under way.
pub(crate) struct OrderPermission {
    lease: Mutex<OrderLease>,
    /// Time of the last failed attempt to have the record confirmed. Held during an attempt.
    last_failure: tokio::sync::Mutex<Option<Instant>>,
    /// Number of the placer of this process that last tried to remove its record; 0 if none did.
    resigned_number: AtomicU64,
    /// When it tried that, by the clock of [`clock::boot_ms`].
    resigned_ms: AtomicU64,
    /// Number of attempts to remove the record that are under way.
    resigning: AtomicU64,
    under_way: AtomicU64,
}

/// An attempt to remove the record. Dropping it ends the attempt.
pub(crate) struct Resigning<'a> {
    resigning: &'a AtomicU64,
}

impl Drop for Resigning<'_> {
    fn drop(&mut self) {
        self.resigning.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An order that may be sent now. Dropping it means that it is answered.
pub(crate) struct PermittedOrder<'a> {
    under_way: &'a AtomicU64,
}

impl Drop for PermittedOrder<'_> {
    fn drop(&mut self) {
        self.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

impl OrderPermission {
    pub(crate) fn new(lease_ms: u64) -> Self {
        Self {
            lease: Mutex::new(OrderLease::new(duration_ms(lease_ms))),
            last_failure: tokio::sync::Mutex::new(None),
            resigned_number: AtomicU64::new(0),
            resigned_ms: AtomicU64::new(0),
            resigning: AtomicU64::new(0),
            under_way: AtomicU64::new(0),
        }
    }

    /// Records that another instance takes this process for the placer.
    pub(crate) fn record_contact(&self, other: &Name) {
        self.lease().record_contact(other, clock::boot_ms());
    }

    /// Extends the lease, or ends it if this process was paused since the last call.
    pub(crate) fn advance(&self) {
        self.lease().advance(clock::boot_ms());
    }

    /// Begins an attempt to remove the record.
    pub(crate) fn begin_resigning(&self) -> Resigning<'_> {
        self.resigning.fetch_add(1, Ordering::Relaxed);
        Resigning {
            resigning: &self.resigning,
        }
    }

    /// Whether the placer with a fencing number has tried in vain to remove its record, so that it may order
    /// only with a new one.
    pub(crate) fn needs_new_record(&self, fencing_number: u64) -> bool {
        self.has_resigned(fencing_number) && !self.is_resigning()
    }

    /// Whether an attempt to remove the record is under way.
    pub(crate) fn is_resigning(&self) -> bool {
        self.resigning.load(Ordering::Relaxed) > 0
    }

    /// Whether the placer with a fencing number has tried to remove its record. It orders no more, because
    /// the removal may take effect late.
    pub(crate) fn has_resigned(&self, fencing_number: u64) -> bool {
        self.resigned_number.load(Ordering::Relaxed) == fencing_number
    }

    /// Time since a placer of this process last tried to remove its record, in milliseconds; `None` if none
    /// did.
    pub(crate) fn since_resigned_ms(&self) -> Option<u64> {
        if self.resigned_number.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let resigned_ms = self.resigned_ms.load(Ordering::Relaxed);
        Some(clock::boot_ms().saturating_sub(resigned_ms))
    }

    /// Ends the orders of a placer, and returns once those that it has sent are answered or have failed.
    pub(crate) async fn resign(&self, fencing_number: u64) {
        self.resigned_number
            .store(fencing_number, Ordering::Relaxed);
        self.resigned_ms.store(clock::boot_ms(), Ordering::Relaxed);
        self.lease().release();
        let settled_by = Instant::now() + Duration::from_millis(MAX_SETTLE_MS);
        while self.under_way.load(Ordering::Relaxed) > 0 && Instant::now() < settled_by {
            sleep(Duration::from_millis(SETTLE_CHECK_MS)).await;
        }
    }

    fn try_permit(&self, fencing_number: u64) -> Option<PermittedOrder<'_>> {
        let may_order = self.lease().may_order(fencing_number, clock::boot_ms());
        may_order.then(|| {
            self.under_way.fetch_add(1, Ordering::Relaxed);
            PermittedOrder {
                under_way: &self.under_way,
            }
        })
    }

    fn lease(&self) -> MutexGuard<'_, OrderLease> {
        self.lease.lock().expect("order lease lock")
    }
}

/// Returns once the placer with a fencing number may send an order, which has to be sent at once; `None` if
/// it may not.
pub(crate) async fn obtain(state: &State, fencing_number: u64) -> Option<PermittedOrder<'_>> {
    let permission = &state.order_permission;
    if let Some(permitted) = permission.try_permit(fencing_number) {
        return Some(permitted);
    }
    if permission.has_resigned(fencing_number) {
        return None;
    }
    let mut last_failure = permission.last_failure.lock().await;
    let period = Duration::from_millis(CONFIRM_PERIOD_MS);
    let is_known = permission
        .lease()
        .may_order(fencing_number, clock::boot_ms());
    if !is_known && last_failure.is_none_or(|it| it.elapsed() >= period) {
        let is_confirmed = confirm(state, fencing_number).await;
        *last_failure = (!is_confirmed).then(Instant::now);
    }
    drop(last_failure);
    let permitted = permission.try_permit(fencing_number);
    if permitted.is_none()
        && let Some(placer) = state.link.local_placer()
    {
        placer.hold_orders(state.now_ms() + CONFIRM_PERIOD_MS);
    }
    permitted
}

/// Has the store confirm that its record names the placer with a fencing number; returns whether it does.
async fn confirm(state: &State, fencing_number: u64) -> bool {
    let asked_ms = clock::boot_ms();
    let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
    match timeout(limit, election::read_record(state)).await {
        Ok(Ok(())) => {}
        Ok(Err(cause)) => {
            warn!(event = "order_lease_not_confirmed", number = fencing_number, %cause);
            return false;
        }
        Err(_) => {
            let cause = "the store did not answer in time";
            warn!(
                event = "order_lease_not_confirmed",
                number = fencing_number,
                cause
            );
            return false;
        }
    }
    let is_confirmed = state.link.is_stored_placer(fencing_number)
        && !state.order_permission.has_resigned(fencing_number);
    if is_confirmed {
        let mut others = state.members.in_contact();
        others.retain(|address| address != state.link.own_address());
        let instances = others.len();
        state
            .order_permission
            .lease()
            .acquire(fencing_number, asked_ms, others);
        info!(
            event = "order_lease_acquired",
            number = fencing_number,
            instances
        );
    }
    is_confirmed
}
