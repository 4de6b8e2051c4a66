//! Pre-emption of routine streams for urgent work.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::{
    inflight::{CancelCause, RunningAttempt},
    prelude::*,
    scheduler::Scheduler,
    targets::TargetRow,
};

/// Maximum pre-emptions of one request.
const MAX_PREEMPTIONS: u8 = 2;

/// Maximum pre-emptions in progress at once.
const MAX_CONCURRENT: usize = 8;

/// Number of attempts that one search examines, so that its cost doesn't grow with the number of targets.
const SEARCH_SAMPLE: usize = 64;

/// Minimum time between two searches, so that not every event pays for one.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);

/// A stream that could be pre-empted.
struct PreemptionCandidate {
    request: RequestId,
    /// Seconds of prefill that have to be repeated when the stream resumes.
    waste: f64,
}

impl Scheduler {
    /// Cancels a routine stream for the urgent work that waits in a lane, if repeating the stream's prefill
    /// takes less time than waiting for the next free slot.
    pub(super) fn preempt(
        &mut self,
        lane: usize,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let waiting = self.queue.ready_len(lane, Tier::Urgent);
        let under_way = self.in_flight.preempting();
        if under_way >= waiting.min(MAX_CONCURRENT)
            || self.clocks.preemption.is_some_and(|next| now < next)
        {
            return;
        }
        self.clocks.preemption = Some(now + SEARCH_INTERVAL);
        let Some((candidate, wait)) = self.find_preemption(lane, now) else { return };
        if candidate.waste < wait {
            self.statistics.preemptions += 1;
            self.cancel(candidate.request, CancelCause::Preempted, now, actions);
        }
    }

    /// The stream that is cheapest to resume, and the expected wait for a slot without pre-emption.
    fn find_preemption(&mut self, lane: usize, now: Instant) -> Option<(PreemptionCandidate, f64)> {
        let head = self.queue.head(lane, Tier::Urgent)?;
        let mut best: Option<PreemptionCandidate> = None;
        let mut wait = f64::INFINITY;
        let total = self.in_flight.len();
        let start = self.rng.random_range(0..total.max(1));
        for running in self.in_flight.sample(start, SEARCH_SAMPLE) {
            let Some(row) = self.targets.row(running.target) else { continue };
            let serves = running.job.pool == head.pool
                && row.accepts_work()
                && row.holds(head.models)
                && row.suits_build(head.build)
                && row.in_flight <= row.window.size(now);
            if !serves {
                continue;
            }
            wait = wait.min(remaining_seconds(running, row, now));
            if !is_preemptible(running) {
                continue;
            }
            let waste =
                (f64::from(running.uncached) + f64::from(running.tokens)) * row.rates.prefill;
            if best.as_ref().is_none_or(|best| waste < best.waste) {
                best = Some(PreemptionCandidate { request: running.job.request(), waste });
            }
        }
        // The minimum of a sample exceeds the minimum of all attempts by about the ratio of the counts.
        let ratio = SEARCH_SAMPLE.min(total) as f64 / total.max(1) as f64;
        best.map(|best| (best, wait * ratio))
    }
}

fn is_preemptible(running: &RunningAttempt) -> bool {
    let job = &running.job;
    job.tier() == Tier::Routine
        && job.profile.idempotent
        && job.model().is_some()
        && job.preemptions < MAX_PREEMPTIONS
        && running.cancel.is_none()
}

/// Expected seconds until an attempt ends by itself.
pub(super) fn remaining_seconds(running: &RunningAttempt, row: &TargetRow, now: Instant) -> f64 {
    if running.first_token.is_some() {
        let left = running.job.size().output.saturating_sub(running.tokens);
        return f64::from(left) * row.rates.decode * row.pace.factor(now);
    }
    let elapsed = now.saturating_duration_since(running.dispatched).as_secs_f64();
    (f64::from(running.estimate.last_token) - elapsed).max(0.0)
}
