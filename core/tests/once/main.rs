//! Tests that each idempotency key runs at most once.

mod oracle;
mod regression;
mod scenarios;
mod store;
mod world;

use arbtest::arbtest;

use world::World;

/// Random bytes for one history; each event consumes a few.
const HISTORY_BYTES: u64 = 6_000;
const HISTORIES: u64 = 300;

#[test]
fn any_order_of_events_runs_each_key_at_most_once() {
    for history in 0..HISTORIES {
        arbtest(|u| {
            let mut world = World::new();
            while !u.is_empty() {
                world.step(u)?;
            }
            world.finish_without_faults();
            Ok(())
        })
        .seed(history << 32 | HISTORY_BYTES);
    }
}
