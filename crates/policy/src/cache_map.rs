//! Map of the engines' prefix caches, late and with gaps.

use std::collections::{HashMap, VecDeque};

use crate::keys::EndpointKey;

/// Blocks kept at most; the ones noted first are forgotten first.
const MAX_BLOCKS: usize = 200_000;

/// Which engines are believed to hold which prefix blocks.
#[derive(Debug, Default)]
pub(crate) struct CacheMap {
    holders: HashMap<u64, Vec<EndpointKey>>,
    order: VecDeque<u64>,
}

impl CacheMap {
    /// Notes that an engine holds a block.
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

    /// Notes that an engine no longer holds a block.
    pub(crate) fn evict(&mut self, block: u64, endpoint: EndpointKey) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|holder| *holder != endpoint);
        }
    }

    /// Forgets all blocks of an engine.
    pub(crate) fn forget(&mut self, endpoint: EndpointKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != endpoint);
        }
    }

    /// Number of leading blocks of a prompt that an engine is believed to hold.
    pub(crate) fn matched(&self, blocks: &[u64], endpoint: EndpointKey) -> usize {
        let held = |block: &u64| self.holders.get(block).is_some_and(|h| h.contains(&endpoint));
        blocks.iter().rposition(held).map_or(0, |index| index + 1)
    }

    /// Engines that hold the longest known prefix of a prompt.
    pub(crate) fn best(&self, blocks: &[u64]) -> &[EndpointKey] {
        let known = blocks.iter().rev().filter_map(|block| self.holders.get(block));
        known.map(Vec::as_slice).find(|holders| !holders.is_empty()).unwrap_or(&[])
    }
}
