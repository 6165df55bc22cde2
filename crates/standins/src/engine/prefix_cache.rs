//! Prefix cache of prompt blocks with LRU eviction.

use std::collections::{BTreeMap, HashMap};

/// Hashes of cached prefix blocks, with LRU eviction.
#[derive(Default)]
pub struct PrefixCache {
    /// Logical time of last use, by block.
    uses: HashMap<u64, u64>,
    /// Blocks by logical time of last use.
    order: BTreeMap<u64, u64>,
    /// Logical clock, incremented at each use.
    clock: u64,
}

impl PrefixCache {
    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Returns the number of leading blocks that are cached, and marks them as used.
    pub fn match_prefix(&mut self, blocks: &[u64]) -> usize {
        let count = self.count_prefix(blocks);
        for block in &blocks[..count] {
            self.touch(*block);
        }
        count
    }

    /// Returns the number of leading blocks that are cached.
    pub fn count_prefix(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.uses.contains_key(block)).count()
    }

    /// Marks a block as used, adding it if absent; returns whether it was added.
    pub fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let last = self.uses.insert(block, self.clock);
        if let Some(last) = last {
            self.order.remove(&last);
        }
        self.order.insert(self.clock, block);
        last.is_none()
    }

    /// Removes and returns the least recently used block.
    pub fn evict(&mut self) -> Option<u64> {
        let (_, block) = self.order.pop_first()?;
        self.uses.remove(&block);
        Some(block)
    }
}
