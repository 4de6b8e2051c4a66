//! Expected times of one request at one target.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::targets::{TargetRow, rate::RateEstimate};

/// A report's figures of other processes' work count less with age and not at all after this time.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Prompt tokens assumed for a request of another process that waits inside the target.
const FOREIGN_PROMPT: f64 = 512.0;

/// Growth of the time between tokens from an idle to a full target.
const LOAD_SLOPE: f64 = 0.5;

/// A computed prompt token also delays the work that follows, so its time counts a second time.
const PREFILL_WEIGHT: f64 = 1.0;

/// Multiple of the cost at a target that is cold or may be.
const COLD_FACTOR: f64 = 2.0;

/// A cache hit attracts work only up to this much above the mean share of used slots, so that a common
/// prefix does not pile all work on one target.
pub const AFFINITY_EXCESS: f32 = 0.25;

/// What is known of a request before it is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSize {
    /// Prompt tokens, including tokens delivered by earlier attempts; `None` for a plain call.
    pub prompt: Option<u32>,
    /// Tokens still to be generated.
    pub output: u32,
}

/// Expected times in seconds from the dispatch, and what they rest on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct CostEstimate {
    /// Time to the first token.
    pub first_token: f32,
    /// Time to the last token.
    pub last_token: f32,
    /// What targets are compared by.
    pub score: f32,
    /// Prompt tokens that need not be computed.
    pub cached: u32,
}

impl TargetRow {
    /// Requests of other processes at the target, by the last report, weighted down by its age.
    pub fn foreign(&self, now: Instant) -> (f64, f64) {
        let Some(report) = &self.report else { return (0.0, 0.0) };
        let age = now.saturating_duration_since(report.taken).as_secs_f64();
        let weight = (1.0 - age / REPORT_LIFETIME.as_secs_f64()).max(0.0);
        let total = report.running + report.waiting;
        let running = f64::from(total.saturating_sub(report.own)) * weight;
        (running, f64::from(report.waiting) * weight)
    }

    /// Expected times of a request of which `hit` leading prompt tokens are believed to be cached.
    pub fn estimate(&self, size: RequestSize, hit: u32, now: Instant) -> CostEstimate {
        let (running, waiting) = self.foreign(now);
        let bears = f64::from(self.bears.max(1));
        let occupancy = (f64::from(self.in_flight) + running) / bears;
        let Some(prompt) = size.prompt else {
            let time = self.rates.call * (1.0 + occupancy);
            return self.finish_estimate(time, time, 0.0, 0);
        };
        let cached = (hit.min(prompt) as f32 * self.trust.value(now)) as u32;
        let uncached = f64::from(prompt - cached);
        let ahead = self.pending_prefill as f64 + waiting * FOREIGN_PROMPT;
        let first = self.rates.base + (uncached + ahead) * self.rates.prefill;
        let decode = f64::from(size.output) * self.rates.decode * (1.0 + LOAD_SLOPE * occupancy);
        let extra = PREFILL_WEIGHT * uncached * self.rates.prefill;
        self.finish_estimate(first, first + decode, extra, cached)
    }

    fn finish_estimate(&self, first: f64, last: f64, extra: f64, cached: u32) -> CostEstimate {
        let factor = if self.window.is_cold() { COLD_FACTOR } else { 1.0 };
        CostEstimate {
            first_token: first as f32,
            last_token: last as f32,
            score: ((first + last + extra) * factor) as f32,
            cached,
        }
    }
}

impl RateEstimate {
    /// Least time of a request at an idle target that holds the whole prompt in its cache.
    pub fn least_time(&self, size: RequestSize) -> Duration {
        let seconds = match size.prompt {
            Some(_) => self.base + f64::from(size.output) * self.decode,
            None => self.call,
        };
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }
}
