//! Keys in the order of their last use.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// A set of keys that knows which of them was used the longest ago.
#[derive(Clone, Debug)]
pub(crate) struct Recency<K> {
    numbers: HashMap<K, u64>,
    /// The keys by the number of their last use. Invariant: one entry for each of `numbers`.
    order: BTreeMap<u64, K>,
    /// Number of the next use.
    next: u64,
}

impl<K> Default for Recency<K> {
    fn default() -> Self {
        Self {
            numbers: HashMap::new(),
            order: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<K: Copy + Eq + Hash> Recency<K> {
    /// Adds a key, or makes it the one that was used last.
    pub(crate) fn touch(&mut self, key: K) {
        let number = self.next;
        self.next += 1;
        if let Some(before) = self.numbers.insert(key, number) {
            self.order.remove(&before);
        }
        self.order.insert(number, key);
    }

    /// Removes the key that was used the longest ago.
    pub(crate) fn pop_oldest(&mut self) -> Option<K> {
        let (_, key) = self.order.pop_first()?;
        self.numbers.remove(&key);
        Some(key)
    }

    /// Removes the keys for which `is_kept` returns false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(K) -> bool) {
        self.numbers.retain(|key, _| is_kept(*key));
        self.order.retain(|_, key| is_kept(*key));
    }

    /// Returns the keys, those that were used the longest ago first.
    pub(crate) fn keys(&self) -> impl Iterator<Item = K> {
        self.order.values().copied()
    }

    /// Returns the number of keys.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}
