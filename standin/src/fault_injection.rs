//! Fault injection tests: faults are injected into a site under load at a given step, callers and
//! stand-ins record a history, and one checker per guarantee reports violations in it.

mod checker;
mod fault;
mod history;
mod inject;
mod scenario;

pub use checker::{Guarantee, Violation, check};
pub use fault::{Fault, Step, exclusion_reason};
pub use history::{AcceptedChange, History, OrganisationCalls};
pub use scenario::{Outcome, Scenario};
