//! Progress and end of attempts: updates the learned estimates and decides whether the request is retried.

use std::time::{Duration, Instant};

use tarragon_protocol::request::DEFAULT_ATTEMPTS;

use crate::{
    cost::outgrown_length,
    inflight::{CancelCause, RunningAttempt},
    invariant::SchedulerInvariant,
    job::Job,
    prelude::*,
    queue::WaitState,
    retry::backoff_delay,
    scheduler::{
        RETRY_AFTER, Scheduler,
        arrival::{NO_BUILD_MESSAGE, NO_TARGET_RETRY_AFTER},
    },
    targets::window::FOREIGN_PREFILL,
};

/// Retry-after time when the connection to the target broke, so that peers have received the suspicion before
/// the caller's next attempt.
pub(super) const RETRY_AFTER_BREAK: Duration = Duration::from_secs(2);

/// With fewer samples at a target, observed times are not compared with the predicted ones.
const MIN_SAMPLES: u32 = 4;

/// Maximum attempts of one request, including those after a pre-emption or a move to another target.
const MAX_DISPATCHES: u32 = 16;

/// Whether a request whose attempt was cancelled can be dispatched again.
fn may_be_redispatched(job: &Job, now: Instant) -> bool {
    job.profile.idempotent && job.profile.deadline > now && job.attempts < MAX_DISPATCHES
}

impl Scheduler {
    pub(super) fn start_attempt(&mut self, request: RequestId, attempt: AttemptNumber) {
        match self.in_flight.get_mut(request, attempt) {
            Some(running) => running.started = true,
            None => self.statistics.stale_events += 1,
        }
    }

    /// Binds a request to the build of the target that has brought the first event of its answer.
    pub(super) fn bind_stream(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        build: BuildKey,
    ) {
        match self.in_flight.get_mut(request, attempt) {
            Some(running) => running.job.build = Some(build),
            None => self.statistics.stale_events += 1,
        }
    }

    pub(super) fn progress_attempt(
        &mut self,
        progress: &AttemptProgress,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(running) = self.in_flight.get_mut(progress.request, progress.attempt) else {
            self.statistics.stale_events += 1;
            return;
        };
        running.started = true;
        let new = progress.tokens.saturating_sub(running.tokens);
        running.tokens += new;
        self.targets.record_processed(running.job.pool, u64::from(new));
        let (target, dispatched) = (running.target, running.dispatched);
        let first = running.first_token.is_none();
        if first {
            running.first_token = Some(now);
        }
        self.charge_excess_tokens(progress.request, progress.attempt);
        if first {
            self.record_first_token(progress, now, actions);
        }
        if let Some(row) = self.targets.row_mut(target) {
            row.window.record_activity(now);
        }
        self.record_alive_since(target, dispatched, now);
        self.targets.refresh(target, now);
    }

    /// Charges the workspace for further tokens when a stream exceeds its predicted length.
    fn charge_excess_tokens(&mut self, request: RequestId, attempt: AttemptNumber) {
        let Some(running) = self.in_flight.get_mut(request, attempt) else { return };
        // Nothing was charged for what the caller of a plain call had before.
        let before = match running.job.model() {
            Some(_) => 0,
            None => running.job.profile.delivered(),
        };
        let total = running.job.delivered.saturating_add(running.tokens) - before;
        if total <= running.charged {
            return;
        }
        let expected = outgrown_length(total);
        let extra = expected - running.charged;
        running.charged = expected;
        running.job.output = expected.saturating_add(before);
        let weight =
            self.workspaces.row(running.job.workspace).map_or(1, |usage| usage.limits.weight);
        self.queue.adjust_charge(&running.job, i64::from(extra), weight);
    }

    fn record_first_token(
        &mut self,
        progress: &AttemptProgress,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(running) = self.in_flight.get_mut(progress.request, progress.attempt) else {
            return;
        };
        let Some(row) = self.targets.row_mut(running.target) else { return };
        row.pending_prefill -= std::mem::take(&mut running.pending);
        let prompt = running.job.size().prompt.unwrap_or(0);
        let pool = running.job.pool;
        if let Some(cached) = progress.cached_tokens {
            row.trust.compare(running.estimate.cached, cached);
            running.cached_part = Some(cached as f32 / prompt.max(1) as f32);
            self.statistics.cached_tokens += u64::from(cached);
        }
        if let Some(prefill) = progress.prefill_tokens {
            running.uncached = prefill;
            self.statistics.prefill_tokens += u64::from(prefill);
        }
        let computed = u64::from(running.uncached) + running.ahead;
        let mean = row.pace.mean_since(&running.pace, now);
        let first_token = progress.first_token.div_f64(mean);
        let observed = first_token.as_secs_f64();
        let expected = f64::from(running.estimate.first_token) / running.pace.factor;
        running.pace = row.pace.mark(now);
        let target = running.target;
        let foreign = FOREIGN_PREFILL * row.rates.prefill;
        let jump =
            row.rates.samples >= MIN_SAMPLES && row.window.observe(observed, expected, foreign);
        row.window.record_activity(now);
        self.targets.record_processed(pool, u64::from(prompt));
        if jump {
            self.mark_possibly_cold(target, now, actions);
            return;
        }
        let Some(row) = self.targets.row_mut(target) else { return };
        row.rates.learn_first_token(computed.min(u64::from(u32::MAX)) as u32, first_token);
        row.window.grow_ramp();
    }

    /// Handles a sign that the target may have become cold again: reduces its window to one request and has
    /// it polled.
    pub(super) fn mark_possibly_cold(
        &mut self,
        target: usize,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(row) = self.targets.row_mut(target) else { return };
        if row.window.mark_suspicious(now) {
            self.statistics.cold_signs += 1;
            actions.push(SchedulerAction::PollTarget(row.name.clone()));
        }
        self.targets.refresh(target, now);
    }

    pub(super) fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(mut running) = self.in_flight.remove(request, attempt) else {
            self.statistics.stale_events += 1;
            return;
        };
        self.release_slot(&running, now);
        self.release_holder_waits(running.target);
        self.learn_from_end(&running, end, now, actions);
        self.targets.refresh(running.target, now);
        self.targets.remove_if_unused(running.target);
        let job = &mut running.job;
        job.delivered = job.delivered.saturating_add(running.tokens);
        job.sent += u32::from(!matches!(
            end,
            AttemptEnd::NotSent | AttemptEnd::Unreached | AttemptEnd::Withheld
        ));
        // A target that sent tokens has run the request, however the attempt ended.
        job.may_have_run |= running.first_token.is_some();
        job.may_have_run |= match end {
            AttemptEnd::NotSent
            | AttemptEnd::Unreached
            | AttemptEnd::Withheld
            | AttemptEnd::Rejected => false,
            AttemptEnd::Cancelled => running.started,
            AttemptEnd::Finished
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::Severed
            | AttemptEnd::Failed
            | AttemptEnd::Garbled => true,
        };
        self.unpark(job.workspace);
        self.finish_or_retry(running, end, now, actions);
    }

    /// Releases the slot and removes the attempt from all counters.
    fn release_slot(&mut self, running: &RunningAttempt, now: Instant) {
        let tier = running.job.tier().index();
        let mut balanced = true;
        if let Some(row) = self.targets.row_mut(running.target) {
            balanced &= row.in_flight > 0 && row.by_tier[tier] > 0;
            row.in_flight = row.in_flight.saturating_sub(1);
            row.by_tier[tier] = row.by_tier[tier].saturating_sub(1);
            row.suspects[tier] = row.suspects[tier].saturating_sub(u32::from(running.is_suspect()));
            balanced &= row.pending_prefill >= running.pending;
            row.pending_prefill = row.pending_prefill.saturating_sub(running.pending);
        }
        if let Some(usage) = self.workspaces.row_mut(running.job.workspace) {
            balanced &= usage.in_flight > 0;
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
        self.targets.refresh(running.target, now);
        let request = running.job.request();
        self.invariants.check(SchedulerInvariant::CountersBalanced, balanced, || {
            format!("request {request} was not counted at its target or workspace")
        });
    }

    fn learn_from_end(
        &mut self,
        running: &RunningAttempt,
        end: AttemptEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let wasted = match end {
            AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::Severed
            | AttemptEnd::Failed
            | AttemptEnd::Garbled
            | AttemptEnd::Cancelled => running.started && running.job.model().is_some(),
            AttemptEnd::Finished
            | AttemptEnd::NotSent
            | AttemptEnd::Unreached
            | AttemptEnd::Withheld
            | AttemptEnd::Rejected => false,
        };
        if wasted {
            self.statistics.wasted_prefill_tokens += u64::from(running.uncached);
        }
        if matches!(end, AttemptEnd::Finished | AttemptEnd::Rejected | AttemptEnd::Failed) {
            self.record_answer(running.target, running.dispatched, now);
        }
        match end {
            AttemptEnd::Finished => {
                self.record_alive_since(running.target, running.dispatched, now);
                self.learn_from_finish(running, now, actions);
            }
            AttemptEnd::Broken => {
                self.record_broken(running, false, now, actions);
                self.mark_possibly_cold(running.target, now, actions);
            }
            // Only the end of the target's process shows that it was a crash.
            AttemptEnd::Silent => {
                self.record_broken(running, true, now, actions);
                self.mark_possibly_cold(running.target, now, actions);
            }
            AttemptEnd::NotSent => {
                self.handle_refused_connection(running.target, now, actions);
                self.mark_possibly_cold(running.target, now, actions);
            }
            AttemptEnd::Rejected | AttemptEnd::Failed => {
                self.mark_possibly_cold(running.target, now, actions);
            }
            AttemptEnd::Cancelled => {
                let ours = matches!(
                    running.cancel,
                    Some(CancelCause::Preempted | CancelCause::Moved | CancelCause::Ending)
                );
                if !ours && running.started && running.first_token.is_none() {
                    self.record_broken(running, true, now, actions);
                }
            }
            AttemptEnd::Unreached
            | AttemptEnd::Severed
            | AttemptEnd::Withheld
            | AttemptEnd::Garbled => {}
        }
    }

    fn learn_from_finish(
        &mut self,
        running: &RunningAttempt,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let job = &running.job;
        let total = job.delivered.saturating_add(running.tokens);
        self.suspects.clear(&job.profile, running.first_token.is_some(), now);
        if job.model().is_none() {
            self.targets.record_processed(job.pool, job.tokens());
        }
        if let Some(call) = job.profile.model_call() {
            // What the caller states alone shows no length.
            if job.profile.delivered() == 0 || !job.awaits_first_output() || running.tokens > 0 {
                self.costs.learn(
                    job.pool,
                    job.workspace_key,
                    call.prompt_tokens,
                    total,
                    running.cached_part,
                );
            }
            let weight = self.workspaces.row(job.workspace).map_or(1, |usage| usage.limits.weight);
            let error = i64::from(total) - i64::from(running.charged);
            self.queue.adjust_charge(job, error, weight);
        }
        let Some(row) = self.targets.row_mut(running.target) else { return };
        row.window.record_activity(now);
        let mut jump = false;
        if job.model().is_none() {
            let mean = row.pace.mean_since(&running.pace, now);
            let elapsed = now.saturating_duration_since(running.dispatched).div_f64(mean);
            let expected = f64::from(running.estimate.first_token) / running.pace.factor;
            jump = row.rates.samples >= MIN_SAMPLES
                && row.window.observe(elapsed.as_secs_f64(), expected, 0.0);
            // The rest of a stream says nothing about a whole call.
            if job.delivered == 0 {
                row.rates.learn_call(elapsed);
            }
        } else if let Some(first) = running.first_token {
            let mean = row.pace.mean_since(&running.pace, now);
            let elapsed = now.saturating_duration_since(first).div_f64(mean);
            row.rates.learn_decode(running.tokens.saturating_sub(1), elapsed);
        }
        if jump {
            self.mark_possibly_cold(running.target, now, actions);
        } else {
            row.window.grow_ramp();
        }
    }

    /// Makes the next parked request of a workspace ready.
    fn unpark(&mut self, workspace: usize) {
        let Some(usage) = self.workspaces.row_mut(workspace) else { return };
        while let Some(request) = usage.parked.pop_front() {
            if self.queue.unpark(request) {
                return;
            }
        }
    }

    /// Finishes, requeues or retries the request after the end of an attempt.
    fn finish_or_retry(
        &mut self,
        running: RunningAttempt,
        end: AttemptEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let RunningAttempt { mut job, target, cancel, .. } = running;
        let tier = job.tier().index();
        if cancel == Some(CancelCause::Disconnected) {
            self.statistics.disconnected[tier] += 1;
            return;
        }
        if cancel == Some(CancelCause::Ending) {
            return;
        }
        match end {
            AttemptEnd::Finished => {
                self.retry_budget(job.pool).record_success();
                self.statistics.finished[tier] += 1;
            }
            AttemptEnd::Cancelled
                if may_be_redispatched(&job, now) && !self.has_target_of_build(&job, now) =>
            {
                self.refuse_without_build(job, actions);
            }
            AttemptEnd::Cancelled if may_be_redispatched(&job, now) => {
                job.preemptions += u8::from(cancel == Some(CancelCause::Preempted));
                if cancel != Some(CancelCause::Preempted) {
                    job.avoid.push(target);
                }
                self.requeue(job, WaitState::Ready, now);
            }
            AttemptEnd::Cancelled | AttemptEnd::Withheld => {
                let message = "the deadline passed or the attempt was stopped";
                let refusal = Scheduler::refusal_of(&job, RefusalCode::DeadlineExceeded, message);
                self.refuse(job.request(), job.tier(), refusal, actions);
            }
            AttemptEnd::NotSent
            | AttemptEnd::Unreached
            | AttemptEnd::Rejected
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::Severed
            | AttemptEnd::Failed
            | AttemptEnd::Garbled => self.retry(job, target, end, now, actions),
        }
    }

    /// Queues a failed request for another attempt, or refuses it.
    fn retry(
        &mut self,
        mut job: Job,
        target: usize,
        end: AttemptEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let unsent = matches!(end, AttemptEnd::NotSent | AttemptEnd::Unreached);
        let rejection_means_not_run = job.profile.options.rejection_means_not_run;
        let proven = unsent || (end == AttemptEnd::Rejected && rejection_means_not_run);
        let allowed = job.profile.idempotent || (proven && !job.may_have_run);
        // A silent target is left only for another attempt that begins at once.
        let delay = match end {
            AttemptEnd::Silent => Duration::ZERO,
            _ => backoff_delay(job.attempts, &mut self.rng),
        };
        self.set_latest_start(&mut job, now);
        if !allowed || !self.has_attempt_left(&job, delay, now) {
            return self.refuse_failed(job, end, now, actions);
        }
        if !self.has_target_of_build(&job, now) {
            return self.refuse_without_build(job, actions);
        }
        // A request that was not sent put no load on a target, so its retry is not charged to the budget.
        if !unsent && !self.retry_budget(job.pool).try_withdraw(now) {
            self.statistics.retries_denied += 1;
            return self.refuse_failed(job, end, now, actions);
        }
        self.statistics.retries += 1;
        job.avoid.push(target);
        let state =
            if delay.is_zero() { WaitState::Ready } else { WaitState::Deferred(now + delay) };
        self.requeue(job, state, now);
    }

    /// Whether a request may be sent again after a delay: attempts are left, and time, and its service accepts
    /// requests.
    fn has_attempt_left(&self, job: &Job, delay: Duration, now: Instant) -> bool {
        let most = job.profile.options.max_attempts;
        let exhausted = job.sent >= most || job.attempts >= most.max(DEFAULT_ATTEMPTS);
        !exhausted && now + delay < job.latest_start && self.pause_left(job.pool, now).is_none()
    }

    /// Whether a request could be sent to another target at once if its running attempt ended now. Until then it
    /// is better to wait for its target, even if that is silent.
    pub fn may_replace(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        now: Instant,
    ) -> bool {
        let running = self.in_flight.get(request).filter(|running| running.attempt == attempt);
        let Some(running) = running else { return false };
        let mut job = running.job.clone();
        job.delivered = job.delivered.saturating_add(running.tokens);
        job.sent += 1;
        job.avoid.push(running.target);
        self.set_latest_start(&mut job, now);
        job.profile.idempotent
            && self.has_attempt_left(&job, Duration::ZERO, now)
            && self.has_target_of_build(&job, now)
            && self.retry_budget(job.pool).has_retry(now)
            && self.has_open_target(&job, now)
    }

    /// Whether a target may continue the stream of a request, if it has begun.
    pub(super) fn has_target_of_build(&self, job: &Job, now: Instant) -> bool {
        let models = self.targets.models_of(job);
        job.build.is_none_or(|build| self.targets.may_serve_build(job.pool, models, build, now))
    }

    /// Refuses a request whose stream no target in service may continue.
    pub(super) fn refuse_without_build(&mut self, job: Job, actions: &mut Vec<SchedulerAction>) {
        let refusal = Scheduler::refusal_of(&job, RefusalCode::NoTarget, NO_BUILD_MESSAGE);
        let refusal = refusal.with_retry_after(NO_TARGET_RETRY_AFTER);
        self.refuse(job.request(), job.tier(), refusal, actions);
    }

    fn refuse_failed(
        &mut self,
        job: Job,
        end: AttemptEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let (code, message) = match end {
            AttemptEnd::NotSent => (RefusalCode::NoTarget, "no target could be reached"),
            AttemptEnd::Unreached => {
                let message =
                    "this process has no link to the targets, and no peer passed the request on";
                (RefusalCode::NoTarget, message)
            }
            AttemptEnd::Severed => {
                (RefusalCode::TargetFailed, "the link to the target was lost while the request ran")
            }
            AttemptEnd::Rejected => (RefusalCode::NoTarget, "the target takes no work now"),
            AttemptEnd::Broken => (RefusalCode::TargetFailed, "the connection to the target broke"),
            AttemptEnd::Silent => {
                (RefusalCode::TargetFailed, "the target sent nothing for too long")
            }
            _ => (RefusalCode::TargetFailed, "the target failed"),
        };
        let usual = if end == AttemptEnd::Broken { RETRY_AFTER_BREAK } else { RETRY_AFTER };
        let delay = self.pause_left(job.pool, now).unwrap_or(usual);
        let refusal = Scheduler::refusal_of(&job, code, message).with_retry_after(delay);
        self.refuse(job.request(), job.tier(), refusal, actions);
    }

    /// Returns a dispatched request to the queue with its old tags.
    fn requeue(&mut self, mut job: Job, state: WaitState, now: Instant) {
        self.forget_avoided_if_alone(&mut job);
        self.set_latest_start(&mut job, now);
        job.lane = self.queue.lane_index(job.pool, job.profile.model(), job.build);
        self.enqueue(job, state);
    }

    /// Forgets the targets that a request avoids if this process may use no others.
    fn forget_avoided_if_alone(&self, job: &mut Job) {
        let models = self.targets.models_of(job);
        let others = self.targets.pool(job.pool).members.iter().any(|index| {
            let row = self.targets.row(*index);
            !job.avoid.contains(index)
                && row.is_some_and(|row| {
                    row.is_usable() && row.holds(models) && row.suits_build(job.build)
                })
        });
        if !others {
            job.avoid.clear();
        }
    }
}
