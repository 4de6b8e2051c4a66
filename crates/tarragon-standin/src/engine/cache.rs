//! Prefix cache of an engine: blocks with limited memory, the least recently used dropped first, and the
//! events that tell of them late and with gaps.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tarragon_protocol::{
    engine::{CacheChange, CacheEvent},
    prelude::*,
};

/// Events that can still be read. Older ones are gaps for a slow reader.
const KEPT_EVENTS: usize = 4096;
/// Most events in one answer.
const EVENTS_PER_READ: usize = 512;

/// Blocks held and events about them.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// Last use of each block.
    blocks: IndexMap<BlockHash, u64>,
    /// Blocks by last use, the oldest first.
    uses: BTreeMap<u64, BlockHash>,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    event_lag: Duration,
    event_gap: u64,
}

impl PrefixCache {
    /// An empty cache. Events can be read after `event_lag`; each `event_gap`-th one is lost.
    pub fn new(capacity: usize, event_lag: Duration, event_gap: u64) -> PrefixCache {
        PrefixCache {
            capacity,
            blocks: IndexMap::new(),
            uses: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
            event_lag,
            event_gap,
        }
    }

    /// Number of blocks from the start of a prompt that are held. They count as used.
    pub fn use_prefix(&mut self, blocks: &[BlockHash]) -> usize {
        let held = blocks.iter().take_while(|block| self.blocks.contains_key(*block)).count();
        for block in &blocks[..held] {
            self.touch(*block);
        }
        held
    }

    /// The blocks of a list that are held.
    pub fn held(&self, blocks: &[BlockHash]) -> Vec<BlockHash> {
        blocks.iter().copied().filter(|block| self.blocks.contains_key(block)).collect()
    }

    /// Number of blocks held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Adds the blocks of a prompt and drops others if memory runs out.
    pub fn store(&mut self, blocks: &[BlockHash], now: Instant) {
        // A prompt larger than the whole cache keeps its start, which other prompts may share.
        let blocks = &blocks[..blocks.len().min(self.capacity)];
        let mut stored = Vec::new();
        for block in blocks {
            if !self.blocks.contains_key(block) {
                stored.push(*block);
            }
            self.touch(*block);
        }
        let evicted = self.evict();
        self.add_event(CacheChange::Stored, stored, now);
        self.add_event(CacheChange::Evicted, evicted, now);
    }

    /// Drops everything, as a restart does.
    pub fn clear(&mut self, now: Instant) {
        self.blocks.clear();
        self.uses.clear();
        self.push_event(CacheChange::Cleared, Vec::new(), now);
    }

    /// Events after a sequence number that can be read by now.
    pub fn events_after(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().take_while(|(at, _)| *at + self.event_lag <= now);
        let wanted = visible.filter(|(_, event)| event.sequence > after);
        wanted.take(EVENTS_PER_READ).map(|(_, event)| event.clone()).collect()
    }

    fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        if let Some(last) = self.blocks.insert(block, self.clock) {
            self.uses.remove(&last);
        }
        self.uses.insert(self.clock, block);
    }

    fn evict(&mut self) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while self.blocks.len() > self.capacity {
            let Some((_, block)) = self.uses.pop_first() else { break };
            self.blocks.swap_remove(&block);
            evicted.push(block);
        }
        evicted
    }

    fn add_event(&mut self, change: CacheChange, blocks: Vec<BlockHash>, now: Instant) {
        if !blocks.is_empty() {
            self.push_event(change, blocks, now);
        }
    }

    fn push_event(&mut self, change: CacheChange, blocks: Vec<BlockHash>, now: Instant) {
        self.sequence += 1;
        if self.event_gap > 0 && self.sequence.is_multiple_of(self.event_gap) {
            return;
        }
        self.events.push_back((now, CacheEvent { sequence: self.sequence, change, blocks }));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
