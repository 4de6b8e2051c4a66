//! Refusal of requests that will clearly not start in time, by the recent starts of their pool.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::{
    forecast::{StartRate, StartRecord, WaitForecast, WorkAhead},
    job::Job,
    prelude::*,
    queue::lane::goes_behind_new,
    returns::ReturnKind,
    scheduler::{MAX_REFRESH_AGE, Scheduler, arrival::MAX_RETRY_AFTER},
};

/// Callers wait for at most this fraction of their time before they come back.
const MAX_RETURN_FRACTION: f64 = 1.0 / 3.0;

/// Shortest retry-after time. Callers that come back sooner find the same queue.
const MIN_RETURN: Duration = Duration::from_millis(100);

const FORECAST_MESSAGE: &str = "the request would start too late behind the work that waits";

impl Scheduler {
    /// The record of a pool's starts. Records are kept only under contention, since no forecast is made otherwise.
    pub(super) fn start_record(&mut self, pool: usize) -> Option<&mut StartRecord> {
        if !self.contended {
            return None;
        }
        if self.start_records.len() <= pool {
            self.start_records.resize_with(pool + 1, StartRecord::default);
        }
        self.start_records.get_mut(pool)
    }

    /// Counts the time until this event in the records.
    pub(super) fn advance_start_records(&mut self, now: Instant) {
        self.start_records.iter_mut().for_each(|record| record.advance(MAX_REFRESH_AGE, now));
    }

    /// Notes for which pools requests wait that could be sent if there were room. Streams that go on wait for the
    /// targets of one build, and requests below the shed floor for the floor.
    pub(super) fn update_start_records(&mut self, now: Instant) {
        if !self.contended {
            return;
        }
        let floor = self.pressure.floor(now);
        for (pool, record) in self.start_records.iter_mut().enumerate() {
            record.set_busy(false, self.targets.pool(pool).window_sum());
        }
        for lane in 0..self.queue.lane_count() {
            let mut tiers = Tier::DESCENDING.into_iter().take_while(|tier| *tier >= floor);
            if self.queue.lane_build(lane).is_none()
                && tiers.any(|tier| self.queue.has_ready(lane, tier))
            {
                let pool = self.queue.lane_pool(lane);
                let slots = self.targets.pool(pool).window_sum();
                if let Some(record) = self.start_record(pool) {
                    record.set_busy(true, slots);
                }
            }
        }
    }

    /// Stops the records of pools of which half is cold.
    pub(super) fn hold_start_records(&mut self) {
        for (pool, record) in self.start_records.iter_mut().enumerate() {
            record.set_held(self.targets.is_half_cold(pool));
        }
    }

    /// The rate of starts at a pool, if it is known and decides on requests: the targets name no rates, and their
    /// speed has been learned.
    pub(super) fn start_rate(&self, pool: usize, now: Instant) -> Option<StartRate> {
        let service = self.targets.pool(pool);
        if !self.contended || service.forecast.is_some() || service.fastest.is_none() {
            return None;
        }
        self.start_records.get(pool).filter(|record| record.is_busy())?.rate(now)
    }

    /// Whether the wait of a request is judged by the tokens that its pool processes. Where the forecast decides but
    /// no rate of starts is known, this needs requests that have waited for long: starts are rare there.
    pub(super) fn is_judged_by_tokens(&self, job: &Job, now: Instant) -> bool {
        if !self.contended || !is_forecast(job) || self.targets.pool(job.pool).forecast.is_some() {
            return true;
        }
        let record = self.start_records.get(job.pool);
        self.start_rate(job.pool, now).is_none()
            && record.is_some_and(|record| record.is_saturated(now))
    }

    /// Forecast for a new request; `None` if it may start at once or too little is known.
    pub(super) fn forecast_new(&self, job: &Job, now: Instant) -> Option<WaitForecast> {
        if !is_forecast(job) || job.tier() < self.pressure.floor(now) {
            return None;
        }
        let rate = self.start_rate(job.pool, now)?;
        let mut before = WorkAhead::default();
        for other in self.queue.ready_before(job) {
            before.add(other.cost);
        }
        Some(self.forecast_behind(job, before, rate, now))
    }

    /// Forecast for a request behind this work of its own lane and tier.
    fn forecast_behind(
        &self,
        job: &Job,
        before: WorkAhead,
        rate: StartRate,
        now: Instant,
    ) -> WaitForecast {
        let ahead = before.plus(self.work_of_others(job, before.requests));
        let goes_ahead = |tier: Tier, rank: usize| {
            tier > job.tier() || (tier == job.tier() && goes_behind_new(job, rank))
        };
        let left = job.latest_start.saturating_duration_since(now);
        // Later arrivals are not counted against the highest tier.
        let record = self.start_records.get(job.pool).filter(|_| job.tier() < Tier::Urgent);
        let overtaking = record.map_or(0.0, |record| record.arrivals(goes_ahead, left, now));
        WaitForecast::new(ahead, overtaking, rate)
    }

    /// Work ahead of a request that is not in its own lane and tier, if so many of those go before it. Lanes of one
    /// tier take turns, apart from streams that go on, which go first. While some target is open, the requests of
    /// other lanes wait for something else.
    fn work_of_others(&self, job: &Job, before: f64) -> WorkAhead {
        let is_shared = self.targets.pool(job.pool).open == 0;
        let mut work = WorkAhead::default();
        for lane in 0..self.queue.lane_count() {
            if self.queue.lane_pool(lane) != job.pool || !(is_shared || lane == job.lane) {
                continue;
            }
            for tier in Tier::DESCENDING.into_iter().take_while(|tier| *tier > job.tier()) {
                work = work.plus(self.queue.ready_work(lane, tier));
            }
            if lane != job.lane {
                let own = self.queue.ready_work(lane, job.tier());
                let goes_on = self.queue.lane_build(lane).is_some();
                work = work.plus(if goes_on { own } else { own.in_turn(before) });
            }
        }
        work
    }

    /// Refuses the waiting requests that will clearly not start in time, since the forecast has worsened. Those
    /// that are refused are not ahead of others.
    pub(super) fn refuse_unreachable(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let floor = self.pressure.floor(now);
        for tier in Tier::DESCENDING.into_iter().take_while(|tier| *tier >= floor) {
            for lane in 0..self.queue.lane_count() {
                let pool = self.queue.lane_pool(lane);
                if self.queue.lane_build(lane).is_none()
                    && self.queue.has_ready(lane, tier)
                    && let Some(rate) = self.start_rate(pool, now)
                {
                    self.refuse_unreachable_in(lane, tier, rate, now, actions);
                }
            }
        }
    }

    fn refuse_unreachable_in(
        &mut self,
        lane: usize,
        tier: Tier,
        rate: StartRate,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let mut before = WorkAhead::default();
        let mut refused = Vec::new();
        for job in self.queue.ready(lane, tier) {
            if is_forecast(job) {
                let forecast = self.forecast_behind(job, before, rate, now);
                if forecast.misses(job.latest_start.saturating_duration_since(now)) {
                    refused.push((job.request(), forecast));
                    continue;
                }
            }
            before.add(job.cost);
        }
        for (request, forecast) in refused {
            let Some(job) = self.dequeue_unserved(request) else { continue };
            let refusal = self.refusal_by_forecast(&job, job.order_tag(), &forecast, now);
            self.refuse(request, tier, refusal, actions);
        }
    }

    /// Builds the refusal of a request that would start too late, and keeps its place for its return: that of its
    /// start tag.
    pub(super) fn refusal_by_forecast(
        &mut self,
        job: &Job,
        tag: u64,
        forecast: &WaitForecast,
        now: Instant,
    ) -> Refusal {
        let left = job.latest_start.saturating_duration_since(now);
        let delay = self.draw_return(forecast.wait.saturating_sub(left), left);
        self.returns.keep(job, tag, now + delay);
        self.statistics.forecast_refusals[job.tier().index()] += 1;
        tracing::info!(
            request = job.request(),
            tier = %job.tier(),
            rank = job.rank(),
            late = job.late,
            ahead = forecast.ahead.requests as u64,
            ahead_cost = forecast.ahead.cost as u64,
            overtaking = forecast.overtaking as u64,
            starts_per_second = forecast.rate.per_second,
            mean_cost = forecast.rate.mean_cost as u64,
            samples = forecast.rate.samples,
            forecast_ms = forecast.wait.as_millis() as u64,
            left_ms = left.as_millis() as u64,
            retry_ms = delay.as_millis() as u64,
            "request would start too late"
        );
        Scheduler::refusal_of(job, RefusalCode::DeadlineExceeded, FORECAST_MESSAGE)
            .with_retry_after(delay)
    }

    /// Draws the time after which a refused caller with this much time left comes back: no earlier than there is
    /// room, if that is soon enough, and spread so that those who are refused together don't return together.
    fn draw_return(&mut self, room: Duration, left: Duration) -> Duration {
        let latest = left.mul_f64(MAX_RETURN_FRACTION).clamp(MIN_RETURN, MAX_RETRY_AFTER);
        let earliest = room.clamp(MIN_RETURN, (latest / 2).max(MIN_RETURN));
        earliest + (latest - earliest).mul_f64(self.rng.random_range(0.0..=1.0))
    }

    /// Gives a refused request that comes back as told the place of its first arrival.
    pub(super) fn restore_place(&mut self, job: &mut Job, now: Instant) {
        match self.returns.restore(job, now) {
            ReturnKind::New => {}
            ReturnKind::Early => self.statistics.returns_early += 1,
            ReturnKind::Placed => self.statistics.returns_placed += 1,
        }
    }
}

/// Whether the forecast decides on a request. Streams that go on wait for few targets, and the end of the process
/// has a rule of its own.
fn is_forecast(job: &Job) -> bool {
    !job.goes_on() && !job.by_end
}
