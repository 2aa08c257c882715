//! The place of a request at an engine: granted by the placer, or found without it.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{
    AdoptedRun, Charge, PlacementRequest, PlacementResponse, Refusal, RefusalReason, Ticket,
};
use tokio::time::timeout;
use tracing::info;

use super::engine_request::{EngineJob, NO_PLACER_RETRY_MS};
use super::engine_run::{Forecast, Run};
use super::state::State;

/// A place that was granted, or why there is none.
pub(super) enum Place {
    Granted {
        run: Run,
        backend: Arc<Backend>,
        version: Option<u64>,
        first_event_ms: u64,
    },
    Refused(Refusal),
    /// The server has left since; another may be there.
    Gone,
}

/// Asks the placer for a place, or finds one without it.
pub(super) async fn place(state: &Arc<State>, work: &mut EngineJob) -> Place {
    let ticket = Ticket {
        entry: state.incarnation,
        number: state.next_number(),
    };
    let mut run = Run::new(state, ticket);
    state.link.began(AdoptedRun {
        ticket,
        server: "".into(),
        prompt: work.prompt.clone(),
    });
    let ask = ask(state, work, ticket);
    let limit = Duration::from_millis(ask.left_ms);
    let asked_ms = state.now_ms();
    let grant = timeout(limit, state.link.ask(state, ask)).await;
    let waited_ms = state.now_ms() - asked_ms;
    let (grant, is_placed) = match grant {
        Ok(Some(grant)) => (grant, true),
        Ok(None) => (without_placer(state, work), false),
        Err(_) => (timed_out(), true),
    };
    match grant {
        PlacementResponse::Refused(refusal) => {
            info!(
                event = "refused",
                id = %work.job.id,
                reason = ?refusal.reason,
                organisation = work.organisation(),
                tokens = work.prompt.charged_tokens(),
                adapter = work.prompt.adapter.as_deref().unwrap_or_default(),
                retry_after_ms = refusal.retry_after_ms,
                waited_ms,
                is_placed
            );
            Place::Refused(refusal)
        }
        PlacementResponse::Granted {
            server,
            version,
            first_event_ms,
        } => {
            work.is_charged = true;
            info!(
                event = "placed",
                id = %work.job.id,
                %server,
                version,
                tokens = work.prompt.charged_tokens(),
                urgency = work.job.urgency(),
                forecast_ms = first_event_ms,
                waited_ms,
                is_placed
            );
            run.server = server.clone();
            if is_placed {
                run.forecast(Forecast {
                    first_event_ms,
                    waited_ms,
                });
            }
            state.link.placed(ticket, &server);
            let backend = state.backend(&server);
            if let Some(backend) = backend.filter(|backend| backend.is_ready()) {
                return Place::Granted {
                    run,
                    backend,
                    version,
                    first_event_ms,
                };
            }
            work.excluded.push(server);
            Place::Gone
        }
    }
}

fn ask(state: &State, work: &EngineJob, ticket: Ticket) -> PlacementRequest {
    let job = &work.job;
    let waited_ms = state.now_ms() - job.arrived_ms;
    PlacementRequest {
        ticket,
        request_id: job.id.clone(),
        service: job.service.name.clone(),
        zone: state.link.zone().clone(),
        prompt: work.prompt.clone(),
        charge: charge(work).filter(|_| !work.is_charged),
        urgency: job.urgency(),
        left_ms: job.left_ms(state),
        target_ms: job.route.target_latency_ms.saturating_sub(waited_ms),
        excluded: work.excluded.clone(),
        previous: work.previous.clone(),
        fingerprint: job.fingerprint(),
    }
}

fn timed_out() -> PlacementResponse {
    PlacementResponse::Refused(Refusal {
        reason: RefusalReason::Overloaded,
        retry_after_ms: NO_PLACER_RETRY_MS,
    })
}

/// Without a placer a request goes to a server that says it holds the adapter.
fn without_placer(state: &State, work: &EngineJob) -> PlacementResponse {
    let snapshot = state.backends.snapshot();
    let releases = state.releases.borrow().clone();
    let key = work.prompt.adapter_key();
    let newest = key.as_ref().and_then(|key| releases.get(key).copied());
    let last_place = key.as_ref().and_then(|key| state.link.last_place(key));
    let adapter = work.prompt.adapter.as_deref();
    let holders = snapshot.values().filter(|backend| {
        let holds = backend.holds(&work.prompt.model, adapter);
        backend.service == work.job.service.name
            && backend.is_ready()
            && !work.has_tried(&backend.id)
            && (holds || last_place.as_ref() == Some(&backend.id))
    });
    let loads = state.link.runs_by_server();
    let least = holders.min_by_key(|backend| loads.get(&backend.id).copied().unwrap_or(0));
    match least {
        Some(backend) => match charge_here(state, work) {
            Ok(()) => PlacementResponse::Granted {
                server: backend.id.clone(),
                version: newest,
                first_event_ms: work.job.route.target_latency_ms,
            },
            Err(retry_after_ms) => PlacementResponse::Refused(Refusal {
                reason: RefusalReason::OverRate,
                retry_after_ms,
            }),
        },
        None => PlacementResponse::Refused(Refusal {
            reason: RefusalReason::NoServer,
            retry_after_ms: NO_PLACER_RETRY_MS,
        }),
    }
}

/// Charges a request to the part of the rate that this instance grants by itself, and tells the
/// next placer.
fn charge_here(state: &State, work: &EngineJob) -> Result<(), u64> {
    let Some(charge) = charge(work).filter(|_| !work.is_charged) else {
        return Ok(());
    };
    let mut rates = state.own_rates.lock().expect("rates lock");
    rates.charge(&charge, state.now_ms())?;
    drop(rates);
    state.link.charge(&charge.organisation, charge.cost);
    Ok(())
}

fn charge(work: &EngineJob) -> Option<Charge> {
    let organisation = work.job.organisation.as_ref()?;
    Some(Charge {
        organisation: organisation.name.clone(),
        cost: if organisation.counts_tokens {
            work.prompt.charged_tokens()
        } else {
            organisation.default_cost
        },
    })
}
