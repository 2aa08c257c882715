//! What everybody saw during a scenario.

use mimosabay_core::name::Name;

use crate::harness::{BookingRecord, CallRecord};
use crate::{engine, plain};

/// Generations asked for with one key.
#[derive(Clone, Debug)]
pub struct OrganisationCalls {
    /// Organisation that the key belongs to.
    pub organisation: &'static str,
    /// Its tokens a second.
    pub rate_tokens_per_s: u64,
    /// Its tokens at once.
    pub burst_tokens: u64,
    /// Its calls.
    pub calls: Vec<CallRecord>,
}

/// A change that was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Organisation whose key was withdrawn, or server that is leaving.
    pub name: Name,
    /// When it was known to be accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

/// What everybody saw during a scenario.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Generations by organisation.
    pub organisations: Vec<OrganisationCalls>,
    /// Generations that belong to no group.
    pub single_calls: Vec<CallRecord>,
    /// Bookings.
    pub bookings: Vec<BookingRecord>,
    /// What ran on each engine.
    pub engines: Vec<(Name, engine::Record)>,
    /// What ran on each plain service.
    pub plains: Vec<plain::Record>,
    /// Keys, which no backend server may see.
    pub keys: Vec<&'static str>,
    /// Withdrawn key.
    pub withdrawn_key: Option<AcceptedChange>,
    /// Leaving server.
    pub leaving_server: Option<AcceptedChange>,
    /// Addresses of instances that were killed: connections to them may break.
    pub killed_addresses: Vec<String>,
    /// What could not be brought about or did not come back, such as an instance that is not
    /// ready again.
    pub unmet_conditions: Vec<String>,
}

impl History {
    /// All generations.
    pub(crate) fn calls(&self) -> impl Iterator<Item = &CallRecord> {
        let organisations = self.organisations.iter().flat_map(|group| &group.calls);
        organisations.chain(&self.single_calls)
    }

    /// All runs on engines, with the name of the engine.
    pub(crate) fn runs(&self) -> impl Iterator<Item = (&Name, &engine::RunRecord)> {
        let engines = self.engines.iter();
        engines.flat_map(|(name, record)| record.runs.iter().map(move |run| (name, run)))
    }
}
