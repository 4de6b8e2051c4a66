//! The window of a target: how many own requests may be in flight there. It is the number of slots assigned
//! to this process, reduced according to the latency and errors that this process observes.

use std::time::{Duration, Instant};

use serde::Serialize;

/// A target without a first token, finished call or report for this long may have died or become cold.
pub const ACTIVITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Weights of a new sample in the short-term and long-term moving averages of the ratio of observed to expected
/// latency.
const SHORT_GAIN: f64 = 0.25;
const LONG_GAIN: f64 = 0.02;

/// The short-term latency ratio may exceed the long-term one by this factor before the window shrinks. Times
/// to first token behind prompts of very different lengths vary by half without any overload.
const LATENCY_TOLERANCE: f64 = 2.0;

/// Smallest and largest step of the factor, and its lower bound, which keeps some samples coming.
const MIN_STEP: f64 = 0.8;
const RECOVERY_STEP: f64 = 1.05;
const MIN_FACTOR: f64 = 0.1;

/// A first token that takes more than this many times the expected time is a sign that the target has become
/// cold again, if it is also late by more than a margin in seconds that noise on a fast target doesn't reach.
const JUMP_RATIO: f64 = 4.0;
const JUMP_MARGIN: f64 = 1.0;

/// Prompt tokens of other processes that a target may have to compute first. A delay that they explain is not
/// taken as a sign of a cold target; otherwise a warm target would be closed to all processes for a second or
/// two.
pub const FOREIGN_PREFILL: f64 = 16_384.0;

/// Window of one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetWindow {
    slots: u32,
    cold: bool,
    /// Fraction of the slots that the observed latency allows.
    factor: f64,
    /// Upper bound of the window while the target warms up.
    ramp: u32,
    /// Whether a sign that the target may be cold was seen, and no later report has cleared it.
    suspicious: bool,
    short: f64,
    long: f64,
    #[serde(skip)]
    last_activity: Instant,
    #[serde(skip)]
    suspected_at: Instant,
}

impl TargetWindow {
    /// Creates a window without slots, for a target that counts as cold. A target that is warm when its slots
    /// first arrive has no ramp.
    pub fn new(now: Instant) -> TargetWindow {
        TargetWindow {
            slots: 0,
            cold: true,
            factor: 1.0,
            ramp: u32::MAX,
            suspicious: false,
            short: 1.0,
            long: 1.0,
            last_activity: now,
            suspected_at: now,
        }
    }

    /// Slots assigned to this process.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether the target counts as cold or may be cold.
    pub fn is_cold(&self) -> bool {
        self.cold || self.suspicious
    }

    /// Whether a sign that the target may be cold has not been cleared by a report yet.
    pub fn is_suspicious(&self) -> bool {
        self.suspicious
    }

    /// Requests that may be in flight now.
    pub fn size(&self, now: Instant) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        if self.suspicious || now.saturating_duration_since(self.last_activity) > ACTIVITY_TIMEOUT {
            return 1;
        }
        let learned = (f64::from(self.slots) * self.factor) as u32;
        learned.min(self.ramp).clamp(1, self.slots)
    }

    /// Sets the assigned slots. While the target is cold, the ramp starts at its slots.
    pub fn set_slots(&mut self, slots: u32, cold: bool) {
        if cold {
            self.ramp = slots.max(1);
        }
        self.slots = slots;
        self.cold = cold;
    }

    /// Records that the target was alive at `at`.
    pub fn record_activity(&mut self, at: Instant) {
        self.last_activity = self.last_activity.max(at);
    }

    /// A report of load measured at `at` clears older suspicion. The ramp continues from where the suspicion
    /// left it, since the target may have restarted and become warm again since.
    pub fn clear_suspicion(&mut self, at: Instant) {
        self.record_activity(at);
        if self.suspicious && at > self.suspected_at {
            self.suspicious = false;
        }
    }

    /// Raises the ramp by one after a request has finished or received its first token in time.
    pub fn grow_ramp(&mut self) {
        if !self.suspicious {
            self.ramp = self.ramp.saturating_add(1);
        }
    }

    /// Marks the target as possibly cold again. Returns false if it was marked already.
    pub fn mark_suspicious(&mut self, now: Instant) -> bool {
        let news = !self.suspicious;
        self.suspicious = true;
        self.suspected_at = now;
        self.ramp = 1;
        news
    }

    /// Adjusts the factor to the observed and expected seconds of one request. `unknown` is the time that
    /// unseen work of other processes can add. Returns true, without adjusting, if the delay suggests that
    /// the target is cold again.
    pub fn observe(&mut self, observed: f64, expected: f64, unknown: f64) -> bool {
        let ratio = observed / expected.max(1e-4);
        if !self.cold && ratio > JUMP_RATIO && observed - expected > JUMP_MARGIN + unknown {
            return true;
        }
        self.short += SHORT_GAIN * (ratio - self.short);
        self.long += LONG_GAIN * (ratio - self.long);
        let gradient = LATENCY_TOLERANCE * self.long / self.short.max(1e-6);
        let step = if gradient < 1.0 { gradient.max(MIN_STEP) } else { RECOVERY_STEP };
        self.factor = (self.factor * step).clamp(MIN_FACTOR, 1.0);
        false
    }
}
