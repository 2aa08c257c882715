//! The timer service: one task that sends periodic ticks to its subscribers.

use std::sync::{Arc, Mutex};

use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;

use crate::clock::Clock;

/// Ticks of one subscription. Each is the time at which it was sent, in milliseconds.
pub type Ticks = mpsc::Receiver<u64>;

/// Handle of the timer service. Clones share the subscriptions.
#[derive(Clone)]
pub struct Timer {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    subscriptions: Mutex<Vec<Subscription>>,
    added: Notify,
}

struct Subscription {
    period_ms: u64,
    due_ms: u64,
    /// Has a capacity of one tick: a late subscriber gets one tick, not all that it missed.
    sender: mpsc::Sender<u64>,
}

impl Timer {
    /// Starts the service as a task.
    pub fn start(clock: Clock) -> Self {
        let shared = Shared {
            clock,
            subscriptions: Mutex::new(Vec::new()),
            added: Notify::new(),
        };
        let timer = Self {
            shared: Arc::new(shared),
        };
        tokio::spawn(timer.clone().run());
        timer
    }

    /// Subscribes to a tick every `period_ms`, the first one period from now.
    pub fn subscribe(&self, period_ms: u64) -> Ticks {
        let (sender, ticks) = mpsc::channel(1);
        let due_ms = self.shared.clock.now_ms() + period_ms;
        let subscription = Subscription {
            period_ms,
            due_ms,
            sender,
        };
        self.shared
            .subscriptions
            .lock()
            .expect("timer lock")
            .push(subscription);
        self.shared.added.notify_one();
        ticks
    }

    async fn run(self) {
        loop {
            let now_ms = self.shared.clock.now_ms();
            match self.send_due_ticks(now_ms) {
                Some(next_ms) => {
                    tokio::select! {
                        () = sleep_until(self.shared.clock.instant(next_ms)) => {}
                        () = self.shared.added.notified() => {}
                    }
                }
                None => self.shared.added.notified().await,
            }
        }
    }

    /// Sends all due ticks; returns the time of the next one, or `None` without subscriptions.
    fn send_due_ticks(&self, now_ms: u64) -> Option<u64> {
        let mut subscriptions = self.shared.subscriptions.lock().expect("timer lock");
        subscriptions.retain_mut(|subscription| subscription.send_if_due(now_ms));
        subscriptions
            .iter()
            .map(|subscription| subscription.due_ms)
            .min()
    }
}

impl Subscription {
    /// Sends a tick if one is due; returns whether the subscriber still exists.
    fn send_if_due(&mut self, now_ms: u64) -> bool {
        if now_ms < self.due_ms {
            return true;
        }
        self.due_ms = now_ms + self.period_ms;
        !matches!(
            self.sender.try_send(now_ms),
            Err(mpsc::error::TrySendError::Closed(_))
        )
    }
}
