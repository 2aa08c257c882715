//! Starts one instance and runs it until its planned stop.

use std::sync::Arc;

use mimosabay_caller::CallerLimits;
use mimosabay_operator::Settings;
use mimosabay_peer::SenderFacts;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tracing::info;

use crate::clock::Clock;
use crate::entry::Entry;
use crate::instance::Instance;
use crate::timer::Timer;
use crate::{
    acceptor, budgets, config_sync, heartbeat, inbound, journal, owner, rollout, roster,
    service_level, stop, takeover,
};

/// Runs an instance until its planned stop is complete.
///
/// # Errors
///
/// An address of the settings cannot be listened on.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let callers = TcpListener::bind(settings.instance.caller_address).await?;
    let peers = TcpListener::bind(settings.instance.peer_address).await?;
    let clock = Clock::start();
    let (instance, workers) = Instance::new(settings, clock, Timer::start(clock));
    workers.start(&instance);
    info!(instance = %instance.id, "started");
    start_tasks(&instance, peers);
    let (close, closed) = oneshot::channel::<()>();
    let entry = Arc::new(Entry::new(instance.clone()));
    let stop = async move {
        // An error means that the sender was dropped, which ends the server as well.
        let _ = closed.await;
    };
    let limits = caller_limits(&instance.settings);
    let server = tokio::spawn(mimosabay_caller::serve(callers, entry, limits, stop));
    stop::wait_for_stop_signal().await;
    let close = || {
        // The server may have ended by itself.
        let _ = close.send(());
    };
    stop::drain(&instance, close).await;
    // Open connections without a request end with the process.
    server.abort();
    info!(instance = %instance.id, "stopped");
    Ok(())
}

fn start_tasks(instance: &Arc<Instance>, peers: TcpListener) {
    let for_inbound = instance.clone();
    let handle = move |message| inbound::handle(for_inbound.clone(), message);
    tokio::spawn(mimosabay_peer::serve(
        peers,
        instance.secret(),
        || SenderFacts::of_this_build(None),
        handle,
    ));
    tokio::spawn(heartbeat::run_list(instance.clone()));
    tokio::spawn(heartbeat::run(instance.clone()));
    tokio::spawn(config_sync::run(instance.clone()));
    tokio::spawn(acceptor::run(instance.clone()));
    tokio::spawn(budgets::run(instance.clone()));
    tokio::spawn(roster::run(instance.clone()));
    tokio::spawn(rollout::run(instance.clone()));
    tokio::spawn(service_level::run(instance.clone()));
    tokio::spawn(owner::run_ticks(instance.clone()));
    tokio::spawn(journal::run_ticks(instance.clone()));
    tokio::spawn(journal::run_clock_sync(instance.clone()));
    tokio::spawn(takeover::run_release(instance.clone()));
}

fn caller_limits(settings: &Settings) -> CallerLimits {
    let bytes = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    CallerLimits {
        max_body_bytes: bytes(settings.limits.max_body_bytes),
        max_header_bytes: bytes(settings.limits.max_header_bytes),
        read_timeout_ms: settings.limits.read_timeout_ms,
    }
}
