//! Tests of the queue of a backend server.

mod driver;
mod fairness;
mod oracle;
mod order;
mod orders_of_events;
mod refusals;
