//! Cost of one placement or queue decision, at current and target sizes.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mimosabay_core::name::{AdapterVersion, Name};
use mimosabay_core::placement::digest::{ServerDigest, model_key};
use mimosabay_core::placement::{Placement, PlacementSettings};
use mimosabay_core::queue::{Action, ServerLimits, ServerQueue, WaitingRequest};
use mimosabay_core::resource::{BackendServer, ServerKind};

const SLOTS: usize = 8;
const ZONES: usize = 3;
/// Numbers of adapters and servers.
const SIZES: [(usize, usize); 5] = [
    (3_000, 18),
    (3_000, 780),
    (3_000, 7_800),
    (12_000, 780),
    (12_000, 7_800),
];

fn model(number: usize) -> AdapterVersion {
    AdapterVersion {
        adapter: Name::from(format!("adapter-{number}")),
        version: Name::from("v1"),
    }
}

fn server(number: usize) -> (Name, BackendServer) {
    let spec = BackendServer {
        address: Name::from("127.0.0.1:1"),
        zone: Name::from(format!("zone-{}", number % ZONES)),
        kind: ServerKind::Engine,
        pool: Name::from("pool"),
        base_model: Name::from("base"),
        slots: u32::try_from(SLOTS).expect("few slots"),
        batch: 8,
        checks_fencing: true,
        leaving: false,
    };
    (Name::from(format!("engine-{number}")), spec)
}

/// Returns the adapter at `step` of a skewed sequence, in which half of the steps request a hundredth
/// of the adapters.
fn skewed_adapter(step: usize, adapters: usize) -> usize {
    let spread = step.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
    if step.is_multiple_of(2) {
        spread % (adapters / 100)
    } else {
        spread % adapters
    }
}

fn placement(adapters: &[AdapterVersion], servers: usize) -> Placement {
    let table: Vec<(Name, BackendServer)> = (0..servers).map(server).collect();
    let mut placement = Placement::new(PlacementSettings::default());
    placement.set_servers(table.iter().map(|(name, spec)| (name, spec)), 0);
    for (number, (name, _)) in table.iter().enumerate() {
        let held = (0..SLOTS).map(|slot| skewed_adapter(number * SLOTS + slot, adapters.len()));
        let digest = ServerDigest {
            server: name.clone(),
            fencing: 1,
            sequence: 1,
            loaded: held.map(|held| model_key(&adapters[held])).collect(),
            loading: Vec::new(),
            waiting: 0,
            running: 4,
            open_slots: 2,
            wanted_loads: 0,
            run_ms: 1_000,
        };
        placement.apply_digest(&digest, 0);
    }
    placement
}

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for (adapters, servers) in SIZES {
        let models: Vec<AdapterVersion> = (0..adapters).map(model).collect();
        let mut placement = placement(&models, servers);
        for model in &models {
            placement.choose(model, "pool", "zone-1", 0, 0);
        }
        let mut step = 0;
        let id = BenchmarkId::from_parameter(format!("{adapters} adapters, {servers} servers"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                step += 1;
                let model = &models[skewed_adapter(step, adapters)];
                let now_ms = step as u64 / 40;
                let choice = placement.choose(model, "pool", "zone-1", step as u64 % 64, now_ms);
                let choice = choice.expect("there are servers");
                placement.record_start(&choice.server, Some(model), step as u64 % 64, now_ms);
                placement.record_finish(&choice.server);
                black_box(choice)
            });
        });
    }
    group.finish();
}

/// Measures the first request for an adapter, which ranks all servers of the pool.
fn choose_first(criterion: &mut Criterion) {
    let models: Vec<AdapterVersion> = (0..12_000).map(model).collect();
    let mut group = criterion.benchmark_group("choose first");
    for servers in [18, 780, 7_800] {
        let ready = placement(&models, servers);
        drop(ready);
        let mut number = 0;
        let mut placement = placement(&models, servers);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                number += 1;
                let fresh = AdapterVersion {
                    adapter: Name::from(format!("fresh-{number}")),
                    version: Name::from("v1"),
                };
                black_box(placement.choose(&fresh, "pool", "zone-1", 0, number))
            });
        });
    }
    group.finish();
}

/// Measures the arrival of one request and the end of another while `waiting` requests wait.
fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("enqueue and finish");
    for waiting in [100, 1_000, 10_000] {
        let limits = ServerLimits {
            slots: SLOTS,
            batch: 8,
        };
        let mut queue = ServerQueue::new(limits);
        let models: Vec<AdapterVersion> = (0..12_000).map(model).collect();
        let mut running = Vec::new();
        let mut ticket = 0;
        group.bench_function(BenchmarkId::from_parameter(waiting), |bencher| {
            let mut arrive = |queue: &mut ServerQueue, running: &mut Vec<u64>| {
                ticket += 1;
                let number = usize::try_from(ticket).expect("few tickets");
                let request = WaitingRequest {
                    ticket,
                    organisation: Name::from(format!("organisation-{}", ticket % 5)),
                    weight: 1,
                    model: models[skewed_adapter(number, models.len())].clone(),
                    cost_tokens: 500,
                    deadline_ms: u64::MAX,
                };
                let actions = queue.enqueue(request, ticket);
                apply_actions(queue, running, actions, ticket);
            };
            while queue.waiting() < waiting {
                arrive(&mut queue, &mut running);
            }
            bencher.iter(|| {
                while queue.waiting() <= waiting {
                    arrive(&mut queue, &mut running);
                }
                let ended = running.pop().expect("the batch is full");
                let actions = queue.on_finished(ended, 0);
                apply_actions(&mut queue, &mut running, actions, 0);
            });
        });
    }
    group.finish();
}

fn apply_actions(
    queue: &mut ServerQueue,
    running: &mut Vec<u64>,
    actions: Vec<Action>,
    now_ms: u64,
) {
    for action in actions {
        match action {
            Action::Dispatch { ticket, .. } => running.push(ticket),
            Action::Load { model } => {
                let more = queue.on_loaded(&model, now_ms);
                apply_actions(queue, running, more, now_ms);
            }
            Action::Evict { .. } | Action::Refuse { .. } => {}
        }
    }
}

criterion_group!(decisions, choose, choose_first, queue);
criterion_main!(decisions);
