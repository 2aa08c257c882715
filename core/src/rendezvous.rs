//! Rendezvous (highest random weight) hashing.
//!
//! Every instance with the same candidates makes the same choice. When a candidate leaves, only the
//! items that it held are reassigned.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `item`.
pub fn weight(item: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(item.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Returns the candidate with the highest weight for `item`, or `None` without candidates.
///
/// ```
/// use mimosabay_core::rendezvous;
///
/// let chosen = rendezvous::choose("server-1", ["a", "b", "c"]);
/// assert_eq!(chosen, rendezvous::choose("server-1", ["c", "b", "a"]));
/// ```
pub fn choose<'a>(item: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (weight(item, candidate), *candidate))
}
