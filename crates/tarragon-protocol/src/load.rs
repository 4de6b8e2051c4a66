//! Load reports of targets.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// State of a target, as reported by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Just started: its capacity is low, and it fails under full load.
    Cold,
    /// Ready for full load.
    Warm,
    /// Shutting down: it finishes its running requests and must get no new ones.
    Leaving,
}

/// Load of a target, as returned by `GET /load`. The values were measured `lag_ms` before the report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Id of the run of the target's process; changes at each start.
    #[serde(rename = "restart")]
    pub restart_id: u64,
    /// State of the target.
    pub state: TargetState,
    /// Number of concurrent requests that the target can run at present.
    #[serde(rename = "bears")]
    pub capacity: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that the target has admitted to its own queue.
    pub waiting: u32,
    /// Number of tokens for which the KV cache has room.
    pub free_cache_tokens: u64,
    /// Loaded models.
    pub models: Vec<ModelName>,
    /// Fencing number of the last accepted order.
    pub fencing: FencingNumber,
    /// Milliseconds since the last accepted order, if there was one.
    pub last_order_age_ms: Option<u64>,
    /// Age of these values when the report was made, in milliseconds.
    pub lag_ms: u64,
}
