//! New requests: limits, admission and early refusal.

use std::time::{Duration, Instant};

use tarragon_protocol::peer::SuspectCause;

use crate::{
    admission::{AdmissionVerdict, AdmissionView},
    cost,
    job::{Job, JobKeys},
    prelude::*,
    scheduler::{RETRY_AFTER, Scheduler, shed::LIMITED_MESSAGE},
    share::LimitFault,
    suspect::{SUSPECT_LIFETIME, Suspicion},
};

/// Fraction of a request's minimum predicted time that must be left before its deadline. Predictions are
/// inexact, so a request is refused only when much less than the predicted time is left.
const MIN_TIME_FRACTION: f64 = 0.6;

/// A new request is admitted only if this multiple of its expected wait ends before its latest start, so that
/// the wait takes at most half of the available time. Requests that wait longer are dispatched shortly before
/// their deadline and, if the answer is longer than predicted, cancelled after their prefill.
const WAIT_FACTOR: f64 = 2.0;

/// Time by which a permit may come later than forecast: permits come with ticks.
const FORECAST_MARGIN: Duration = Duration::from_millis(200);

/// Longest wait that is computed, in seconds.
const MAX_WAIT_S: f64 = 3_600.0;

/// Upper bound of the retry-after time derived from the expected wait.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Retry-after time when no target can take a request: starting a target or loading a model takes seconds.
pub(super) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Refusal message while all targets of a service have asked to receive no requests.
const ALL_PAUSED_MESSAGE: &str = "all targets of the service want no requests for a while";

/// Refusal message of a stream that only targets of one build may continue, while none is in service.
pub(super) const NO_BUILD_MESSAGE: &str =
    "no target in service runs the software version that began this stream";

/// Why a request with a convicted cause is refused.
pub(super) fn conviction_message(cause: SuspectCause) -> &'static str {
    match cause {
        SuspectCause::Request(_) => "targets crashed while they ran this request",
        SuspectCause::Part(_) => {
            "targets crashed while they ran requests with a part of this prompt"
        }
    }
}

impl Scheduler {
    /// Refuses the waiting requests of a pool if all of its targets have paused. The retry-after time tells
    /// callers when the first target accepts requests again.
    pub(super) fn refuse_paused(
        &mut self,
        pool: usize,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(pause) = self.pause_left(pool, now) else { return };
        let waiting = self.queue.iter().filter(|job| job.pool == pool);
        let requests: Vec<RequestId> = waiting.map(Job::request).collect();
        for request in requests {
            let Some(job) = self.dequeue_unserved(request) else { continue };
            let refusal = Scheduler::refusal_of(&job, RefusalCode::NoTarget, ALL_PAUSED_MESSAGE);
            self.refuse(request, job.tier(), refusal.with_retry_after(pause), actions);
        }
    }

    /// Time until the first target of a pool accepts requests again, if all of them have paused.
    pub(super) fn pause_left(&self, pool: usize, now: Instant) -> Option<Duration> {
        self.targets.pool(pool).paused_until?.checked_duration_since(now)
    }

    pub(super) fn handle_arrival(
        &mut self,
        profile: Box<RequestProfile>,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let (request, tier) = (profile.request, profile.tier);
        if self.queue.get(request).is_some() || self.in_flight.get(request).is_some() {
            tracing::error!(request, "request id is already in use");
            self.statistics.stale_events += 1;
            return;
        }
        self.statistics.arrived[tier.index()] += 1;
        if let Err(refusal) = self.check_arrival(&profile, now) {
            return self.refuse(request, tier, refusal, actions);
        }
        let mut job = self.new_job(profile, now);
        self.restore_place(&mut job, now);
        if let Err(refusal) = self.admit(&job, now, actions) {
            return self.refuse(request, tier, refusal, actions);
        }
        self.targets.record_admitted(job.pool, tier, job.tokens());
        if let Some(record) = self.start_record(job.pool) {
            record.record_arrival(tier, job.rank(), now);
        }
        self.enqueue_new(job);
    }

    /// Checks for reasons to refuse that don't depend on the load.
    pub(super) fn check_arrival(
        &self,
        profile: &RequestProfile,
        now: Instant,
    ) -> Result<(), Refusal> {
        if self.draining {
            let refusal = Refusal::not_run(RefusalCode::ShuttingDown, "the process shuts down");
            return Err(refusal.with_retry_after(RETRY_AFTER));
        }
        if profile.deadline <= now {
            return Err(Refusal::not_run(RefusalCode::DeadlineExceeded, "the deadline has passed"));
        }
        let (cause, suspicion) = self.suspects.check_request(profile, now);
        if suspicion == Suspicion::Convicted && !self.suspects.may_try(profile, now) {
            let refusal = Refusal::not_run(RefusalCode::CrashesTargets, conviction_message(cause));
            return Err(refusal.with_retry_after(SUSPECT_LIFETIME));
        }
        let models = self.targets.models.find(profile.model());
        let pool = self.targets.find_pool(&profile.service);
        let build = profile.build();
        let may_serve = |pool| match build {
            Some(build) => self.targets.may_serve_build(pool, models, build, now),
            None => self.targets.can_serve(pool, models, None),
        };
        if pool.is_some_and(may_serve) {
            return Ok(());
        }
        let serves_others = |pool| build.is_some() && self.targets.can_serve(pool, models, None);
        if pool.is_some_and(serves_others) {
            let refusal = Refusal::not_run(RefusalCode::NoTarget, NO_BUILD_MESSAGE);
            return Err(refusal.with_retry_after(NO_TARGET_RETRY_AFTER));
        }
        Err(match pool.and_then(|pool| self.pause_left(pool, now)) {
            Some(pause) => {
                Refusal::not_run(RefusalCode::NoTarget, ALL_PAUSED_MESSAGE).with_retry_after(pause)
            }
            None => {
                let message = "no target in service can take this request";
                Refusal::not_run(RefusalCode::NoTarget, message)
                    .with_retry_after(NO_TARGET_RETRY_AFTER)
            }
        })
    }

    fn new_job(&mut self, profile: Box<RequestProfile>, now: Instant) -> Job {
        let pool = self.targets.pool_index(&profile.service);
        let model = profile.model();
        let lane = self.queue.lane_index(pool, model, profile.build());
        let models = self.targets.models.find(model);
        let workspace = self.workspaces.index(&profile.workspace, &self.rules, now);
        let workspace_key = cost::workspace_key(&profile.workspace);
        let prediction = self.costs.predict(pool, workspace_key, &profile);
        self.sequence += 1;
        let sequence = self.sequence;
        let keys = JobKeys { pool, lane, models, workspace, workspace_key, sequence };
        let mut job = Job::new(profile, keys, prediction);
        job.late_by_rank = self.contended;
        self.set_latest_start(&mut job, now);
        job
    }

    /// Sets the time after which even the fastest target can't finish the job before its deadline, or can't
    /// send the first token before the caller gives up.
    pub(super) fn set_latest_start(&self, job: &mut Job, now: Instant) {
        let fastest = self.targets.pool(job.pool).fastest;
        let size = job.size();
        let least =
            fastest.map_or(Duration::ZERO, |rates| rates.least_time(size, MIN_TIME_FRACTION));
        let before = |end: Instant, time: Duration| end.checked_sub(time).unwrap_or(now).min(end);
        job.latest_start = before(job.profile.deadline, least);
        // The deadline for the first output doesn't apply once the caller has received part of the answer since
        // the request arrived: it then waits for the next part as long again.
        let patience = job.profile.options.first_output_deadline;
        if let Some(patience) = patience.filter(|_| job.awaits_first_output()) {
            let first = fastest
                .map_or(Duration::ZERO, |rates| rates.first_time(size).mul_f64(MIN_TIME_FRACTION));
            job.latest_start = job.latest_start.min(before(patience, first));
        }
        let by_end = self.latest_by_end(job, now);
        job.latest_start = by_end.unwrap_or(job.latest_start);
        job.by_end = by_end.is_some();
    }

    /// Checks for reasons to refuse that depend on the load, and makes room in the queue if needed.
    fn admit(
        &mut self,
        job: &Job,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) -> Result<(), Refusal> {
        self.check_limits(job, now)?;
        if let Err(refusal) = self.check_wait(job, now) {
            return Err(if job.by_end { self.refusal_for_end(job) } else { refusal });
        }
        let tier = job.tier();
        let view = AdmissionView {
            tier,
            full: !self.fits(job.tokens()),
            lowest_waiting: self.queue.lowest_tier(),
            floor: self.pressure.floor(now),
        };
        let admission = self.policy(job.pool).admission;
        match (admission.admit)(view) {
            AdmissionVerdict::Admit => {}
            AdmissionVerdict::BelowFloor => {
                self.shed_below(tier, now, actions);
                return Err(self.shed_new(tier, admission.by_tier, now, actions));
            }
            AdmissionVerdict::Displace if self.make_room(job, now, actions) => {}
            AdmissionVerdict::Displace | AdmissionVerdict::Refuse => {
                return Err(self.shed_new(tier, admission.by_tier, now, actions));
            }
        }
        Ok(())
    }

    fn check_limits(&mut self, job: &Job, now: Instant) -> Result<(), Refusal> {
        if job.tokens() > self.limits.waiting_tokens {
            let message = "the request is larger than the whole queue";
            return Err(Refusal::not_run(RefusalCode::LimitReached, message));
        }
        let share = self.limit_share;
        let Some(usage) = self.workspaces.row_mut(job.workspace) else { return Ok(()) };
        let fault = match usage.admit(job.tier(), job.tokens(), share, now) {
            Ok(()) => return Ok(()),
            Err(fault) => fault,
        };
        let (message, delay) = match fault {
            LimitFault::Tier(limit) => {
                (format!("the workspace may ask for tier {limit} at most"), None)
            }
            LimitFault::Rate(delay) => ("the workspace is over its rate".to_owned(), Some(delay)),
            LimitFault::Suspended => {
                ("the workspace may have no request in flight".to_owned(), None)
            }
            LimitFault::QueuedTokens => {
                ("the workspace has too many tokens waiting".to_owned(), Some(RETRY_AFTER))
            }
        };
        let refusal = Refusal::not_run(RefusalCode::LimitReached, message);
        Err(match delay {
            Some(delay) => refusal.with_retry_after(delay),
            None => refusal,
        })
    }

    /// Refuses a job that would wait too long.
    fn check_wait(&mut self, job: &Job, now: Instant) -> Result<(), Refusal> {
        if let Some(forecast) = self.forecast_new(job, now) {
            if !forecast.misses(job.latest_start.saturating_duration_since(now)) {
                return Ok(());
            }
            let tag = self.queue.new_tag(job);
            return Err(self.refusal_by_forecast(job, tag, &forecast, now));
        }
        self.check_wait_by_tokens(job, now)
    }

    /// Refuses a job that would wait too long for the tokens that are processed before it.
    pub(super) fn check_wait_by_tokens(&self, job: &Job, now: Instant) -> Result<(), Refusal> {
        let (wait, message) = match self.targets.pool(job.pool).forecast {
            Some(forecast) => {
                let ahead = forecast.delaying(self.waiting_ahead(job));
                let start = forecast.start(ahead, self.targets.permits(job.pool, now), now);
                if start == now || start + FORECAST_MARGIN <= job.latest_permit(ahead) {
                    return Ok(());
                }
                (start.saturating_duration_since(now), LIMITED_MESSAGE)
            }
            None if !self.is_judged_by_tokens(job, now) => return Ok(()),
            None => {
                let wait = self.expected_wait(job);
                // Later arrivals never go ahead of the highest tier, nor those of its own tier ahead of a stream
                // that has begun.
                let goes_first = job.tier() == Tier::Urgent || job.goes_on();
                let factor = if goes_first { 1.0 } else { WAIT_FACTOR };
                if now + wait.mul_f64(factor) <= job.latest_start {
                    return Ok(());
                }
                (wait, "the deadline can't be met with the work that waits")
            }
        };
        Err(Refusal::not_run(RefusalCode::DeadlineExceeded, message)
            .with_retry_after(wait.clamp(RETRY_AFTER, MAX_RETRY_AFTER)))
    }

    /// Number of waiting requests of the same service that get permits for starts before a new job.
    fn waiting_ahead(&self, job: &Job) -> usize {
        let waiting = self.queue.iter().filter(|waiting| waiting.pool == job.pool);
        waiting.filter(|waiting| waiting.urgency() < job.urgency()).count()
    }

    /// Expected wait of a new job. Ahead of a job are the work of higher tiers and of lower ranks in its
    /// own tier, and, of its own rank, at most the queue of its workspace times the number of workspaces, as fair
    /// queueing guarantees. The pool's rate is reduced by the new work of higher tiers that keeps arriving.
    pub(super) fn expected_wait(&self, job: &Job) -> Duration {
        let pool = self.targets.pool(job.pool);
        let rate = pool.rate_for(job.tier());
        // Until enough requests have been served, the measured rate is that of a pool waiting for slots;
        // using it would refuse work that can be served at once.
        if pool.fastest.is_none() || rate < 1.0 {
            return Duration::ZERO;
        }
        if let Some(build) = job.build {
            return self.wait_at_build(job, build, rate);
        }
        let tokens = self.queue.pool_tokens(job.pool);
        let tier = job.tier().index();
        let higher: u64 = tokens[tier + 1..].iter().sum();
        let ranked = self.queue.ranked_tokens(job.pool, job.tier());
        let before: u64 = ranked[..job.rank()].iter().sum();
        let own = self.workspaces.row(job.workspace).map_or(0, |usage| usage.queued_tokens);
        let flows = self.queue.lane_flows(job.lane, job.tier()) as u64;
        let ahead = higher + before + ranked[job.rank()].min(own.saturating_mul(flows.max(1)));
        Duration::from_secs_f64((ahead as f64 / rate).min(MAX_WAIT_S))
    }

    /// Expected wait of a stream that goes on. Ahead of it are the work of higher tiers, which the whole pool
    /// shares, and other streams of its build, in its own tier too, for which there are only the targets of that
    /// build.
    fn wait_at_build(&self, job: &Job, build: BuildKey, rate: f64) -> Duration {
        let tier = job.tier().index();
        let shared: u64 = self.queue.unbound_tokens(job.pool)[tier + 1..].iter().sum();
        let bound: u64 = self.queue.bound_tokens(job.pool, build)[tier..].iter().sum();
        // Targets of the build that are briefly out of service return with an unknown share.
        let share = self.targets.build_share(job.pool, build).unwrap_or(1.0);
        let seconds = shared as f64 / rate + bound as f64 / (rate * share);
        Duration::from_secs_f64(seconds.min(MAX_WAIT_S))
    }
}
