//! Periodic tasks.

use std::time::{Duration, Instant};

use crate::{
    inflight::{CancelCause, RunningAttempt},
    job::Job,
    prelude::*,
    scheduler::{RETRY_AFTER, Scheduler, holder::holder_tokens},
};

/// Interval at which the pools' rates are updated.
const POOL_INTERVAL: Duration = Duration::from_millis(500);

/// Streams on a target that is out of service are moved to another target after this time.
const MOVE_GRACE: Duration = Duration::from_secs(20);

/// Requests waiting for a service without any target are refused after this time. A shorter time would refuse
/// them whenever the only target of a service is briefly unlisted and listed again.
const NO_TARGET_GRACE: Duration = Duration::from_secs(2);

impl Scheduler {
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        self.clocks.targets = Some(now);
        self.update_assumed_models(now);
        self.targets.refresh_all(now);
        self.queue.mark_late(now);
        self.hold_start_records();
        self.returns.sweep(now);
        self.refuse_starved(now, actions);
        self.refuse_unreachable(now, actions);
        self.refuse_beyond_end(now, actions);
        self.stop_attempts(now, actions);
        self.refuse_without_target(now, actions);
        self.refuse_unbuilt(now, actions);
        self.dismiss_old_breaks(now);
        self.assess_suspects(true, None, now, actions);
        let waiting = self.queue.len() as u32;
        self.limit_share = self.pressure.share(waiting, now);
        let last = *self.clocks.pools.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last);
        if elapsed >= POOL_INTERVAL {
            self.clocks.pools = Some(now);
            let (queue, waits) = (&self.queue, &self.holder_waits);
            // Requests that wait by choice don't show how fast a pool is when all of it is in use.
            let busy = |pool| {
                queue.pool_tokens(pool).iter().sum::<u64>() > holder_tokens(queue, waits, pool)
            };
            self.targets.refresh_pools(elapsed, busy, now);
            self.workspaces.sweep(now);
            self.queue.sweep();
            self.suspects.expire(now);
        }
    }

    /// Cancels idempotent attempts whose deadline has passed or whose target has been out of service for too
    /// long.
    fn stop_attempts(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let mut stops = Vec::new();
        for running in self.in_flight.iter() {
            if !running.job.profile.idempotent {
                continue;
            }
            if running.job.profile.deadline <= now {
                stops.push((running.job.request(), CancelCause::Expired));
            } else if self.must_move(running, now) {
                stops.push((running.job.request(), CancelCause::Moved));
            }
        }
        for (request, cause) in stops {
            self.cancel(request, cause, now, actions);
        }
    }

    fn must_move(&self, running: &RunningAttempt, now: Instant) -> bool {
        let closed = self.targets.row(running.target).and_then(|row| row.closed_since);
        running.cancel.is_none()
            && closed.is_some_and(|since| now.saturating_duration_since(since) >= MOVE_GRACE)
            && self.targets.can_serve(running.job.pool, running.job.models, running.job.build)
    }

    /// Refuses waiting requests that take up a stream which no target in service may continue.
    fn refuse_unbuilt(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let bound = self.queue.iter().filter(|job| job.build.is_some());
        let hopeless = bound.filter(|job| !self.has_target_of_build(job, now));
        let requests: Vec<RequestId> = hopeless.map(Job::request).collect();
        for request in requests {
            if let Some(job) = self.dequeue_unserved(request) {
                self.refuse_without_build(job, actions);
            }
        }
    }

    /// Refuses waiting requests of services that have had no target in service for a while.
    fn refuse_without_target(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let is_empty = |pool: usize| {
            let since = self.targets.pool(pool).empty_since;
            since.is_some_and(|since| now.saturating_duration_since(since) >= NO_TARGET_GRACE)
        };
        if !(0..self.queue.lane_count()).any(|lane| is_empty(self.queue.lane_pool(lane))) {
            return;
        }
        let requests: Vec<RequestId> =
            self.queue.iter().filter(|job| is_empty(job.pool)).map(Job::request).collect();
        for request in requests {
            let Some(job) = self.dequeue_unserved(request) else { continue };
            let message = "no target of the service is in service";
            let refusal = Scheduler::refusal_of(&job, RefusalCode::NoTarget, message);
            self.refuse(request, job.tier(), refusal.with_retry_after(RETRY_AFTER), actions);
        }
    }
}
