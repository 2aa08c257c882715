//! Tests of the queue of a backend server.

mod driver;
mod fairness;
mod oracle;
mod order;
mod random_histories;
mod refusals;
