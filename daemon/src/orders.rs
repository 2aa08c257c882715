//! Orders to engines, executed by the worker pool.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_backend::{Category, Error, LoadOrder, UnloadOrder};
use mimosabay_core::name::{AdapterVersion, Name};
use mimosabay_core::queue::Ticket;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::budgets;
use crate::instance::Instance;
use crate::owner::OwnedServer;
use crate::takeover;

/// Maximum attempts at a load for which the engine has no free slot, because an unload has not
/// finished yet.
const SLOT_ATTEMPTS: u32 = 5;
/// Time between two attempts at a load without a free slot.
const SLOT_RETRY_MS: u64 = 50;

/// Time between two attempts to cancel a run.
const CANCEL_RETRY_MS: u64 = 200;

/// An order to an engine.
pub enum Order {
    /// Unloads adapters, then loads one.
    Load {
        /// Server of the engine.
        server: Arc<OwnedServer>,
        /// Adapter to load.
        model: AdapterVersion,
        /// Handle under which the adapter is loaded.
        handle: Name,
        /// Handles that are unloaded first.
        unload: Vec<Name>,
    },
    /// Unloads adapters.
    Unload {
        /// Server of the engine.
        server: Arc<OwnedServer>,
        /// Handles to unload.
        handles: Vec<Name>,
    },
}

/// Executes one order and reports the result of a load to the queue of the server.
pub async fn execute(instance: &Arc<Instance>, order: Order) {
    match order {
        Order::Load {
            server,
            model,
            handle,
            unload,
        } => {
            unload_all(&server, unload).await;
            load(instance, &server, &model, handle).await;
        }
        Order::Unload { server, handles } => unload_all(&server, handles).await,
    }
}

/// A run whose outcome the server has not confirmed.
pub struct UnconfirmedRun {
    /// Server that may still be running it.
    pub server: Arc<OwnedServer>,
    /// Ticket of the run in the server's queue.
    pub ticket: Ticket,
    /// Request id by which the engine cancels the run.
    pub request_id: Name,
}

/// Cancels a run and frees its position in the batch once the server has confirmed that it ended.
pub async fn cancel_run(instance: Arc<Instance>, run: UnconfirmedRun) {
    let server = &run.server;
    let boot = server.boot();
    // A restarted server no longer runs requests from before the restart.
    while server.boot() == boot {
        match server.engine.cancel(&run.request_id).await {
            Ok(()) => break,
            Err(cause) => {
                warn!(server = %server.name, request_id = %run.request_id, %cause, "run not cancelled");
                sleep(Duration::from_millis(CANCEL_RETRY_MS)).await;
            }
        }
    }
    server.update_queue(&instance, |queue, now_ms| {
        queue.on_finished(run.ticket, now_ms)
    });
}

async fn load(
    instance: &Arc<Instance>,
    server: &Arc<OwnedServer>,
    model: &AdapterVersion,
    handle: Name,
) {
    let may_load = budgets::wait_for_load_permit(instance).await;
    let started_ms = instance.now_ms();
    let loaded = match adapter_source(instance, model).filter(|_| may_load) {
        Some(source) => load_with_retries(server, source, &handle)
            .await
            .map_err(Some),
        None => Err(None),
    };
    let took_ms = instance.now_ms() - started_ms;
    instance.metrics.time("adapter_load", took_ms);
    match loaded {
        Ok(()) => {
            info!(server = %server.name, %handle, took_ms, "adapter loaded");
            server.update_queue(instance, |queue, now_ms| queue.on_loaded(model, now_ms));
        }
        Err(cause) => {
            warn!(server = %server.name, %handle, took_ms, ?cause, "adapter not loaded");
            server
                .state
                .lock()
                .expect("owned server lock")
                .handles
                .remove(model);
            server.update_queue(instance, |queue, now_ms| {
                queue.on_load_failed(model, now_ms)
            });
        }
    }
}

async fn load_with_retries(server: &OwnedServer, source: Name, handle: &Name) -> Result<(), Error> {
    let mut attempt = 1;
    loop {
        let fencing = server.fencing();
        let order = LoadOrder {
            handle: handle.clone(),
            source: source.clone(),
            fencing,
        };
        match server.engine.load(&order).await {
            Err(cause) if cause.classify() == Category::StaleFencing => {
                takeover::invalidate_claim(server, fencing).await;
                return Err(cause);
            }
            Err(cause) if cause.classify() == Category::NoSlot && attempt < SLOT_ATTEMPTS => {
                attempt += 1;
                sleep(Duration::from_millis(SLOT_RETRY_MS)).await;
            }
            result => return result,
        }
    }
}

async fn unload_all(server: &OwnedServer, handles: Vec<Name>) {
    for handle in handles {
        let order = UnloadOrder {
            handle,
            fencing: server.fencing(),
        };
        if let Err(cause) = server.engine.unload(&order).await {
            warn!(server = %server.name, handle = %order.handle, %cause, "adapter not unloaded");
        }
    }
}

fn adapter_source(instance: &Instance, model: &AdapterVersion) -> Option<Name> {
    instance.with_config(|config| {
        let (_, adapter) = config.adapter(&model.adapter)?;
        Some(adapter.version(Some(&model.version))?.source.clone())
    })
}
