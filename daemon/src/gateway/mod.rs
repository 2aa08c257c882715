//! One instance of the HTTP gateway, on a platform where backend servers register themselves and
//! configurations are already accepted when the gateway reads them.
//!
//! The instance that receives a request sends it to a backend server itself. For an engine it first
//! requests a placement from the placer of the cell, see [`mimosabay_core::cell`]. Names that the
//! platform uses on the wire are confined to [`mimosabay_platform`].

mod activity;
mod answer;
mod answer_buffer;
mod backends;
mod body;
mod caller_connection;
mod callers;
mod connection;
mod crash_probe;
mod election;
mod engine_attempt;
mod engine_request;
mod engine_run;
mod evacuations;
mod events;
mod evidence_bounds;
mod exchange;
mod freeze;
mod head_limit;
mod link;
mod listener;
mod members;
mod metrics;
mod order_permission;
mod placement;
mod placer;
mod placer_answer;
mod placer_inbox;
mod placer_load;
mod plain_attempt;
mod plain_choice;
mod plain_request;
mod pool;
mod quarantine_check;
mod quarantine_store;
mod relay;
mod reload;
mod replicas;
mod replicate;
mod request;
mod retry_permit;
mod run;
mod runs;
mod server_connection;
mod server_limits;
mod server_links;
mod server_pauses;
mod server_starts;
mod signals;
mod state;
mod stop;
mod store_era;
mod stream_store;
mod streams;
mod successor;
mod suspects;
mod uneven_services;
mod updates;
mod version_store;
mod watch;

pub use reload::read_settings;
pub use run::{Options, run};
pub use signals::Signals;
