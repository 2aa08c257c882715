//! Measures the control overhead of an instance and how it scales.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use mimosabay_standin::slopes::{self, Dimension};

/// Default time for which each size is measured, in seconds.
const DEFAULT_SECONDS: &str = "8";

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let seconds = *matches
        .get_one::<u64>("seconds")
        .expect("the option has a default");
    let results = slopes::measure(&Dimension::ALL, seconds).await;
    let text = format!("{results:#}\n");
    match matches.get_one::<PathBuf>("json") {
        None => print!("{text}"),
        Some(path) => {
            if let Err(error) = std::fs::write(path, text) {
                eprintln!("{}: {error}", path.display());
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn command() -> Command {
    Command::new("mimosabay-slopes")
        .about(
            "Measures an instance's control overhead by number of instances, servers and resources",
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .help("Time for which each size is measured, in seconds")
                .default_value(DEFAULT_SECONDS)
                .value_parser(value_parser!(u64).range(1..=60)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("File for the results; standard output if absent")
                .value_parser(value_parser!(PathBuf)),
        )
}
