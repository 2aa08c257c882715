//! Placement of a request at an engine, by the placer or, while no placer answers, by this
//! instance.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{
    AdoptedRun, Charge, PlacementRequest, PlacementResponse, Refusal, RefusalReason, Ticket,
};
use mimosabay_core::name::Name;
use mimosabay_core::quarantine;
use mimosabay_core::stream_placement::{RequiredVersion, StreamPlacement};
use mimosabay_core::work::{Fingerprint, Work};
use tokio::time::{sleep, timeout};
use tracing::info;

use super::backends::Snapshot;
use super::engine_request::{EngineRequest, NO_PLACER_RETRY_MS};
use super::engine_run::{Forecast, Run};
use super::placer_answer::PlacerAnswer;
use super::quarantine_check::{self, Admitted};
use super::state::State;
use super::streams;

/// Longest time for which a stream of unknown version waits for a placer or another instance that
/// knows it, in milliseconds.
const MAX_VERSION_WAIT_MS: u64 = 1_500;
/// Time between two questions to other instances for the version of a stream, in milliseconds.
const VERSION_RETRY_PERIOD_MS: u64 = 100;

/// A placement at a server. Dropping it releases the place.
pub(crate) struct GrantedPlacement {
    pub(super) run: Run,
    pub(super) backend: Arc<Backend>,
    /// Version of the adapter that the server must hold, if known.
    pub(super) version: Option<u64>,
    /// Forecast time to the first event, in milliseconds.
    pub(super) first_event_ms: u64,
}

/// A granted placement, or why there is none.
pub(super) enum Placement {
    Granted(GrantedPlacement),
    Refused(Refusal),
    /// The server has left since the placement; another one may be available.
    ServerLeft,
}

/// Requests a placement from the placer, or places the request without it.
pub(super) async fn place_request(state: &Arc<State>, request: &mut EngineRequest) -> Placement {
    let ticket = Ticket {
        entry: state.incarnation,
        number: state.next_request_number(),
    };
    let work = request.job.work(Some(&request.prompt));
    let mut run = Run::new(state, ticket, work.clone());
    state.link.runs.add(AdoptedRun {
        ticket,
        server: "".into(),
        prompt: request.prompt.clone(),
        request_hash: request.job.request_hash,
    });
    let requested_ms = state.now_ms();
    let (response, is_placed) = match admit(state, request, &work).await {
        Ok(()) => request_placement(state, request, ticket).await,
        Err(fingerprint) => (quarantine_refusal(fingerprint), false),
    };
    let waited_ms = state.now_ms() - requested_ms;
    match response {
        PlacementResponse::Refused(refusal) => {
            info!(
                event = "refused",
                id = %request.job.id,
                reason = refusal.reason.name(),
                quarantined = refusal.reason.quarantined().map(tracing::field::display),
                fingerprint = work.request_hash(),
                parts = work.parts_text(),
                organisation = request.organisation(),
                tokens = request.prompt.charged_tokens(),
                adapter = request.prompt.adapter.as_deref().unwrap_or_default(),
                retry_after_ms = refusal.retry_after_ms,
                waited_ms,
                is_placed
            );
            Placement::Refused(refusal)
        }
        PlacementResponse::Granted {
            server,
            software_version,
            version,
            first_event_ms,
        } => {
            request.is_charged = true;
            request.was_placed = true;
            request.record_assignment(software_version.as_ref(), is_placed);
            let backend = state.backend(&server);
            info!(
                event = "placed",
                id = %request.job.id,
                %server,
                software_version = software_version.as_deref(),
                version,
                tokens = request.prompt.charged_tokens(),
                urgency = request.job.urgency(),
                forecast_ms = first_event_ms,
                waited_ms,
                is_placed
            );
            run.server = server.clone();
            if is_placed {
                run.set_forecast(Forecast {
                    first_event_ms,
                    waited_ms,
                });
            }
            state.link.runs.set_server(ticket, &server);
            let is_usable = |it: &Arc<Backend>| {
                !state.server_pauses.is_paused(it)
                    && is_as_assigned(it, software_version.as_ref(), &request.stream)
            };
            if let Some(backend) = backend.filter(is_usable) {
                return Placement::Granted(GrantedPlacement {
                    run,
                    backend,
                    version,
                    first_event_ms,
                });
            }
            request.excluded.push(server);
            Placement::ServerLeft
        }
    }
}

/// Whether a server may still be sent a request for which it was assigned with this software version.
fn is_as_assigned(
    backend: &Backend,
    software_version: Option<&Name>,
    stream: &StreamPlacement,
) -> bool {
    let version = backend.software_version.as_ref();
    let has_version = match stream {
        StreamPlacement::None => true,
        // A stream that may have begun at an unknown version goes on nowhere.
        StreamPlacement::New => {
            version.is_none() || software_version.is_none() || version == software_version
        }
        StreamPlacement::Known { .. } | StreamPlacement::TakenUp { .. } => {
            version == software_version
        }
    };
    backend.is_ready() && has_version
}

/// Checks the quarantine. Only the first attempt of a request may be a trial run.
///
/// # Errors
///
/// The fingerprint for which the request is refused.
async fn admit(state: &State, request: &mut EngineRequest, work: &Work) -> Result<(), Fingerprint> {
    if request.was_placed {
        return state.suspects.refused_by(work).map_or(Ok(()), Err);
    }
    let admitted = quarantine_check::admit(state, work, &request.job.id).await?;
    request.is_trial = admitted == Admitted::ForTrial;
    Ok(())
}

/// Returns the placement response, and whether it comes from the placer.
async fn request_placement(
    state: &State,
    request: &mut EngineRequest,
    ticket: Ticket,
) -> (PlacementResponse, bool) {
    let give_up_ms = state.now_ms() + MAX_VERSION_WAIT_MS;
    loop {
        let placement_request = placement_request(state, request, ticket);
        let limit = Duration::from_millis(placement_request.left_ms);
        let response = state.link.request_placement(state, placement_request);
        match timeout(limit, response).await {
            Ok(PlacerAnswer::Answered(response)) => return (response, true),
            Ok(PlacerAnswer::NotAsked) => {}
            Ok(PlacerAnswer::Unanswered) => request.record_unanswered(),
            Err(_) => return (timed_out_refusal(), true),
        }
        match required_version(state, request) {
            RequiredVersion::Any => return (place_without_placer(state, request, None), false),
            RequiredVersion::Version(version) => {
                return (place_without_placer(state, request, Some(&version)), false);
            }
            RequiredVersion::Unknown if state.now_ms() >= give_up_ms => {
                return (unknown_version_refusal(), false);
            }
            RequiredVersion::Unknown => find_version(state, request).await,
        }
    }
}

/// Returns the version of the server that this instance may choose by itself.
fn required_version(state: &State, request: &EngineRequest) -> RequiredVersion {
    let software = state.backends.software_versions();
    let service = &request.job.service.name;
    if request.stream == StreamPlacement::New {
        let has_several = software.has_several(service, state.now_ms());
        return request.binding.required_version(has_several);
    }
    state
        .streams
        .required_version(&request.stream, service, &software)
}

/// Asks other instances for the version of a stream that is taken up, or waits for a placer.
async fn find_version(state: &State, request: &EngineRequest) {
    if let StreamPlacement::TakenUp { stream } = &request.stream {
        streams::ask_instances(state, stream).await;
    }
    if required_version(state, request) == RequiredVersion::Unknown {
        sleep(Duration::from_millis(VERSION_RETRY_PERIOD_MS)).await;
    }
}

fn placement_request(state: &State, request: &EngineRequest, ticket: Ticket) -> PlacementRequest {
    let job = &request.job;
    let waited_ms = state.now_ms() - job.arrived_ms;
    PlacementRequest {
        ticket,
        request_id: job.id.clone(),
        service: job.service.name.clone(),
        zone: state.link.zone().clone(),
        prompt: request.prompt.clone(),
        charge: request_charge(request).filter(|_| !request.is_charged),
        urgency: job.urgency(),
        left_ms: job.remaining_ms(state),
        target_ms: job.route.target_latency_ms.saturating_sub(waited_ms),
        excluded: unusable_servers(state, request),
        is_trial: request.is_trial,
        previous: request.previous.clone(),
        request_hash: job.request_hash,
        stream: request.stream.clone(),
    }
}

/// Servers that the placer must not choose.
fn unusable_servers(state: &State, request: &EngineRequest) -> Vec<Name> {
    let service = &request.job.service.name;
    let mut servers = request.excluded.clone();
    servers.extend(state.backends.noted_leaving(service));
    let snapshot = state.backends.snapshot();
    let paused = snapshot
        .values()
        .filter(|backend| backend.service == *service && state.server_pauses.is_paused(backend));
    servers.extend(paused.map(|backend| backend.id.clone()));
    if request.job.has_homes() {
        let elsewhere = snapshot.values().filter(|backend| {
            backend.service == *service && !request.job.may_run_at(state, backend)
        });
        servers.extend(elsewhere.map(|backend| backend.id.clone()));
    }
    if state.backends.have_several_versions(state.now_ms()) {
        servers.extend(servers_of_other_versions(&snapshot, request, &servers));
    }
    servers
}

/// Servers at which a stream must not begin, because it was assigned to a server of another version before. A
/// placer that has noted the version may change it once no other server that is usable has it.
fn servers_of_other_versions(
    snapshot: &Snapshot,
    request: &EngineRequest,
    unusable: &[Name],
) -> Vec<Name> {
    let Some(bound) = request.binding.version() else {
        return Vec::new();
    };
    if request.stream != StreamPlacement::New {
        return Vec::new();
    }
    let has_bound = |backend: &Backend| backend.software_version.as_ref() == Some(bound);
    let servers = snapshot.values();
    let of_service = servers.filter(|backend| backend.service == request.job.service.name);
    let (bound_servers, others): (Vec<&Arc<Backend>>, Vec<&Arc<Backend>>) =
        of_service.partition(|backend| has_bound(backend));
    let is_usable = |backend: &&Arc<Backend>| {
        backend.is_ready() && !request.has_tried(&backend.id) && !unusable.contains(&backend.id)
    };
    if request.binding.may_change() && !bound_servers.iter().any(is_usable) {
        return Vec::new();
    }
    others.iter().map(|backend| backend.id.clone()).collect()
}

fn unknown_version_refusal() -> PlacementResponse {
    PlacementResponse::Refused(Refusal {
        reason: RefusalReason::UnknownVersion,
        retry_after_ms: NO_PLACER_RETRY_MS,
    })
}

fn quarantine_refusal(fingerprint: Fingerprint) -> PlacementResponse {
    PlacementResponse::Refused(Refusal {
        reason: RefusalReason::Quarantined(fingerprint),
        retry_after_ms: quarantine::RETRY_AFTER_MS,
    })
}

fn timed_out_refusal() -> PlacementResponse {
    PlacementResponse::Refused(Refusal {
        reason: RefusalReason::Overloaded,
        retry_after_ms: NO_PLACER_RETRY_MS,
    })
}

/// Without a placer a request goes to a server that reports the adapter as loaded, or to the one
/// that the placer chose last for the adapter. It must have the software version `required`, if that is
/// given.
fn place_without_placer(
    state: &State,
    request: &EngineRequest,
    required: Option<&Name>,
) -> PlacementResponse {
    let snapshot = state.backends.snapshot();
    let releases = state.releases.borrow().clone();
    let key = request.prompt.adapter_key();
    let newest = key.as_ref().and_then(|key| releases.get(key).copied());
    let last_server = key
        .as_ref()
        .and_then(|key| state.link.runs.last_server(key));
    let adapter = request.prompt.adapter.as_deref();
    let holders = snapshot.values().filter(|backend| {
        let holds = backend.holds(&request.prompt.model, adapter);
        backend.service == request.job.service.name
            && backend.is_ready()
            && required.is_none_or(|it| backend.software_version.as_ref() == Some(it))
            && !request.has_tried(&backend.id)
            && !state.server_pauses.is_paused(backend)
            && request.job.may_run_at(state, backend)
            && state.server_limits.may_send(backend)
            && (holds || last_server.as_ref() == Some(&backend.id))
    });
    let loads = state.link.runs.count_by_server();
    let least_loaded = holders.min_by_key(|backend| loads.get(&backend.id).copied().unwrap_or(0));
    match least_loaded {
        Some(backend) => match charge_own_rates(state, request) {
            Ok(()) => {
                // The holders are servers that may be sent a request.
                let _ = state.server_limits.try_take(backend);
                PlacementResponse::Granted {
                    server: backend.id.clone(),
                    software_version: backend.software_version.clone(),
                    version: newest,
                    first_event_ms: request.job.route.target_latency_ms,
                }
            }
            Err(retry_after_ms) => PlacementResponse::Refused(Refusal {
                reason: RefusalReason::OverRate,
                retry_after_ms,
            }),
        },
        None => PlacementResponse::Refused(Refusal {
            reason: RefusalReason::NoServer,
            retry_after_ms: state
                .link
                .placer_view()
                .retry_after_ms(state.settings().lease_ms, state.now_ms()),
        }),
    }
}

/// Charges a request to the share of the rate that this instance grants by itself, and reports the
/// charge to the next placer.
fn charge_own_rates(state: &State, request: &EngineRequest) -> Result<(), u64> {
    let Some(charge) = request_charge(request).filter(|_| !request.is_charged) else {
        return Ok(());
    };
    let mut rates = state.own_rates.lock().expect("rates lock");
    rates.charge(&charge, state.now_ms())?;
    drop(rates);
    state.link.record_charge(&charge.organisation, charge.cost);
    Ok(())
}

fn request_charge(request: &EngineRequest) -> Option<Charge> {
    let organisation = request.job.organisation.as_ref()?;
    Some(Charge {
        organisation: organisation.name.clone(),
        cost: if organisation.counts_tokens {
            request.prompt.charged_tokens()
        } else {
            organisation.default_cost
        },
    })
}
