//! A complete site on loopback for tests: stand-ins run in this process, and each instance runs in
//! a process of its own that can be killed, frozen and stopped.
//!
//! Functions here panic when the site itself cannot be set up or reached, because a test cannot
//! continue then. Behaviour under test is returned as a value.

mod binary;
mod bookings;
mod caller;
mod control;
mod instance;
mod load;
mod process;
mod relay;
mod site;
mod wait;

pub use binary::find_binary;
pub use bookings::{Attempt, BookingLoad, BookingOutcome, BookingRecord};
pub use caller::{Caller, Failure, OpenStream, Part, Reply};
pub use control::Control;
pub use instance::{InstanceProcess, free_address};
pub use load::{Balancer, CallOutcome, CallRecord, GenerationRequest, Load, LoadOptions};
pub use process::Process;
pub use relay::Relay;
pub use site::{EngineServer, PlainServer, Site, SiteOptions};
pub use wait::{block_on, wait_for, wait_up_to};

/// Shared secret of the instances of a test site.
pub const PEER_SECRET: &str = "a secret for tests only";
/// API key of the organisation `clinics` of a test site.
pub const CLINICS_KEY: &str = "mb_key-of-the-clinics";
/// API key of the organisation `markets` of a test site.
pub const MARKETS_KEY: &str = "mb_key-of-the-markets";
