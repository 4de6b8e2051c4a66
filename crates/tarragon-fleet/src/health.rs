//! Whether a target is worth new work, judged by the own attempts alone. Targets may answer health checks
//! well and fail requests all the same.

use std::time::{Duration, Instant};

use crate::prelude::*;

/// Weight of a new outcome in the mean rate of failures.
const GAIN: f64 = 0.2;
/// Failures in a row after which a target is left alone for a while.
const STREAK: u32 = 3;
/// Rate of failures above which a target is left alone, if its service does better on the whole.
const BAD_RATE: f64 = 0.45;
/// Mean rate of failures of a service above which none of its targets is worse than the others.
const COMMON_RATE: f64 = 0.25;
/// Shortest and longest time for which a target is left alone. It doubles with each failure after that.
const LEAST_REST: Duration = Duration::from_millis(400);
const LONGEST_REST: Duration = Duration::from_secs(3);

/// Outcomes at one target.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    /// Mean rate of failures.
    pub failures: f64,
    streak: u32,
    rests: u32,
    /// Until when the target is left alone.
    pub resting: Option<Instant>,
}

impl TargetHealth {
    /// Takes the end of an attempt. `common` is the mean rate of failures of the service. Returns whether the
    /// target is to be left alone from now on.
    pub fn take(&mut self, end: AttemptEnd, common: f64, now: Instant) -> bool {
        match end {
            AttemptEnd::Finished => {
                self.failures -= GAIN * self.failures;
                self.streak = 0;
                self.rests = 0;
                return false;
            }
            AttemptEnd::NotSent | AttemptEnd::Broken | AttemptEnd::Failed | AttemptEnd::Garbled => {
            }
            AttemptEnd::Rejected | AttemptEnd::Withheld | AttemptEnd::Cancelled => return false,
        }
        self.failures += GAIN * (1.0 - self.failures);
        self.streak += 1;
        let unreachable = end == AttemptEnd::NotSent;
        let worse = self.failures > BAD_RATE && common < COMMON_RATE;
        let silent = self.streak >= STREAK && common < COMMON_RATE;
        if self.resting.is_some() || !(unreachable || worse || silent) {
            return false;
        }
        let rest = LEAST_REST.saturating_mul(1 << self.rests.min(8)).min(LONGEST_REST);
        self.rests += 1;
        self.resting = Some(now + rest);
        true
    }

    /// Whether a rest has ended now.
    pub fn wake(&mut self, now: Instant) -> bool {
        let over = self.resting.is_some_and(|until| until <= now);
        if over {
            self.resting = None;
            self.streak = STREAK - 1;
        }
        over
    }

    /// A new process runs at the target's address: what was seen of the old one doesn't count.
    pub fn restart(&mut self) {
        *self = TargetHealth::default();
    }
}
