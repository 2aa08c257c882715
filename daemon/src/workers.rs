//! A worker pool for orders to backend servers.

use std::sync::{Arc, Weak};

use tokio::sync::{Mutex, mpsc};

use crate::instance::Instance;
use crate::orders::{self, Order};

/// Number of workers, which bounds the orders that are executed concurrently.
const WORKERS: usize = 64;

/// Handle for submitting orders to the pool. Clones share the pool.
#[derive(Clone)]
pub struct Workers {
    sender: mpsc::UnboundedSender<Order>,
}

/// Submitted orders that wait for a worker.
pub struct PendingOrders {
    receiver: Arc<Mutex<mpsc::UnboundedReceiver<Order>>>,
}

impl Workers {
    /// Builds a pool that runs nothing until [`PendingOrders::start`].
    pub fn new() -> (Self, PendingOrders) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (
            Self { sender },
            PendingOrders {
                receiver: Arc::new(Mutex::new(receiver)),
            },
        )
    }

    /// Queues an order for the next free worker.
    pub fn submit(&self, order: Order) {
        // The receiver is dropped only when the process ends.
        let _ = self.sender.send(order);
    }
}

impl PendingOrders {
    /// Starts the workers.
    pub fn start(self, instance: &Arc<Instance>) {
        for _ in 0..WORKERS {
            tokio::spawn(run_worker(Arc::downgrade(instance), self.receiver.clone()));
        }
    }
}

async fn run_worker(
    instance: Weak<Instance>,
    receiver: Arc<Mutex<mpsc::UnboundedReceiver<Order>>>,
) {
    loop {
        let order = receiver.lock().await.recv().await;
        let (Some(order), Some(instance)) = (order, instance.upgrade()) else {
            return;
        };
        orders::execute(&instance, order).await;
    }
}
