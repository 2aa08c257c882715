//! Tests of budgets shared by all instances, with faults, in virtual time.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_possible_wrap
)]

mod bootstrap;
mod bound;
mod fleet;
mod oracle;
mod scenario;
mod usage;
