//! How many own requests a target gets at once: the slots given from outside, lowered by what the own
//! observations say.

use std::time::{Duration, Instant};

use serde::Serialize;

/// Without a first token, finished call or report for this long, a target may have died or be cold.
pub const ACTIVITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Weight of a new sample in the short and in the long mean of observed to expected latency.
const SHORT_GAIN: f64 = 0.25;
const LONG_GAIN: f64 = 0.02;

/// Latency may rise by this factor over its long mean before the window falls. Times to first token
/// behind prompts of very different lengths vary by half without any overload.
const LATENCY_TOLERANCE: f64 = 2.0;

/// Bounds of one step and of the whole factor. The lower bound keeps a trickle of samples.
const MIN_STEP: f64 = 0.8;
const RECOVERY_STEP: f64 = 1.05;
const MIN_FACTOR: f64 = 0.1;

/// A first token that takes this many times the expected time is a sign of a new cold spell, if it is
/// also late by an absolute amount that noise on a fast target doesn't reach.
const JUMP_RATIO: f64 = 4.0;
const JUMP_MARGIN: f64 = 1.0;

/// Prompt tokens of other processes that a target may have to compute first. A delay that they explain is no
/// sign: taken for one, it would close a warm target to all processes for a second or two.
pub const FOREIGN_PREFILL: f64 = 16_384.0;

/// Window of one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetWindow {
    slots: u32,
    cold: bool,
    /// Part of the slots that latency allows.
    factor: f64,
    /// Upper bound while the target warms up.
    ramp: u32,
    /// A sign of a new cold spell was seen and no later report has settled it.
    suspicious: bool,
    short: f64,
    long: f64,
    #[serde(skip)]
    last_activity: Instant,
    #[serde(skip)]
    suspected_at: Instant,
}

impl TargetWindow {
    /// No slots yet; the target counts as cold. There is no ramp for a target that is warm when it is
    /// first heard of.
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

    /// Slots given from outside.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether the target counts as cold or may be cold.
    pub fn is_cold(&self) -> bool {
        self.cold || self.suspicious
    }

    /// Whether a sign of a new cold spell waits for a report.
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

    /// Takes new slots. A target that turns cold starts its ramp at its share while cold.
    pub fn set_slots(&mut self, slots: u32, cold: bool) {
        if cold {
            self.ramp = slots.max(1);
        }
        self.slots = slots;
        self.cold = cold;
    }

    /// The target was alive at `at`.
    pub fn record_activity(&mut self, at: Instant) {
        self.last_activity = self.last_activity.max(at);
    }

    /// A report of figures taken at `at` settles signs that are older. A warm target starts its ramp
    /// again, since the sign may have been a restart that is over.
    pub fn clear_suspicion(&mut self, at: Instant) {
        self.record_activity(at);
        if self.suspicious && at > self.suspected_at {
            self.suspicious = false;
        }
    }

    /// A request has finished or has had its first token in time: the ramp rises by one.
    pub fn grow_ramp(&mut self) {
        if !self.suspicious {
            self.ramp = self.ramp.saturating_add(1);
        }
    }

    /// Something shows that the target is or may be cold again. Returns false if that is known already.
    pub fn mark_suspicious(&mut self, now: Instant) -> bool {
        let news = !self.suspicious;
        self.suspicious = true;
        self.suspected_at = now;
        self.ramp = 1;
        news
    }

    /// Takes the observed and the expected time of one request, and the time that unknown work of other
    /// processes can add. Returns whether the observation is a jump that looks like a new cold spell.
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
