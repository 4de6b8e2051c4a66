//! Targets at which more slots would allow waiting requests to be dispatched.

use std::time::Instant;

use crate::{prelude::*, scheduler::Scheduler, targets::estimate::RequestSize};

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

/// The most urgent request that waits for a service although none of its targets is open to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingHead {
    /// Service.
    pub service: ServiceName,
    /// Position of its tier, lateness and rank in the dispatch order: lower goes first.
    pub class: u8,
    /// Milliseconds until its first output, or else its start, is due; negative once that is overdue.
    pub slack_ms: i32,
    /// Requests that wait for the service.
    pub count: u32,
}

/// Number of classes in one tier.
const CLASSES_PER_TIER: u8 = 16;

/// Output tokens of a request by which open targets are compared.
const TYPICAL_OUTPUT: u32 = 100;

impl Scheduler {
    /// The most urgent waiting request of each service.
    pub fn waiting_heads(&self, now: Instant) -> Vec<WaitingHead> {
        let mut heads: Vec<WaitingHead> = Vec::new();
        if self.queue.is_empty() {
            return heads;
        }
        for lane in 0..self.queue.lane_count() {
            let ready = |tier| self.queue.ready_len(lane, tier) as u32;
            let count: u32 = Tier::DESCENDING.into_iter().map(ready).sum();
            let first = Tier::DESCENDING.into_iter().find_map(|tier| self.queue.head(lane, tier));
            let Some(job) = first else { continue };
            let service = self.targets.pool_name(job.pool);
            let due = job.objective().unwrap_or(job.latest_start);
            let left = due.saturating_duration_since(now).as_millis();
            let overdue = now.saturating_duration_since(due).as_millis();
            let slack = i32::try_from(left).unwrap_or(i32::MAX);
            let slack_ms = slack.saturating_sub(i32::try_from(overdue).unwrap_or(i32::MAX));
            let tier = (Tier::COUNT - 1 - job.tier().index()) as u8;
            let class = tier * CLASSES_PER_TIER + job.order_in_tier();
            let head = WaitingHead { service: service.into(), class, slack_ms, count };
            match heads.iter_mut().find(|known| *known.service == *service) {
                Some(known) => {
                    if (class, slack_ms) < (known.class, known.slack_ms) {
                        (known.class, known.slack_ms) = (class, slack_ms);
                    }
                    known.count += count;
                }
                None => heads.push(head),
            }
        }
        heads
    }

    /// Targets of a service with their expected seconds for a request of typical length, whether open or not.
    pub fn service_targets(&self, service: &str) -> impl Iterator<Item = (&TargetName, f32)> {
        let pool = self.targets.find_pool(service);
        let members = pool.into_iter().flat_map(|pool| &self.targets.pool(pool).members);
        let size = RequestSize { prompt: Some(0), output: TYPICAL_OUTPUT, delivered: 0 };
        members.filter_map(move |index| {
            let estimate = self.targets.summary(*index).estimate(size, 0, Tier::Normal);
            Some((&self.targets.row(*index)?.name, estimate.last_token))
        })
    }

    /// Targets of a service at which this process may start a request now, with their expected seconds for a request
    /// of typical length.
    pub fn open_targets(&self, service: &str) -> impl Iterator<Item = (&TargetName, f32)> {
        let is_open = |name: &TargetName| {
            self.targets.find(name).is_some_and(|index| self.targets.summary(index).is_open())
        };
        self.service_targets(service).filter(move |(name, _)| is_open(name))
    }

    /// Target of an attempt that has not ended.
    pub fn attempt_target(
        &self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Option<&TargetName> {
        let running = self.in_flight.get(request).filter(|running| running.attempt == attempt)?;
        Some(&self.targets.row(running.target)?.name)
    }

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
