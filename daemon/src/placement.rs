//! Chooses backend servers and tracks the state that the choice depends on.

use std::sync::Arc;

use mimosabay_core::config::ConfigTable;
use mimosabay_core::name::{AdapterVersion, Name};
use mimosabay_core::placement::digest::ServerDigest;
use mimosabay_core::placement::{Choice, Failure, Placement, PlacementSettings, Strategy};
use mimosabay_core::request::{Code, Request, Work};
use mimosabay_core::resource::{Kind, Spec};
use mimosabay_operator::PlacementPolicy;

use crate::clock::unix_ms;
use crate::instance::Instance;

/// Placement state with the configuration revision that was last applied to it.
#[derive(Debug)]
pub struct ConfiguredPlacement {
    placement: Placement,
    /// Configuration revision of the known servers.
    revision: Option<u64>,
}

/// A request placed on a server; counts as in flight until dropped.
pub struct PlacedRequest {
    instance: Arc<Instance>,
    server: Name,
}

impl ConfiguredPlacement {
    /// Builds the state without any servers; `seed` seeds the random choices.
    pub fn new(policy: PlacementPolicy, seed: u64) -> Self {
        let strategy = match policy {
            PlacementPolicy::Product => Strategy::Product,
            PlacementPolicy::Random => Strategy::Random { seed },
            PlacementPolicy::LeastLoaded => Strategy::LeastLoaded,
            PlacementPolicy::Rendezvous => Strategy::Rendezvous,
        };
        let settings = PlacementSettings {
            strategy,
            ..PlacementSettings::default()
        };
        Self {
            placement: Placement::new(settings),
            revision: None,
        }
    }

    fn apply_config(&mut self, config: &ConfigTable, now_ms: u64) {
        if self.revision == Some(config.revision()) {
            return;
        }
        self.revision = Some(config.revision());
        let servers = config.of_kind(Kind::BackendServer);
        let servers = servers.filter_map(|(name, spec)| match spec {
            Spec::BackendServer(server) => Some((name, server)),
            _ => None,
        });
        self.placement.set_servers(servers, now_ms);
    }
}

/// Chooses a backend server other than the `excluded` ones; `None` if there is none.
pub fn choose_server(instance: &Instance, request: &Request, excluded: &[Name]) -> Option<Choice> {
    let now_ms = instance.now_ms();
    let zone = &instance.settings.instance.zone;
    instance.with_config(|config| {
        instance.with_placement(|configured| {
            configured.apply_config(config, now_ms);
            let placement = &mut configured.placement;
            match &request.work {
                Work::Generate { model, .. } => {
                    placement.choose_excluding(model, &request.pool, zone, 0, excluded, now_ms)
                }
                Work::Plain { .. } => placement.choose_plain(&request.pool, zone, excluded, now_ms),
            }
        })
    })
}

/// Counts a request as in flight at a server until the returned value is dropped.
pub fn record_start(instance: &Arc<Instance>, server: &Name, request: &Request) -> PlacedRequest {
    let now_ms = instance.now_ms();
    let model = model(request);
    instance
        .with_placement(|configured| configured.placement.record_start(server, model, 0, now_ms));
    PlacedRequest {
        instance: instance.clone(),
        server: server.clone(),
    }
}

/// Records whether a request succeeded at a server; `code` is that of the refusal, if any. Refusals
/// that are not a failure of the server are ignored.
pub fn record_end(instance: &Instance, server: &Name, request: &Request, code: Option<Code>) {
    let now_ms = instance.now_ms();
    let failure = match code {
        None => None,
        Some(Code::LoadFailed) => Some(Failure::Load),
        Some(Code::BackendFailed | Code::NoServer) => Some(Failure::Server),
        Some(_) => return,
    };
    instance.with_placement(|configured| {
        let placement = &mut configured.placement;
        match (failure, model(request)) {
            (None, _) => placement.record_success(server),
            (Some(failure), Some(model)) => {
                placement.record_failure(server, model, failure, now_ms);
            }
            (Some(_), None) => placement.record_plain_failure(server, now_ms),
        }
    });
}

/// Builds the digests of the servers that this instance owns, and applies them here too.
pub fn own_digests(instance: &Instance) -> Vec<ServerDigest> {
    let sequence = unix_ms();
    let owned = instance.owned_servers();
    let digests = owned.iter().map(|server| {
        let state = server.state.lock().expect("owned server lock");
        state.queue.digest(&server.name, state.fencing, sequence)
    });
    let digests: Vec<ServerDigest> = digests.collect();
    apply_digests(instance, &digests);
    digests
}

/// Applies the digests that an owner sent of its servers.
pub fn apply_digests(instance: &Instance, digests: &[ServerDigest]) {
    let now_ms = instance.now_ms();
    instance.with_placement(|configured| {
        for digest in digests {
            configured.placement.apply_digest(digest, now_ms);
        }
    });
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        let server = &self.server;
        self.instance
            .with_placement(|configured| configured.placement.record_finish(server));
    }
}

fn model(request: &Request) -> Option<&AdapterVersion> {
    match &request.work {
        Work::Generate { model, .. } => Some(model),
        Work::Plain { .. } => None,
    }
}
