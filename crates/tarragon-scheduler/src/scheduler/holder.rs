//! Waits of requests for busy targets that have their prompts cached.

use std::time::{Duration, Instant};

use crate::{
    choose::ChooseCandidate,
    job::Job,
    prelude::*,
    queue::{Queue, WaitState},
    scheduler::{Scheduler, preempt::remaining_seconds},
    targets::holder::{HolderBounds, HolderOffer},
};

/// A waiting request is decided on again after this time, since the estimates change.
const REVIEW_DELAY: Duration = Duration::from_millis(50);

/// Most requests that wait for holders at a time. It bounds the cost of the end of an attempt.
const MAX_WAITS: usize = 256;

/// A decision to wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct HolderWait {
    target: usize,
    until: Instant,
    offer: HolderOffer,
}

impl Scheduler {
    /// Whether a request waits for a busy target that has more of its prompt cached than the open one.
    pub(super) fn plan_holder_wait(
        &self,
        request: RequestId,
        open: &ChooseCandidate,
        now: Instant,
    ) -> Option<HolderWait> {
        let job = self.queue.get(request)?;
        let may_wait = job.tier() != Tier::Urgent
            && !job.late
            && !job.goes_on()
            && job.attempts == 0
            && self.work_end.is_none()
            && self.holder_waits.len() < MAX_WAITS;
        if !may_wait {
            return None;
        }
        let (target, held) = self.candidates.busy_holder(&self.targets, job, open)?;
        let seconds = |time: f32| Duration::from_secs_f32(time.clamp(0.0, 3_600.0));
        let cached = self
            .targets
            .summary(open.target)
            .prefill_time(held.cached.saturating_sub(open.estimate.cached));
        let offer = HolderOffer {
            saved: seconds(cached.min(open.estimate.first_token - held.first_token)),
            wait: self.holder_free_in(target, now)?,
            held_first: seconds(held.first_token),
            open_first: seconds(open.estimate.first_token),
        };
        let bounds = HolderBounds {
            objective: job.objective(),
            latest_start: job.latest_start,
            until: job.holder_until,
        };
        let until = offer.wait_until(bounds, now)?;
        Some(HolderWait { target, until, offer })
    }

    /// Expected time until a slot of a target is free for one more request than those that wait for it already.
    fn holder_free_in(&self, target: usize, now: Instant) -> Option<Duration> {
        let row = self.targets.row(target)?;
        let ahead = self.holder_waits.iter().filter(|(holder, _)| *holder == target).count();
        let own = self.in_flight.iter().filter(|running| running.target == target);
        let mut times: Vec<f64> = own.map(|running| remaining_seconds(running, row, now)).collect();
        times.sort_by(f64::total_cmp);
        times.get(ahead).map(|time| Duration::from_secs_f64(time.clamp(0.0, 3_600.0)))
    }

    pub(super) fn await_holder(&mut self, request: RequestId, wait: HolderWait, now: Instant) {
        let Some(job) = self.queue.get_mut(request) else { return };
        if job.holder_until.replace(wait.until).is_none() {
            self.statistics.holder_waits += 1;
            let target = self.targets.row(wait.target).map(|row| &*row.name);
            tracing::info!(
                request,
                target_address = target,
                saved_ms = wait.offer.saved.as_millis() as u64,
                expected_ms = wait.offer.wait.as_millis() as u64,
                longest_ms = wait.until.saturating_duration_since(now).as_millis() as u64,
                "waiting for a busy target that holds the prompt"
            );
        }
        let review = wait.until.min(now + REVIEW_DELAY);
        self.queue.set_state(request, WaitState::Deferred(review));
        self.holder_waits.push((wait.target, request));
    }

    /// Drops the waits whose requests are due again or have left the queue.
    pub(super) fn sweep_holder_waits(&mut self) {
        let queue = &self.queue;
        self.holder_waits.retain(|(_, request)| queue.is_deferred(*request));
    }

    /// Makes the requests ready that wait for a target where a slot has become free.
    pub(super) fn release_holder_waits(&mut self, target: usize) {
        let queue = &mut self.queue;
        self.holder_waits.retain(|(holder, request)| {
            if *holder == target && queue.is_deferred(*request) {
                queue.set_state(*request, WaitState::Ready);
            }
            *holder != target
        });
    }
}

/// Tokens of the requests that wait for a busy target of a pool.
pub(super) fn holder_tokens(queue: &Queue, waits: &[(usize, RequestId)], pool: usize) -> u64 {
    let jobs = waits.iter().filter(|(_, request)| queue.is_deferred(*request));
    let jobs = jobs.filter_map(|(_, request)| queue.get(*request));
    jobs.filter(|job| job.pool == pool).map(Job::tokens).sum()
}
