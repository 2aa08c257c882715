//! The engine's stand-in as a process.

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
            "Adapters that fit in memory",
        ),
        ("batch", defaults.batch.into(), "Requests that run at once"),
        ("token-us", defaults.token_us, "Time to the next token"),
        (
            "token-us-per-running",
            defaults.token_us_per_running,
            "Added to it for each request that runs",
        ),
        (
            "prompt-us-per-token",
            defaults.prompt_us_per_token,
            "Time to read one token of the prompt",
        ),
        (
            "load-ms",
            defaults.load_ms,
            "Time to load an adapter without a weight store",
        ),
        (
            "report-lag-ms",
            defaults.report_lag_ms,
            "Age of the load report",
        ),
    ];
    let weight_store = Arg::new("weight-store")
        .long("weight-store")
        .value_name("ADDRESS")
        .help("IP number and port of the weight store");
    command::new("mimosabay-standin-engine", "Engine, for tests")
        .args(numbers.map(|(name, default, help)| command::number_arg(name, default, help)))
        .arg(weight_store)
        .arg(flag(
            "ignore-fencing",
            "Obeys orders with an old fencing number",
        ))
        .arg(flag("exit-on-crash", "Ends the process at a crash"))
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
