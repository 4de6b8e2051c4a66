//! The planned end of the process: which requests may still begin, and the endings of those that can't be
//! completed.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use rand::Rng;

use crate::{
    inflight::{CancelCause, RunningAttempt},
    job::Job,
    prelude::*,
    scheduler::Scheduler,
    targets::estimate::RequestSize,
};

/// An answer may take this multiple of its expected length or, if it isn't streamed, [`CALL_TAIL`] times its
/// expected duration.
const OUTPUT_TAIL: u32 = 2;
const CALL_TAIL: u32 = 5;

/// Random part of the retry-after time, which keeps callers that are refused together from returning together.
const RETRY_AFTER_END_SPREAD: Duration = Duration::from_millis(300);

const END_MESSAGE: &str = "the process shuts down before the request could be completed";
const INTERRUPTED_MESSAGE: &str = "the process shut down while the request ran";

impl Scheduler {
    /// Takes the planned end of the process into account, and refuses the waiting requests that can't be
    /// completed before it.
    pub(super) fn plan_end(
        &mut self,
        end: WorkEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.work_end = Some(end);
        let waiting: Vec<RequestId> = self.queue.iter().map(Job::request).collect();
        for request in waiting {
            let latest = self.queue.get(request).and_then(|job| self.latest_by_end(job, now));
            if let Some(latest) = latest {
                self.queue.limit_by_end(request, latest);
            }
        }
        self.refuse_beyond_end(now, actions);
    }

    /// The latest start of a request whose answer could not be complete before the process ends if it waited until
    /// its own. It is refused halfway, so that its caller has time to be served by another process.
    pub(super) fn latest_by_end(&self, job: &Job, now: Instant) -> Option<Instant> {
        let end = self.work_end?;
        let last_start = end.at.checked_sub(self.longest_run(job, &end)).unwrap_or(now);
        let wait = last_start.saturating_duration_since(now);
        (last_start < job.latest_start).then(|| last_start.min(now + wait / 2))
    }

    /// How long a request may run, with its tail.
    fn longest_run(&self, job: &Job, end: &WorkEnd) -> Duration {
        let Some(rates) = self.targets.pool(job.pool).fastest else { return end.reserve };
        let RequestSize { prompt, output, delivered } = job.size();
        let run = match job.profile.model_call().zip(prompt) {
            Some((call, _)) => {
                let most = call.max_tokens.saturating_sub(delivered);
                let output = output.saturating_mul(OUTPUT_TAIL).min(most);
                rates.whole_time(RequestSize { output, ..job.size() })
            }
            None => rates.whole_time(job.size()) * CALL_TAIL,
        };
        run.max(end.reserve)
    }

    /// Refuses the waiting requests behind so much work that they can't begin in time before the process ends.
    /// Others wait for a target on.
    pub(super) fn refuse_beyond_end(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.work_end.is_none() {
            return;
        }
        let mut pools: Vec<usize> = self.queue.iter().map(|job| job.pool).collect();
        pools.sort_unstable();
        pools.dedup();
        for pool in pools {
            let service = self.targets.pool(pool);
            let rate = service.throughput();
            if service.fastest.is_none() || rate < 1.0 {
                continue;
            }
            let mut ahead = 0;
            for request in self.requests_by_urgency(pool) {
                let Some(job) = self.queue.get(request) else { continue };
                let begins = now + Duration::from_secs_f64(ahead as f64 / rate);
                if job.by_end && begins > job.latest_start {
                    self.refuse_for_end(request, actions);
                } else {
                    ahead += job.tokens();
                }
            }
        }
    }

    /// Refuses a waiting request because the process ends.
    pub(super) fn refuse_for_end(
        &mut self,
        request: RequestId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.dequeue_unserved(request) else { return };
        let refusal = self.refusal_for_end(&job);
        self.refuse(request, job.tier(), refusal, actions);
    }

    /// The refusal of a request that could not be completed before the process ends.
    pub(super) fn refusal_for_end(&mut self, job: &Job) -> Refusal {
        let spread = RETRY_AFTER_END_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
        Scheduler::refusal_of(job, RefusalCode::ShuttingDown, END_MESSAGE)
            .with_retry_after(RETRY_AFTER_END + spread)
    }

    /// Ends all waiting requests and up to `most` of those that run: first those that have brought their callers
    /// nothing, whose answers have yet to be written.
    pub(super) fn end_open(&mut self, most: usize, actions: &mut Vec<SchedulerAction>) {
        let waiting: Vec<RequestId> = self.queue.iter().map(Job::request).collect();
        for request in waiting {
            self.refuse_for_end(request, actions);
        }
        let order = |running: &RunningAttempt| {
            let has_output = running.first_token.is_some() || !running.job.awaits_first_output();
            (has_output, Reverse(running.dispatched))
        };
        let open = self.in_flight.iter().filter(|running| running.cancel.is_none());
        let mut open: Vec<_> = open
            .map(|running| (order(running), running.job.request(), running.job.tier()))
            .collect();
        open.sort_unstable();
        for (_, request, tier) in open.into_iter().take(most) {
            self.in_flight.cancel(request, CancelCause::Ending);
            let refusal = Refusal::unknown(RefusalCode::ShuttingDown, INTERRUPTED_MESSAGE);
            self.refuse(request, tier, refusal, actions);
        }
    }
}
