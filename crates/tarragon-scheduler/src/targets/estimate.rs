//! Expected times of one request at one target.
//!
//! The data needed to choose a target is kept in a small summary that is recomputed whenever the target
//! changes, and with each tick. A choice among hundreds of targets then reads a few contiguous cache lines
//! instead of the whole table.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::{
    prelude::*,
    targets::{TargetRow, rate::RateEstimate},
};

/// Load of other processes in a report counts less with the report's age, and not at all after this time.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Prompt tokens assumed for a request of another process that waits inside the target.
const FOREIGN_PROMPT: f64 = 512.0;

/// Seconds of pending prefill at a target above which requests of a tier wait in this process's queue, from
/// routine to urgent. An engine computes prompts in order of arrival, so urgent work that comes later can't
/// overtake there.
const PREFILL_BACKLOG: [f32; Tier::COUNT] = [0.25, 0.35, 0.5, 1.0];

/// Relative growth of the time between tokens from an idle to a full target.
const LOAD_SLOPE: f64 = 0.5;

/// Weights of the parts of an estimate in the score.
#[derive(Debug, Clone, Copy)]
struct CostWeights {
    /// Weight of the wait for prefill that is already pending.
    wait: f32,
    /// Weight of the request's own prefill. It also delays all other work of the target, so it counts more
    /// than its time.
    prefill: f32,
}

/// Weights by tier, from routine to urgent. A routine request accepts a wait if that saves prefill, and
/// rather waits behind pending prefill than delays urgent work at another target. An urgent one accepts more
/// prefill if that saves a wait.
const WEIGHTS: [CostWeights; Tier::COUNT] = [
    CostWeights { wait: 0.5, prefill: 8.0 },
    CostWeights { wait: 2.0, prefill: 8.0 },
    CostWeights { wait: 3.0, prefill: 5.0 },
    CostWeights { wait: 4.0, prefill: 3.0 },
];

/// Factor on the score of a cold target.
const COLD_FACTOR: f32 = 2.0;

/// Factor on the score of a target that has shown an error or another sign of a restart and has not reported
/// since. Such a target is idle, and would otherwise attract work that fails again.
const SUSPICIOUS_FACTOR: f32 = 8.0;

/// Factor on the score of a target of another data centre. Traffic between data centres is expensive, so a
/// local target is preferred unless it takes noticeably longer.
const DISTANT_FACTOR: f32 = 1.15;

/// Cache hits count only at targets whose used fraction of the window is at most this much above the pool's
/// mean, so that a common prefix doesn't pile all work on one target.
pub const AFFINITY_EXCESS: f32 = 0.25;

/// Size of a request before it is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSize {
    /// Prompt tokens, including tokens delivered by earlier attempts; `None` for a plain call.
    pub prompt: Option<u32>,
    /// Tokens still to be generated.
    pub output: u32,
    /// Tokens that the caller has.
    pub delivered: u32,
}

/// Expected times of a request at a target, in seconds from the dispatch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct CostEstimate {
    /// Time to the first token.
    pub first_token: f32,
    /// Time to the last token.
    pub last_token: f32,
    /// Score by which targets are compared; lower is better.
    pub score: f32,
    /// Prompt tokens expected in the target's cache.
    pub cached: u32,
}

/// Data of one target that is needed to choose among targets.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetSummary {
    /// Own requests in flight.
    pub in_flight: u32,
    /// Own requests that may be in flight; 0 if the target may get no new work.
    pub window: u32,
    /// Bits of the models held.
    pub models: u64,
    /// Seconds to the first token without the request's own prefill.
    first: f32,
    /// Part of `first` that is spent waiting for pending prefill; 0 until the rates are trusted.
    backlog: f32,
    /// Seconds of prefill per prompt token.
    prefill: f32,
    /// Seconds per generated token.
    decode: f32,
    /// Seconds of a plain call.
    call: f32,
    /// Confidence in expected cache hits.
    trust: f32,
    /// Most tokens that can be cached beside the running requests.
    room: u32,
    /// Whether the expected times are based on enough samples.
    is_measured: bool,
    /// Factor on the score.
    factor: f32,
}

impl TargetSummary {
    /// Summary of the current state of a target.
    pub fn of(row: &TargetRow, now: Instant) -> TargetSummary {
        let (running, waiting) = row.foreign(now);
        let capacity = f64::from(row.capacity.max(1));
        let occupancy = (f64::from(row.in_flight) + running) / capacity;
        let ahead = row.pending_prefill as f64 + waiting * FOREIGN_PROMPT;
        let RateEstimate { base, prefill, decode, call, .. } =
            row.rates.at_pace(row.pace.factor(now));
        TargetSummary {
            in_flight: row.in_flight,
            window: if row.may_start(now) { row.safe_window(now) } else { 0 },
            models: row.model_set,
            first: (base + ahead * prefill) as f32,
            backlog: if row.rates.is_trusted() { (ahead * prefill) as f32 } else { 0.0 },
            prefill: prefill as f32,
            decode: (decode * (1.0 + LOAD_SLOPE * occupancy)) as f32,
            call: (call * (1.0 + occupancy)) as f32,
            trust: row.trust.value(now),
            room: row
                .memory
                .room(f64::from(row.in_flight) + running)
                .map_or(u32::MAX, |room| u32::try_from(room).unwrap_or(u32::MAX)),
            is_measured: row.rates.is_trusted(),
            factor: row.risk_factor() * if row.remote { DISTANT_FACTOR } else { 1.0 },
        }
    }

    /// Whether one more own request may be sent there.
    pub fn is_open(&self) -> bool {
        self.in_flight < self.window
    }

    /// Whether so much prefill is pending that requests of a tier wait in this process's queue instead.
    pub fn has_prefill_backlog(&self, tier: Tier) -> bool {
        self.backlog > PREFILL_BACKLOG[tier.index()]
    }

    /// Whether the expected times are based on enough samples.
    pub fn is_measured(&self) -> bool {
        self.is_measured
    }

    /// Seconds of prefill of so many prompt tokens.
    pub fn prefill_time(&self, tokens: u32) -> f32 {
        tokens as f32 * self.prefill
    }

    /// Whether an estimate shows that the answer takes longer than this many seconds.
    pub fn exceeds(&self, estimate: &CostEstimate, seconds: f32) -> bool {
        self.is_measured && estimate.last_token > seconds
    }

    /// Estimates a request of a tier of which `hit` leading prompt tokens are believed to be cached.
    pub fn estimate(&self, size: RequestSize, hit: u32, tier: Tier) -> CostEstimate {
        let Some(prompt) = size.prompt else {
            let score = 2.0 * self.call * self.factor;
            return CostEstimate {
                first_token: self.call,
                last_token: self.call,
                score,
                cached: 0,
            };
        };
        let cached = (hit.min(prompt).min(self.room) as f32 * self.trust) as u32;
        let computing = (prompt - cached) as f32 * self.prefill;
        let first = self.first + computing;
        let last = first + size.output as f32 * self.decode;
        let weights = WEIGHTS[tier.index()];
        let score =
            (weights.wait * self.first + weights.prefill * computing + last - first) * self.factor;
        CostEstimate { first_token: first, last_token: last, score, cached }
    }
}

impl TargetRow {
    /// The window, reduced at a cold target by the requests of other processes there. They may have been sent
    /// while the target was warm and those processes had more slots; together with the slots assigned since,
    /// they would exceed the target's capacity.
    fn safe_window(&self, now: Instant) -> u32 {
        let size = self.window.size(now);
        match &self.report {
            Some(report) if self.window.is_cold() => {
                let total = report.running.saturating_add(report.waiting);
                let foreign = total.saturating_sub(report.own);
                size.min(self.window.slots().saturating_sub(foreign))
            }
            _ => size,
        }
    }

    /// Whether one more request may be sent there now, apart from the window.
    fn may_start(&self, now: Instant) -> bool {
        self.accepts_work() && self.starts.allows(now)
    }

    /// Factor on the score that keeps work away from a target that may fail.
    fn risk_factor(&self) -> f32 {
        match (self.window.is_suspicious(), self.window.is_cold()) {
            (true, _) => SUSPICIOUS_FACTOR,
            (false, true) => COLD_FACTOR,
            (false, false) => 1.0,
        }
    }

    /// Requests of other processes at the target, and requests that wait inside it, by the last report and
    /// weighted down by its age.
    pub(super) fn foreign(&self, now: Instant) -> (f64, f64) {
        let Some(report) = &self.report else { return (0.0, 0.0) };
        let age = now.saturating_duration_since(report.taken).as_secs_f64();
        let weight = (1.0 - age / REPORT_LIFETIME.as_secs_f64()).max(0.0);
        let total = report.running.saturating_add(report.waiting);
        let foreign = f64::from(total.saturating_sub(report.own)) * weight;
        (foreign, f64::from(report.waiting) * weight)
    }
}

impl RateEstimate {
    /// Time to the first token of a request at an idle target that has to compute the whole prompt.
    pub fn first_time(&self, size: RequestSize) -> Duration {
        let prompt = size.prompt.unwrap_or(0);
        let seconds = self.base + f64::from(prompt) * self.prefill;
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }

    /// Time of a whole answer of a target that has to compute the whole prompt.
    pub fn whole_time(&self, size: RequestSize) -> Duration {
        let seconds = match size.prompt {
            Some(prompt) => {
                let decode = f64::from(size.output) * self.decode;
                self.base + f64::from(prompt) * self.prefill + decode
            }
            None => self.call,
        };
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }

    /// Least time of a request at an idle target that holds the whole prompt in its cache, if the whole answer
    /// takes only this fraction of the predicted time. An answer of which the caller has more than that may end
    /// with the next token.
    pub fn least_time(&self, size: RequestSize, fraction: f64) -> Duration {
        let seconds = match size.prompt {
            Some(_) => {
                let whole = f64::from(size.output) + f64::from(size.delivered);
                let left = (whole * fraction - f64::from(size.delivered)).max(0.0);
                self.base * fraction + left * self.decode
            }
            // The length of a plain answer isn't predicted, only its time.
            None if size.delivered > 0 => 0.0,
            None => self.call * fraction,
        };
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }
}
