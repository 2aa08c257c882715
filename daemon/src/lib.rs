//! The parts of the daemon.
//!
//! An instance accepts calls ([`entry`]), runs each to its final answer ([`supervise`]), finds the
//! backend server and its owner ([`route`]), and dispatches to the servers that it owns itself
//! ([`owner`], [`execution`], [`dispatch`]). It also keeps its configuration up to date
//! ([`config_sync`]), tracks the other instances ([`heartbeat`]), shares the budgets with them
//! ([`budgets`], [`roster`]) and may have the role of the [`acceptor`].

// A poisoned lock or an impossible event violates an invariant and stops the process.
#![allow(clippy::missing_panics_doc)]

pub mod acceptor;
pub mod budget_messages;
pub mod budgets;
pub mod check;
pub mod clock;
pub mod config_sync;
pub mod dispatch;
pub mod dispatch_permit;
pub mod entry;
pub mod execution;
pub mod gateway;
pub mod heartbeat;
pub mod inbound;
pub mod instance;
pub mod journal;
pub mod log;
pub mod metrics;
pub mod monitor;
pub mod orders;
pub mod owner;
pub mod placement;
pub mod recording;
pub mod rollout;
pub mod roster;
pub mod route;
pub mod run;
pub mod service_level;
pub mod stop;
pub mod supervise;
pub mod takeover;
pub mod timer;
pub mod token_timing;
pub mod workers;
