//! The plain service's stand-in as a process.

use std::process::ExitCode;

use mimosabay_standin::{command, plain};

fn main() -> ExitCode {
    let command = command::new(
        "mimosabay-standin-plain",
        "Plain service that books and answers lookups, for tests",
    )
    .arg(command::number_arg(
        "call-ms",
        0_u64,
        "Time that each call takes",
    ));
    command::run_server(command, |matches, listener| {
        let options = plain::Options {
            call_ms: command::parse_value(matches, "call-ms")?,
        };
        Ok(plain::serve(listener, options))
    })
}
