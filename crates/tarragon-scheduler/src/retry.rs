//! Retry budget and back-off.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Limits of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryLimits {
    /// Retries allowed per success.
    pub per_success: f64,
    /// Maximum number of retries that successes can save up.
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

/// Mean delay before the second attempt. It doubles with each further attempt, up to 64 times.
const BASE_DELAY: Duration = Duration::from_millis(25);

/// Number of retries that may be made. Successes refill it, so that a failing service is not flooded with
/// retries.
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
    /// Changes the limits. Saved retries above the new maximum are lost.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        if self.limits != limits {
            self.limits = limits;
            self.saved = self.saved.min(limits.max_saved);
        }
    }

    /// Adds the retries that a finished request earns.
    pub fn record_success(&mut self) {
        self.saved = (self.saved + self.limits.per_success).min(self.limits.max_saved);
    }

    /// Withdraws one retry from the budget. Returns false if there is none.
    pub fn try_withdraw(&mut self, now: Instant) -> bool {
        let has_retry = self.has_retry(now);
        if has_retry {
            self.saved -= 1.0;
        }
        has_retry
    }

    /// Whether a retry can be withdrawn.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(refilled_at).as_secs_f64();
        let RetryLimits { floor_rate, floor_saved, .. } = self.limits;
        if self.saved < floor_saved {
            self.saved = (self.saved + elapsed * floor_rate).min(floor_saved);
        }
        self.saved >= 1.0
    }
}

/// Random delay before the next attempt, 0.5 to 1.5 times the mean, so that requests that failed together are
/// not retried together.
pub fn backoff_delay(attempts: u32, rng: &mut ChaCha8Rng) -> Duration {
    let mean = BASE_DELAY * (1 << attempts.saturating_sub(1).min(6));
    mean.mul_f64(rng.random_range(0.5..1.5))
}
