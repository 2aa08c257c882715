//! Runs fault scenarios and prints a table of the outcomes.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use futures::{StreamExt, stream};
use mimosabay_standin::command;
use mimosabay_standin::fault_injection::{Fault, Outcome, Scenario, Step, exclusion_reason};

fn main() -> ExitCode {
    let matches = build_command().get_matches();
    let numbers = (
        command::parse_value(&matches, "seed"),
        command::parse_value(&matches, "count"),
        command::parse_value(&matches, "parallel"),
    );
    let (Ok(seed), Ok(count), Ok(parallel)) = numbers else {
        eprintln!("--seed, --count and --parallel must be whole numbers");
        return ExitCode::from(2);
    };
    let outcomes = run(scenarios(&matches, seed, count), parallel);
    let violations: usize = outcomes
        .iter()
        .map(|outcome| outcome.violations.len())
        .sum();
    if matches.get_flag("json") {
        print_json(&outcomes, violations);
    } else {
        print_table(&outcomes, violations);
    }
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn build_command() -> Command {
    let flag = |name: &'static str, help| {
        Arg::new(name)
            .long(name)
            .help(help)
            .action(ArgAction::SetTrue)
    };
    Command::new("mimosabay-faults")
        .about("Injects faults into sites under load and checks the outcome")
        .arg(command::number_arg(
            "seed",
            1_u64,
            "Seed of the first scenario",
        ))
        .arg(command::number_arg("count", 20_u64, "Number of scenarios"))
        .arg(command::number_arg(
            "parallel",
            2_u64,
            "Number of scenarios that run concurrently",
        ))
        .arg(flag("twice", "Injects two faults one after the other"))
        .arg(flag("json", "Prints one JSON object"))
}

/// Returns scenarios for pairs of fault and step, in an order that uses every fault once before
/// repeating one.
fn scenarios(matches: &ArgMatches, seed: u64, count: u64) -> Vec<Scenario> {
    let injects_two = matches.get_flag("twice");
    let faults = Fault::ALL.len() as u64;
    let mut scenarios = Vec::new();
    let mut number = seed;
    while (scenarios.len() as u64) < count {
        let fault = pick(&Fault::ALL, number);
        let step = pick(&Step::ALL, number + number / faults);
        if exclusion_reason(fault, step).is_none() {
            let mut injected = vec![fault];
            if injects_two {
                injected.push(pick(&Fault::ALL, number * 7 + 3));
            }
            scenarios.push(Scenario {
                faults: injected,
                step,
                seed: number,
            });
        }
        number += 1;
    }
    scenarios
}

fn pick<T: Copy>(all: &[T], number: u64) -> T {
    let count = all.len() as u64;
    all[usize::try_from(number % count).unwrap_or_default()]
}

#[tokio::main]
async fn run(scenarios: Vec<Scenario>, parallel: usize) -> Vec<Outcome> {
    let runs = scenarios
        .into_iter()
        .map(|scenario| async move { scenario.run().await });
    let outcomes = stream::iter(runs).buffered(parallel.max(1));
    outcomes
        .inspect(|outcome| {
            eprintln!(
                "seed {}: {:?} at {:?}: {} of {} calls complete, {} violations",
                outcome.seed,
                outcome.faults,
                outcome.step,
                outcome.complete,
                outcome.calls,
                outcome.violations.len()
            );
            for violation in &outcome.violations {
                eprintln!("      {:?}: {}", violation.guarantee, violation.details);
            }
        })
        .collect()
        .await
}

fn print_json(outcomes: &[Outcome], violations: usize) {
    let report = serde_json::json!({
        "scenarios": outcomes.len(),
        "violations": violations,
        "outcomes": outcomes,
    });
    println!("{report}");
}

fn print_table(outcomes: &[Outcome], violations: usize) {
    println!("SEED  FAULTS  STEP  CALLS  WHOLE  REFUSED  BOOKINGS  VIOLATIONS");
    for outcome in outcomes {
        let refused: usize = outcome.refused.values().sum();
        println!(
            "{}  {:?}  {:?}  {}  {}  {refused} {:?}  {}  {}",
            outcome.seed,
            outcome.faults,
            outcome.step,
            outcome.calls,
            outcome.complete,
            outcome.refused,
            outcome.bookings,
            outcome.violations.len()
        );
    }
    println!("{} scenarios, {violations} violations", outcomes.len());
}
