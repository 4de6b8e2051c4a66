//! Prompt blocks that an engine still holds, dropped in the order of their last use.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use tarragon_protocol::prelude::BlockHash;

/// Prefix cache with least-recently-used eviction.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    last_use: IndexMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    uses: u64,
}

impl PrefixCache {
    /// Number of leading blocks that are held. Counts as a use of them.
    pub(super) fn matching(&mut self, blocks: &[BlockHash]) -> usize {
        let held = blocks.iter().take_while(|block| self.last_use.contains_key(*block)).count();
        self.touch(&blocks[..held]);
        held
    }

    /// Adds blocks and returns those that were not held.
    pub(super) fn store(&mut self, blocks: &[BlockHash]) -> Vec<BlockHash> {
        let added =
            blocks.iter().copied().filter(|block| !self.last_use.contains_key(block)).collect();
        for block in blocks {
            self.last_use.entry(*block).or_insert(0);
        }
        self.touch(blocks);
        added
    }

    /// Counts a use of those blocks that are held. The last block of a prompt is the first to go, since
    /// a block is of no use without the ones before it.
    pub(super) fn touch(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            let Some(last_use) = self.last_use.get_mut(block) else { continue };
            self.uses += 1;
            self.by_use.remove(last_use);
            *last_use = self.uses;
            self.by_use.insert(self.uses, *block);
        }
    }

    /// Drops blocks until at most this many are left.
    pub(super) fn shrink_to(&mut self, room: usize) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while self.last_use.len() > room {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.last_use.swap_remove(&block);
            evicted.push(block);
        }
        evicted
    }
}
