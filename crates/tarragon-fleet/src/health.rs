//! Health of a target, judged only by the outcomes of this process's own attempts: a target may pass health
//! checks and still fail requests.

use std::time::{Duration, Instant};

use crate::prelude::*;

/// Weight of a new outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Consecutive failure_rate after which a target is backed off from.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Failure rate above which a target is backed off from, if its service as a whole does better.
const MAX_FAILURE_RATE: f64 = 0.45;
/// Mean failure rate of a service above which none of its targets counts as worse than the others.
const MAX_SERVICE_FAILURE_RATE: f64 = 0.25;
/// Shortest and longest back-off. It doubles with each further one until an attempt succeeds.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which a target that neither this process nor a peer could be asked for gets no work, so that others of
/// its service are tried.
const UNREACHED_TIME: Duration = Duration::from_millis(400);

/// Outcomes of the attempts at one target.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    /// Moving average of the failure rate.
    pub failure_rate: f64,
    consecutive_failures: u32,
    backoffs: u32,
    /// End of the current back-off, in which the target gets no work.
    pub backoff_until: Option<Instant>,
    /// Whether that back-off says nothing about the target.
    is_unreached: bool,
}

impl TargetHealth {
    /// Records the end of an attempt. `service_rate` is the mean failure rate of the service's other targets.
    /// Returns whether a back-off starts.
    pub fn record(&mut self, end: AttemptEnd, service_rate: f64, now: Instant) -> bool {
        match end {
            AttemptEnd::Finished => {
                self.failure_rate -= OUTCOME_WEIGHT * self.failure_rate;
                self.consecutive_failures = 0;
                self.backoffs = 0;
                return false;
            }
            AttemptEnd::NotSent
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::Failed
            | AttemptEnd::Garbled => {}
            AttemptEnd::Unreached => {
                let starts = self.backoff_until.is_none();
                if starts {
                    self.backoff_until = Some(now + UNREACHED_TIME);
                    self.is_unreached = true;
                }
                return starts;
            }
            AttemptEnd::Severed
            | AttemptEnd::Rejected
            | AttemptEnd::Withheld
            | AttemptEnd::Cancelled => return false,
        }
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate);
        self.consecutive_failures += 1;
        let unreachable = end == AttemptEnd::NotSent;
        let worse = self.failure_rate > MAX_FAILURE_RATE && service_rate < MAX_SERVICE_FAILURE_RATE;
        let repeated = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            && service_rate < MAX_SERVICE_FAILURE_RATE;
        if self.backoff_until.is_some() || !(unreachable || worse || repeated) {
            return false;
        }
        let backoff = MIN_BACKOFF.saturating_mul(1 << self.backoffs.min(8)).min(MAX_BACKOFF);
        self.backoffs += 1;
        self.backoff_until = Some(now + backoff);
        true
    }

    /// Ends the back-off if its time is ended. Returns whether it did.
    pub fn end_backoff(&mut self, now: Instant) -> bool {
        let ended = self.backoff_until.is_some_and(|until| until <= now);
        if ended {
            self.backoff_until = None;
        }
        if ended && !std::mem::take(&mut self.is_unreached) {
            self.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
        }
        ended
    }

    /// Ends the back-off at once.
    pub fn cancel_backoff(&mut self) {
        self.backoff_until = None;
        self.is_unreached = false;
    }

    /// Resets the health, since a new process runs at the target's address.
    pub fn reset(&mut self) {
        *self = TargetHealth::default();
    }
}
