//! Starts an instance and runs it until it stops.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::cell::{EndedRun, RunOutcome, Update};
use mimosabay_core::quarantine::Quarantine;
use mimosabay_core::replica::ReplicaKind;
use mimosabay_core::stream_log::StreamLogPosition;
use mimosabay_peer::{Inbound, Message, Reply, Responder};
use mimosabay_platform::ProcessSettings;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tracing::{debug, info};
use tracing_appender::non_blocking::ErrorCounter;

use super::evidence_bounds::{self, Holder};
use super::listener::listen;
use super::signals::Signals;
use super::state::State;
use super::watch::{self, WatchKind};
use super::{
    callers, election, freeze, link, reload, server_connection, server_links, server_starts, stop,
    updates, version_store,
};
use crate::clock::Clock;

/// Time between two clean-ups, in milliseconds.
const CLEANUP_PERIOD_MS: u64 = 500;

/// Options that are not part of the platform's settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings file, which is read again when it changes.
    pub settings_path: PathBuf,
    /// Port on which metrics are served.
    pub metrics_port: Option<u16>,
    /// Counts dropped log lines.
    pub dropped_lines: ErrorCounter,
}

/// Runs an instance until it was asked to stop.
pub async fn run(settings: ProcessSettings, options: Options, signals: Signals) {
    let clock = Clock::start();
    let incarnation: u64 = rand::random();
    info!(
        event = "started",
        instance = %settings.instance,
        zone = %settings.zone,
        incarnation,
        is_first_start = settings.is_first_start
    );
    let (mut stop_signals, hangup) = signals.split();
    let listeners = tokio::select! {
        listeners = Listeners::open(&settings) => listeners,
        () = stop_signals.recv() => {
            info!(event = "stopped", reason = "not listening");
            return;
        }
    };
    let metrics_port = options.metrics_port;
    let metrics = metrics_port.map(|port| SocketAddr::new(settings.ip, port));
    let state = State::new(settings, clock, incarnation, options.dropped_lines.clone());
    for kind in [
        WatchKind::Replicated(ReplicaKind::Configuration),
        WatchKind::Replicated(ReplicaKind::Servers),
        WatchKind::Replicated(ReplicaKind::Releases),
        WatchKind::Placer,
    ] {
        tokio::spawn(watch::run(state.clone(), kind));
    }
    if state.settings().features.evacuates_zones {
        tokio::spawn(watch::run(state.clone(), WatchKind::Evacuations));
    }
    tokio::spawn(server_starts::run(state.clone()));
    tokio::spawn(callers::serve(state.clone(), listeners.callers));
    tokio::spawn(callers::serve_ready(state.clone(), listeners.ready));
    if let Some(address) = metrics {
        tokio::spawn(callers::serve_metrics(state.clone(), address));
    }
    tokio::spawn(serve_peers(state.clone(), listeners.peers));
    tokio::spawn(election::run(state.clone()));
    tokio::spawn(version_store::run(state.clone()));
    tokio::spawn(updates::run(state.clone()));
    tokio::spawn(freeze::run(state.clone()));
    tokio::spawn(server_links::run(state.clone()));
    tokio::spawn(server_links::check_placer(state.clone()));
    tokio::spawn(run_periodic_cleanup(state.clone()));
    let settings_path = options.settings_path.into();
    tokio::spawn(reload::run(state.clone(), settings_path, hangup));
    stop::run(state, stop_signals).await;
}

/// The addresses without which an instance cannot serve.
struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    async fn open(settings: &ProcessSettings) -> Self {
        Self {
            callers: listen(settings.caller_address).await,
            peers: listen(settings.peer_address()).await,
            ready: listen(settings.ready_address).await,
        }
    }
}

async fn run_periodic_cleanup(state: Arc<State>) {
    loop {
        sleep(Duration::from_millis(CLEANUP_PERIOD_MS)).await;
        state.backends.remove_expired(state.now_ms());
        state.streams.expire();
        let snapshot = state.backends.snapshot();
        let is_current = state.has_current_backends();
        let heartbeat_ms = state.settings().server_heartbeat_ms;
        state
            .suspects
            .check_servers(&snapshot, is_current, heartbeat_ms);
        let dropped = state.suspects.take_dropped();
        evidence_bounds::report(&state, Holder::Instance, dropped);
        state.pool.remove_expired(|id| snapshot.contains_key(id));
        let mut plain = state.plain.lock().expect("plain lock");
        plain.retain(|id| snapshot.contains_key(id));
    }
}

async fn serve_peers(state: Arc<State>, listener: TcpListener) {
    let own_state = state.clone();
    let own_facts = move || own_state.sender_facts();
    mimosabay_peer::serve(listener, link::peer_secret(), own_facts, move |inbound| {
        handle_peer_message(state.clone(), inbound)
    })
    .await;
}

async fn handle_peer_message(state: Arc<State>, inbound: Inbound) {
    let Inbound {
        envelope,
        sender,
        mut responder,
    } = inbound;
    let reply = match envelope.message {
        Message::OpenConnection { server, boot } => {
            return server_connection::serve(state, server, boot, responder).await;
        }
        Message::RequestPlacement(request) => {
            let ticket = request.ticket;
            match state.link.local_placer() {
                None => Reply::NotPlacer,
                Some(placer) => tokio::select! {
                    response = placer.request_placement(*request) => response.map_or(Reply::NotPlacer, Reply::Placement),
                    () = responder.wait_for_reset() => {
                        let ended = EndedRun {
                            ticket,
                            outcome: RunOutcome::Cancelled,
                            first_event_ms: None,
                            streamed_ms: 0,
                        };
                        placer.send_update(Update {
                            entry: ticket.entry,
                            ended: vec![ended],
                            charges: Vec::new(),
                            evidence: Quarantine::default(),
                            quarantine_version: 0,
                            runs: None,
                            limits: Vec::new(),
                            streams: Vec::new(),
                            stream_position: StreamLogPosition::default(),
                            known: Vec::new(),
                            address: "".into(),
                            members_version: 0,
                        });
                        return;
                    }
                },
            }
        }
        Message::RequestPermit(request) => match state.link.local_placer() {
            None => Reply::NotPlacer,
            Some(placer) => tokio::select! {
                response = placer.request_permit(request) => response.map_or(Reply::NotPlacer, Reply::Permit),
                () = responder.wait_for_reset() => return,
            },
        },
        Message::RequestTrial(work) => match state.link.local_placer() {
            None => Reply::NotPlacer,
            Some(placer) => Reply::Trial {
                is_permitted: placer.request_trial(work).await,
            },
        },
        Message::Update(update) => match state.link.local_placer() {
            None => Reply::NotPlacer,
            Some(placer) => {
                let reply = updates::build_reply(&state, &update, &sender);
                placer.send_update(*update);
                reply
            }
        },
        Message::RecordServerAnswers(answers) => match state.link.local_placer() {
            None => Reply::NotPlacer,
            Some(placer) => {
                placer.record_server_answers(answers);
                Reply::Done
            }
        },
        Message::GetStreamVersion { stream } => Reply::StreamVersion(state.streams.get(&stream)),
        Message::GetPlacerLastSeen => Reply::PlacerLastSeen {
            age_ms: state.link.placer_contact_age_ms(&state),
        },
        _ => Reply::NotPlacer,
    };
    finish_reply(responder, &reply).await;
}

async fn finish_reply(responder: Responder, reply: &Reply) {
    if let Err(cause) = responder.finish(reply).await {
        debug!(event = "peer_left", %cause);
    }
}
