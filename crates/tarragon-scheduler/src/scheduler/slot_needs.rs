//! Targets at which more slots would allow waiting requests to be dispatched.

use std::time::Instant;

use crate::{prelude::*, scheduler::Scheduler};

/// Maximum targets per service for which slots are requested at a time, so that one process doesn't borrow
/// everywhere.
const TARGETS_PER_SERVICE: usize = 2;

/// Usage of the slots at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUsage {
    /// Own requests in flight.
    pub in_flight: u32,
    /// Slots of this process.
    pub slots: u32,
}

impl Scheduler {
    /// Targets whose slots are all in use while requests wait for their service. A target whose window is
    /// limited by its latency is left out: more slots would not open it.
    pub fn targets_needing_slots(&self, now: Instant) -> Vec<TargetName> {
        let mut pools: Vec<usize> = (0..self.queue.lane_count())
            .filter(|lane| Tier::DESCENDING.iter().any(|tier| self.queue.has_ready(*lane, *tier)))
            .map(|lane| self.queue.lane_pool(lane))
            .filter(|pool| self.targets.pool(*pool).open == 0)
            .collect();
        pools.sort_unstable();
        pools.dedup();
        pools.into_iter().flat_map(|pool| self.pool_targets_needing_slots(pool, now)).collect()
    }

    /// Usage of the slots at a target.
    pub fn slot_usage(&self, target: &str) -> Option<SlotUsage> {
        let row = self.targets.row(self.targets.find(target)?)?;
        Some(SlotUsage { in_flight: row.in_flight, slots: row.window.slots() })
    }

    fn pool_targets_needing_slots(&self, pool: usize, now: Instant) -> Vec<TargetName> {
        let mut rows: Vec<_> = self
            .targets
            .pool(pool)
            .members
            .iter()
            .filter_map(|index| self.targets.row(*index))
            .filter(|row| row.accepts_work() && row.capacity > 0 && !row.window.is_suspicious())
            .filter(|row| row.window.size(now) >= row.window.slots())
            .collect();
        rows.sort_by_key(|row| u64::from(row.in_flight) * 1_000 / u64::from(row.capacity));
        rows.into_iter().take(TARGETS_PER_SERVICE).map(|row| row.name.clone()).collect()
    }
}
