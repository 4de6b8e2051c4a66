//! Age of cached prompts: an engine evicts the least recently used ones when it needs their memory for others.
//!
//! How much is read at a target is only partly known: what this process sends there, and how many requests of
//! other processes run there. The latter are assumed to be like the own ones.

use std::time::{Duration, Instant};

/// Number of generations in which the age of a cached prompt is counted. One is over once a target has read this
/// fraction of the tokens that fit beside its running requests.
pub const GENERATIONS: u32 = 4;

/// Weight of a new request in the moving averages.
const GAIN: f64 = 0.1;

/// Longest time between two updates for which reading is assumed to have gone on as before.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Size and expected time of a request that is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheDemand {
    /// Tokens that it takes in the engine's memory while it runs.
    pub held: u64,
    /// Those among them that were not in the memory before.
    pub added: u64,
    /// Expected time of the whole answer.
    pub time: Duration,
}

/// Memory of one target's engine, as far as this process knows its use.
#[derive(Debug, Clone, Default)]
pub struct CacheMemory {
    /// Tokens that the memory holds; 0 if unknown.
    capacity: u64,
    /// Tokens added to the memory in this generation.
    added: f64,
    /// Mean tokens that a request takes while it runs.
    held_mean: f64,
    /// Mean tokens that a request adds per second.
    added_rate: f64,
    updated: Option<Instant>,
    /// Generations after which the target holds nothing more that this process knows of. Ending one takes a pass
    /// over the prefix index.
    left: u32,
}

impl CacheMemory {
    /// Sets the tokens that the memory holds; 0 if unknown.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Tokens that the memory holds; 0 if unknown.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Whether the size of the memory is known.
    pub fn is_known(&self) -> bool {
        self.capacity > 0
    }

    /// Tokens that fit beside this many running requests; `None` if unknown.
    pub fn room(&self, running: f64) -> Option<u64> {
        let taken = (running * self.held_mean) as u64;
        self.is_known().then(|| self.capacity.saturating_sub(taken))
    }

    /// Records a request that is sent to the target.
    pub fn record(&mut self, demand: CacheDemand) {
        if !self.is_known() {
            return;
        }
        let added = demand.added as f64;
        let rate = added / demand.time.as_secs_f64().max(0.01);
        let gain = if self.held_mean > 0.0 { GAIN } else { 1.0 };
        self.held_mean += gain * (demand.held as f64 - self.held_mean);
        self.added_rate += gain * (rate - self.added_rate);
        self.added += added;
        self.record_use();
    }

    /// Records that a prompt was used.
    pub fn record_use(&mut self) {
        self.left = GENERATIONS;
    }

    /// Adds what requests of other processes have read since the last update, given how many of them run, and
    /// returns the number of generations that have ended, given how many requests run in all.
    pub fn advance(&mut self, foreign: f64, running: f64, now: Instant) -> u32 {
        let Some(room) = self.room(running) else { return 0 };
        let last = self.updated.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).min(MAX_STEP).as_secs_f64();
        self.added += foreign * self.added_rate * elapsed;
        let span = (room as f64 / f64::from(GENERATIONS)).max(1.0);
        let ended = (self.added / span).floor().min(f64::from(GENERATIONS));
        self.added = (self.added - ended * span).clamp(0.0, span);
        let ended = (ended as u32).min(self.left);
        self.left -= ended;
        ended
    }

    /// Forgets what was read, because another process with an empty memory runs at the target.
    pub fn restart(&mut self) {
        self.added = 0.0;
        self.updated = None;
        self.left = 0;
    }
}
