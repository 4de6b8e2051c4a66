//! Index of the prompt prefixes that targets hold in their caches, built from cache events and own dispatches.

use indexmap::IndexMap;

use crate::{hash::NumberHash, prelude::*};

/// Maximum number of indexed blocks. At 384 targets a block takes about 200 bytes.
const MAX_BLOCKS: usize = 65_536;

/// Blocks of one prompt that are looked up. Longer prompts are sampled evenly.
const MAX_PROBES: usize = 16;

/// Number of blocks compared for an eviction; the least recently used of them is evicted.
const EVICTION_SAMPLE: usize = 4;

/// Bits per block and target: whether it holds the block, and its age in generations as a number of two bits.
const PLANES: usize = 3;

/// Sets of targets by block hash.
#[derive(Debug)]
pub struct PrefixIndex {
    /// Time of last use by block, in the order of the rows of `holders`.
    blocks: IndexMap<BlockHash, u32, NumberHash>,
    /// One row per block: `PLANES` times `stride` words, with one bit per target in each.
    holders: Vec<u64>,
    stride: usize,
    clock: u32,
    cursor: usize,
}

impl Default for PrefixIndex {
    fn default() -> PrefixIndex {
        PrefixIndex {
            blocks: IndexMap::default(),
            holders: Vec::new(),
            stride: 1,
            clock: 0,
            cursor: 0,
        }
    }
}

impl PrefixIndex {
    /// Number of blocks known.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records that a target holds blocks.
    pub fn insert(&mut self, target: usize, blocks: &[BlockHash]) {
        self.widen(target);
        self.clock = self.clock.wrapping_add(1);
        for block in blocks {
            self.insert_block(target, *block);
        }
    }

    /// Records that a target will hold a prompt that is being sent to it. Long prompts are sampled in the
    /// same way as in [`PrefixIndex::lookup`].
    pub fn insert_prompt(&mut self, target: usize, blocks: &[BlockHash]) {
        self.widen(target);
        self.clock = self.clock.wrapping_add(1);
        let step = sample_step(blocks.len());
        for block in blocks.iter().skip(step - 1).step_by(step) {
            self.insert_block(target, *block);
        }
    }

    /// Records that a target no longer holds blocks.
    pub fn remove(&mut self, target: usize, blocks: &[BlockHash]) {
        for block in blocks {
            let Some(row) = self.blocks.get_index_of(block) else { continue };
            let start = self.start(row);
            if let Some(word) = self.holders[start..start + self.stride].get_mut(target / 64) {
                *word &= !(1 << (target % 64));
            }
            if self.holders_of(row).iter().all(|word| *word == 0) {
                self.remove_row(row);
            }
        }
    }

    /// Removes a target from all blocks.
    pub fn clear_target(&mut self, target: usize) {
        if target / 64 >= self.stride {
            return;
        }
        for row in self.holders.chunks_exact_mut(PLANES * self.stride) {
            row[target / 64] &= !(1 << (target % 64));
        }
    }

    /// Ends a generation of a target: the blocks that were last used there `GENERATIONS` ago are evicted.
    pub fn age_target(&mut self, target: usize) {
        let (word, bit) = (target / 64, 1 << (target % 64));
        if word >= self.stride {
            return;
        }
        for row in self.holders.chunks_exact_mut(PLANES * self.stride) {
            let [held, low, high] = [word, self.stride + word, 2 * self.stride + word];
            if row[held] & bit == 0 {
                continue;
            }
            if row[low] & row[high] & bit != 0 {
                row[held] &= !bit;
            } else {
                row[high] ^= row[low] & bit;
                row[low] ^= bit;
            }
        }
    }

    /// Finds how many leading blocks of the prompt each target holds. Searches from the longest prefix down,
    /// so the first hit of a target is its longest.
    pub fn lookup(&self, blocks: &[BlockHash], targets: usize, hits: &mut PrefixHits) {
        hits.reset(targets, self.stride);
        if blocks.is_empty() || self.blocks.is_empty() {
            return;
        }
        let step = sample_step(blocks.len());
        let mut end = blocks.len() - blocks.len() % step;
        while end > 0 {
            if let Some(row) = self.blocks.get_index_of(&blocks[end - 1]) {
                hits.mark(self.holders_of(row), end as u32);
            }
            end -= step;
        }
    }

    /// Number of leading blocks of the prompt that one target holds. Most prompts are decided by the first
    /// look-up; the others are searched by bisection, since a target that holds a block usually holds those
    /// before it.
    pub fn hit(&self, blocks: &[BlockHash], target: usize) -> u32 {
        let step = sample_step(blocks.len());
        let mut open = blocks.len() / step;
        if open == 0 || !self.holds(blocks[step - 1], target) {
            return 0;
        }
        let mut held = 1;
        while held < open {
            let middle = (held + open).div_ceil(2);
            if self.holds(blocks[middle * step - 1], target) {
                held = middle;
            } else {
                open = middle - 1;
            }
        }
        (held * step) as u32
    }

    fn holds(&self, block: BlockHash, target: usize) -> bool {
        let Some(row) = self.blocks.get_index_of(&block) else { return false };
        self.holders_of(row).get(target / 64).is_some_and(|word| word >> (target % 64) & 1 == 1)
    }

    fn insert_block(&mut self, target: usize, block: BlockHash) {
        let row = match self.blocks.get_index_of(&block) {
            Some(row) => row,
            None => self.add_row(block),
        };
        self.blocks[row] = self.clock;
        let (start, bit) = (self.start(row) + target / 64, 1 << (target % 64));
        self.holders[start] |= bit;
        self.holders[start + self.stride] &= !bit;
        self.holders[start + 2 * self.stride] &= !bit;
    }

    fn widen(&mut self, target: usize) {
        let stride = target / 64 + 1;
        if stride <= self.stride {
            return;
        }
        let mut holders = vec![0; PLANES * stride * self.blocks.len()];
        for (old, new) in
            self.holders.chunks_exact(self.stride).zip(holders.chunks_exact_mut(stride))
        {
            new[..self.stride].copy_from_slice(old);
        }
        self.holders = holders;
        self.stride = stride;
    }

    fn add_row(&mut self, block: BlockHash) -> usize {
        if self.blocks.len() >= MAX_BLOCKS {
            self.evict();
        }
        self.holders.resize(self.holders.len() + PLANES * self.stride, 0);
        self.blocks.insert_full(block, self.clock).0
    }

    fn evict(&mut self) {
        let rows = self.blocks.len();
        let oldest = (0..EVICTION_SAMPLE)
            .map(|offset| (self.cursor + offset * 7_919) % rows)
            .max_by_key(|row| self.clock.wrapping_sub(self.blocks[*row]));
        self.cursor = (self.cursor + 1) % rows;
        if let Some(row) = oldest {
            self.remove_row(row);
        }
    }

    /// Removes a row by moving the last row into its place, as `swap_remove_index` does in the map.
    fn remove_row(&mut self, row: usize) {
        self.blocks.swap_remove_index(row);
        let last = self.holders.len() - PLANES * self.stride;
        let start = self.start(row);
        self.holders.copy_within(last.., start);
        self.holders.truncate(last);
    }

    /// Position of a row in `holders`.
    fn start(&self, row: usize) -> usize {
        row * PLANES * self.stride
    }

    /// Targets that hold the block of a row.
    fn holders_of(&self, row: usize) -> &[u64] {
        &self.holders[self.start(row)..][..self.stride]
    }
}

/// Distance between the sampled blocks of a prompt. It is a power of two, so that prompts of different
/// lengths with a common prefix sample common blocks.
fn sample_step(blocks: usize) -> usize {
    blocks.div_ceil(MAX_PROBES).max(1).next_power_of_two()
}

/// Leading blocks of one prompt that each target holds. Reused between lookups.
#[derive(Debug, Default)]
pub struct PrefixHits {
    lengths: Vec<u32>,
    any: bool,
    seen: Vec<u64>,
}

impl PrefixHits {
    /// Blocks that a target holds.
    pub fn get(&self, target: usize) -> u32 {
        self.lengths.get(target).copied().unwrap_or(0)
    }

    /// Whether any target holds a block.
    pub fn any(&self) -> bool {
        self.any
    }

    fn reset(&mut self, targets: usize, stride: usize) {
        self.lengths.clear();
        self.lengths.resize(targets, 0);
        self.any = false;
        self.seen.clear();
        self.seen.resize(stride, 0);
    }

    fn mark(&mut self, holders: &[u64], length: u32) {
        for (word, (bits, seen)) in holders.iter().zip(&mut self.seen).enumerate() {
            let mut new = bits & !*seen;
            *seen |= bits;
            while new != 0 {
                let target = word * 64 + new.trailing_zeros() as usize;
                new &= new - 1;
                if let Some(known) = self.lengths.get_mut(target) {
                    *known = length;
                    self.any = true;
                }
            }
        }
    }
}
