//! An open-loop load driver over the real processes.
//!
//! A trace is made from a seed and replayed against a fresh site for each policy. What is
//! measured comes from the callers and from what the engines really ran, not from the counters of
//! the instances.

mod drive;
mod judge;
mod options;
mod policy;
mod site;
mod trace;

pub use drive::run;
pub use options::{BenchOptions, Fault, OptionError, SiteKind, command, read};
pub use policy::Policy;
