//! Observations of callers and stand-ins during a scenario.

use mimosabay_core::name::Name;

use crate::harness::{BookingRecord, CallRecord};
use crate::{engine, plain};

/// Generations requested with the key of one organisation.
#[derive(Clone, Debug)]
pub struct OrganisationCalls {
    /// Name of the organisation.
    pub organisation: &'static str,
    /// Rate of the organisation.
    pub rate_tokens_per_s: u64,
    /// Burst of the organisation.
    pub burst_tokens: u64,
    /// Calls with its key.
    pub calls: Vec<CallRecord>,
}

/// An accepted change of a resource.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Organisation whose key was withdrawn, or name of the leaving backend server.
    pub name: Name,
    /// When its acceptance was observed, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

/// Observations of callers and stand-ins during a scenario.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Generations by organisation.
    pub organisations: Vec<OrganisationCalls>,
    /// Generations that are not part of an organisation's load.
    pub single_calls: Vec<CallRecord>,
    /// Bookings of all callers.
    pub bookings: Vec<BookingRecord>,
    /// Record of each engine, by the engine's name.
    pub engines: Vec<(Name, engine::Record)>,
    /// Record of each plain service.
    pub plain_servers: Vec<plain::Record>,
    /// API keys, which no backend server may receive.
    pub keys: Vec<&'static str>,
    /// The withdrawal of a key, if the scenario has one.
    pub withdrawn_key: Option<AcceptedChange>,
    /// The change that marks a backend server as leaving, if the scenario has one.
    pub leaving_server: Option<AcceptedChange>,
    /// Addresses of killed instances; connections to them may break.
    pub killed_addresses: Vec<String>,
    /// Conditions that were not met in time, such as a step that was not reached or an instance
    /// that did not become ready again.
    pub unmet_conditions: Vec<String>,
}

impl History {
    /// Iterates over all generations.
    pub(crate) fn calls(&self) -> impl Iterator<Item = &CallRecord> {
        let organisations = self
            .organisations
            .iter()
            .flat_map(|organisation| &organisation.calls);
        organisations.chain(&self.single_calls)
    }

    /// Iterates over all runs on engines, each with the name of its engine.
    pub(crate) fn runs(&self) -> impl Iterator<Item = (&Name, &engine::RunRecord)> {
        let engines = self.engines.iter();
        engines.flat_map(|(name, record)| record.runs.iter().map(move |run| (name, run)))
    }
}
