//! Approximate map of the engines' prefix caches, from updates that may be late or missing.

use std::collections::{HashMap, VecDeque};

use crate::keys::EndpointKey;

/// Greatest number of blocks kept; the ones added first are dropped first.
const MAX_BLOCKS: usize = 200_000;

/// Which engines are assumed to have which prefix blocks in their cache.
#[derive(Debug, Default)]
pub(crate) struct CacheMap {
    holders: HashMap<u64, Vec<EndpointKey>>,
    order: VecDeque<u64>,
}

impl CacheMap {
    /// Records that an engine has a block.
    pub(crate) fn store(&mut self, block: u64, endpoint: EndpointKey) {
        let holders = self.holders.entry(block).or_insert_with(|| {
            self.order.push_back(block);
            Vec::new()
        });
        if !holders.contains(&endpoint) {
            holders.push(endpoint);
        }
        while self.order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Records that an engine no longer has a block.
    pub(crate) fn evict(&mut self, block: u64, endpoint: EndpointKey) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|holder| *holder != endpoint);
        }
    }

    /// Removes all blocks of an engine.
    pub(crate) fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != endpoint);
        }
    }

    /// Number of leading blocks of a prompt that an engine is assumed to have. Blocks before the
    /// last known one count as present, since updates may be missing.
    pub(crate) fn matched(&self, blocks: &[u64], endpoint: EndpointKey) -> usize {
        let held = |block: &u64| self.holders.get(block).is_some_and(|h| h.contains(&endpoint));
        blocks.iter().rposition(held).map_or(0, |index| index + 1)
    }

    /// Engines with the longest known prefix of a prompt.
    pub(crate) fn best(&self, blocks: &[u64]) -> &[EndpointKey] {
        let known = blocks.iter().rev().filter_map(|block| self.holders.get(block));
        known.map(Vec::as_slice).find(|holders| !holders.is_empty()).unwrap_or(&[])
    }
}
