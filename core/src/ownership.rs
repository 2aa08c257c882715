//! Choice of the instance that owns a backend server and dispatches requests to it.
//!
//! Ownership is soft state. While member lists differ, two instances may act as the owner; fencing
//! numbers and handles scoped by incarnation make this harmless.

use crate::name::{InstanceId, Name};
use crate::rendezvous;

/// Number of low bits of a fencing number that distinguish incarnations.
const INCARNATION_BITS: u32 = 16;

crate::record! {
    /// An instance that may own backend servers.
    pub struct Candidate {
        /// Name of the instance.
        pub name: Name,
        /// Availability zone of the instance.
        pub zone: Name,
    }
}

/// Chooses the owner of `server` by rendezvous hashing among the candidates in its availability zone,
/// or among all candidates if the zone has none.
pub fn owner<'a>(server: &str, zone: &str, candidates: &'a [Candidate]) -> Option<&'a Name> {
    let in_zone = candidates
        .iter()
        .filter(|candidate| &*candidate.zone == zone);
    choose(server, in_zone).or_else(|| choose(server, candidates.iter()))
}

/// Returns a fencing number above `seen` that no other incarnation chooses.
///
/// ```
/// use mimosabay_core::name::InstanceId;
/// use mimosabay_core::ownership::next_fencing;
///
/// let first = next_fencing(0, &InstanceId::new("a", 1));
/// let second = next_fencing(first, &InstanceId::new("b", 1));
/// assert!(second > first);
/// ```
pub fn next_fencing(seen: u64, own_id: &InstanceId) -> u64 {
    let low_mask = (1 << INCARNATION_BITS) - 1;
    let low = rendezvous::weight(&own_id.name, &own_id.incarnation.to_string()) & low_mask;
    let high = (seen >> INCARNATION_BITS) + 1;
    (high << INCARNATION_BITS) | low
}

fn choose<'a>(server: &str, candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Name> {
    let weight = |candidate: &&Candidate| {
        (
            rendezvous::weight(server, &candidate.name),
            candidate.name.clone(),
        )
    };
    candidates
        .max_by_key(weight)
        .map(|candidate| &candidate.name)
}
