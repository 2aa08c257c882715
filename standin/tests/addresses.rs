//! Addresses for the processes of test sites.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use mimosabay_standin::harness::free_address;

/// Number of addresses that are checked.
const ADDRESSES: usize = 3_000;

/// Guards against an address that a process just being started still holds.
#[test]
fn address_is_free_while_processes_are_started() {
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_done.load(Ordering::Relaxed) {
                Command::new("true").status().expect("a process");
            }
        });
        let addresses = std::iter::repeat_with(free_address).take(ADDRESSES);
        let taken = addresses.filter(|address| TcpListener::bind(&**address).is_err());
        let taken = taken.count();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "of {ADDRESSES}");
    });
}
