//! Which instance dispatches to a backend server.
//!
//! Ownership is soft state: while instances disagree, two of them may act, which fencing numbers
//! and handles scoped by incarnation make harmless.

use crate::name::{InstanceId, Name};
use crate::rendezvous;

/// Bits of a fencing number that tell incarnations apart.
const INCARNATION_BITS: u32 = 16;

crate::record! {
    /// An instance that may own backend servers.
    pub struct Candidate {
        /// Its name.
        pub name: Name,
        /// Its availability zone.
        pub zone: Name,
    }
}

/// The owner of `server`: by rendezvous among the candidates in its zone, or among all of them if
/// its zone has none.
pub fn owner<'a>(server: &str, zone: &str, candidates: &'a [Candidate]) -> Option<&'a Name> {
    let near = candidates
        .iter()
        .filter(|candidate| &*candidate.zone == zone);
    choose(server, near).or_else(|| choose(server, candidates.iter()))
}

/// A fencing number above `seen` that no other incarnation chooses.
///
/// ```
/// use mimosabay_core::name::InstanceId;
/// use mimosabay_core::ownership::next_fencing;
///
/// let first = next_fencing(0, &InstanceId::new("a", 1));
/// let second = next_fencing(first, &InstanceId::new("b", 1));
/// assert!(second > first);
/// ```
pub fn next_fencing(seen: u64, me: &InstanceId) -> u64 {
    let low_mask = (1 << INCARNATION_BITS) - 1;
    let low = rendezvous::weight(&me.name, &me.incarnation.to_string()) & low_mask;
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
