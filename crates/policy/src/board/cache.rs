//! What an engine probably keeps of earlier prompts.

use std::collections::HashMap;

use crate::board::wanted::Part;
use crate::moment::Moment;

/// Share of an engine's memory that parts of earlier prompts are expected to keep; the rest is
/// taken by requests that run.
const KEPT_SHARE: f64 = 0.75;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: Moment,
}

/// A model of one engine's cache, built from the prompts that all instances had it read.
///
/// The least recently used parts go first, as they do at the engine.
#[derive(Clone, Debug, Default)]
pub struct CacheModel {
    parts: HashMap<u64, Kept>,
    total: u64,
}

impl CacheModel {
    /// The engine has read or fetched a prompt.
    pub fn note(&mut self, parts: &[Part], memory: u32, now: Moment) {
        for part in parts {
            let kept = Kept { tokens: part.tokens, used: now };
            let former = self.parts.insert(part.id, kept);
            self.total += u64::from(part.tokens);
            self.total -= former.map_or(0, |former| u64::from(former.tokens));
        }
        let most = (f64::from(memory) * KEPT_SHARE) as u64;
        while self.total > most {
            let oldest = self.parts.iter().min_by_key(|(id, kept)| (kept.used, **id));
            let Some((id, tokens)) = oldest.map(|(id, kept)| (*id, kept.tokens)) else { return };
            self.parts.remove(&id);
            self.total -= u64::from(tokens);
        }
    }

    /// Tokens at the start of a prompt that need not be read again.
    pub fn cached(&self, parts: &[Part]) -> u32 {
        let kept = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        kept.map(|part| part.tokens).sum()
    }
}
