//! Software versions of servers, which mark the events of their streams.

use std::collections::BTreeSet;

use mimosabay_core::name::Name;

use super::caller::FleetReply;
use super::server::FleetServer;

/// Software version of a server whose version was not set.
pub(super) const FIRST_VERSION: &str = "v1";

/// Software version of the new engines of a site.
pub(super) const SECOND_VERSION: &str = "v2";

impl FleetServer {
    /// Returns the version of the server's software.
    pub fn software_version(&self) -> Name {
        self.with_state(|state| state.software_version.clone())
    }
}

impl FleetReply {
    /// Returns the software versions that wrote the events in the body.
    pub fn software_versions(&self) -> BTreeSet<String> {
        software_versions(&self.body)
    }
}

/// Returns the software versions that wrote these events.
pub fn software_versions(events: &[u8]) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(events);
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let versions = data.filter_map(|data| data.split_once(" of "));
    versions.map(|(_, version)| version.to_owned()).collect()
}
