//! The weight store's stand-in as a process.

use std::process::ExitCode;

use mimosabay_standin::{command, weights};

fn main() -> ExitCode {
    let defaults = weights::Options::default();
    let command = command::new(
        "mimosabay-standin-weights",
        "Weight store with a limited rate, for tests",
    )
    .arg(command::number_arg(
        "rate-loads-per-s",
        defaults.rate_loads_per_s,
        "Loads that may start each second; 0 for no limit",
    ))
    .arg(command::number_arg(
        "load-ms",
        defaults.load_ms,
        "Time of a load while few are in flight",
    ))
    .arg(command::number_arg(
        "full-speed-loads",
        defaults.full_speed_loads,
        "Loads in flight beyond which each takes longer",
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
