//! Options of the load driver.

use std::path::PathBuf;
use std::str::FromStr;

use clap::{Arg, ArgMatches, Command};
use snafu::Snafu;

use super::policy::Policy;

/// Site whose sizes and mix of calls are taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SiteKind {
    /// Three zones, 18 engines, 3 plain servers; long prompts.
    Thies,
    /// Four zones, 18 engines, 4 plain servers; more lookups.
    Cofrestr,
}

/// What goes wrong half-way through the measured time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One engine starts again with empty memory.
    ServerRestart,
    /// One instance is killed.
    InstanceKill,
    /// The store answers 503 until the end.
    StoreOutage,
    /// What was popular is not, and other adapters are.
    PopularityShift,
}

/// Options of the load driver.
#[derive(Clone, Debug, PartialEq)]
pub struct BenchOptions {
    /// Site to imitate.
    pub site: SiteKind,
    /// Policies to compare on the same trace.
    pub policies: Vec<Policy>,
    /// Start of the random sequence.
    pub seed: u64,
    /// Time that is measured.
    pub seconds: u64,
    /// Time before it in which memory fills.
    pub warm_up_seconds: u64,
    /// Calls each second by all organisations together.
    pub calls_per_s: f64,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of the popularity of adapters.
    pub skew: f64,
    /// Slots of each engine.
    pub slots: usize,
    /// Requests that an engine runs at once.
    pub batch: u32,
    /// Factor by which one organisation exceeds its usual rate.
    pub overload: f64,
    /// What goes wrong.
    pub fault: Fault,
    /// File for the results.
    pub json: Option<PathBuf>,
}

/// An option that is not allowed.
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

/// Options with defaults: name, default, help.
const ARGUMENTS: [(&str, &str, &str); 12] = [
    ("site", "thies", "Site to imitate: thies or cofrestr"),
    ("policy", "product", "Policies by commas, parts joined by +"),
    ("seed", "1", "Start of the random sequence"),
    ("seconds", "20", "Time that is measured"),
    ("warm-up-seconds", "20", "Time before it"),
    ("rate", "30", "Calls each second"),
    ("adapters", "200", "Number of adapters"),
    ("skew", "1.1", "Exponent of their popularity"),
    ("slots", "4", "Slots of each engine"),
    ("batch", "4", "Requests that an engine runs at once"),
    (
        "overload",
        "5",
        "Factor by which one organisation exceeds its usual rate",
    ),
    ("fault", "none", "What goes wrong half-way"),
];

/// The command line.
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

/// Reads the options.
///
/// # Errors
///
/// The first option that is not allowed, and what is.
pub fn read(matches: &ArgMatches) -> Result<BenchOptions, OptionError> {
    Ok(BenchOptions {
        site: named(matches, "site", &SITES)?,
        policies: policies(matches)?,
        seed: number(matches, "seed", 0..=u64::MAX)?,
        seconds: number(matches, "seconds", 1..=600)?,
        warm_up_seconds: number(matches, "warm-up-seconds", 0..=600)?,
        calls_per_s: number(matches, "rate", 0.1..=10_000.0)?,
        adapters: number(matches, "adapters", 1..=20_000)?,
        skew: number(matches, "skew", 0.0..=5.0)?,
        slots: number(matches, "slots", 1..=1_000)?,
        batch: number(matches, "batch", 1..=1_000)?,
        overload: number(matches, "overload", 1.0..=100.0)?,
        fault: named(matches, "fault", &FAULTS)?,
        json: matches.get_one::<String>("json").map(PathBuf::from),
    })
}

fn policies(matches: &ArgMatches) -> Result<Vec<Policy>, OptionError> {
    let text = text(matches, "policy");
    text.split(',')
        .map(|name| {
            let allowed = format!("one or more of {}", Policy::names());
            Policy::parse(name).ok_or_else(|| error("policy", name, allowed))
        })
        .collect()
}

fn number<T: FromStr + PartialOrd + std::fmt::Debug>(
    matches: &ArgMatches,
    name: &str,
    range: std::ops::RangeInclusive<T>,
) -> Result<T, OptionError> {
    let text = text(matches, name);
    let number = text.parse().ok().filter(|number| range.contains(number));
    number.ok_or_else(|| error(name, text, format!("a number in {range:?}")))
}

fn named<T: Copy>(matches: &ArgMatches, name: &str, known: &[(&str, T)]) -> Result<T, OptionError> {
    let text = text(matches, name);
    let found = known.iter().find(|(known, _)| *known == text);
    found.map(|(_, value)| *value).ok_or_else(|| {
        let names: Vec<&str> = known.iter().map(|(known, _)| *known).collect();
        error(name, text, names.join(", "))
    })
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn error(option: &str, value: &str, allowed: String) -> OptionError {
    OptionError {
        option: option.to_owned(),
        value: value.to_owned(),
        allowed,
    }
}
