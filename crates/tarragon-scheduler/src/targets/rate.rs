//! Learned speed of one target.

use std::time::Duration;

use serde::Serialize;

/// Weight of a new sample.
const GAIN: f64 = 0.1;

/// Prompts with fewer tokens to compute say more about the fixed part of the time to first token than
/// about the prefill rate.
const MIN_PREFILL_SAMPLE: u32 = 256;

/// Decode times of shorter answers are dominated by batching of the first chunks.
const MIN_DECODE_SAMPLE: u32 = 8;

/// Samples after which the estimates are trusted, for instance to refuse requests that can't meet their
/// deadline.
const TRUSTED_SAMPLES: u32 = 8;

/// Expected times of one target, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RateEstimate {
    /// Time to first token without any prefill.
    pub base: f64,
    /// Prefill time of a prompt token.
    pub prefill: f64,
    /// Time between two tokens.
    pub decode: f64,
    /// Time of a plain call.
    pub call: f64,
    /// First tokens and plain calls seen.
    pub samples: u32,
}

impl Default for RateEstimate {
    /// Values of a small engine, used until the first samples arrive.
    fn default() -> RateEstimate {
        RateEstimate { base: 0.05, prefill: 1.0 / 4_000.0, decode: 0.03, call: 0.1, samples: 0 }
    }
}

impl RateEstimate {
    /// Whether the estimate is based on enough samples.
    pub fn is_trusted(&self) -> bool {
        self.samples >= TRUSTED_SAMPLES
    }

    /// The expected times if work takes this multiple of the usual time.
    pub fn at_pace(self, factor: f64) -> RateEstimate {
        RateEstimate {
            base: self.base * factor,
            prefill: self.prefill * factor,
            decode: self.decode * factor,
            call: self.call * factor,
            samples: self.samples,
        }
    }

    /// Learns from a first token that followed the prefill of `tokens` prompt tokens, of the request and
    /// those ahead.
    pub fn learn_first_token(&mut self, tokens: u32, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if tokens >= MIN_PREFILL_SAMPLE {
            let sample = ((seconds - self.base) / f64::from(tokens)).max(1e-7);
            blend(&mut self.prefill, sample, self.samples);
        } else {
            let sample = (seconds - f64::from(tokens) * self.prefill).max(1e-4);
            blend(&mut self.base, sample, self.samples);
        }
    }

    /// Learns from `tokens` tokens that took `elapsed` after the first one.
    pub fn learn_decode(&mut self, tokens: u32, elapsed: Duration) {
        if tokens >= MIN_DECODE_SAMPLE {
            let sample = (elapsed.as_secs_f64() / f64::from(tokens)).max(1e-6);
            blend(&mut self.decode, sample, self.samples);
        }
    }

    /// Learns from a finished plain call.
    pub fn learn_call(&mut self, elapsed: Duration) {
        self.samples = self.samples.saturating_add(1);
        blend(&mut self.call, elapsed.as_secs_f64().max(1e-4), self.samples);
    }
}

/// Updates a moving average. The first samples count as in an arithmetic mean, so that wrong defaults vanish
/// fast.
fn blend(value: &mut f64, sample: f64, samples: u32) {
    let gain = GAIN.max(1.0 / f64::from(samples.max(1)));
    *value += gain * (sample - *value);
}
