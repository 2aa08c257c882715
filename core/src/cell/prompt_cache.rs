//! Which parts of prompts an engine keeps, as far as the placer can tell.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;
use crate::prompt::Prompt;

/// Parts of prompts at one engine, least recently used first to go.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptCache {
    /// Kept parts by the hash of the adapter, its version and all parts up to this one.
    parts: HashMap<u64, CachedPart>,
    /// Sum of the tokens of `parts`.
    tokens: u64,
    /// Number of uses so far; orders uses.
    uses: u64,
}

#[derive(Clone, Debug)]
struct CachedPart {
    adapter: Option<Name>,
    tokens: u64,
    used: u64,
}

impl PromptCache {
    /// Tokens of the prompt that need not be read again.
    pub(crate) fn cached_tokens(&self, prompt: &Prompt, version: u64) -> u64 {
        let prefixes = prefix_hashes(prompt, version);
        prefixes
            .take_while(|(key, _)| self.parts.contains_key(key))
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// The engine reads the prompt and keeps its parts, within `capacity_tokens` for all.
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

    /// The engine has dropped what it kept for an adapter.
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

/// Hashes of the beginnings of the prompt, with the tokens of the last part of each.
fn prefix_hashes(prompt: &Prompt, version: u64) -> impl Iterator<Item = (u64, u64)> {
    let adapter = prompt.adapter.as_deref().unwrap_or_default();
    let mut hash = xxh3_64_with_seed(adapter.as_bytes(), version);
    prompt.parts.iter().map(move |part| {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        (hash, part.tokens)
    })
}
