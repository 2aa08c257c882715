//! An open-loop load driver for sites of real instance processes.
//!
//! Generates a trace from a seed and replays it against a new site for each policy. Measurements
//! come from the callers and from the engines' records, not from the counters of the instances.

mod drive;
mod measures;
mod options;
mod policy;
mod site;
mod trace;

pub use drive::run;
pub use options::{BenchOptions, Fault, OptionError, SiteKind, command, parse_options};
pub use policy::Policy;
