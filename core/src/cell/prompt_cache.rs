//! The placer's estimate of the prompt parts cached by an engine.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;
use crate::prompt::Prompt;

/// A prompt as engines cache it: the hash of each of its prefixes, with the tokens of its last part.
#[derive(Clone, Debug)]
pub(crate) struct PromptPrefixes {
    prefixes: Vec<(u64, u64)>,
}

impl PromptPrefixes {
    /// Returns the prefixes of a prompt for a version of its adapter.
    pub(crate) fn new(prompt: &Prompt, version: u64) -> Self {
        Self {
            prefixes: prefix_hashes(prompt, version).collect(),
        }
    }
}

/// Uses a key that is a hash already as its hash.
#[derive(Clone, Copy, Debug, Default)]
struct KeptHash {
    hash: u64,
}

impl Hasher for KeptHash {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.hash = self.hash.rotate_left(u8::BITS) ^ hash;
    }

    fn finish(&self) -> u64 {
        self.hash
    }
}

/// LRU cache of the prompt parts at one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptCache {
    /// Cached parts by the hash of the adapter, its version and all parts up to this one.
    parts: HashMap<u64, CachedPart, BuildHasherDefault<KeptHash>>,
    /// Sum of the tokens of `parts`.
    tokens: u64,
    /// Number of insertions so far; orders the parts by last use.
    uses: u64,
}

#[derive(Clone, Debug)]
struct CachedPart {
    adapter: Option<Name>,
    tokens: u64,
    used: u64,
}

impl PromptCache {
    /// Returns the number of prompt tokens that need no prefill.
    pub(crate) fn cached_tokens(&self, prompt: &PromptPrefixes) -> u64 {
        let prefixes = prompt.prefixes.iter();
        prefixes
            .take_while(|(key, _)| self.parts.contains_key(key))
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Adds the parts of a prompt that the engine prefills, and evicts down to `capacity_tokens`.
    pub(crate) fn insert(&mut self, prompt: &Prompt, version: u64, capacity_tokens: u64) {
        self.uses += 1;
        let used = self.uses;
        for (key, tokens) in prefix_hashes(prompt, version) {
            let part = self.parts.entry(key).or_insert_with(|| {
                self.tokens += tokens;
                CachedPart {
                    adapter: prompt.adapter.clone(),
                    tokens,
                    used,
                }
            });
            part.used = used;
        }
        self.evict_to(capacity_tokens);
    }

    /// Removes the parts cached for an adapter.
    pub(crate) fn remove_adapter(&mut self, adapter: &str) {
        self.parts
            .retain(|_, part| part.adapter.as_deref() != Some(adapter));
        self.tokens = self.parts.values().map(|part| part.tokens).sum();
    }

    fn evict_to(&mut self, capacity_tokens: u64) {
        if self.tokens <= capacity_tokens {
            return;
        }
        let mut by_use: Vec<(u64, u64)> = self
            .parts
            .iter()
            .map(|(key, part)| (part.used, *key))
            .collect();
        by_use.sort_unstable();
        for (_, key) in by_use {
            if self.tokens <= capacity_tokens {
                return;
            }
            if let Some(part) = self.parts.remove(&key) {
                self.tokens -= part.tokens;
            }
        }
    }
}

/// Returns the hash of each prefix of the prompt with the tokens of its last part.
fn prefix_hashes(prompt: &Prompt, version: u64) -> impl Iterator<Item = (u64, u64)> {
    let adapter = prompt.adapter.as_deref().unwrap_or_default();
    let mut hash = xxh3_64_with_seed(adapter.as_bytes(), version);
    prompt.parts.iter().map(move |part| {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        (hash, part.tokens)
    })
}
