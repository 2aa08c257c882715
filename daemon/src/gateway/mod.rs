//! An instance on a platform where backend servers register themselves and the configuration is
//! accepted already.
//!
//! The instance that takes a request sends it to the backend server itself. Requests to engines
//! ask the placer of the cell for a place before; see [`mimosabay_core::cell`]. The platform's own
//! names stay in [`mimosabay_platform`].

mod answer;
mod backends;
mod body;
mod callers;
mod connection;
mod election;
mod engine_request;
mod engine_run;
mod events;
mod exchange;
mod freeze;
mod link;
mod members;
mod metrics;
mod placement;
mod placer;
mod plain_request;
mod pool;
mod relay;
mod reload;
mod replicas;
mod replicate;
mod request;
mod run;
mod state;
mod stop;
mod suspects;
mod updates;
mod watch;

pub use reload::read_settings;
pub use run::{Options, run};
