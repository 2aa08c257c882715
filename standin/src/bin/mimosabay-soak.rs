//! Runs soak tests and prints the results.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use mimosabay_standin::command;
use mimosabay_standin::soak::{self, SoakMode, SoakOptions, SoakReport};
use tokio::signal::unix::{SignalKind, signal};

/// Exit status after SIGTERM or SIGINT.
const EXIT_INTERRUPTED: u8 = 130;

fn main() -> ExitCode {
    let matches = build_command().get_matches();
    let numbers = (
        command::parse_value(&matches, "seed"),
        command::parse_value(&matches, "count"),
        command::parse_value::<u64>(&matches, "seconds"),
        command::parse_value(&matches, "instances"),
        command::parse_value(&matches, "callers"),
    );
    let (Ok(seed), Ok(count), Ok(seconds), Ok(instances), Ok(callers)) = numbers else {
        eprintln!("--seed, --count, --seconds, --instances and --callers must be whole numbers");
        return ExitCode::from(2);
    };
    let mode = match (
        matches.get_flag("planned"),
        matches.get_flag("crashing-part"),
        matches.get_flag("release"),
    ) {
        (true, _, _) => SoakMode::Planned,
        (false, true, _) => SoakMode::CrashingPart,
        (false, false, true) => SoakMode::Release,
        (false, false, false) => SoakMode::Mixed,
    };
    let options = SoakOptions {
        seed,
        duration_ms: 1_000 * seconds,
        instances,
        callers,
        mode,
        old_build: old_build(&matches),
    };
    match run(options, count) {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::FAILURE,
        None => {
            eprintln!("interrupted; only the seeds above were run");
            ExitCode::from(EXIT_INTERRUPTED)
        }
    }
}

/// Program of an earlier build, kept until the process ends.
fn old_build(matches: &ArgMatches) -> Option<&'static Path> {
    let path: &PathBuf = matches.get_one("old-build")?;
    Some(Box::leak(path.clone().into_boxed_path()))
}

fn build_command() -> Command {
    Command::new("mimosabay-soak")
        .about("Injects random faults into real instances under load and checks the outcome")
        .arg(command::number_arg("seed", 1_u64, "First seed"))
        .arg(command::number_arg("count", 1_u64, "Number of seeds"))
        .arg(command::number_arg(
            "seconds",
            15_u64,
            "Time during which faults are injected, in seconds",
        ))
        .arg(command::number_arg(
            "instances",
            4_u64,
            "Number of instances of a site",
        ))
        .arg(command::number_arg(
            "callers",
            12_u64,
            "Number of concurrent callers",
        ))
        .arg(
            Arg::new("planned")
                .long("planned")
                .help("Injects only planned maintenance and pauses of servers")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("crashing-part")
                .long("crashing-part")
                .help("Sends prompts with a part that crashes servers, beside a few other faults")
                .conflicts_with("planned")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("old-build")
                .long("old-build")
                .help("Program of an earlier build with which the instances start")
                .value_name("PATH")
                .value_parser(clap::value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("release")
                .long("release")
                .help("Engines of two software versions, and instances that lose their links to servers")
                .conflicts_with_all(["planned", "crashing-part"])
                .action(ArgAction::SetTrue),
        )
}

/// Runs `count` seeds and returns whether all guarantees held; returns `None` on a signal. A soak
/// test that is interrupted ends its processes.
#[tokio::main(worker_threads = 2)]
async fn run(options: SoakOptions, count: u64) -> Option<bool> {
    let mut terminate = signal(SignalKind::terminate()).ok()?;
    let mut interrupt = signal(SignalKind::interrupt()).ok()?;
    tokio::select! {
        all_hold = run_seeds(options, count) => Some(all_hold),
        _ = terminate.recv() => None,
        _ = interrupt.recv() => None,
    }
}

/// Runs `count` seeds one after the other; returns whether all guarantees held.
async fn run_seeds(options: SoakOptions, count: u64) -> bool {
    let mut all_hold = true;
    for seed in options.seed..options.seed + count {
        let report = soak::run(SoakOptions { seed, ..options }).await;
        all_hold &= report.violations.is_empty();
        print_report(seed, &report);
    }
    all_hold
}

fn print_report(seed: u64, report: &SoakReport) {
    println!(
        "seed {seed}: {} faults, {} requests, {} answered, {} promises broken; {:?}",
        report.injections.len(),
        report.requests,
        report.answered,
        report.violations.len(),
        report.outcomes
    );
    if report.violations.is_empty() {
        return;
    }
    for injection in &report.injections {
        println!("  {injection:?}");
    }
    for violation in &report.violations {
        println!("  {violation}");
    }
    for (name, log) in &report.logs {
        println!("  --- {name}\n{log}");
    }
}
