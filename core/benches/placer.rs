//! Processor time of the placer for each second of a fleet's load, at several sizes.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

#[path = "../tests/cell/fleet.rs"]
mod fleet;

use fleet::{Fleet, FleetSize};

/// Time for which the load has been played before it is measured, in milliseconds.
const WARM_MS: u64 = 5_000;
/// Played time of one measured step, in milliseconds.
const STEP_MS: u64 = 1_000;
/// Numbers of instances.
const INSTANCES: [usize; 3] = [30, 100, 300];

fn size(instances: usize) -> FleetSize {
    FleetSize {
        engines: instances * 4 / 5,
        instances,
        adapters: instances * 123,
        requests_per_s: instances * 13 / 5,
    }
}

fn seconds_of_load(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placer_second");
    group.sample_size(10);
    for instances in INSTANCES {
        let mut fleet = Fleet::new(size(instances));
        let mut cell = fleet.new_cell(0);
        let mut now_ms = 0;
        let mut play = |until_ms: u64| {
            while now_ms < until_ms {
                now_ms += 1;
                for input in fleet.inputs_until(now_ms) {
                    fleet::handle(&mut cell, input, now_ms);
                    fleet.perform(cell.take_actions(), now_ms);
                    std::hint::black_box(cell.next_due_ms());
                }
                if cell.next_due_ms().is_some_and(|due_ms| due_ms <= now_ms) {
                    cell.tick(now_ms);
                    fleet.perform(cell.take_actions(), now_ms);
                }
            }
        };
        play(WARM_MS);
        let mut until_ms = WARM_MS;
        group.bench_function(BenchmarkId::from_parameter(instances), |bencher| {
            bencher.iter(|| {
                until_ms += STEP_MS;
                play(until_ms);
            });
        });
        let outcomes = fleet.take_outcomes();
        println!(
            "{} granted, {} refused, {} engines",
            outcomes.waits_ms.len(),
            outcomes.refused,
            outcomes.grants.len()
        );
    }
    group.finish();
}

criterion_group!(benches, seconds_of_load);
criterion_main!(benches);
