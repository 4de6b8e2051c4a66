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

/// Retry-after time of refusals because of the end of the process: other processes can serve the requests now.
/// A random part keeps callers that are refused together from returning together.
const RETRY_AFTER_END: Duration = Duration::from_millis(200);
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
            let Some(mut job) = self.queue.get(request).cloned() else { continue };
            self.limit_by_end(&mut job, now);
            self.queue.set_latest_start(request, job.latest_start, job.by_end);
        }
        self.refuse_beyond_end(now, actions);
    }

    /// Limits the latest start of a request so that its answer is complete before the process ends. One that
    /// could have waited for longer is refused halfway, so that its caller has time to be served by another
    /// process.
    pub(super) fn limit_by_end(&self, job: &mut Job, now: Instant) {
        job.by_end = false;
        let Some(end) = self.work_end else { return };
        let last_start = end.at.checked_sub(self.longest_run(job, &end)).unwrap_or(now);
        if job.latest_start <= last_start {
            return;
        }
        let wait = last_start.saturating_duration_since(now);
        job.latest_start = last_start.min(now + wait / 2);
        job.by_end = true;
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
        let refusal = Scheduler::refusal_of(&job, RefusalCode::ShuttingDown, END_MESSAGE);
        let refusal = refusal.with_retry_after(self.retry_after_end());
        self.refuse(request, job.tier(), refusal, actions);
    }

    /// The refusal of a new request that could not be completed before the process ends.
    pub(super) fn refusal_for_end(&mut self) -> Refusal {
        Refusal::not_run(RefusalCode::ShuttingDown, END_MESSAGE)
            .with_retry_after(self.retry_after_end())
    }

    fn retry_after_end(&mut self) -> Duration {
        RETRY_AFTER_END + RETRY_AFTER_END_SPREAD.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Ends all waiting requests and up to `most` of those that run: first those that have brought their callers
    /// nothing, whose answers have yet to be written.
    pub(super) fn end_open(
        &mut self,
        most: usize,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let waiting: Vec<RequestId> = self.queue.iter().map(Job::request).collect();
        for request in waiting {
            self.refuse_for_end(request, actions);
        }
        let order = |running: &RunningAttempt| {
            let has_output = running.first_token.is_some() || !running.job.awaits_first_output();
            (has_output, Reverse(running.dispatched))
        };
        let open = self.in_flight.iter().filter(|running| running.cancel.is_none());
        let mut open: Vec<_> =
            open.map(|running| (order(running), running.job.request())).collect();
        open.sort_unstable();
        for (_, request) in open.into_iter().take(most) {
            let Some(attempt) = self.in_flight.cancel(request, CancelCause::Ending) else {
                continue;
            };
            let tier = self.in_flight.get(request).map(|running| running.job.tier());
            tracing::debug!(request, attempt, ?now, "attempt ended with the process");
            let refusal = Refusal::unknown(RefusalCode::ShuttingDown, INTERRUPTED_MESSAGE);
            self.refuse(request, tier.unwrap_or(Tier::Normal), refusal, actions);
        }
    }
}
