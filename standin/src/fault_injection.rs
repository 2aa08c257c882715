//! Proofs by faults: a site under load meets faults at a given step, everybody records what they
//! saw, and one checker per promise judges the history.

mod checker;
mod fault;
mod history;
mod inject;
mod scenario;

pub use checker::{Guarantee, Violation, check};
pub use fault::{Fault, Step, excluded};
pub use history::{AcceptedChange, History, OrganisationCalls};
pub use scenario::{Outcome, Scenario};
