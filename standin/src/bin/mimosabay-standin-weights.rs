//! Runs the weight store stand-in as a process.

use std::process::ExitCode;

use mimosabay_standin::{command, weights};

fn main() -> ExitCode {
    let defaults = weights::Options::default();
    let command = command::new(
        "mimosabay-standin-weights",
        "Simulated weight store with a limited rate, for tests",
    )
    .arg(command::number_arg(
        "rate-loads-per-s",
        defaults.rate_loads_per_s,
        "Loads that may start per second; 0 for no limit",
    ))
    .arg(command::number_arg(
        "load-ms",
        defaults.load_ms,
        "Duration of a load with few in flight, in milliseconds",
    ))
    .arg(command::number_arg(
        "full-speed-loads",
        defaults.full_speed_loads,
        "Number of loads in flight above which each takes longer",
    ));
    command::run_server(command, |matches, listener| {
        let options = weights::Options {
            rate_loads_per_s: command::parse_value(matches, "rate-loads-per-s")?,
            load_ms: command::parse_value(matches, "load-ms")?,
            full_speed_loads: command::parse_value(matches, "full-speed-loads")?,
        };
        Ok(weights::serve(listener, options))
    })
}
