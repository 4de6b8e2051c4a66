//! Forecast of the wait for a start, from the recent starts at a pool while requests waited for it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tarragon_protocol::request::RANK_COUNT;

use crate::prelude::*;

/// Length of a step of the record.
const STEP: Duration = Duration::from_millis(100);

/// Spans over which starts are counted: the first that has enough of them. The shorter one follows slots that peers
/// lend and take back; the longer one has enough starts at a process with few slots.
const SPANS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(2)];

/// Time for which a record is kept.
const RECORD_LIFETIME: Duration = SPANS[1];

/// Requests must have waited for this long within a span. A burst at an idle pool first fills its slots, and none
/// of them becomes free until the first requests end.
const MIN_BUSY: Duration = Duration::from_millis(500);

/// Minimum number of starts in a span.
const MIN_STARTS: u32 = 8;

/// Arrivals that go ahead of a waiting request are not expected to go on if there were fewer in this span: a burst
/// may have ended.
const RECENT_SPAN: Duration = Duration::from_millis(500);

/// Requests must have waited for this long within the record before a small number of starts shows that they are
/// rare.
const MIN_SATURATED: Duration = Duration::from_millis(1_500);

/// Least factor by which the work ahead has to exceed the possible starts. It covers what no number of samples
/// shows, such as other requests that leave the queue.
const MIN_MARGIN: f64 = 1.25;

/// Number of standard deviations by which random counts are taken in favour of the request. With 2.0, 12 of 26,178
/// requests of the played load (tests/rules/forecast.rs) were refused though they could have been served.
const DEVIATIONS: f64 = 2.25;

/// Longest forecast, in seconds.
const MAX_WAIT_S: f64 = 3_600.0;

/// Counts of one step.
#[derive(Debug, Clone, Copy)]
struct RecordStep {
    begins: Instant,
    /// Time for which requests waited.
    busy: Duration,
    /// Starts while requests waited, and their cost in tokens.
    starts: u32,
    cost: u64,
    /// Seconds times slots while requests waited.
    slot_seconds: f64,
    /// Requests admitted by tier and rank.
    arrivals: [[u32; RANK_COUNT]; Tier::COUNT],
}

/// Starts of this process at one pool in the last seconds.
#[derive(Debug, Default)]
pub struct StartRecord {
    steps: VecDeque<RecordStep>,
    advanced: Option<Instant>,
    /// Whether requests wait, and the slots of this process, since `advanced`.
    busy: bool,
    slots: u64,
    /// Whether too many targets are cold for their starts to show what the pool can do.
    is_held: bool,
}

/// Rate of starts at a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartRate {
    /// Starts a second.
    pub per_second: f64,
    /// Mean cost of the started requests in tokens.
    pub mean_cost: f64,
    /// Number of starts from which it was computed.
    pub samples: u32,
}

/// Work that is started before a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkAhead {
    /// Number of requests.
    pub requests: f64,
    /// Their cost in tokens.
    pub cost: f64,
}

/// When a request will start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitForecast {
    /// Work ahead.
    pub ahead: WorkAhead,
    /// Number of later arrivals that go ahead of it.
    pub overtaking: f64,
    /// Rate of starts.
    pub rate: StartRate,
    /// Expected wait.
    pub wait: Duration,
}

impl StartRecord {
    /// Counts the time since the last call. A longer gap than `max_gap` empties the record: the process was paused.
    pub fn advance(&mut self, max_gap: Duration, now: Instant) {
        let Some(last) = self.advanced.replace(now) else { return };
        let elapsed = now.saturating_duration_since(last);
        if elapsed > max_gap {
            return self.steps.clear();
        }
        if self.busy {
            let slots = self.slots as f64;
            let step = self.step(now);
            step.busy += elapsed;
            step.slot_seconds += slots * elapsed.as_secs_f64();
        }
        let is_old =
            |step: &RecordStep| now.saturating_duration_since(step.begins) > RECORD_LIFETIME;
        while self.steps.front().is_some_and(is_old) {
            self.steps.pop_front();
        }
    }

    /// Sets whether requests wait from now on, and the number of slots.
    pub fn set_busy(&mut self, busy: bool, slots: u64) {
        (self.busy, self.slots) = (busy && !self.is_held, slots);
    }

    /// Sets whether too many targets are cold. What was recorded with them is no longer valid afterwards.
    pub fn set_held(&mut self, is_held: bool) {
        self.is_held = is_held;
        if is_held {
            self.steps.clear();
            self.busy = false;
        }
    }

    /// Records a start of a request with this cost in tokens. It counts if requests waited before.
    pub fn record_start(&mut self, cost: u64, now: Instant) {
        if self.busy {
            let step = self.step(now);
            step.starts += 1;
            step.cost = step.cost.saturating_add(cost);
        }
    }

    /// Records the admission of a request.
    pub fn record_arrival(&mut self, tier: Tier, rank: usize, now: Instant) {
        self.step(now).arrivals[tier.index()][rank] += 1;
    }

    /// Whether requests waited when the last event had been handled.
    pub fn is_busy(&self) -> bool {
        self.busy
    }

    /// Whether requests waited nearly all the time, so that the number of starts is limited by the pool.
    pub fn is_saturated(&self, now: Instant) -> bool {
        let busy: Duration = self.steps_within(RECORD_LIFETIME, now).map(|step| step.busy).sum();
        busy >= MIN_SATURATED
    }

    /// The rate of starts, if enough were seen while requests waited.
    pub fn rate(&self, now: Instant) -> Option<StartRate> {
        SPANS.into_iter().find_map(|span| self.rate_in(span, now))
    }

    fn rate_in(&self, span: Duration, now: Instant) -> Option<StartRate> {
        let (mut busy, mut samples, mut cost, mut slot_seconds) = (Duration::ZERO, 0, 0.0, 0.0);
        for step in self.steps_within(span, now) {
            busy += step.busy;
            samples += step.starts;
            cost += step.cost as f64;
            slot_seconds += step.slot_seconds;
        }
        if busy < MIN_BUSY || samples < MIN_STARTS {
            return None;
        }
        let seconds = busy.as_secs_f64();
        // Slots that were added since raise the rate at once.
        let growth = (self.slots as f64 * seconds / slot_seconds.max(1e-9)).max(1.0);
        let per_second = f64::from(samples) / seconds * growth;
        Some(StartRate { per_second, mean_cost: (cost / f64::from(samples)).max(1.0), samples })
    }

    /// Requests of the tiers and ranks that `goes_ahead` names that will arrive within a span: as many as in the last
    /// such span, and no more than go on arriving now.
    pub fn arrivals<G>(&self, goes_ahead: G, span: Duration, now: Instant) -> f64
    where
        G: Fn(Tier, usize) -> bool,
    {
        let span = span.min(RECORD_LIFETIME);
        let seen = self.arrivals_within(span, &goes_ahead, now);
        let recent = self.arrivals_within(RECENT_SPAN, &goes_ahead, now);
        let growth = span.as_secs_f64() / RECENT_SPAN.as_secs_f64();
        f64::from(seen).min(f64::from(recent) * growth)
    }

    fn arrivals_within<G>(&self, span: Duration, goes_ahead: &G, now: Instant) -> u32
    where
        G: Fn(Tier, usize) -> bool,
    {
        let tiers = |step: &RecordStep| {
            let counts = Tier::DESCENDING.into_iter().flat_map(|tier| {
                let ranked = step.arrivals[tier.index()].iter().enumerate();
                ranked.filter(move |(rank, _)| goes_ahead(tier, *rank)).map(|(_, count)| *count)
            });
            counts.sum::<u32>()
        };
        self.steps_within(span, now).map(tiers).sum()
    }

    fn steps_within(&self, span: Duration, now: Instant) -> impl Iterator<Item = &RecordStep> {
        let newest_first = self.steps.iter().rev();
        newest_first.take_while(move |step| now.saturating_duration_since(step.begins) < span)
    }

    fn step(&mut self, now: Instant) -> &mut RecordStep {
        let is_current = |step: &RecordStep| now.saturating_duration_since(step.begins) < STEP;
        if !self.steps.back().is_some_and(is_current) {
            self.steps.push_back(RecordStep {
                begins: now,
                busy: Duration::ZERO,
                starts: 0,
                cost: 0,
                slot_seconds: 0.0,
                arrivals: Default::default(),
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

impl WorkAhead {
    /// Adds one request.
    pub fn add(&mut self, cost: u64) {
        self.requests += 1.0;
        self.cost += cost as f64;
    }

    /// This and other work.
    pub fn plus(self, other: WorkAhead) -> WorkAhead {
        WorkAhead { requests: self.requests + other.requests, cost: self.cost + other.cost }
    }

    /// The part of this work that precedes a request with so many others before it in its own lane, if the lanes
    /// take turns.
    pub fn in_turn(self, others: f64) -> WorkAhead {
        let share = (others / self.requests.max(1.0)).min(1.0);
        WorkAhead { requests: self.requests * share, cost: self.cost * share }
    }
}

impl WaitForecast {
    /// Forecasts the wait behind the work ahead and a number of later arrivals that overtake the request.
    ///
    /// The work counts by requests or by cost, whichever is less: one huge request takes one slot, and many small
    /// ones take little time.
    pub fn new(ahead: WorkAhead, overtaking: f64, rate: StartRate) -> WaitForecast {
        let mut forecast = WaitForecast { ahead, overtaking, rate, wait: Duration::ZERO };
        let seconds = (forecast.requests() + overtaking) / rate.per_second;
        forecast.wait = Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT_S));
        forecast
    }

    /// Whether a request with this much time left will clearly not start in it: the work ahead exceeds the starts
    /// that are possible. Both sides are taken [`DEVIATIONS`] in favour of the request.
    pub fn misses(&self, left: Duration) -> bool {
        let starts = self.rate.per_second * left.as_secs_f64();
        let samples = f64::from(self.rate.samples).min(starts).max(1e-9);
        let possible = starts * (1.0 + DEVIATIONS / samples.sqrt()).max(MIN_MARGIN);
        // Later arrivals take no more starts than there are; the rest of them is refused.
        let overtaking = self.overtaking.min(starts);
        let overtaking = (overtaking - DEVIATIONS * overtaking.sqrt()).max(0.0);
        self.requests() + overtaking > possible
    }

    /// Requests ahead that wait now.
    fn requests(&self) -> f64 {
        self.ahead.requests.min(self.ahead.cost / self.rate.mean_cost)
    }
}
