//! Pace of a target: how long work takes on its machine now, compared with the usual. It changes within less than
//! a second, unlike the learned speed.

use std::time::{Duration, Instant};

/// Time in which a pace that was told fades to the usual one. Spells of slow work last about as long, so the
/// remaining part of one that began at an unknown time shrinks evenly over it.
const FADE_TIME: Duration = Duration::from_millis(600);

/// Bounds of a pace that is taken into account, in percent of the usual. With a figure far outside, one answer
/// could make a target look unusable, or attract all work.
const MIN_PERCENT: u32 = 50;
const MAX_PERCENT: u32 = 1_000;

/// A pace as the target told it.
#[derive(Debug, Clone, Copy)]
struct PaceReading {
    /// Relative excess over the usual time: 0 is as usual, 1 takes twice as long.
    excess: f64,
    at: Instant,
}

/// Pace of one target, with what it has told so far. A target that tells none has the usual pace.
#[derive(Debug, Clone, Default)]
pub struct TargetPace {
    last: Option<PaceReading>,
    /// The reading before the last one.
    before: Option<PaceReading>,
    /// Integral of the excess over time up to the last reading, in seconds.
    settled: f64,
}

/// The state of a pace at the start of some work.
#[derive(Debug, Clone, Copy)]
pub struct PaceMark {
    /// Factor on the usual times that was expected.
    pub factor: f64,
    at: Instant,
    /// Integral of the excess up to the mark, in seconds.
    total: f64,
}

impl TargetPace {
    /// Records a pace in percent of the usual, as of `at`. Older readings than the last one are ignored.
    pub fn record(&mut self, percent: u32, at: Instant) {
        if self.last.is_some_and(|last| at <= last.at) {
            return;
        }
        let percent = percent.clamp(MIN_PERCENT, MAX_PERCENT);
        let reading = PaceReading { excess: f64::from(percent) / 100.0 - 1.0, at };
        self.settled += between(self.last, reading, Duration::ZERO);
        self.before = self.last.replace(reading);
    }

    /// Discards all readings, because another process runs at the target.
    pub fn discard(&mut self, now: Instant) {
        *self = TargetPace { settled: self.total(now), ..TargetPace::default() };
    }

    /// Factor on the usual times at `now`.
    pub fn factor(&self, now: Instant) -> f64 {
        self.last.map_or(1.0, |last| {
            let age = now.saturating_duration_since(last.at);
            1.0 + last.excess * (1.0 - fraction(age, FADE_TIME))
        })
    }

    /// Marks the start of some work.
    pub fn mark(&self, now: Instant) -> PaceMark {
        PaceMark { factor: self.factor(now), at: now, total: self.total(now) }
    }

    /// Mean factor on the usual times from a mark to `now`, with what the target has told meanwhile.
    pub fn mean_since(&self, mark: &PaceMark, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(mark.at).as_secs_f64();
        let Some(last) = self.last.filter(|_| elapsed > 0.0) else { return 1.0 };
        let after = self.total(now) - self.settled;
        let excess = match self.before {
            _ if last.at <= mark.at => self.total(now) - mark.total,
            // The part of the time between the two readings that comes after the mark.
            Some(before) if before.at <= mark.at => {
                between(Some(before), last, mark.at.duration_since(before.at)) + after
            }
            Some(_) => self.total(now) - mark.total,
            None => backward(last, last.at.duration_since(mark.at)) + after,
        };
        let bounds = (f64::from(MIN_PERCENT) / 100.0, f64::from(MAX_PERCENT) / 100.0);
        (1.0 + excess / elapsed).clamp(bounds.0, bounds.1)
    }

    /// Integral of the excess up to `now`, in seconds.
    fn total(&self, now: Instant) -> f64 {
        let open = self.last.map_or(0.0, |last| {
            let age = fraction(now.saturating_duration_since(last.at), FADE_TIME);
            last.excess * FADE_TIME.as_secs_f64() * (age - age * age / 2.0)
        });
        self.settled + open
    }
}

/// Part of a span that has passed, at most 1.
fn fraction(passed: Duration, span: Duration) -> f64 {
    if span.is_zero() { 1.0 } else { (passed.as_secs_f64() / span.as_secs_f64()).min(1.0) }
}

/// Integral of the excess in the time `span` before a reading: it shows the past as well as it shows what follows.
fn backward(reading: PaceReading, span: Duration) -> f64 {
    let reach = fraction(span, FADE_TIME);
    reading.excess * FADE_TIME.as_secs_f64() * (reach - reach * reach / 2.0)
}

/// Integral of the excess between two successive readings, without the first `skipped` of it. Readings that
/// follow each other faster than they fade are interpolated.
fn between(first: Option<PaceReading>, second: PaceReading, skipped: Duration) -> f64 {
    let Some(first) = first else { return backward(second, FADE_TIME) };
    let gap = second.at.saturating_duration_since(first.at);
    let reach = gap.min(FADE_TIME);
    let left = 1.0 - fraction(skipped, reach);
    let fading = first.excess * left * left / 2.0;
    let hidden = 1.0 - fraction(gap.saturating_sub(skipped), reach);
    let rising = second.excess * (1.0 - hidden * hidden) / 2.0;
    (fading + rising) * reach.as_secs_f64()
}
