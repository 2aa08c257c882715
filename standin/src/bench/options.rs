//! Command-line options of the load driver.

use std::path::PathBuf;
use std::str::FromStr;

use clap::{Arg, ArgMatches, Command};
use snafu::Snafu;

use super::policy::Policy;

/// Site whose sizes and mix of calls are simulated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SiteKind {
    /// Three availability zones, 18 engines, 3 plain servers; 10 % plain calls.
    Thies,
    /// Four availability zones, 18 engines, 4 plain servers; 40 % plain calls.
    Cofrestr,
}

/// Fault injected half-way through the measured time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// One engine restarts with empty memory.
    ServerRestart,
    /// One instance is killed.
    InstanceKill,
    /// The store answers with 503 until the end of the run.
    StoreOutage,
    /// The popularity ranks shift by half of the adapters.
    PopularityShift,
}

/// Parsed options of the load driver.
#[derive(Clone, Debug, PartialEq)]
pub struct BenchOptions {
    /// Site to simulate.
    pub site: SiteKind,
    /// Policies to compare on the same trace.
    pub policies: Vec<Policy>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Measured time, in seconds.
    pub seconds: u64,
    /// Time before the measured time in which the engines' memory fills, in seconds.
    pub warm_up_seconds: u64,
    /// Calls per second of all organisations together, without the overload.
    pub calls_per_s: f64,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of the Zipf distribution of the adapters' popularity.
    pub skew: f64,
    /// Number of adapter slots of each engine.
    pub slots: usize,
    /// Number of requests that an engine runs concurrently.
    pub batch: u32,
    /// Factor by which one organisation exceeds its usual rate.
    pub overload: f64,
    /// Fault to inject.
    pub fault: Fault,
    /// File for the results; `None` to write none.
    pub json: Option<PathBuf>,
}

/// An invalid option value.
#[derive(Debug, Snafu)]
#[snafu(display("--{option} {value}: allowed is {allowed}"))]
pub struct OptionError {
    option: String,
    value: String,
    allowed: String,
}

const SITES: [(&str, SiteKind); 2] = [("thies", SiteKind::Thies), ("cofrestr", SiteKind::Cofrestr)];

const FAULTS: [(&str, Fault); 5] = [
    ("none", Fault::None),
    ("server-restart", Fault::ServerRestart),
    ("instance-kill", Fault::InstanceKill),
    ("store-outage", Fault::StoreOutage),
    ("popularity-shift", Fault::PopularityShift),
];

/// Options with a default: name, default and help text.
const ARGUMENTS: [(&str, &str, &str); 12] = [
    ("site", "thies", "Site to simulate: thies or cofrestr"),
    (
        "policy",
        "product",
        "Policies separated by commas; settings of a policy joined by +",
    ),
    ("seed", "1", "Seed of the random number generator"),
    ("seconds", "20", "Measured time in seconds"),
    ("warm-up-seconds", "20", "Warm-up time in seconds"),
    ("rate", "30", "Calls per second"),
    ("adapters", "200", "Number of adapters"),
    ("skew", "1.1", "Exponent of the adapters' popularity"),
    ("slots", "4", "Adapter slots of each engine"),
    ("batch", "4", "Requests that an engine runs concurrently"),
    (
        "overload",
        "5",
        "Factor by which one organisation exceeds its usual rate",
    ),
    (
        "fault",
        "none",
        "Fault injected half-way through the measured time",
    ),
];

/// Returns the command line definition.
pub fn command() -> Command {
    let arguments = ARGUMENTS.map(|(name, default, help)| {
        Arg::new(name)
            .long(name)
            .value_name("VALUE")
            .default_value(default)
            .help(help)
    });
    let json = Arg::new("json").long("json").value_name("FILE");
    Command::new("mimosabay-bench")
        .about("Open-loop load on a site of real instances and stand-ins")
        .args(arguments)
        .arg(json.help("File for the results"))
}

/// Parses the options.
///
/// # Errors
///
/// Returns the first option with an invalid value, and the allowed values.
pub fn parse_options(matches: &ArgMatches) -> Result<BenchOptions, OptionError> {
    Ok(BenchOptions {
        site: parse_named(matches, "site", &SITES)?,
        policies: parse_policies(matches)?,
        seed: parse_number(matches, "seed", 0..=u64::MAX)?,
        seconds: parse_number(matches, "seconds", 1..=600)?,
        warm_up_seconds: parse_number(matches, "warm-up-seconds", 0..=600)?,
        calls_per_s: parse_number(matches, "rate", 0.1..=10_000.0)?,
        adapters: parse_number(matches, "adapters", 1..=20_000)?,
        skew: parse_number(matches, "skew", 0.0..=5.0)?,
        slots: parse_number(matches, "slots", 1..=1_000)?,
        batch: parse_number(matches, "batch", 1..=1_000)?,
        overload: parse_number(matches, "overload", 1.0..=100.0)?,
        fault: parse_named(matches, "fault", &FAULTS)?,
        json: matches.get_one::<String>("json").map(PathBuf::from),
    })
}

fn parse_policies(matches: &ArgMatches) -> Result<Vec<Policy>, OptionError> {
    let text = argument_text(matches, "policy");
    text.split(',')
        .map(|name| {
            let allowed = format!("one or more of {}", Policy::names());
            Policy::parse(name).ok_or_else(|| option_error("policy", name, allowed))
        })
        .collect()
}

fn parse_number<T: FromStr + PartialOrd + std::fmt::Debug>(
    matches: &ArgMatches,
    name: &str,
    range: std::ops::RangeInclusive<T>,
) -> Result<T, OptionError> {
    let text = argument_text(matches, name);
    let number = text.parse().ok().filter(|number| range.contains(number));
    number.ok_or_else(|| option_error(name, text, format!("a number in {range:?}")))
}

fn parse_named<T: Copy>(
    matches: &ArgMatches,
    name: &str,
    known: &[(&str, T)],
) -> Result<T, OptionError> {
    let text = argument_text(matches, name);
    let found = known.iter().find(|(known, _)| *known == text);
    found.map(|(_, value)| *value).ok_or_else(|| {
        let names: Vec<&str> = known.iter().map(|(known, _)| *known).collect();
        option_error(name, text, names.join(", "))
    })
}

fn argument_text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn option_error(option: &str, value: &str, allowed: String) -> OptionError {
    OptionError {
        option: option.to_owned(),
        value: value.to_owned(),
        allowed,
    }
}
