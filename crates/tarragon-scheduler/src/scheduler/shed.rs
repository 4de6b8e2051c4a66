//! Load shedding: which requests are shed under overload, and when the shed floor is announced.

use std::time::{Duration, Instant};

use crate::{
    invariant::SchedulerInvariant,
    job::Job,
    prelude::*,
    pressure::PEER_FLOOR_HOLD,
    scheduler::{RETRY_AFTER, Scheduler, arrival::MAX_RETRY_AFTER},
};

/// Refusal message of a request whose latest start has passed or will pass.
const DEADLINE_MESSAGE: &str = "the deadline can't be met any more";
/// Refusal message if all targets of a service name rates that leave no start in time.
pub(super) const LIMITED_MESSAGE: &str =
    "the targets of the service accept no request in time within the limits that they name";

impl Scheduler {
    /// Whether a request with this many tokens fits into the queue.
    pub(super) fn fits(&self, tokens: u64) -> bool {
        self.queue.len() < self.limits.waiting
            && self.queue.tokens() + tokens <= self.limits.waiting_tokens
    }

    /// Makes room for a job by shedding lower tiers first, then requests of its own tier that can't meet
    /// their deadline and, for a stream that goes on, those that have yet to begin. Returns false if there is still no room; the job itself, as the newest of its tier, is
    /// then shed.
    pub(super) fn make_room(
        &mut self,
        job: &Job,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        while !self.fits(job.tokens()) {
            let Some(victim) = self.find_victim(job, now) else { return false };
            self.shed_waiting(victim, now, actions);
        }
        true
    }

    /// Sheds all waiting requests below a tier. A shed floor of a peer may keep them from running, and none
    /// of them may stay when a request of the tier is shed.
    pub(super) fn shed_below(
        &mut self,
        tier: Tier,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        while let Some(lowest) = self.queue.lowest_tier().filter(|lowest| *lowest < tier) {
            let Some(victim) = self.queue.least_due(lowest) else { return };
            self.shed_waiting(victim, now, actions);
        }
    }

    /// Builds the refusal of a new request because of overload. The shed floor is announced with the first
    /// refusal, so that peers start nothing below the tier.
    pub(super) fn shed_new(
        &mut self,
        tier: Tier,
        by_tier: bool,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) -> Refusal {
        if by_tier {
            self.announce_shedding(tier, now, actions);
        }
        let delay = if tier < self.pressure.floor(now) { PEER_FLOOR_HOLD } else { RETRY_AFTER };
        Refusal::not_run(RefusalCode::Shed, "the tier is shed because of overload")
            .with_retry_after(delay)
    }

    /// Refuses waiting requests whose latest start has passed: no target can finish them before the deadline.
    pub(super) fn refuse_past_latest_start(
        &mut self,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        for tier in Tier::DESCENDING {
            while let Some(job) = self.queue.earliest_start(tier)
                && job.latest_start < now
            {
                let (request, wait) = (job.request(), self.expected_wait(job));
                self.refuse_late(request, wait, DEADLINE_MESSAGE, actions);
            }
        }
    }

    /// Refuses early those waiting requests that can't meet their deadline because of the waiting work of
    /// higher tiers, at pools where starts are rare. The others are refused by their forecast.
    pub(super) fn refuse_starved(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        for tier in Tier::DESCENDING {
            if !self.contended {
                while let Some(request) = self.find_starved(tier, now) {
                    self.refuse_starving(request, actions);
                }
                continue;
            }
            let is_starved = |job: &&Job| {
                job.tier() == tier
                    && job.latest_start < now + self.delay_by_higher_tiers(job.pool, tier)
                    && self.is_judged_by_tokens(job, now)
            };
            let starved: Vec<RequestId> =
                self.queue.iter().filter(is_starved).map(Job::request).collect();
            for request in starved {
                self.refuse_starving(request, actions);
            }
        }
    }

    fn refuse_starving(&mut self, request: RequestId, actions: &mut Vec<SchedulerAction>) {
        let wait = self.queue.get(request).map(|job| self.expected_wait(job));
        self.refuse_late(request, wait.unwrap_or_default(), DEADLINE_MESSAGE, actions);
    }

    /// Refuses the waiting requests of services whose targets all need permits for starts, if the next permits
    /// go to more urgent ones and the next after those comes too late. Their callers learn at once when to
    /// come back.
    pub(super) fn refuse_beyond_forecast(
        &mut self,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let forecasts: Vec<(usize, StartForecast)> = self.targets.forecasts().collect();
        for (pool, forecast) in forecasts {
            let permits = self.targets.permits(pool, now);
            let mut ahead = 0;
            for request in self.requests_by_urgency(pool) {
                let Some(job) = self.queue.get(request) else { continue };
                let delaying = forecast.delaying(ahead);
                let start = forecast.start(delaying, permits, now);
                if start <= job.latest_permit(delaying) {
                    ahead += 1;
                } else {
                    let wait = start.saturating_duration_since(now);
                    self.refuse_late(request, wait, LIMITED_MESSAGE, actions);
                }
            }
        }
    }

    /// Waiting requests of a pool, in the order in which they are sent.
    pub(super) fn requests_by_urgency(&self, pool: usize) -> Vec<RequestId> {
        let mut jobs: Vec<&Job> = self.queue.iter().filter(|job| job.pool == pool).collect();
        jobs.sort_unstable_by_key(|job| job.urgency());
        jobs.into_iter().map(Job::request).collect()
    }

    fn refuse_late(
        &mut self,
        request: RequestId,
        wait: Duration,
        message: &'static str,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.queue.get(request).is_some_and(|job| job.by_end) {
            return self.refuse_for_end(request, actions);
        }
        let Some(job) = self.dequeue_unserved(request) else { return };
        let delay = wait.clamp(RETRY_AFTER, MAX_RETRY_AFTER);
        let refusal = Scheduler::refusal_of(&job, RefusalCode::DeadlineExceeded, message);
        self.refuse(request, job.tier(), refusal.with_retry_after(delay), actions);
    }

    /// Updates the shed floor from the fill level of the queue, and announces a change.
    pub(super) fn update_floor(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let entries = self.queue.len() as f64 / self.limits.waiting.max(1) as f64;
        let tokens = self.queue.tokens() as f64 / self.limits.waiting_tokens.max(1) as f64;
        let lowest = self.queue.lowest_tier();
        if let Some(floor) = self.pressure.update_own_floor(entries.max(tokens), lowest, now) {
            actions.push(SchedulerAction::AnnounceFloor(floor));
        }
    }

    /// The waiting request to shed in favour of a job, if there is one.
    fn find_victim(&self, job: &Job, now: Instant) -> Option<RequestId> {
        let lowest = self.queue.lowest_tier().filter(|lowest| *lowest <= job.tier())?;
        let least_due = || match lowest < job.tier() {
            true => self.queue.least_due(lowest),
            false if job.goes_on() => self.queue.newest_unbegun(lowest),
            false => None,
        };
        self.find_starved(lowest, now).or_else(least_due)
    }

    /// The request of a tier with the earliest latest start, if the waiting work of higher tiers takes longer
    /// than that.
    fn find_starved(&self, tier: Tier, now: Instant) -> Option<RequestId> {
        let job = self.queue.earliest_start(tier)?;
        (job.latest_start < now + self.delay_by_higher_tiers(job.pool, tier)).then(|| job.request())
    }

    /// Time that a pool needs for the waiting work above a tier. A request of the tier with less time left is
    /// unlikely to be served.
    fn delay_by_higher_tiers(&self, pool: usize, tier: Tier) -> Duration {
        let rate = self.targets.pool(pool).throughput();
        if rate < 1.0 {
            return Duration::ZERO;
        }
        let ahead: u64 = self.queue.pool_tokens(pool)[tier.index() + 1..].iter().sum();
        Duration::from_secs_f64((ahead as f64 / rate).min(3_600.0))
    }

    fn shed_waiting(
        &mut self,
        request: RequestId,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.dequeue_unserved(request) else { return };
        let tier = job.tier();
        self.announce_shedding(tier, now, actions);
        self.statistics.displaced[tier.index()] += 1;
        let message = "the request gave way to others because of overload";
        let refusal = Scheduler::refusal_of(&job, RefusalCode::Shed, message);
        self.refuse(request, tier, refusal.with_retry_after(RETRY_AFTER), actions);
    }

    /// Called before a request of a tier is shed: checks that no lower tier waits here, and announces the
    /// tier as shed floor to peers.
    fn announce_shedding(&mut self, tier: Tier, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let lowest = self.queue.lowest_tier();
        let lowest_first = lowest.is_none_or(|lowest| lowest >= tier);
        self.invariants.check(SchedulerInvariant::LowestTierShedFirst, lowest_first, || {
            format!("{tier} is shed while {lowest:?} waits")
        });
        if let Some(floor) = self.pressure.record_shed(tier, now) {
            actions.push(SchedulerAction::AnnounceFloor(floor));
        }
    }
}
