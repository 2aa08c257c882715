//! Runs the plain service stand-in as a process.

use std::process::ExitCode;

use mimosabay_standin::{command, plain};

fn main() -> ExitCode {
    let command = command::new(
        "mimosabay-standin-plain",
        "Simulated plain service for bookings and lookups, for tests",
    )
    .arg(command::number_arg(
        "call-ms",
        0_u64,
        "Duration of each call, in milliseconds",
    ));
    command::run_server(command, |matches, listener| {
        let options = plain::Options {
            call_ms: command::parse_value(matches, "call-ms")?,
        };
        Ok(plain::serve(listener, options))
    })
}
