//! Confidence in what the prefix index says about a target's cache.

use std::time::{Duration, Instant};

use serde::Serialize;

/// Factor on the confidence after a gap in the sequence numbers of cache events.
const TRUST_AFTER_GAP: f32 = 0.5;

/// Confidence recovers fully in this time without another gap: blocks of the lost events have mostly been
/// evicted or reported again by then.
const RECOVERY: Duration = Duration::from_secs(30);

/// Weight of a new comparison of expected and reported cache hits.
const GAIN: f32 = 0.1;

/// Confidence in the prefix index for one target.
#[derive(Debug, Clone, Serialize)]
pub struct CacheTrust {
    next_sequence: Option<u64>,
    after_gap: f32,
    accuracy: f32,
    #[serde(skip)]
    gap: Option<Instant>,
}

impl Default for CacheTrust {
    fn default() -> CacheTrust {
        CacheTrust { next_sequence: None, after_gap: 1.0, accuracy: 1.0, gap: None }
    }
}

impl CacheTrust {
    /// Checks the sequence number of an event. Returns whether events before it were lost.
    pub fn check_sequence(&mut self, sequence: u64, now: Instant) -> bool {
        let gap = self.next_sequence.is_some_and(|next| sequence > next);
        self.next_sequence = Some(sequence.saturating_add(1));
        if gap {
            self.after_gap = (self.value(now) * TRUST_AFTER_GAP).max(0.05);
            self.gap = Some(now);
        }
        gap
    }

    /// The target cleared its whole cache, so the index is exact again.
    pub fn reset(&mut self) {
        *self = CacheTrust { next_sequence: self.next_sequence, ..CacheTrust::default() };
    }

    /// A new process runs at the target and starts its sequence numbers anew.
    pub fn restart(&mut self) {
        *self = CacheTrust::default();
    }

    /// Compares an expected cache hit with the one that the target reported.
    pub fn compare(&mut self, expected: u32, reported: u32) {
        if expected > 0 {
            let sample = (reported as f32 / expected as f32).min(1.0);
            self.accuracy += GAIN * (sample - self.accuracy);
        }
    }

    /// Fraction of an expected hit to rely on.
    pub fn value(&self, now: Instant) -> f32 {
        let Some(gap) = self.gap else { return self.accuracy };
        let elapsed = now.saturating_duration_since(gap).as_secs_f32() / RECOVERY.as_secs_f32();
        let recovered = self.after_gap + (1.0 - self.after_gap) * elapsed.min(1.0);
        recovered * self.accuracy
    }
}
