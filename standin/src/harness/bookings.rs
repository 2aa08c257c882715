//! Concurrent callers that send bookings through a balancer, some with an idempotency key.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::caller::{Caller, Failure, Reply};
use super::load::Balancer;

const BOOKING_PATH: &str = "/orders/book";
/// Maximum number of attempts at a booking with an idempotency key.
const MAX_ATTEMPTS: usize = 5;
/// Delay while no instance is ready, and after each attempt that was not confirmed.
const PAUSE_MS: u64 = 50;

/// Outcome of one attempt at a booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BookingOutcome {
    /// The plain service confirmed the booking under this number.
    Booked(u64),
    /// An instance returned an error.
    Refused {
        /// The error's `code`.
        code: String,
        /// The error's `ran`: whether the request ran.
        ran: String,
    },
    /// The connection broke, with the cause.
    Broken(String),
}

/// One attempt at a booking.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Address of the instance that the attempt was sent to.
    pub address: String,
    /// How the attempt ended.
    pub outcome: BookingOutcome,
}

/// One booking with all of its attempts.
#[derive(Clone, Debug)]
pub struct BookingRecord {
    /// Request body, unique among all bookings of a test.
    pub order: String,
    /// Whether its attempts carry an idempotency key.
    pub is_keyed: bool,
    /// Attempts, oldest first; exactly one if there is no key.
    pub attempts: Vec<Attempt>,
}

/// Running callers. Dropping it aborts them.
#[derive(Debug)]
pub struct BookingLoad {
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
    records: Arc<Mutex<Vec<BookingRecord>>>,
}

struct BookingCaller {
    index: usize,
    is_keyed: bool,
    balancer: Balancer,
    records: Arc<Mutex<Vec<BookingRecord>>>,
    stopped: watch::Receiver<bool>,
}

impl BookingLoad {
    /// Starts the callers; every second one uses idempotency keys.
    pub fn start(balancer: &Balancer, callers: usize) -> Self {
        let (stop, stopped) = watch::channel(false);
        let records: Arc<Mutex<Vec<BookingRecord>>> = Arc::default();
        let mut tasks = JoinSet::new();
        for index in 0..callers {
            let caller = BookingCaller {
                index,
                is_keyed: index.is_multiple_of(2),
                balancer: balancer.clone(),
                records: records.clone(),
                stopped: stopped.clone(),
            };
            tasks.spawn(caller.run());
        }
        Self {
            stop,
            callers: tasks,
            records,
        }
    }

    /// Waits for the open bookings to end and returns all records.
    pub async fn stop(mut self) -> Vec<BookingRecord> {
        self.stop.send_replace(true);
        while self.callers.join_next().await.is_some() {}
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *records)
    }
}

impl BookingCaller {
    async fn run(self) {
        for count in 0.. {
            if *self.stopped.borrow() {
                return;
            }
            let order = format!("order {count} of booker {}", self.index);
            let attempts = self.book(&order).await;
            let record = BookingRecord {
                order,
                is_keyed: self.is_keyed,
                attempts,
            };
            let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
            records.push(record);
        }
    }

    /// Sends a booking until it is confirmed or `MAX_ATTEMPTS` is reached; without a key, once.
    async fn book(&self, order: &str) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        let max_attempts = if self.is_keyed { MAX_ATTEMPTS } else { 1 };
        while attempts.len() < max_attempts {
            let Some(address) = self.balancer.next_instance() else {
                sleep(Duration::from_millis(PAUSE_MS)).await;
                continue;
            };
            let outcome = self.send_once(&address, order).await;
            let is_booked = matches!(outcome, BookingOutcome::Booked(_));
            attempts.push(Attempt { address, outcome });
            if is_booked {
                break;
            }
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        attempts
    }

    async fn send_once(&self, address: &str, order: &str) -> BookingOutcome {
        let mut caller = Caller::new(address).key(super::CLINICS_KEY);
        if self.is_keyed {
            caller = caller.header("idempotency-key", &order.replace(' ', "-"));
        }
        booking_outcome(caller.post(BOOKING_PATH, order).await)
    }
}

fn booking_outcome(answer: Result<Reply, Failure>) -> BookingOutcome {
    match answer {
        Ok(reply) if reply.status == 200 => {
            BookingOutcome::Booked(reply.body["booking"].as_u64().unwrap_or_default())
        }
        Ok(reply) => BookingOutcome::Refused {
            code: reply.code().to_owned(),
            ran: reply.ran().to_owned(),
        },
        Err(failure) => BookingOutcome::Broken(failure.cause),
    }
}
