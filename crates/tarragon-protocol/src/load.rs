//! What targets report of themselves.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Condition of a target by its own report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Just started: it can carry only a little and collapses under full load.
    Cold,
    /// Ready for full load.
    Warm,
    /// About to stop: it finishes its work and must get no new work.
    Leaving,
}

/// Load of a target, as answered by `GET /load`. It describes the target as it was `lag_ms` ago.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes at each start of the target's process.
    #[serde(rename = "restart")]
    pub restart_id: u64,
    /// Cold, warm or leaving.
    pub state: TargetState,
    /// Concurrent requests that the target can carry now.
    #[serde(rename = "bears")]
    pub capacity: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that the target has admitted and that wait inside it.
    pub waiting: u32,
    /// Tokens that still fit into the KV cache.
    pub free_cache_tokens: u64,
    /// Models held.
    pub models: Vec<ModelName>,
    /// Fencing number of the last order taken.
    pub fencing: FencingNumber,
    /// Milliseconds since the last order taken, if there was one.
    pub last_order_age_ms: Option<u64>,
    /// Age of the figures when the report was given, in milliseconds.
    pub lag_ms: u64,
}
