//! Simulates a platform where backend servers register themselves, for tests of real instances.
//!
//! The store and the servers run inside the test process; each instance is a separate process with
//! a settings file in the platform's format.

// A poisoned lock or a failure to set up the test site aborts the test.
#![allow(clippy::missing_panics_doc)]

mod answers;
mod behaviour;
mod caller;
mod configuration;
mod crash;
mod framing;
mod instance_links;
mod limit;
mod poison;
mod prompt_part;
mod raw_server;
mod received;
mod server;
mod settings;
mod site;
mod statement;
mod store;
mod store_tables;
mod version;

pub use behaviour::Behaviour;
pub use caller::{FleetCaller, FleetReply, FleetStream, event_ids};
pub use crash::{AnswerStart, ConnectionEnd, CrashEnd, CrashPlan, CrashTrigger, RestartId};
pub use instance_links::{InstanceLinks, LinkLoss};
pub use poison::{CONTACT_MS, Condition, Disturber, quarantine_log, start_crashing_site};
pub use prompt_part::{PartSpelling, has_part};
pub use raw_server::replace_by_raw_server;
pub use received::{ReceivedOrder, ReceivedRequest};
pub use server::{FleetServer, ServerKind};
pub use settings::MEMORY_MIB;
pub use site::{
    DESK, ENGINES, FleetInstance, FleetOptions, FleetSite, HOST, KEY, Listener, MODEL, ORGANISATION,
};
pub use store::{FleetStore, LostWrites, StoreCopy, WaitingWatches};
pub use store_tables::{HeldWrite, WRITES_PER_S};
pub use version::software_versions;
