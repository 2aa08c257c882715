//! State machines of mimosabay, without I/O and without reading a clock.
//!
//! Many instances between callers and backend servers have to enforce common limits: no organisation
//! may exceed its rate over all instances, a booking may run only once, and an adapter in use may
//! not be evicted. Each decision is a state machine `(state, event, now) -> actions`, so that tests
//! can run it with any order of events and without sockets.
//!
//! ```
//! use mimosabay_core::rendezvous;
//!
//! // Every instance with the same list of peers chooses the same owner of a backend server.
//! let owner = rendezvous::choose("engine-1", ["instance-1", "instance-2"]);
//! assert!(owner.is_some());
//! ```

pub mod admission;
pub mod answer_memory;
pub mod attempt;
pub mod backend;
pub mod backoff;
pub mod bucket;
pub mod budget;
pub mod cell;
pub mod config;
pub mod crash_observer;
pub mod date;
pub mod demand;
pub mod dropped_evidence;
pub mod evacuations;
pub mod freshness;
pub mod handle;
pub mod macros;
pub mod membership;
pub mod name;
pub mod once;
pub mod order_lease;
pub mod ownership;
pub mod placement;
pub mod placer_machine;
pub mod placer_record;
pub mod plain;
pub mod prompt;
pub mod quarantine;
pub mod quarantine_log;
pub mod queue;
pub mod registrations;
pub mod rendezvous;
pub mod replica;
pub mod request;
pub mod resource;
pub mod retry;
pub mod retry_share;
pub mod roster;
pub mod server_links;
pub mod server_rates;
pub mod server_starts;
pub mod site;
pub mod slow_start;
pub mod software_versions;
pub mod stated_limit;
pub mod stream_log;
pub mod stream_placement;
pub mod stream_segments;
pub mod stream_versions;
pub mod takeover;
pub mod version_binding;
pub mod work;

mod quarantine_rows;
mod recency;
mod recent_answers;
mod rounding;
mod trial;
