//! Rendezvous (highest random weight) hashing.
//!
//! Every instance that sees the same candidates makes the same choice, and a candidate that
//! leaves moves only what it held.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `candidate` for `item`.
pub fn weight(item: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(item.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// The candidate with the highest weight for `item`, or `None` if there is no candidate.
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
