//! How far the knowledge of a target's cache can be trusted.

use std::time::{Duration, Instant};

use serde::Serialize;

/// Trust after a gap in the numbering of cache events.
const TRUST_AFTER_GAP: f32 = 0.5;

/// Trust is whole again after this long without another gap: what the lost events told has mostly been
/// evicted or repeated by then.
const RECOVERY: Duration = Duration::from_secs(30);

/// Weight of a new comparison of expected and reported cache hits.
const GAIN: f32 = 0.1;

/// Trust in what is known of one target's cache.
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
    /// Takes the number of an event. Returns whether events before it were lost.
    pub fn check_sequence(&mut self, sequence: u64, now: Instant) -> bool {
        let gap = self.next_sequence.is_some_and(|next| sequence > next);
        self.next_sequence = Some(sequence.saturating_add(1));
        if gap {
            self.after_gap = (self.value(now) * TRUST_AFTER_GAP).max(0.05);
            self.gap = Some(now);
        }
        gap
    }

    /// The cache was dropped as a whole: what is known from now on is known exactly.
    pub fn reset(&mut self) {
        *self = CacheTrust { next_sequence: self.next_sequence, ..CacheTrust::default() };
    }

    /// The process behind the target is a new one, which numbers its events anew.
    pub fn restart(&mut self) {
        *self = CacheTrust::default();
    }

    /// Compares an expected cache hit with the one that the target told.
    pub fn compare(&mut self, expected: u32, reported: u32) {
        if expected > 0 {
            let sample = (reported as f32 / expected as f32).min(1.0);
            self.accuracy += GAIN * (sample - self.accuracy);
        }
    }

    /// Part of an expected hit that is counted on.
    pub fn value(&self, now: Instant) -> f32 {
        let Some(gap) = self.gap else { return self.accuracy };
        let elapsed = now.saturating_duration_since(gap).as_secs_f32() / RECOVERY.as_secs_f32();
        let recovered = self.after_gap + (1.0 - self.after_gap) * elapsed.min(1.0);
        recovered * self.accuracy
    }
}
