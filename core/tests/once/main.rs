//! At most one run for each idempotency key.

mod oracle;
mod regression;
mod scenarios;
mod store;
mod world;

use arbtest::arbtest;

use world::World;

/// Bytes of randomness for one history; each event takes a few.
const HISTORY_BYTES: u64 = 6_000;
const HISTORIES: u64 = 300;

#[test]
fn every_order_of_events_keeps_the_promises() {
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
