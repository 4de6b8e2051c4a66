//! Budget and back-off of retries.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// How many retries a process may make.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryLimits {
    /// Retries allowed per success.
    pub per_success: f64,
    /// Retries that may be saved up.
    pub max_saved: f64,
    /// With few successes, this many retries a second are allowed, up to `floor_saved`.
    pub floor_rate: f64,
    /// Retries that are available at the start, and that the floor rate fills up to.
    pub floor_saved: f64,
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits { per_success: 0.1, max_saved: 100.0, floor_rate: 1.0, floor_saved: 5.0 }
    }
}

/// Mean delay before the second attempt. It doubles with each further attempt.
const BASE_DELAY: Duration = Duration::from_millis(25);

/// Retries that may be made, tied to successes so that a failing service is not flooded with them.
#[derive(Debug, Clone, Serialize)]
pub struct RetryBudget {
    #[serde(rename = "terms")]
    limits: RetryLimits,
    saved: f64,
    #[serde(skip)]
    refilled_at: Option<Instant>,
}

impl Default for RetryBudget {
    /// The floor is available from the start.
    fn default() -> RetryBudget {
        let limits = RetryLimits::default();
        RetryBudget { limits, saved: limits.floor_saved, refilled_at: None }
    }
}

impl RetryBudget {
    /// Takes other terms. What is saved above the new bound is lost.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        if self.limits != limits {
            self.limits = limits;
            self.saved = self.saved.min(limits.max_saved);
        }
    }

    /// A request finished.
    pub fn record_success(&mut self) {
        self.saved = (self.saved + self.limits.per_success).min(self.limits.max_saved);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn try_withdraw(&mut self, now: Instant) -> bool {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(refilled_at).as_secs_f64();
        let RetryLimits { floor_rate, floor_saved, .. } = self.limits;
        if self.saved < floor_saved {
            self.saved = (self.saved + elapsed * floor_rate).min(floor_saved);
        }
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Delay before the next attempt: half to one and a half of the mean, so that requests that failed
/// together don't come back together.
pub fn backoff_delay(attempts: u32, rng: &mut ChaCha8Rng) -> Duration {
    let mean = BASE_DELAY * (1 << attempts.saturating_sub(1).min(6));
    mean.mul_f64(rng.random_range(0.5..1.5))
}
