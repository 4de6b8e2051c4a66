//! What an engine stand-in counts.

use std::sync::{Mutex, PoisonError};

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use tarragon_protocol::{identity::TOKENS_PER_BLOCK, prelude::*};

/// Counters of one engine since its start. A crash does not reset them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounters {
    /// How often each request id was admitted, if runs are counted.
    pub runs: IndexMap<String, u32>,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests whose whole answer was generated.
    pub finished: u64,
    /// Requests cancelled by call or by a closed connection.
    pub cancelled: u64,
    /// Requests answered with an error.
    pub failed: u64,
    /// Prompt tokens computed.
    pub prefill_computed: u64,
    /// Prompt tokens found in the cache.
    pub prefill_cached: u64,
    /// Prompt tokens computed for requests that were cancelled, failed or lost in a crash.
    pub prefill_unused: u64,
    /// Prompt tokens computed though an engine of the same ledger had computed them before.
    pub prefill_repeated: u64,
    /// Tokens generated.
    pub tokens_generated: u64,
    /// Most requests inside the engine at once.
    pub peak: u32,
    /// Most requests inside the engine at once while it was cold.
    pub cold_peak: u32,
    /// Admissions above what the engine bore while it was cold.
    pub cold_overloads: u64,
    /// Crashes.
    pub crashes: u64,
    /// Orders taken.
    pub orders_taken: u64,
    /// Orders refused because of their fencing number.
    pub orders_refused: u64,
}

/// Blocks that any of several engines has computed.
#[derive(Debug, Default)]
pub struct PrefillLedger {
    computed: Mutex<IndexSet<BlockHash>>,
}

impl PrefillLedger {
    /// Notes computed blocks and returns how many tokens of them had been computed before.
    pub fn note(&self, blocks: &[BlockHash]) -> u64 {
        let mut computed = self.computed.lock().unwrap_or_else(PoisonError::into_inner);
        let repeated = blocks.iter().filter(|block| !computed.insert(**block)).count();
        u64::try_from(repeated * TOKENS_PER_BLOCK).unwrap_or(u64::MAX)
    }
}
