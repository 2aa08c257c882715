//! Runs the engine stand-in as a process.

use std::io;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use mimosabay_standin::{command, engine};

fn main() -> ExitCode {
    command::run_server(build_command(), |matches, listener| {
        Ok(engine::serve(listener, read_options(matches)?))
    })
}

fn build_command() -> Command {
    let defaults = engine::Options::default();
    let numbers = [
        (
            "slots",
            defaults.slots as u64,
            "Number of adapters that fit in memory",
        ),
        (
            "batch",
            defaults.batch.into(),
            "Requests that run concurrently",
        ),
        (
            "token-us",
            defaults.token_us,
            "Base time per generated token, in microseconds",
        ),
        (
            "token-us-per-running",
            defaults.token_us_per_running,
            "Additional time per token for each running request, in microseconds",
        ),
        (
            "prompt-us-per-token",
            defaults.prompt_us_per_token,
            "Prefill time per token of the prompt, in microseconds",
        ),
        (
            "load-ms",
            defaults.load_ms,
            "Time to load an adapter without a weight store, in milliseconds",
        ),
        (
            "report-lag-ms",
            defaults.report_lag_ms,
            "Interval at which the load report is refreshed, in milliseconds",
        ),
    ];
    let weight_store = Arg::new("weight-store")
        .long("weight-store")
        .value_name("ADDRESS")
        .help("IP address and port of the weight store");
    command::new("mimosabay-standin-engine", "Simulated engine for tests")
        .args(numbers.map(|(name, default, help)| command::number_arg(name, default, help)))
        .arg(weight_store)
        .arg(flag(
            "ignore-fencing",
            "Accepts orders with an outdated fencing number",
        ))
        .arg(flag("exit-on-crash", "Ends the process on a crash"))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::SetTrue)
}

fn read_options(matches: &ArgMatches) -> io::Result<engine::Options> {
    Ok(engine::Options {
        slots: command::parse_value(matches, "slots")?,
        batch: command::parse_value(matches, "batch")?,
        token_us: command::parse_value(matches, "token-us")?,
        token_us_per_running: command::parse_value(matches, "token-us-per-running")?,
        prompt_us_per_token: command::parse_value(matches, "prompt-us-per-token")?,
        load_ms: command::parse_value(matches, "load-ms")?,
        weight_store: matches.get_one::<String>("weight-store").cloned(),
        check_fencing: !matches.get_flag("ignore-fencing"),
        report_lag_ms: command::parse_value(matches, "report-lag-ms")?,
        exit_on_crash: matches.get_flag("exit-on-crash"),
    })
}
