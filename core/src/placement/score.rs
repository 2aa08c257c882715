//! Estimates the delay of a request at a server.

use super::digest::ModelKey;
use super::residency::Presence;
use super::servers::{Server, ServerIndex};
use super::settings::PlacementSettings;
use crate::name::Name;

/// Share of its batch that a server gets immediately after a restart.
const INITIAL_BATCH_SHARE: f64 = 0.25;
/// Mean share of a load that remains when the load is reported in progress.
const REMAINING_LOAD_SHARE: f64 = 0.5;

/// Input of a choice.
#[derive(Debug)]
pub(super) struct PlacementQuery<'a> {
    pub(super) model: Option<ModelKey>,
    pub(super) pool: &'a str,
    pub(super) own_zone: &'a str,
    /// Hash of the prompt's prefix, or zero.
    pub(super) prompt_hash: u64,
    /// Servers that have been tried already.
    pub(super) excluded: &'a [Name],
    /// Decayed count of requests for the adapter, including this one.
    pub(super) demand: f64,
    pub(super) now_ms: u64,
}

/// A server that could take the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) server: ServerIndex,
    /// Rank among the servers that would have to load the adapter.
    pub(super) rank: usize,
}

/// Returns the expected delay of the request at the server in milliseconds, including the cost that
/// its load causes for others.
pub(super) fn delay_ms(
    settings: &PlacementSettings,
    query: &PlacementQuery<'_>,
    candidate: Candidate,
    server: &Server,
    open_loads: u64,
    prefix: f64,
) -> f64 {
    let zone_ms = if &*server.zone == query.own_zone {
        0.0
    } else {
        settings.zone_ms
    };
    let load_ms = query.model.map_or(0.0, |model| {
        let presence = server.presence(model);
        load_ms(settings, query, candidate, server, presence, open_loads)
    });
    wait_ms(settings, query, server) + zone_ms + load_ms - prefix * settings.prefix_ms
}

/// Returns the expected wait for room in the batch, in milliseconds.
fn wait_ms(settings: &PlacementSettings, query: &PlacementQuery<'_>, server: &Server) -> f64 {
    let run_ms = if server.run_ms == 0 {
        settings.run_ms
    } else {
        f64::from(server.run_ms)
    };
    let batch = (f64::from(server.batch) * share(settings, query, server)).max(1.0);
    let outstanding = f64::from(server.outstanding());
    let queued = (outstanding + 1.0 - batch).max(0.0);
    let crowd_ms = outstanding / batch * settings.crowd_ms * f64::from(server.batch);
    crowd_ms + queued * run_ms / batch
}

/// Returns the share of its batch that a server gets, which is less than one for a while after a
/// restart.
fn share(settings: &PlacementSettings, query: &PlacementQuery<'_>, server: &Server) -> f64 {
    let Some(restarted_ms) = server.restarted_ms else {
        return 1.0;
    };
    let age_ms = query.now_ms.saturating_sub(restarted_ms) as f64;
    let progress = age_ms / settings.slow_start_ms.max(1) as f64;
    (INITIAL_BATCH_SHARE + (1.0 - INITIAL_BATCH_SHARE) * progress).min(1.0)
}

/// Returns the expected load stall plus the cost of the load for others, in milliseconds. The cost
/// is divided by the demand, because all requests that will use the load share it.
fn load_ms(
    settings: &PlacementSettings,
    query: &PlacementQuery<'_>,
    candidate: Candidate,
    server: &Server,
    presence: Option<Presence>,
    open_loads: u64,
) -> f64 {
    let queue_ms = open_loads as f64 * settings.load_interval_ms;
    let stall_ms = settings.load_ms + queue_ms;
    match presence {
        Some(Presence::Loaded) => return 0.0,
        Some(Presence::Loading) => return stall_ms * REMAINING_LOAD_SHARE,
        Some(Presence::Expected { since_ms }) => {
            let age_ms = query.now_ms.saturating_sub(since_ms);
            if age_ms < settings.expect_ms {
                return (stall_ms - age_ms as f64).max(0.0);
            }
        }
        None => {}
    }
    let price_ms = (settings.load_interval_ms + queue_ms) / query.demand.max(1.0);
    let slot_ms = if server.open_slots == 0 {
        settings.busy_slots_ms
    } else {
        0.0
    };
    let home_ms = candidate.rank as f64 * settings.home_step_ms;
    settings.stall_weight * (stall_ms + price_ms) + slot_ms + home_ms
}
