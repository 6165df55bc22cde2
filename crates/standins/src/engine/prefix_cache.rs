//! Prefix cache in blocks, evicted in order of last use.

use std::collections::{BTreeMap, HashMap};

/// Hashes of cached prefix blocks.
#[derive(Default)]
pub struct PrefixCache {
    uses: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Number of leading blocks that are cached; marks them as used.
    pub fn match_prefix(&mut self, blocks: &[u64]) -> usize {
        let count = self.count_prefix(blocks);
        for block in &blocks[..count] {
            self.touch(*block);
        }
        count
    }

    /// Number of leading blocks that are cached.
    pub fn count_prefix(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.uses.contains_key(block)).count()
    }

    /// Marks a block as used, storing it if needed; returns whether it is new.
    pub fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let last = self.uses.insert(block, self.clock);
        if let Some(last) = last {
            self.order.remove(&last);
        }
        self.order.insert(self.clock, block);
        last.is_none()
    }

    /// Removes the block whose last use is the longest ago.
    pub fn evict(&mut self) -> Option<u64> {
        let (_, block) = self.order.pop_first()?;
        self.uses.remove(&block);
        Some(block)
    }
}
