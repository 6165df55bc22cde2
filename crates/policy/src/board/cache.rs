//! Estimate of what an engine's prefix cache holds.

use std::collections::HashMap;

use crate::board::request::PromptPart;
use crate::moment::Moment;

/// Share of an engine's KV cache that cached prompts are expected to occupy; running requests
/// take the rest.
const CACHE_SHARE: f64 = 0.75;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_used: Moment,
}

/// A model of one engine's prefix cache, built from the prompts that all instances sent to it.
///
/// The least recently used parts are evicted first, as the engine does.
#[derive(Clone, Debug, Default)]
pub struct CacheModel {
    parts: HashMap<u64, CachedPart>,
    total: u64,
}

impl CacheModel {
    /// Records a prompt that the engine has processed or fetched; `kv_tokens` is the capacity of
    /// the engine's KV cache.
    pub fn note(&mut self, parts: &[PromptPart], kv_tokens: u32, now: Moment) {
        for part in parts {
            let entry = CachedPart { tokens: part.tokens, last_used: now };
            let previous = self.parts.insert(part.id, entry);
            self.total += u64::from(part.tokens);
            self.total -= previous.map_or(0, |previous| u64::from(previous.tokens));
        }
        let limit = (f64::from(kv_tokens) * CACHE_SHARE) as u64;
        while self.total > limit {
            let oldest = self.parts.iter().min_by_key(|(id, entry)| (entry.last_used, **id));
            let Some((id, tokens)) = oldest.map(|(id, entry)| (*id, entry.tokens)) else { return };
            self.parts.remove(&id);
            self.total -= u64::from(tokens);
        }
    }

    /// Tokens of the prompt's longest cached prefix, which need no prefill.
    pub fn cached(&self, parts: &[PromptPart]) -> u32 {
        let prefix = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        prefix.map(|part| part.tokens).sum()
    }
}
