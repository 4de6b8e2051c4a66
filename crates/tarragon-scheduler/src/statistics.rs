//! Counters for metrics.

use indexmap::IndexMap;
use serde::Serialize;

use crate::prelude::*;

/// Counters since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SchedulerStatistics {
    /// Requests that arrived, by tier.
    pub arrived: [u64; Tier::COUNT],
    /// Attempts sent to targets, by tier.
    pub dispatched: [u64; Tier::COUNT],
    /// Requests that finished, by tier.
    pub finished: [u64; Tier::COUNT],
    /// Requests whose caller left, by tier.
    pub disconnected: [u64; Tier::COUNT],
    /// Refusals by code, then by tier.
    pub refused: IndexMap<RefusalCode, [u64; Tier::COUNT]>,
    /// Requests that were refused for overload after they had waited in the queue, by tier.
    pub displaced: [u64; Tier::COUNT],
    /// Requests that were refused because they would have started too late, by tier.
    pub forecast_refusals: [u64; Tier::COUNT],
    /// Refused requests that came back as told and were placed by their first arrival.
    pub returns_placed: u64,
    /// Refused requests that came back earlier than told.
    pub returns_early: u64,
    /// Attempts after the first that follow a failure.
    pub retries: u64,
    /// Retries that were not made because the budget was used up.
    pub retries_denied: u64,
    /// Streams cancelled in favour of urgent work.
    pub preemptions: u64,
    /// Prompt tokens computed in attempts that did not finish.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens computed in all attempts, as reported by the targets.
    pub prefill_tokens: u64,
    /// Prompt tokens that targets found in their caches.
    pub cached_tokens: u64,
    /// Signs that a target has restarted or become cold again.
    pub cold_signs: u64,
    /// Requests that waited for a busy target which had their prompt cached.
    pub holder_waits: u64,
    /// Gaps in the sequence numbers of cache events.
    pub cache_gaps: u64,
    /// Requests convicted of crashing targets.
    pub convictions: u64,
    /// Events that named an unknown request or an old attempt.
    pub stale_events: u64,
}

impl SchedulerStatistics {
    pub(crate) fn count_refusal(&mut self, code: RefusalCode, tier: Tier) {
        self.refused.entry(code).or_default()[tier.index()] += 1;
    }

    /// Refusals with this code, over all tiers.
    pub fn refusals(&self, code: RefusalCode) -> u64 {
        self.refused.get(&code).map_or(0, |counts| counts.iter().sum())
    }
}
