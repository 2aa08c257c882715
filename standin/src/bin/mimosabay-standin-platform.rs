//! Runs the platform stand-in as a process.

use std::process::ExitCode;

use mimosabay_standin::{command, platform};

fn main() -> ExitCode {
    let command = command::new(
        "mimosabay-standin-platform",
        "Simulated object store and list of instances, for tests",
    )
    .arg(command::number_arg(
        "list-lag-ms",
        0_u64,
        "Delay until the list of instances reflects a change, in milliseconds",
    ))
    .arg(command::number_arg(
        "probe-interval-ms",
        0_u64,
        "Interval between probes of each instance's /healthz, in milliseconds; 0 for none",
    ));
    command::run_server(command, |matches, listener| {
        let options = platform::Options {
            list_lag_ms: command::parse_value(matches, "list-lag-ms")?,
            probe_interval_ms: command::parse_value(matches, "probe-interval-ms")?,
        };
        Ok(platform::serve(listener, options))
    })
}
