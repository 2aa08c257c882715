//! Plays soaks and prints what they came to.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use mimosabay_standin::command;
use mimosabay_standin::soak::{self, SoakOptions, SoakReport};
use tokio::signal::unix::{SignalKind, signal};

/// Exit status after a signal.
const EXIT_INTERRUPTED: u8 = 130;

fn main() -> ExitCode {
    let matches = build_command().get_matches();
    let numbers = (
        command::get(&matches, "seed"),
        command::get(&matches, "count"),
        command::get::<u64>(&matches, "seconds"),
        command::get(&matches, "instances"),
    );
    let (Ok(seed), Ok(count), Ok(seconds), Ok(instances)) = numbers else {
        eprintln!("--seed, --count, --seconds and --instances are whole numbers");
        return ExitCode::from(2);
    };
    let options = SoakOptions {
        seed,
        duration_ms: 1_000 * seconds,
        instances,
        is_planned_only: matches.get_flag("planned"),
        ..SoakOptions::default()
    };
    match run(options, count) {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::FAILURE,
        None => {
            eprintln!("interrupted; the seeds above are what was played");
            ExitCode::from(EXIT_INTERRUPTED)
        }
    }
}

fn build_command() -> Command {
    Command::new("mimosabay-soak")
        .about("Lets random faults strike real instances under load, and judges what happened")
        .arg(command::value("seed", 1_u64, "First seed"))
        .arg(command::value("count", 1_u64, "Number of seeds"))
        .arg(command::value(
            "seconds",
            15_u64,
            "Time in which faults strike",
        ))
        .arg(command::value("instances", 4_u64, "Instances of a site"))
        .arg(
            Arg::new("planned")
                .long("planned")
                .help("Only planned work strikes")
                .action(ArgAction::SetTrue),
        )
}

/// Plays seeds until all are played (whether all promises were kept) or a signal comes (`None`). A
/// soak that is given up ends its processes.
#[tokio::main(worker_threads = 2)]
async fn run(options: SoakOptions, count: u64) -> Option<bool> {
    let mut terminate = signal(SignalKind::terminate()).ok()?;
    let mut interrupt = signal(SignalKind::interrupt()).ok()?;
    tokio::select! {
        is_kept = play(options, count) => Some(is_kept),
        _ = terminate.recv() => None,
        _ = interrupt.recv() => None,
    }
}

/// Plays `count` seeds one after the other; returns whether all promises were kept.
async fn play(options: SoakOptions, count: u64) -> bool {
    let mut is_kept = true;
    for seed in options.seed..options.seed + count {
        let report = soak::run(SoakOptions { seed, ..options }).await;
        is_kept &= report.violations.is_empty();
        print(seed, &report);
    }
    is_kept
}

fn print(seed: u64, report: &SoakReport) {
    println!(
        "seed {seed}: {} faults, {} requests, {} answered, {} promises broken",
        report.injections.len(),
        report.requests,
        report.answered,
        report.violations.len()
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
