//! Budget and back-off of retries.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Retries allowed per success.
const PER_SUCCESS: f64 = 0.1;

/// Retries that may be saved up.
const MAX_SAVED: f64 = 100.0;

/// The floor: with few successes, this many retries a second are allowed, up to [`FLOOR_SAVED`].
const FLOOR_RATE: f64 = 1.0;
const FLOOR_SAVED: f64 = 5.0;

/// Attempts of one request, whatever the budget holds.
pub const MAX_ATTEMPTS: u32 = 4;

/// Mean delay before the second attempt. It doubles with each further attempt.
const BASE_DELAY: Duration = Duration::from_millis(25);

/// Retries that may be made, tied to successes so that a failing service is not flooded with them.
#[derive(Debug, Clone, Serialize)]
pub struct RetryBudget {
    saved: f64,
    #[serde(skip)]
    filled: Option<Instant>,
}

impl Default for RetryBudget {
    /// The floor is available from the start.
    fn default() -> RetryBudget {
        RetryBudget { saved: FLOOR_SAVED, filled: None }
    }
}

impl RetryBudget {
    /// A request finished.
    pub fn succeed(&mut self) {
        self.saved = (self.saved + PER_SUCCESS).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let filled = self.filled.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(filled).as_secs_f64();
        if self.saved < FLOOR_SAVED {
            self.saved = (self.saved + elapsed * FLOOR_RATE).min(FLOOR_SAVED);
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
pub fn back_off(attempts: u32, rng: &mut ChaCha8Rng) -> Duration {
    let mean = BASE_DELAY * (1 << attempts.saturating_sub(1).min(6));
    mean.mul_f64(rng.random_range(0.5..1.5))
}
