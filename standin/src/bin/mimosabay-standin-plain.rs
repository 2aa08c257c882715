//! The plain service's stand-in as a process.

use std::process::ExitCode;

use mimosabay_standin::{command, plain};

fn main() -> ExitCode {
    let command = command::new(
        "mimosabay-standin-plain",
        "Plain service that books and answers lookups, for tests",
    )
    .arg(command::value(
        "call-ms",
        0_u64,
        "Time that each call takes",
    ));
    command::run(command, |matches, listener| {
        let options = plain::Options {
            call_ms: command::get(matches, "call-ms")?,
        };
        Ok(plain::serve(listener, options))
    })
}
